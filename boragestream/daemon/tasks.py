"""The tasks that read the platform: one for each of its services.

Each is a loop written straight down, run by one thread until the entry stops.
"""

import random
import threading
from collections.abc import Callable

from boragestream.base.events import Event, emit
from boragestream.document import parse_document
from boragestream.platform.instances import ENTRY_SERVICE, Instance, parse_instances
from boragestream.platform.reader import PlatformUnreachable, read_platform
from boragestream.policy.configuration import ConfigurationInForce, Offer
from boragestream.policy.load import LoadTable
from boragestream.policy.servers import Server, ServerState, ServerTable

__all__ = ["take_document", "take_instances", "to_server", "watch_platform"]

RETRY_SECONDS = 0.5

OFFER_EVENTS = {
    Offer.TAKEN: Event.CONFIGURATION_IN_FORCE,
    Offer.OLDER: Event.CONFIGURATION_OLDER,
    Offer.CONFLICT: Event.CONFIGURATION_CONFLICT,
    Offer.FOREIGN: Event.CONFIGURATION_INVALID,
}


def watch_platform(
    address: str,
    path: str,
    wait_seconds: float,
    take: Callable[[bytes], None],
    unreachable: Event,
    stopping: threading.Event,
    rng: random.Random,
) -> None:
    """Watch one value of the platform until the entry stops.

    :param address: ``address:port`` of the service.
    :param path: the value's path.
    :param take: takes each value that is new.
    :param unreachable: the event to log where the service gives no answer.
    """
    index = 0
    while not stopping.is_set():
        reading = read_platform(address, path, index, wait_seconds)
        if isinstance(reading, PlatformUnreachable):
            emit(unreachable, failure=reading.describe())
            stopping.wait(RETRY_SECONDS * (0.5 + rng.random()))
            continue
        if reading.index != index:
            index = reading.index
            take(reading.value)


def take_document(
    value: bytes, configuration: ConfigurationInForce, source: str
) -> Offer | None:
    """Check a published document and offer it; None where it is invalid."""
    document, faults = parse_document(value)
    if document is None:
        described = [fault.describe() for fault in faults]
        emit(Event.CONFIGURATION_INVALID, source=source, faults=described)
        return None
    offer = configuration.offer(document)
    event = OFFER_EVENTS.get(offer)
    if event is not None:
        emit(event, source=source, version=document.version, offer=offer.name)
    return offer


def take_instances(
    value: bytes,
    servers: ServerTable,
    loads: LoadTable,
    take_entries: Callable[[tuple[Instance, ...]], None],
) -> None:
    """Check a published instance list and take it."""
    instances, faults = parse_instances(value)
    if instances is None:
        described = [fault.describe() for fault in faults]
        emit(Event.INSTANCES_INVALID, faults=described)
        return
    servers.take_list(to_server(i) for i in instances if i.service != ENTRY_SERVICE)
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
