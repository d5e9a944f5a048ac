"""Applies the values that operators publish to the tables of an entry.

The configuration is offered to the routes in force, and drained data centres are
excluded from the choice of servers. Drained data centres without a listed server are
logged and excluded as well, since their servers may be listed later.
"""

import threading
from collections.abc import Callable

from boragestream.base.events import Event, emit
from boragestream.daemon.tasks import OFFER_EVENTS
from boragestream.platform.published import (
    PublishedMalformed,
    read_drained_centre,
    read_route_document,
)
from boragestream.platform.store import CONFIGURATION_KEY, DRAINED_PREFIX
from boragestream.policy.cold_servers import ColdServers
from boragestream.policy.publication import NO_ERA, Position
from boragestream.policy.route_table import RoutesInForce
from boragestream.policy.servers import ServerTable

__all__ = ["OperatorValues", "offer_route_text"]


class OperatorValues:
    """Decodes the operators' values and applies them.

    :param take_text: called with the text of each new configuration.
    :param changed: called after each change of the drained data centres.
    :param age: returns the time since the published values were confirmed, in seconds.
    """

    def __init__(
        self,
        take_text: Callable[[bytes], None],
        servers: ServerTable,
        cold: ColdServers,
        changed: Callable[[], None],
        age: Callable[[], float],
    ) -> None:
        self._take_text = take_text
        self._servers = servers
        self._cold = cold
        self._changed = changed
        self._age = age
        self._text: bytes | None = None
        # The keys of the drained data centres; None before the first answer.
        self._drained_keys: frozenset[str] | None = None
        self._lock = threading.Lock()

    def take(self, values: dict[str, bytes]) -> None:
        """Apply all published values, given by key."""
        with self._lock:
            # Drained data centres come first, since decoding a configuration can take
            # long.
            drained = (key for key in values if key.startswith(DRAINED_PREFIX))
            self._apply_drained(frozenset(drained))
            text = values.get(CONFIGURATION_KEY)
            if text is not None and text != self._text:
                self._text = text
                self._take_text(text)

    def _apply_drained(self, keys: frozenset[str]) -> None:
        if keys == self._drained_keys:
            return
        first = self._drained_keys is None
        self._drained_keys = keys
        read = {key: read_drained_centre(key) for key in sorted(keys)}
        centres = frozenset(name for name in read.values() if isinstance(name, str))
        before = self._servers.drained
        listed = self._servers.all
        # The servers are marked as cold before they can be chosen again.
        restored = before - centres
        self._cold.assume_cold(s for s in listed if s.data_centre in restored)
        self._servers.set_drained(centres)
        if first and not keys:
            return
        listed_centres = {server.data_centre for server in listed}
        emit(
            Event.DATA_CENTRES_DRAINED,
            drained=sorted(centres),
            added=sorted(centres - before),
            restored=sorted(restored),
            without_servers=sorted(centres - listed_centres),
            malformed=[k for k, v in read.items() if isinstance(v, PublishedMalformed)],
            list_age_ms=int(self._age() * 1000),
        )
        self._changed()


def offer_route_text(
    routes: RoutesInForce, text: bytes, source: str, position: Position | None
) -> bool:
    """Offer a published configuration; return False if it can't be decoded.

    :param position: the position of the store's answer; None for a text that another
        entry relayed.
    """
    document = read_route_document(text)
    if isinstance(document, PublishedMalformed):
        emit(Event.CONFIGURATION_INVALID, source=source, faults=[document.describe()])
        return False
    offer = routes.offer(document, text)
    event = OFFER_EVENTS.get(offer)
    if event is not None:
        emit(
            event,
            source=source,
            version=document.version,
            offer=offer.name,
            era=position.era if position else NO_ERA,
            revision=position.revision if position else 0,
        )
    return True
