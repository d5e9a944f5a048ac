"""Encodes outcomes as JSON answers and problem documents (RFC 9457)."""

import math
from collections.abc import Callable, Iterable, Mapping
from http import HTTPStatus
from typing import Any

import msgspec

from boragestream.base.failures import AccountLimitReached, DeadlinePassed
from boragestream.base.identifiers import new_request_id
from boragestream.base.outcomes import Answered, Failed, Failure, Outcome, Refused
from boragestream.caller.failures import (
    BodyTooLong,
    DeadlineAbsurd,
    EncodingUnsupported,
    HeaderTooLong,
    MalformedBody,
    MalformedHeader,
    MalformedRequest,
    MethodNotAllowed,
    PathUnknown,
    PipelineNotAllowed,
    PipelineUnknown,
    WrongKey,
)
from boragestream.policy.tickets import (
    TicketExpired,
    TicketForeign,
    TicketForged,
    TicketMalformed,
    TicketNotUsed,
    TicketReused,
)

__all__ = [
    "JsonRefusals",
    "StartResponse",
    "json_reply",
    "outcome_reply",
    "problem",
]

StartResponse = Callable[..., Any]
PROBLEM_TYPE = "application/problem+json"

REFUSED_STATUS: dict[type[Failure], HTTPStatus] = {
    WrongKey: HTTPStatus.UNAUTHORIZED,
    PathUnknown: HTTPStatus.NOT_FOUND,
    MethodNotAllowed: HTTPStatus.METHOD_NOT_ALLOWED,
    PipelineUnknown: HTTPStatus.NOT_FOUND,
    PipelineNotAllowed: HTTPStatus.FORBIDDEN,
    DeadlineAbsurd: HTTPStatus.BAD_REQUEST,
    DeadlinePassed: HTTPStatus.GATEWAY_TIMEOUT,
    EncodingUnsupported: HTTPStatus.NOT_IMPLEMENTED,
    HeaderTooLong: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    MalformedBody: HTTPStatus.BAD_REQUEST,
    MalformedHeader: HTTPStatus.BAD_REQUEST,
    MalformedRequest: HTTPStatus.BAD_REQUEST,
    BodyTooLong: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    AccountLimitReached: HTTPStatus.TOO_MANY_REQUESTS,
    TicketMalformed: HTTPStatus.BAD_REQUEST,
    TicketForged: HTTPStatus.BAD_REQUEST,
    TicketForeign: HTTPStatus.FORBIDDEN,
    TicketExpired: HTTPStatus.CONFLICT,
    TicketNotUsed: HTTPStatus.CONFLICT,
    TicketReused: HTTPStatus.UNPROCESSABLE_ENTITY,
}


class Problem(msgspec.Struct, omit_defaults=True):
    """A problem document.

    :ivar type: ``urn:boragestream:OUTCOME:FAILURE``.
    :ivar retry_after_ms: delay before a retry; absent if a retry can't succeed.
    :ivar ask: the path that returns the request's state.
    """

    type: str
    title: str
    status: int
    outcome: str
    request_id: str
    failure: Failure
    retry_after_ms: int | None = None
    ask: str | None = None


def problem(outcome: Outcome, request_id: str) -> Problem:
    """Return the problem document of an outcome other than answered."""
    failure = outcome.failure
    name = type(outcome).__name__.lower()
    report = Problem(
        type=f"urn:boragestream:{name}:{failure.code}",
        title=(type(failure).__doc__ or failure.code).splitlines()[0],
        status=int(_status(outcome)),
        outcome=name,
        request_id=request_id,
        failure=failure,
    )
    retry_after = getattr(outcome, "retry_after", None)
    if retry_after is not None:
        report.retry_after_ms = math.ceil(retry_after * 1000)
    report.ask = getattr(outcome, "ask", None)
    return report


def _status(outcome: Outcome) -> HTTPStatus:
    if isinstance(outcome, Refused):
        status = REFUSED_STATUS.get(type(outcome.failure))
        return status or HTTPStatus.SERVICE_UNAVAILABLE
    if isinstance(outcome, Failed) and not isinstance(outcome.failure, DeadlinePassed):
        return HTTPStatus.BAD_GATEWAY
    return HTTPStatus.GATEWAY_TIMEOUT


def json_reply(
    start_response: StartResponse,
    body: object,
    status: HTTPStatus = HTTPStatus.OK,
    headers: Iterable[tuple[str, str]] = (),
    content_type: str = "application/json",
) -> list[bytes]:
    """Reply with JSON."""
    content = msgspec.json.encode(body, enc_hook=str)
    sent = [
        ("Content-Type", content_type),
        ("Content-Length", str(len(content))),
        *headers,
    ]
    start_response(f"{status.value} {status.phrase}", sent)
    return [content]


def outcome_reply(
    start_response: StartResponse, outcome: Outcome, request_id: str
) -> list[bytes]:
    """Reply with an outcome."""
    headers = [("X-Request-Id", request_id)]
    if isinstance(outcome, Answered):
        body = {"request_id": request_id, "outcome": "answered", "result": outcome.body}
        return json_reply(start_response, body, headers=headers)
    report = problem(outcome, request_id)
    headers += _return_headers(report)
    status = HTTPStatus(report.status)
    return json_reply(start_response, report, status, headers, PROBLEM_TYPE)


class JsonRefusals:
    """Refuses requests with problem documents before they are read."""

    def request_id(self, headers: Mapping[str, str]) -> str:
        """Return a new id: callers of pipelines name none."""
        return new_request_id()

    def refusal(
        self, request_id: str, failure: Failure, retry_after: float
    ) -> tuple[list[tuple[str, str]], bytes]:
        """Return the headers and body of a refusal.

        :param retry_after: the seconds after which to return.
        """
        report = problem(Refused(failure, retry_after), request_id)
        headers = [
            ("Content-Type", PROBLEM_TYPE),
            ("X-Request-Id", request_id),
            *_return_headers(report),
        ]
        return headers, msgspec.json.encode(report, enc_hook=str)


def _return_headers(report: Problem) -> list[tuple[str, str]]:
    if report.retry_after_ms is None:
        return []
    return [("Retry-After", str(math.ceil(report.retry_after_ms / 1000)))]
