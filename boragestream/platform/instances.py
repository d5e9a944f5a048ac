"""The instance list: which instances are live or leaving, and where they are.

The list lags and can contradict itself, so that it is only one of the sources of
``policy.membership``.
"""

from dataclasses import dataclass
from typing import Annotated, Literal

import msgspec

from boragestream.base.shapes import Fault, build

__all__ = ["ENTRY_SERVICE", "Instance", "parse_instances"]

ENTRY_SERVICE = "boragestream-entry"
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]


@dataclass(frozen=True, slots=True)
class Instance:
    """One instance as the platform lists it.

    :ivar service: the service it belongs to, ``boragestream-entry`` for entries.
    :ivar incarnation: changes when an instance is replaced at the same address.
    :ivar peer_port: where an entry hears other entries; 0 for backend servers.
    """

    name: str
    service: str
    address: str
    port: Port
    data_centre: str
    state: Literal["live", "leaving"] = "live"
    incarnation: str = ""
    peer_port: int = 0
    region: str = ""

    @property
    def host(self) -> str:
        """``address:port``, as http.client takes it."""
        return f"{self.address}:{self.port}"


@dataclass(frozen=True, slots=True)
class InstanceList:
    """The value that the platform publishes."""

    instances: tuple[Instance, ...]


def parse_instances(value: bytes) -> tuple[tuple[Instance, ...] | None, list[Fault]]:
    """Decode and check the instance list; a name that stands twice keeps the last.

    :param value: JSON, an object with the one field ``instances``.
    :returns: the instances and no faults, or None and every fault found.
    """
    try:
        listed = msgspec.json.decode(value, type=InstanceList)
    except (msgspec.DecodeError, RecursionError):
        return None, _explain(value)
    return tuple({i.name: i for i in listed.instances}.values()), []


def _explain(value: bytes) -> list[Fault]:
    try:
        data = msgspec.json.decode(value)
    except (msgspec.DecodeError, RecursionError) as error:
        return [Fault("", f"not JSON: {error}")]
    return build(data, InstanceList)[1]
