"""``boragestream call``: makes one request and prints its answer."""

from typing import Any

from boragestream.operator.client import CallReply, Client, EntryUnreachable
from boragestream.operator.exits import ExitCode
from boragestream.operator.output import print_failure, print_json, to_json
from boragestream.operator.tickets import call_once

__all__ = ["call_pipeline"]

LONGEST_MS = 60_000
OUTCOME_CODES = {
    "answered": ExitCode.OK,
    "refused": ExitCode.REFUSED,
    "failed": ExitCode.FAILED,
    "unknown": ExitCode.UNKNOWN,
}


def call_pipeline(
    client: Client,
    pipeline: str,
    body: Any,
    deadline_ms: int | None,
    stream: bool,
    once: bool,
    as_json: bool,
) -> ExitCode:
    """Make one request; tokens are printed as they come unless JSON is asked for.

    :param once: make it under a ticket, so that it runs at most once.
    """
    if once:
        limit = LONGEST_MS if deadline_ms is None else deadline_ms
        return _conclude(call_once(client, pipeline, body, limit), False, as_json)
    show_tokens = stream and not as_json
    reply = client.call(
        pipeline,
        body,
        deadline_ms,
        stream,
        on_token=_print_token if show_tokens else None,
    )
    if show_tokens:
        print()
    return _conclude(reply, show_tokens, as_json)


def _conclude(
    reply: CallReply | EntryUnreachable, shown: bool, as_json: bool
) -> ExitCode:
    if isinstance(reply, EntryUnreachable):
        print_failure(reply, as_json)
        return ExitCode.UNREACHABLE
    _print_reply(reply, shown, as_json)
    return OUTCOME_CODES[reply.outcome]


def _print_token(text: str) -> None:
    print(text, end="", flush=True)


def _print_reply(reply: CallReply, shown: bool, as_json: bool) -> None:
    if as_json:
        print_json(reply)
    elif reply.outcome != "answered":
        print(f"{reply.outcome}: {to_json(reply.problem)}")
    elif not shown:
        print_json(reply.result)
