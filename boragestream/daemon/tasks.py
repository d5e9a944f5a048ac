"""Reads values from the services of the platform and applies them.

Each service is watched by one loop, which one thread runs until the entry stops.
"""

import random
import threading
from collections.abc import Callable
from typing import Protocol

from boragestream.base.events import Event, emit
from boragestream.document import parse_document
from boragestream.document.digest import canonical_text, text_digest
from boragestream.platform.instances import ENTRY_SERVICE, Instance, parse_instances
from boragestream.platform.reader import PlatformUnreachable, Reading, read_platform
from boragestream.policy.configuration import ConfigurationInForce, Offer
from boragestream.policy.leaving import LeavingServer
from boragestream.policy.load import LoadTable
from boragestream.policy.peers import ListedEntry
from boragestream.policy.server_limits import ServerLimits
from boragestream.policy.servers import Server, ServerState, ServerTable

__all__ = [
    "WatchSchedule",
    "apply_instances",
    "apply_published",
    "apply_document",
    "to_leaving_server",
    "to_listed_entry",
    "to_server",
    "watch_platform",
]

RETRY_SECONDS = 0.5
ROLE_CHECK_SECONDS = 0.5
# A faulty writer can damage many instances of a list.
LOGGED_FAULTS = 5

OFFER_EVENTS = {
    Offer.TAKEN: Event.CONFIGURATION_IN_FORCE,
    Offer.OLDER: Event.CONFIGURATION_OLDER,
    Offer.CONFLICT: Event.CONFIGURATION_CONFLICT,
    Offer.FOREIGN: Event.CONFIGURATION_INVALID,
}


class WatchSchedule(Protocol):
    """Decides whether this entry watches a value or reads it at intervals."""

    def watches(self) -> bool:
        """Return whether this entry watches the value now."""

    def read_gap_seconds(self) -> float:
        """Return the seconds between two reads while this entry does not watch."""


class AlwaysWatch:
    """Has the value watched all the time."""

    def watches(self) -> bool:
        """Return whether this entry watches the value now."""
        return True

    def read_gap_seconds(self) -> float:
        """Return the seconds between two reads while this entry does not watch."""
        return RETRY_SECONDS


ALWAYS_WATCH = AlwaysWatch()


def watch_platform(
    address: str,
    path: str,
    wait_seconds: float,
    take: Callable[[bytes], None],
    unreachable: Event,
    stopping: threading.Event,
    rng: random.Random,
    schedule: WatchSchedule = ALWAYS_WATCH,
    on_unreachable: Callable[[], None] = lambda: None,
) -> None:
    """Watch or read one value of the platform until the entry stops.

    :param address: ``address:port`` of the service.
    :param path: the value's path.
    :param take: called with each new value.
    :param unreachable: the event to log if the service gives no answer.
    :param schedule: decides when to watch the value and when to read it at intervals.
    :param on_unreachable: called each time the service gives no answer.
    """
    latest = Reading(0, b"")
    digest = ""
    while not stopping.is_set():
        wait = wait_seconds if schedule.watches() else 0.0
        reading = read_platform(address, path, latest.index, wait, latest.era)
        if isinstance(reading, PlatformUnreachable):
            emit(unreachable, failure=reading.describe())
            on_unreachable()
            # The service may be restored from a copy without a sign of it, and the
            # last index may then belong to another value.
            latest = Reading(0, b"")
            stopping.wait(RETRY_SECONDS * (0.5 + rng.random()))
        elif (reading.era, reading.index) != (latest.era, latest.index):
            latest = Reading(reading.index, b"", reading.era)
            previous, digest = digest, text_digest(reading.value)
            if digest != previous:
                take(reading.value)
        _wait_until_due(schedule, stopping)


def _wait_until_due(schedule: WatchSchedule, stopping: threading.Event) -> None:
    remaining = 0.0 if schedule.watches() else schedule.read_gap_seconds()
    while (
        remaining > 0
        and not schedule.watches()
        and not stopping.wait(ROLE_CHECK_SECONDS)
    ):
        remaining -= ROLE_CHECK_SECONDS


def apply_document(
    value: bytes, configuration: ConfigurationInForce, source: str
) -> Offer | None:
    """Check a published document and offer it; return None if it is invalid."""
    document, faults = parse_document(value)
    if document is None:
        fault_texts = [fault.describe() for fault in faults]
        emit(Event.CONFIGURATION_INVALID, source=source, faults=fault_texts)
        return None
    offer = configuration.offer(document, canonical_text(value))
    event = OFFER_EVENTS.get(offer)
    if event is not None:
        emit(event, source=source, version=document.version, offer=offer.name)
    return offer


def apply_published(
    value: bytes,
    configuration: ConfigurationInForce,
    before_first: Callable[[], None],
) -> None:
    """Apply a document from the configuration service.

    :param before_first: called before the first document is applied.
    """
    if configuration.current is None:
        before_first()
    apply_document(value, configuration, source="platform")


def apply_instances(
    value: bytes,
    servers: ServerTable,
    loads: LoadTable,
    limits: ServerLimits,
    take_entries: Callable[[tuple[Instance, ...]], None],
    take_servers: Callable[[tuple[LeavingServer, ...]], None],
) -> None:
    """Check a published instance list and apply it."""
    parsed, faults = parse_instances(value)
    if parsed is None:
        fault_texts = [fault.describe() for fault in faults]
        emit(Event.INSTANCES_INVALID, faults=fault_texts)
        return
    if parsed.malformed:
        emit(
            Event.INSTANCES_INVALID,
            faults=[f.describe() for f in parsed.malformed[:LOGGED_FAULTS]],
            malformed=len(parsed.malformed),
        )
    instances = parsed.instances
    backends = [i for i in instances if i.service != ENTRY_SERVICE]
    take_servers(tuple(to_leaving_server(to_server(i)) for i in backends))
    listed = tuple(to_server(instance) for instance in backends)
    limits.take_list(listed)
    servers.take_list(listed)
    loads.take_list(servers.all)
    take_entries(tuple(i for i in instances if i.service == ENTRY_SERVICE))
    emit(Event.INSTANCES_CHANGED, instances=len(instances))


def to_server(instance: Instance) -> Server:
    """Return a listed instance as the policy's server record."""
    return Server(
        name=instance.name,
        service=instance.service,
        host=instance.host,
        data_centre=instance.data_centre,
        incarnation=instance.incarnation,
        state=ServerState(instance.state),
        region=instance.region,
    )


def to_leaving_server(server: Server) -> LeavingServer:
    """Return the notice that entries send one another when a server leaves."""
    return LeavingServer(server.name, server.host, server.incarnation)


def to_listed_entry(instance: Instance) -> ListedEntry:
    """Return a listed entry as the policy's entry record."""
    return ListedEntry(
        name=instance.name,
        host=instance.host,
        peer_address=f"{instance.address}:{instance.peer_port}",
        data_centre=instance.data_centre,
        leaving=instance.state == "leaving",
    )
