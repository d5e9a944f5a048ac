"""The tasks that read the platform: one for each of its services.

Each is a loop written straight down, run by one thread until the entry stops.
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
    "Duty",
    "take_document",
    "take_instances",
    "take_published",
    "to_leaving",
    "to_listed",
    "to_server",
    "watch_platform",
]

RETRY_SECONDS = 0.5
ROLE_CHECK_SECONDS = 0.5

OFFER_EVENTS = {
    Offer.TAKEN: Event.CONFIGURATION_IN_FORCE,
    Offer.OLDER: Event.CONFIGURATION_OLDER,
    Offer.CONFLICT: Event.CONFIGURATION_CONFLICT,
    Offer.FOREIGN: Event.CONFIGURATION_INVALID,
}


class Duty(Protocol):
    """Says when this entry watches a value and when it only reads it now and then."""

    def watches(self) -> bool:
        """Return whether to watch now."""

    def read_gap_seconds(self) -> float:
        """Return how long to wait between two reads while not watching."""


class Always:
    """Has a value watched without a break."""

    def watches(self) -> bool:
        """Return whether to watch now."""
        return True

    def read_gap_seconds(self) -> float:
        """Return how long to wait between two reads while not watching."""
        return RETRY_SECONDS


ALWAYS = Always()


def watch_platform(
    address: str,
    path: str,
    wait_seconds: float,
    take: Callable[[bytes], None],
    unreachable: Event,
    stopping: threading.Event,
    rng: random.Random,
    duty: Duty = ALWAYS,
) -> None:
    """Watch one value of the platform until the entry stops.

    :param address: ``address:port`` of the service.
    :param path: the value's path.
    :param take: takes each value that is new.
    :param unreachable: the event to log where the service gives no answer.
    :param duty: when to watch and when to read now and then.
    """
    known = Reading(0, b"")
    digest = ""
    while not stopping.is_set():
        wait = wait_seconds if duty.watches() else 0.0
        reading = read_platform(address, path, known.index, wait, known.era)
        if isinstance(reading, PlatformUnreachable):
            emit(unreachable, failure=reading.describe())
            # It may come back from a copy without saying so, in which the index that
            # is known stands for another value.
            known = Reading(0, b"")
            stopping.wait(RETRY_SECONDS * (0.5 + rng.random()))
        elif (reading.era, reading.index) != (known.era, known.index):
            known = Reading(reading.index, b"", reading.era)
            before, digest = digest, text_digest(reading.value)
            if digest != before:
                take(reading.value)
        _wait_for_duty(duty, stopping)


def _wait_for_duty(duty: Duty, stopping: threading.Event) -> None:
    left = 0.0 if duty.watches() else duty.read_gap_seconds()
    while left > 0 and not duty.watches() and not stopping.wait(ROLE_CHECK_SECONDS):
        left -= ROLE_CHECK_SECONDS


def take_document(
    value: bytes, configuration: ConfigurationInForce, source: str
) -> Offer | None:
    """Check a published document and offer it; None where it is invalid."""
    document, faults = parse_document(value)
    if document is None:
        described = [fault.describe() for fault in faults]
        emit(Event.CONFIGURATION_INVALID, source=source, faults=described)
        return None
    offer = configuration.offer(document, canonical_text(value))
    event = OFFER_EVENTS.get(offer)
    if event is not None:
        emit(event, source=source, version=document.version, offer=offer.name)
    return offer


def take_published(
    value: bytes,
    configuration: ConfigurationInForce,
    before_first: Callable[[], None],
) -> None:
    """Take what the configuration service published.

    :param before_first: called before the first document is taken.
    """
    if configuration.current is None:
        before_first()
    take_document(value, configuration, source="platform")


def take_instances(
    value: bytes,
    servers: ServerTable,
    loads: LoadTable,
    limits: ServerLimits,
    take_entries: Callable[[tuple[Instance, ...]], None],
    take_servers: Callable[[tuple[LeavingServer, ...]], None],
) -> None:
    """Check a published instance list and take it."""
    instances, faults = parse_instances(value)
    if instances is None:
        described = [fault.describe() for fault in faults]
        emit(Event.INSTANCES_INVALID, faults=described)
        return
    backends = [i for i in instances if i.service != ENTRY_SERVICE]
    take_servers(tuple(to_leaving(to_server(i)) for i in backends))
    listed = tuple(to_server(instance) for instance in backends)
    limits.take_list(listed)
    servers.take_list(listed)
    loads.take_list(servers.all)
    take_entries(tuple(i for i in instances if i.service == ENTRY_SERVICE))
    emit(Event.INSTANCES_CHANGED, instances=len(instances))


def to_server(instance: Instance) -> Server:
    """Return a listed instance as the decisions know it."""
    return Server(
        name=instance.name,
        service=instance.service,
        host=instance.host,
        data_centre=instance.data_centre,
        incarnation=instance.incarnation,
        state=ServerState(instance.state),
        region=instance.region,
    )


def to_leaving(server: Server) -> LeavingServer:
    """Return a server as the entries name it to one another when it leaves."""
    return LeavingServer(server.name, server.host, server.incarnation)


def to_listed(instance: Instance) -> ListedEntry:
    """Return a listed entry as the decisions know it."""
    return ListedEntry(
        name=instance.name,
        host=instance.host,
        peer_address=f"{instance.address}:{instance.peer_port}",
        data_centre=instance.data_centre,
        leaving=instance.state == "leaving",
    )
