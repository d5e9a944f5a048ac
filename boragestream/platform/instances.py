"""The instance list: which instances are live or leaving, and where they are.

The list lags and can contradict itself, so that it is only one of the sources of
``policy.membership``.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Annotated, Literal

import msgspec

from boragestream.base.shapes import Fault, build

__all__ = ["ENTRY_SERVICE", "Instance", "ParsedInstances", "parse_instances"]

ENTRY_SERVICE = "boragestream-entry"
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
# 0 for none.
PeerPort = Annotated[int, msgspec.Meta(ge=0, le=65535)]
# An IP address or the name of a host; it becomes part of request heads.
Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9A-Za-z.:\[\]_-]{1,255}\Z")]


@dataclass(frozen=True, slots=True)
class Instance:
    """One instance as the platform lists it.

    :ivar service: the service it belongs to, ``boragestream-entry`` for entries.
    :ivar incarnation: changes when an instance is replaced at the same address.
    :ivar peer_port: where an entry hears other entries; 0 for backend servers.
    """

    name: str
    service: str
    address: Address
    port: Port
    data_centre: str
    state: Literal["live", "leaving"] = "live"
    incarnation: str = ""
    peer_port: PeerPort = 0
    region: str = ""

    @property
    def host(self) -> str:
        """``address:port``, as http.client takes it."""
        return f"{self.address}:{self.port}"


@dataclass(frozen=True, slots=True)
class InstanceList:
    """The value that the platform publishes.

    :ivar instances: the instances that can be read.
    """

    instances: tuple[Instance, ...]


@dataclass(frozen=True, slots=True)
class _UnreadList:
    """The published value before its instances are decoded."""

    instances: tuple[msgspec.Raw, ...]


@dataclass(frozen=True, slots=True)
class ParsedInstances:
    """The readable part of an instance list.

    :ivar instances: in the order of the list; a name that stands twice keeps the last.
    :ivar malformed: the faults of the instances that are left out.
    """

    instances: tuple[Instance, ...]
    malformed: tuple[Fault, ...] = ()


def parse_instances(value: bytes) -> tuple[ParsedInstances | None, list[Fault]]:
    """Decode the instance list and leave out the instances that are malformed.

    :param value: JSON, an object with the one field ``instances``.
    :returns: the instances and no faults, or None and every fault found if the list
        itself can't be read.
    """
    try:
        listed = msgspec.json.decode(value, type=InstanceList)
        return ParsedInstances(_latest(listed.instances)), []
    except (msgspec.DecodeError, RecursionError):
        return _parse_each(value)


def _parse_each(value: bytes) -> tuple[ParsedInstances | None, list[Fault]]:
    """Decode the instances one by one, after the list as a whole was refused."""
    try:
        unread = msgspec.json.decode(value, type=_UnreadList)
    except (msgspec.DecodeError, RecursionError):
        return None, _explain(value)
    instances, malformed = [], []
    for number, raw in enumerate(unread.instances):
        try:
            instances.append(msgspec.json.decode(raw, type=Instance))
        except (msgspec.DecodeError, RecursionError) as error:
            malformed.append(Fault(f"instances[{number}]", str(error)))
    return ParsedInstances(_latest(instances), tuple(malformed)), []


def _latest(instances: Iterable[Instance]) -> tuple[Instance, ...]:
    return tuple({instance.name: instance for instance in instances}.values())


def _explain(value: bytes) -> list[Fault]:
    try:
        data = msgspec.json.decode(value)
    except (msgspec.DecodeError, RecursionError) as error:
        return [Fault("", f"not JSON: {error}")]
    return build(data, InstanceList)[1]
