"""What a forwarded request and its answer carry, in the project's own words.

The names that stand on the wire are known to the adapter of the platform alone. What
the adapter does not know it hands on unchanged in ``headers``.
"""

from dataclasses import dataclass, field
from enum import Enum

from boragestream.base.outcomes import Failure

__all__ = [
    "AnswerHead",
    "CallHead",
    "ForwardedRequest",
    "LimitMalformed",
    "HeaderList",
    "Piece",
    "PieceFault",
    "PieceResult",
    "PromptPart",
    "RequestMalformed",
    "RunClaim",
    "StageReport",
    "StageResult",
]

HeaderList = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share.

    :ivar identity: names its content.
    :ivar tokens: its length.
    """

    identity: str
    tokens: int


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A caller's HTTP request, decoded once.

    :ivar request_id: the caller's own, new with each of its attempts.
    :ivar target: path and query as the caller sent them.
    :ivar host: in lower case, without a port.
    :ivar host_header: as the caller sent it.
    :ivar path: the target without the query.
    :ivar key: the caller's key; empty where there is none.
    :ivar wait_seconds: how long the caller waits, None where it does not say.
    :ivar last_event: the number of the last event that the caller has; None for none.
    :ivar resumes: the request whose answer brought the first event of the stream that
        the caller takes up again; empty if it does not say.
    :ivar prompt: the parts of its prompt in their order.
    :ivar output_tokens: the most tokens that it lets a model make.
    :ivar pieces: how many pieces of each stage it needs.
    :ivar piece_key: names the input of its first stages.
    :ivar headers: what is passed on unchanged.
    :ivar delegation: the proof that another entry sent the request, not yet verified;
        empty where there is none.
    """

    request_id: str
    method: str
    target: str
    host: str
    host_header: str
    path: str
    body: bytes
    key: str = field(repr=False)
    wait_seconds: float | None
    last_event: int | None
    prompt: tuple[PromptPart, ...]
    output_tokens: int
    pieces: tuple[int, ...]
    piece_key: str
    headers: HeaderList
    delegation: str = field(default="", repr=False)
    resumes: str = ""

    @property
    def takes_up_stream(self) -> bool:
        """Whether its caller goes on with a stream that began in another attempt."""
        return self.last_event is not None or bool(self.resumes)


@dataclass(frozen=True, slots=True)
class RequestMalformed(Failure):
    """A request lacks what every request must carry, or carries it wrongly.

    :ivar part: which part of it.
    """

    part: str


@dataclass(frozen=True, slots=True)
class CallHead:
    """What the system says of a call to a backend server.

    :ivar server_id: the incarnation that shall run it; any other one refuses.
    :ivar left_seconds: how long the server may work on it.
    :ivar account: the client account's name; empty where there is none.
    :ivar priority: 0 to 9, 0 is the most urgent; None to leave it to the server.
    :ivar last_event: where a resumed stream goes on; None at its beginning.
    :ivar inputs: the handles of stage results that it reads.
    """

    server_id: str
    left_seconds: float
    account: str = ""
    priority: int | None = None
    last_event: int | None = None
    inputs: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class LimitMalformed(Failure):
    """A server's limit can't be read, so that what was known of it still holds."""


class RunClaim(Enum):
    """What an answer says about whether its request ran."""

    RAN = "the server ran it, or does not say that it did not"
    NOT_RUN = "the server says that it did not run it"
    OTHER_SERVER = "another server has the address now; it did not run it"


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """The head of a backend server's answer, decoded once.

    :ivar request_id: the request that it answers; empty where it does not say.
    :ivar sealed: whether it carries the server's proof of origin.
    :ivar encoded: whether its body is encoded, which no caller asked for.
    :ivar closing: whether the server closes the connection after it.
    :ivar leaving: whether the server says that it is leaving.
    :ivar request_limit: the requests a second that the server takes from all entries
        together; None where it names no limit.
    :ivar brittle: whether the server states that rejected calls make it crash.
    :ivar backoff_seconds: after how long a server that turned the call away wants to be
        called again; None where it does not say.
    :ivar idle_seconds: how long the server keeps the connection; None if not said.
    :ivar load: calls running and waiting and the places of the server, where it says.
    :ivar headers: what the caller is given.
    :ivar runs: the servers that may have run the request so far, where another entry
        answers.
    """

    status: int
    reason: str
    request_id: str
    sealed: bool
    encoded: bool
    claim: RunClaim
    closing: bool
    leaving: bool
    request_limit: float | LimitMalformed | None
    backoff_seconds: float | None
    idle_seconds: float | None
    load: tuple[int, int, int] | None
    headers: HeaderList
    brittle: bool = False
    runs: int = 1


@dataclass(frozen=True, slots=True)
class Piece:
    """One piece of a stage that a request needs.

    :ivar stage: the stage's number in the route.
    :ivar number: counted from 0 within the stage.
    :ivar key: the request's piece key, for a stage that needs no other's results.
    :ivar inputs: the handles of all results that it needs.
    """

    request_id: str
    stage: int
    number: int
    key: str
    inputs: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class StageReport:
    """What a stage server says of itself; some hundred milliseconds old.

    :ivar queued: calls that wait there.
    :ivar working: whether it works on a call.
    """

    queued: int
    working: bool


class PieceFault(Enum):
    """Why a server made no result of a piece."""

    LATE = "its time was over at its turn"
    INPUT_GONE = "a result that it needs is gone"
    NO_ROOM = "there is no room for the result"
    ERROR = "the server failed"
    NO_SERVER = "no server is left that could make it"
    NOT_SENT = "its order was dropped before any of its pieces was sent"


@dataclass(frozen=True, slots=True)
class PieceResult:
    """What became of a piece.

    :ivar handle: names the result; empty where there is none.
    :ivar data_centre: where it lies; empty where that is not known.
    """

    handle: str
    fault: PieceFault | None = None
    data_centre: str = ""


@dataclass(frozen=True, slots=True)
class StageResult:
    """A result that later calls read.

    :ivar handle: names it.
    :ivar data_centre: where it lies; empty where that is not known.
    :ivar size: its approximate size in bytes.
    """

    handle: str
    data_centre: str
    size: float
