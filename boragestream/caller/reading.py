"""Parses and validates a caller's request before anything is run."""

import hashlib
from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Any

import msgspec

from boragestream.base.failures import DeadlinePassed, MemoryExhausted
from boragestream.base.memory_budget import MemoryCharge
from boragestream.base.nesting import (
    MAX_DEPTH,
    TooDeep,
    decode_bounded,
    decoded_bytes,
)
from boragestream.base.outcomes import Failure
from boragestream.caller.failures import (
    BodyTooLong,
    DeadlineAbsurd,
    MalformedBody,
    PipelineNotAllowed,
    PipelineUnknown,
    WrongKey,
)
from boragestream.document import ClientAccount, Pipeline
from boragestream.policy.configuration import DocumentInForce

__all__ = [
    "CallerRequest",
    "check_operator",
    "find_account",
    "find_pipeline",
    "named_account",
    "read_request",
]

BEARER = "Bearer "
EVENT_STREAM = "text/event-stream"
MAX_DEADLINE_DIGITS = 9


class RequestBody(msgspec.Struct, forbid_unknown_fields=True):
    """The JSON body of a request."""

    input: Any


BODY = msgspec.json.Decoder(RequestBody)


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A validated request of a caller.

    :ivar deadline_ms: milliseconds left when the request arrived.
    :ivar stream: whether the caller wants the answer as server-sent events.
    :ivar held: the charge for what the request makes the entry hold.
    """

    account: ClientAccount
    pipeline: Pipeline
    body: Any
    deadline_ms: int
    stream: bool
    held: MemoryCharge


def find_account(
    environ: dict[str, Any], in_force: DocumentInForce
) -> ClientAccount | WrongKey:
    """Return the client account whose key the request carries."""
    return in_force.accounts_by_digest.get(_key_digest(environ), WrongKey())


def named_account(name: str, in_force: DocumentInForce) -> ClientAccount | WrongKey:
    """Return the client account with a name."""
    accounts = in_force.document.client_accounts
    return next((a for a in accounts if a.name == name), WrongKey())


def check_operator(
    environ: dict[str, Any], key_digests: Collection[str]
) -> WrongKey | None:
    """Return None if the request carries an operator's key."""
    return None if _key_digest(environ) in key_digests else WrongKey()


def find_pipeline(
    account: ClientAccount, name: str, in_force: DocumentInForce
) -> Pipeline | PipelineUnknown | PipelineNotAllowed:
    """Return a pipeline that the client account may call."""
    pipeline = in_force.pipelines.get(name)
    if pipeline is None:
        return PipelineUnknown()
    if pipeline.client_accounts and account.name not in pipeline.client_accounts:
        return PipelineNotAllowed(name)
    return pipeline


def read_request(
    environ: dict[str, Any],
    pipeline_name: str,
    in_force: DocumentInForce,
    max_body_bytes: int,
    held: MemoryCharge,
    account_name: str = "",
) -> CallerRequest | Failure:
    """Parse and validate a request for a pipeline.

    :param held: is charged for the decoded body before it is decoded.
    :param account_name: the client account that another entry has authenticated; empty
        if the request carries a key.
    """
    if account_name:
        account = named_account(account_name, in_force)
    else:
        account = find_account(environ, in_force)
    if isinstance(account, Failure):
        return account
    pipeline = find_pipeline(account, pipeline_name, in_force)
    if isinstance(pipeline, Failure):
        return pipeline
    deadline_ms = _read_deadline(environ, pipeline)
    if isinstance(deadline_ms, Failure):
        return deadline_ms
    body = _read_body(environ, max_body_bytes, held)
    if isinstance(body, Failure):
        return body
    return CallerRequest(
        account=account,
        pipeline=pipeline,
        body=body,
        deadline_ms=deadline_ms,
        stream=EVENT_STREAM in environ.get("HTTP_ACCEPT", ""),
        held=held,
    )


def _key_digest(environ: dict[str, Any]) -> str:
    """Return the digest of the bearer key; empty if there is none.

    Keys are compared by their digests, so that the time of a comparison reveals nothing
    about a key.
    """
    given = environ.get("HTTP_AUTHORIZATION", "")
    if not given.startswith(BEARER):
        return ""
    key = given.removeprefix(BEARER).strip()
    # WSGI decodes headers as latin-1, whatever their bytes are.
    return hashlib.sha256(key.encode("latin-1", "replace")).hexdigest()


def _read_deadline(environ: dict[str, Any], pipeline: Pipeline) -> int | Failure:
    given = environ.get("HTTP_X_DEADLINE_MS")
    if given is None:
        return pipeline.deadline_ms
    unsigned = given.removeprefix("-")
    usable = unsigned.isascii() and unsigned.isdigit()
    if not usable or len(unsigned) > MAX_DEADLINE_DIGITS:
        return DeadlineAbsurd()
    if int(given) <= 0:
        return DeadlinePassed("arrival")
    return min(int(given), pipeline.deadline_ms)


def _read_body(
    environ: dict[str, Any], limit: int, held: MemoryCharge
) -> Any | Failure:
    stream: Callable[[int], bytes] = environ["wsgi.input"].read
    text = stream(limit + 1)
    if len(text) > limit:
        return BodyTooLong(limit)
    size = decoded_bytes(text)
    if not held.reserve(size):
        return MemoryExhausted(size, held.budget.limit)
    try:
        return decode_bounded(text, BODY).input
    except TooDeep:
        return MalformedBody(f"nested deeper than {MAX_DEPTH} levels")
    except msgspec.ValidationError:
        return MalformedBody("not an object with the one field 'input'")
    except msgspec.DecodeError:
        return MalformedBody("not JSON")
