"""The platform's HTTP headers, translated into the project's records and back.

Nothing is decided here: what may be sent, retried or passed on is told by the records
that this module fills and reads.
"""

import math
import re
from collections.abc import Iterable, Mapping
from dataclasses import replace
from http import HTTPStatus

from boragestream.base.answer_reader import AnswerReader
from boragestream.document.calls import (
    AnswerHead,
    CallHead,
    ForwardedRequest,
    PromptPart,
    RequestMalformed,
    RunClaim,
)
from boragestream.policy.brittle_services import parse_brittle
from boragestream.policy.limit_records import parse_limit
from boragestream.policy.server_backoffs import parse_backoff

__all__ = [
    "encode_call",
    "encode_delegated_call",
    "read_answer_head",
    "read_entry_answer_head",
    "read_request",
    "refusal_headers",
    "request_id_of",
    "runs_headers",
]

REQUEST_ID = "Request-Id"
# Milliseconds that are left, not a point in time.
LEFT_MS = "Deadline-Ms"
RESUME_AFTER = "Last-Event-Id"
# The request whose answer brought the first event of the stream.
RESUMED_REQUEST = "Resumes"
PROMPT_PARTS = "Prompt-Prefix"
# Tokens of the prompt, and the most tokens of the answer.
TOKENS = "Token-Counts"
PIECE_COUNTS = "Pieces"
PIECE_KEY = "Piece-Key"
KEY = "Authorization"
KEY_SCHEME = "bearer "
ACCOUNT = "Tenant"
SERVER_ID = "Expect-Instance"
PRIORITY = "Request-Priority"
INPUTS = "Inputs"
PROOF_OF_ORIGIN = "Server-Seal"
DID_NOT_RUN = "Not-Run"
# Calls running, calls waiting, places.
LOAD = "Server-Load"
LEAVING = "Server-Leaving"
# Requests a second, from all entries together.
LIMIT = "Server-Limit"
# Rejections a second, over all entries, above which the server crashes.
BRITTLE = "Server-Brittle"
RETRY_AFTER = "Retry-After"
IDLE_TIMEOUT = "timeout="
# Longer numbers are no counts. ``str.isdigit`` accepts digits that ``int`` refuses.
COUNT = re.compile(r"[0-9]{1,9}", re.ASCII)
# ``int`` accepts signs and underscores. No server counts beyond 18 digits.
EVENT_NUMBER = re.compile(r"[0-9]{1,18}", re.ASCII)
OTHER_SERVER_STATUS = 421
# Sent from one entry to another; not a header of the platform.
DELEGATION = "Boragestream-Delegation"
# The reverse: the attempts of the answering entry that may have run.
RUNS = "Boragestream-Runs"
# Statuses by which an entry promises that a request did not run and never will.
PROMISES = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)
# Headers that each entry sets for its own connection to the caller.
ENTRY_HEADERS = frozenset({"server", "date", "via"})

CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# What the system alone says to a backend server, whatever a caller sent.
SYSTEM_HEADERS = frozenset(
    name.lower()
    for name in (
        KEY,
        ACCOUNT,
        SERVER_ID,
        PRIORITY,
        INPUTS,
        LEFT_MS,
        RESUME_AFTER,
        DELEGATION,
        "Expect-Version",
        "Hold",
        "Pin-Ms",
        "Kv-Backup",
        "Kv-Fetch",
        "Kv-From",
    )
)
# What a backend server or another entry says to the system alone.
SERVER_HEADERS = frozenset(
    name.lower() for name in (DID_NOT_RUN, LOAD, LEAVING, LIMIT, BRITTLE, RUNS)
)
# More than fit into a head of the default size.
MAX_PROMPT_PARTS = 4096
MAX_PIECES = 4096


