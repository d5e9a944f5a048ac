"""The settings of one entry, read from a TOML file.

They hold what differs between instances: addresses, data centre, paths. What is the
same for the whole deployment stands in the published document instead.
"""

import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import msgspec

from boragestream.base.machine import LEAST_MEMORY_MB
from boragestream.base.shapes import Fault, build

__all__ = ["Settings", "read_settings"]

Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
PeerKey = Annotated[str, msgspec.Meta(pattern="^[!-~]{16,64}$")]
Seconds = Annotated[float, msgspec.Meta(gt=0)]
Digest = Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]
Count = Annotated[int, msgspec.Meta(ge=1)]


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Who this entry is."""

    name: Name
    data_centre: Name
    deployment: Name


@dataclass(frozen=True, slots=True)
class CallerSettings:
    """Where callers reach this entry.

    :ivar threads: how many requests can be in hand at once, refusals included.
    :ivar max_body_bytes: a larger request body is refused.
    :ivar read_seconds: a request that has not arrived whole by then, and a
        connection that was idle for as long, is closed.
    """

    address: str
    port: Port
    threads: Count = 192
    max_body_bytes: Count = 1_048_576
    read_seconds: Count = 30


@dataclass(frozen=True, slots=True)
class PeerTlsSettings:
    """The files of TLS between entries, in PEM.

    :ivar certificate: this entry's certificate, issued for the deployment's name.
    :ivar private_key: its private key.
    :ivar authority: the certificate of the deployment's own authority.
    """

    certificate: str
    private_key: str
    authority: str


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """Where other entries reach this entry.

    :ivar key: the deployment's peer key, the same on every entry.
    :ivar also_accepted: other keys whose messages are taken, during a change of keys.
    :ivar tls: links are in clear, though authenticated, where it is missing.
    """

    address: str
    port: Port
    key: PeerKey = field(repr=False)
    also_accepted: tuple[PeerKey, ...] = field(default=(), repr=False)
    tls: PeerTlsSettings | None = None


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Where the platform's services are, each as ``address:port``.

    :ivar watch_seconds: how long one watch may wait for a change. A watch that waits
        may have been lost, and what it would have told is not known here until this
        time and the answer's margin have passed. Two seconds keep a server that leaves
        from new work within three; of 370 entries that all watch the instance list
        they are 185 calls a second, a tenth of what the platform serves.
    """

    configuration: str
    instances: str
    watch_seconds: Seconds = 2.0


@dataclass(frozen=True, slots=True)
class StopSettings:
    """How a graceful shutdown goes.

    :ivar linger_seconds: how long new requests are still served at the least; it is
        longer where an answer that names the entry may be kept for longer.
    :ivar limit_seconds: how long, after that, to wait for the work in hand; then the
        process exits with code 4 and an event that counts what it cut.
    """

    linger_seconds: Seconds = 5.0
    limit_seconds: Seconds = 60.0


@dataclass(frozen=True, slots=True)
class MetricsSettings:
    """Where statsd listens; no metrics are sent where the address is empty."""

    statsd_address: str = ""
    statsd_port: Port = 8125


@dataclass(frozen=True, slots=True)
class ResourceSettings:
    """What the process may use.

    :ivar memory_mb: the memory above which the process is ended; absent for that of
        the machine, see ``daemon.memory``.
    """

    memory_mb: Annotated[int, msgspec.Meta(ge=LEAST_MEMORY_MB)] | None = None


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """Who may read the status page.

    :ivar key_digests: SHA-256 of each operator key in hexadecimal, two during a
        change of keys; nobody may where there is none.
    """

    key_digests: tuple[Digest, ...] = ()


@dataclass(frozen=True, slots=True)
class Settings:
    """The whole settings file."""

    entry: EntrySettings
    caller: CallerSettings
    peer: PeerSettings
    platform: PlatformSettings
    stop: StopSettings = field(default_factory=StopSettings)
    metrics: MetricsSettings = field(default_factory=MetricsSettings)
    operator: OperatorSettings = field(default_factory=OperatorSettings)
    resources: ResourceSettings = field(default_factory=ResourceSettings)


def read_settings(path: Path) -> tuple[Settings | None, list[Fault]]:
    """Read and check a settings file.

    :param path: the TOML file.
    :returns: the settings and no faults, or None and every fault found.
    """
    try:
        data = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        return None, [Fault(str(path), str(error))]
    except ValueError as error:
        return None, [Fault(str(path), str(error))]
    return build(data, Settings)
