"""The records of an entry's status page.

The page is for operators. It names client accounts, backend servers and peers but never
a key or the content of a request. The daemon collects its values.
"""

from dataclasses import dataclass

from boragestream.base.observations import AccountReport, StageReport
from boragestream.policy.costs import StageCost

__all__ = ["PeerReport", "ServerReport", "StatusPage"]


@dataclass(frozen=True, slots=True)
class ServerReport:
    """The state of a backend server as an entry sees it.

    :ivar state: ``live``, ``suspect``, ``leaving`` or ``gone``.
    :ivar in_progress: open calls of this entry to the server.
    :ivar smoothed_ms: the smoothed time of a call in milliseconds.
    :ivar limit: requests per second that it accepts from all entries together; None
        if unlimited.
    """

    name: str
    service: str
    host: str
    data_centre: str
    state: str
    in_progress: int
    smoothed_ms: float
    limit: float | None = None


@dataclass(frozen=True, slots=True)
class PeerReport:
    """The state of another entry as this entry sees it."""

    name: str
    host: str
    data_centre: str
    state: str


@dataclass(frozen=True, slots=True)
class StatusPage:
    """The status page.

    :ivar version: version of the document in force, 0 for none.
    :ivar digest: digest of the document in force, empty for none.
    :ivar leaving: whether the entry is stopping.
    :ivar log_lines_dropped: number of log lines for which there was no room.
    :ivar log_lines_lost: number of log lines that could not be written.
    :ivar in_hand: number of admitted requests that have not ended.
    :ivar queued: number of admitted requests that have not begun.
    :ivar windows: maximum and current number of requests in progress, by service.
    :ivar accounts: reports by client account.
    :ivar stages: reports by ``PIPELINE.STAGE``.
    :ivar costs: costs by client account, then by ``PIPELINE.STAGE``.
    """

    entry: str
    data_centre: str
    incarnation: str
    deployment: str
    version: int
    digest: str
    leaving: bool
    log_lines_dropped: int
    log_lines_lost: int
    in_hand: int
    queued: int
    windows: dict[str, tuple[int, int]]
    servers: tuple[ServerReport, ...]
    entries: tuple[PeerReport, ...]
    accounts: dict[str, AccountReport]
    stages: dict[str, StageReport]
    costs: dict[str, dict[str, StageCost]]