def read_request(
    method: str, target: str, headers: Iterable[tuple[str, str]], body: bytes
) -> ForwardedRequest | RequestMalformed:
    """Decode a caller's request.

    :param target: path and query as they were sent.
    :param headers: name and value of each header.
    :returns: the request, or what it lacks.
    """
    pairs = tuple(headers)
    known = {name.lower(): value for name, value in pairs}
    request_id = known.get(REQUEST_ID.lower(), "")
    host_header = known.get("host", "").strip()
    host = host_header.lower()
    if not request_id:
        return RequestMalformed("request id")
    if not host:
        return RequestMalformed("host")
    try:
        left_ms = known.get(LEFT_MS.lower())
        resume = known.get(RESUME_AFTER.lower())
        return ForwardedRequest(
            request_id=request_id,
            method=method,
            target=target,
            host=host.rsplit(":", 1)[0] if ":" in host else host,
            host_header=host_header,
            path=target.partition("?")[0],
            body=body,
            key=_key(known.get(KEY.lower(), "")),
            wait_seconds=None if left_ms is None else _finite(left_ms) / 1000,
            last_event=None if resume is None else _event_number(resume),
            resumes=known.get(RESUMED_REQUEST.lower(), "").strip(),
            prompt=_prompt(known.get(PROMPT_PARTS.lower(), "")),
            output_tokens=_output_tokens(known.get(TOKENS.lower(), "")),
            pieces=_counts(known.get(PIECE_COUNTS.lower(), "")),
            piece_key=known.get(PIECE_KEY.lower(), ""),
            headers=_passed_on(pairs, known.get("connection", "")),
            delegation=known.get(DELEGATION.lower(), ""),
        )
    except ValueError:
        return RequestMalformed("number")


