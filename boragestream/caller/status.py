"""The status page of an entry, as its records.

Its reader is an operator; the page names client accounts, backend servers and peers
but never a key or the content of a request. Collecting it is left to the daemon.
"""

from dataclasses import dataclass

from boragestream.base.observations import AccountReport, StageReport
from boragestream.policy.costs import StageCost

__all__ = ["PeerReport", "ServerReport", "StatusPage"]


@dataclass(frozen=True, slots=True)
class ServerReport:
    """What an entry believes of a backend server.

    :ivar state: ``live``, ``suspect``, ``leaving`` or ``gone``.
    :ivar in_progress: calls that this entry has open there.
    :ivar smoothed_ms: the smoothed time of a call in milliseconds.
    :ivar limit: requests a second that it takes from all entries together; None for
        any number.
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
    """What an entry believes of another entry."""

    name: str
    host: str
    data_centre: str
    state: str


@dataclass(frozen=True, slots=True)
class StatusPage:
    """The whole page.

    :ivar version: of the document in force, 0 for none.
    :ivar digest: of the document in force, empty for none.
    :ivar leaving: whether the entry is stopping.
    :ivar in_hand: admitted requests that have not ended.
    :ivar queued: requests in hand that have not begun.
    :ivar windows: by service, the most requests under way and how many there are.
    :ivar accounts: by client account.
    :ivar stages: by ``PIPELINE.STAGE``.
    :ivar costs: by client account, then by ``PIPELINE.STAGE``.
    """

    entry: str
    data_centre: str
    incarnation: str
    deployment: str
    version: int
    digest: str
    leaving: bool
    in_hand: int
    queued: int
    windows: dict[str, tuple[int, int]]
    servers: tuple[ServerReport, ...]
    entries: tuple[PeerReport, ...]
    accounts: dict[str, AccountReport]
    stages: dict[str, StageReport]
    costs: dict[str, dict[str, StageCost]]
