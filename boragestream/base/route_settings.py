"""The settings of an entry that forwards calls by published routes, from a TOML file.

They hold what differs between instances and what the platform fixes for all of them.
What operators change while the system runs stands in the published routes instead.
Fields that are not known are left alone, so that a newer platform can name more.
"""

import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import msgspec

from boragestream.base.machine import LEAST_MEMORY_MB
from boragestream.base.outcomes import Failure

__all__ = [
    "AccountSettings",
    "ColdSettings",
    "LateSettings",
    "PlatformSettings",
    "ResourceSettings",
    "RouteSettings",
    "SettingsInvalid",
    "read_route_settings",
]

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
Seconds = Annotated[float, msgspec.Meta(gt=0)]
Milliseconds = Annotated[float, msgspec.Meta(gt=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]
Share = Annotated[float, msgspec.Meta(ge=0)]

# The owner of a queue at 83 entries sends and receives some megabits a second, bursts
# of them at once; a link of this speed carries them without a queue.
FAST_MBPS = 50.0


@dataclass(frozen=True, slots=True)
class EntryPlace:
    """Who this entry is."""

    name: Name
    data_centre: Name


@dataclass(frozen=True, slots=True)
class EntryAddresses:
    """What this entry listens on, each as ``address:port``.

    :ivar callers: forwarded calls.
    :ivar ready: whether the entry is ready.
    :ivar directory: where callers should connect.
    :ivar entries: the other entries.
    :ivar entries_advertised: where the other entries reach this one, where that is
        not the address that it listens on; empty for the same.
    :ivar metrics: metrics as text; empty for nowhere.
    :ivar metrics_path: under which path.
    """

    callers: Address
    ready: Address
    directory: Address
    entries: Address
    entries_advertised: str = ""
    metrics: str = ""
    metrics_path: str = "/metrics"

    @property
    def peer_name(self) -> str:
        """The address under which the other entries know this one."""
        return self.entries_advertised or self.entries


@dataclass(frozen=True, slots=True)
class PeerSeeds:
    """How entries find one another.

    :ivar seeds: addresses of some entries, which may be out of date.
    :ivar key: authenticates what entries send one another.
    """

    seeds: tuple[Address, ...]
    key: Annotated[str, msgspec.Meta(min_length=16, max_length=64)] = field(repr=False)


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """The platform's store.

    :ivar address: ``address:port``.
    :ivar watch_seconds: how long one watch may wait, the platform's own limit less the
        time for its answer. Each call is counted; a service that is cut off without a
        word is noticed by probes, long before.
    :ivar configuration_ms: within how many milliseconds a published configuration must
        be in force.
    :ivar leaving_ms: within how many milliseconds a server that is leaving gets no new
        work.
    :ivar draining_ms: within how many milliseconds the servers of a drained data centre
        get no new work; absent where data centres are never drained, which are then
        not followed.
    """

    address: Address
    watch_seconds: Seconds = 28.0
    configuration_ms: Milliseconds = 2000
    leaving_ms: Milliseconds = 2000
    draining_ms: Milliseconds | None = None

    @property
    def bound_seconds(self) -> float:
        """The seconds within which every change must be known."""
        bounds = (self.configuration_ms, self.leaving_ms, self.draining_ms)
        return min(bound for bound in bounds if bound is not None) / 1000


@dataclass(frozen=True, slots=True)
class ColdSettings:
    """The bound on requests to a cold server, from all entries together.

    In any second it is the service's published rate times ``factor``, plus ``slack``.

    :ivar slack: requests.
    """

    factor: Share
    slack: Share


@dataclass(frozen=True, slots=True)
class RetrySettings:
    """The bound on repeats, over all entries; see ``policy.retry_window``."""

    share: Share
    window_seconds: Seconds
    slack: Share


@dataclass(frozen=True, slots=True)
class RouteStopSettings:
    """How a graceful shutdown goes.

    :ivar grace_seconds: after this long the platform kills the process.
    """

    grace_seconds: Seconds


@dataclass(frozen=True, slots=True)
class ResourceSettings:
    """What the process may use.

    :ivar descriptors: open files and sockets.
    :ivar cpu_share: the share of a core.
    :ivar cpu_speed: how many times as fast as a usual core it is.
    :ivar link_mbps: the instance's own link, in megabits a second.
    :ivar threads: how many requests can be in hand at once, refusals included. More
        than a quarter of a gigabyte's worth of stacks would not fit an instance.
    :ivar memory_mb: the memory above which the platform ends the process; absent for
        that of the machine, see ``daemon.memory``.
    """

    descriptors: Count = 1024
    cpu_share: Seconds = 1.0
    cpu_speed: Seconds = 1.0
    link_mbps: Seconds = 1000.0
    threads: Count = 184
    memory_mb: Annotated[int, msgspec.Meta(ge=LEAST_MEMORY_MB)] | None = None

    @property
    def capacity(self) -> float:
        """What the entry can do for others: cores, less where its link is slow."""
        return self.cpu_share * self.cpu_speed * min(1.0, self.link_mbps / FAST_MBPS)


@dataclass(frozen=True, slots=True)
class AccountSettings:
    """How client accounts share what is scarce.

    :ivar fair_shares: whether an account that exceeds its usual demand is refused its
        surplus first; absent for what the platform's contracts say.
    """

    fair_shares: bool | None = None


@dataclass(frozen=True, slots=True)
class LateSettings:
    """How requests that can't be answered within their objective are treated.

    :ivar until_deadline: whether a caller's last attempt is served from spare capacity
        up to its deadline.
    :ivar planned_returns: whether the Retry-After of refused stages is the time when
        capacity is expected, and not only the present wait; absent to decide it by the
        other settings, see ``daemon.late_parts``.
    """

    until_deadline: bool = False
    planned_returns: bool | None = None


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """What the platform says of itself.

    :ivar contracts: the names of the parts of its rules that are in force;
        ``platform.contracts`` translates them.
    """

    contracts: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class RouteSettings:
    """The whole settings file.

    :ivar cold: absent where servers tolerate any number of requests.
    :ivar regions: by data centre the region that it is part of; data centres that are
        missing here are in no region.
    """

    entry: EntryPlace
    listen: EntryAddresses
    peers: PeerSeeds
    store: StoreSettings
    retries: RetrySettings
    stop: RouteStopSettings
    resources: ResourceSettings = field(default_factory=ResourceSettings)
    cold: ColdSettings | None = None
    regions: dict[str, str] = field(default_factory=dict)
    accounts: AccountSettings = field(default_factory=AccountSettings)
    late: LateSettings = field(default_factory=LateSettings)
    platform: PlatformSettings = field(default_factory=PlatformSettings)


@dataclass(frozen=True, slots=True)
class SettingsInvalid(Failure):
    """The settings file can't be used.

    :ivar reason: the first fault, with its place.
    """

    place: str
    reason: str


def read_route_settings(path: Path) -> RouteSettings | SettingsInvalid:
    """Read and check a settings file.

    :param path: the TOML file.
    """
    try:
        data = tomllib.loads(path.read_text(encoding="utf-8"))
        settings = msgspec.convert(data, RouteSettings)
    except (OSError, ValueError, msgspec.ValidationError) as error:
        return SettingsInvalid(str(path), str(error))
    data_centre = settings.entry.data_centre
    if settings.regions and data_centre not in settings.regions:
        reason = f"data centre {data_centre!r} is in none of the regions"
        return SettingsInvalid(str(path), reason)
    return settings