def encode_call(request: ForwardedRequest, call: CallHead, host: str) -> bytes:
    """Return a call's head as bytes: request line, headers and the empty line.

    :param host: the ``Host`` header, the caller's own.
    """
    lines = [f"{request.method} {request.target} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in request.headers]
    lines.append(f"{LEFT_MS}: {max(1, int(call.left_seconds * 1000))}")
    lines.append(f"{SERVER_ID}: {call.server_id}")
    if call.account:
        lines.append(f"{ACCOUNT}: {call.account}")
    if call.priority is not None:
        lines.append(f"{PRIORITY}: {call.priority}")
    if call.last_event is not None:
        lines.append(f"{RESUME_AFTER}: {call.last_event}")
    if call.inputs:
        lines.append(f"{INPUTS}: {','.join(call.inputs)}")
    return _end_of_head(request, lines)


def encode_delegated_call(
    request: ForwardedRequest,
    left_seconds: float,
    last_event: int | None,
    delegation: str,
) -> bytes:
    """Return the head of a caller's request as one entry sends it to another.

    :param left_seconds: how long the caller still waits.
    :param last_event: the number of the last event that the caller has; None for none.
    :param delegation: the proof that an entry sends it.
    """
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    lines.append(f"Host: {request.host_header}")
    lines += [f"{name}: {value}" for name, value in request.headers]
    lines.append(f"{LEFT_MS}: {max(1, int(left_seconds * 1000))}")
    if request.key:
        lines.append(f"{KEY}: Bearer {request.key}")
    if last_event is not None:
        lines.append(f"{RESUME_AFTER}: {last_event}")
        if not request.resumes:
            lines.append(f"{RESUMED_REQUEST}: {request.request_id}")
    lines.append(f"{DELEGATION}: {delegation}")
    lines.append("Connection: close")
    return _end_of_head(request, lines)


def _end_of_head(request: ForwardedRequest, lines: list[str]) -> bytes:
    if request.body or request.method not in ("GET", "HEAD", "DELETE"):
        lines.append(f"Content-Length: {len(request.body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def read_entry_answer_head(response: AnswerReader) -> AnswerHead:
    """Decode the head of another entry's answer to a delegated request.

    An answer without a server's proof of origin is the entry's own.
    """
    head = read_answer_head(response)
    headers = tuple((n, v) for n, v in head.headers if n.lower() not in ENTRY_HEADERS)
    refused = not head.sealed and response.status in PROMISES
    claim = RunClaim.NOT_RUN if refused else RunClaim.RAN
    runs = response.headers.get(RUNS, "")
    return replace(
        head,
        claim=claim,
        runs=max(1, int(runs)) if COUNT.fullmatch(runs) else 1,
        headers=headers,
        backoff_seconds=parse_backoff(response.headers.get(RETRY_AFTER)),
    )


def read_answer_head(response: AnswerReader) -> AnswerHead:
    """Decode the head of a backend server's answer."""
    headers = response.headers
    not_run = headers.get(DID_NOT_RUN) is not None
    if response.status == OTHER_SERVER_STATUS:
        claim = RunClaim.OTHER_SERVER
    else:
        claim = RunClaim.NOT_RUN if not_run else RunClaim.RAN
    named = _listed(headers.get("Connection", ""))
    hidden = CONNECTION_HEADERS | SERVER_HEADERS | named
    return AnswerHead(
        status=response.status,
        reason=response.reason,
        request_id=headers.get(REQUEST_ID, ""),
        sealed=headers.get(PROOF_OF_ORIGIN) is not None,
        encoded=headers.get("Content-Encoding", "identity").lower() != "identity",
        claim=claim,
        closing="close" in named or response.will_close,
        backoff_seconds=_backoff(response),
        leaving=headers.get(LEAVING, "0").strip() != "0",
        request_limit=parse_limit(headers.get_all(LIMIT, [])),
        idle_seconds=_idle_seconds(headers.get("Keep-Alive", "")),
        load=_load(headers.get(LOAD, "")),
        headers=tuple((n, v) for n, v in headers.items() if n.lower() not in hidden),
        brittle=parse_brittle(headers.get_all(BRITTLE, [])),
    )


def request_id_of(headers: Mapping[str, str]) -> str:
    """Return a request's id, given its headers by upper-case name; empty for none."""
    return headers.get(REQUEST_ID.upper().replace("-", "_"), "")


def refusal_headers(
    request_id: str, retry_after: float | None
) -> list[tuple[str, str]]:
    """Return the headers of an answer of the system's own.

    :param retry_after: seconds after which to come back; None where it can't help.
    """
    headers = [(REQUEST_ID, request_id)] if request_id else []
    if retry_after is not None:
        headers.append((RETRY_AFTER, f"{retry_after:.3f}"))
    return headers


def runs_headers(runs: int) -> list[tuple[str, str]]:
    """Return the headers that state to another entry what was done for its request.

    :param runs: the attempts of this entry that may have run.
    """
    return [(RUNS, str(runs))]


def _finite(value: str) -> float:
    number = float(value)
    if not math.isfinite(number):
        raise ValueError("not finite")
    return number


def _event_number(value: str) -> int:
    if not EVENT_NUMBER.fullmatch(value.strip()):
        raise ValueError("not an event number")
    return int(value)


def _key(value: str) -> str:
    return value[len(KEY_SCHEME) :].strip() if value[:7].lower() == KEY_SCHEME else ""


def _listed(value: str) -> frozenset[str]:
    return frozenset(name.strip().lower() for name in value.split(",") if name.strip())


def _passed_on(
    pairs: tuple[tuple[str, str], ...], connection: str
) -> tuple[tuple[str, str], ...]:
    dropped = CONNECTION_HEADERS | SYSTEM_HEADERS | _listed(connection)
    return tuple((n, v) for n, v in pairs if n.lower() not in dropped)


def _prompt(value: str) -> tuple[PromptPart, ...]:
    parts = [p for p in value.split(",") if p][:MAX_PROMPT_PARTS]
    split = (part.strip().rpartition(":") for part in parts)
    return tuple(PromptPart(identity, int(tokens)) for identity, _, tokens in split)


def _output_tokens(value: str) -> int:
    return int(value.partition(",")[2] or 0)


def _counts(value: str) -> tuple[int, ...]:
    counts = tuple(int(count) for count in value.split(",") if count.strip())
    if sum(counts) > MAX_PIECES or any(count < 0 for count in counts):
        raise ValueError("pieces")
    return counts


def _backoff(response: AnswerReader) -> float | None:
    if response.status != HTTPStatus.SERVICE_UNAVAILABLE:
        return None
    return parse_backoff(response.headers.get(RETRY_AFTER))


def _idle_seconds(value: str) -> float | None:
    for part in value.split(","):
        if part.strip().lower().startswith(IDLE_TIMEOUT):
            digits = part.strip()[len(IDLE_TIMEOUT) :]
            return float(digits) if COUNT.fullmatch(digits) else None
    return None


def _load(value: str) -> tuple[int, int, int] | None:
    parts = [part.strip() for part in value.split(",")]
    if len(parts) != 3 or not all(COUNT.fullmatch(part) for part in parts):
        return None
    return int(parts[0]), int(parts[1]), int(parts[2])
