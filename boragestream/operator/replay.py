"""``boragestream replay``: sends a recorded trace and compares it with its statement.

Each request is sent at its recorded time; how late it was sent is part of its result,
because a replay that can't keep up proves nothing about latency.
"""

import time
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from boragestream.operator.client import CallReply, Client, EntryUnreachable
from boragestream.operator.exits import ExitCode
from boragestream.operator.keys import KeyUnusable
from boragestream.operator.output import print_failure, print_json
from boragestream.operator.report import Report, make_report, markdown
from boragestream.operator.results import LOST, RequestResult, write_results
from boragestream.operator.tickets import call_once
from boragestream.operator.trace import TraceLine, read_trace

__all__ = ["ReplayOptions", "replay_file", "replay_trace"]

LONGEST_MS = 60_000


@dataclass(frozen=True, slots=True)
class ReplayOptions:
    """How to replay.

    :ivar speed: 2 replays twice as fast as recorded.
    :ivar callers: how many requests can be in hand at once.
    :ivar results: where the results go as JSON lines; None for nowhere.
    """

    speed: float = 1.0
    callers: int = 128
    results: Path | None = None


def replay_file(
    path: Path,
    keys: Mapping[str, str],
    addresses: tuple[str, ...],
    options: ReplayOptions,
    as_json: bool,
) -> ExitCode:
    """Replay a trace, print its report and return whether all was as stated."""
    lines, faults = read_trace(path)
    for fault in faults:
        print_failure(fault, as_json)
    if faults:
        return ExitCode.FAULTS
    missing = {line.account for line in lines} - set(keys)
    for account in sorted(missing):
        print_failure(KeyUnusable(account, "no key for this client account"), as_json)
    if missing:
        return ExitCode.USAGE
    clients = {name: Client(key, addresses) for name, key in keys.items()}
    results = replay_trace(lines, clients, options)
    if options.results is not None:
        write_results(options.results, results)
    report = make_report(results)
    print_json(report) if as_json else print(markdown(report), end="")
    return _verdict(report)


def replay_trace(
    lines: list[TraceLine], clients: Mapping[str, Client], options: ReplayOptions
) -> list[RequestResult]:
    """Send every request of a trace at its time.

    :param lines: in the order of their arrival.
    :param clients: by client account.
    :returns: the results in the order of the trace.
    """
    began = time.monotonic()
    with ThreadPoolExecutor(options.callers) as pool:
        futures = []
        for line in lines:
            due = began + line.at_ms / 1000 / options.speed
            time.sleep(max(0.0, due - time.monotonic()))
            futures.append(pool.submit(_send, line, clients[line.account], due))
        return [future.result() for future in futures]


def _send(line: TraceLine, client: Client, due: float) -> RequestResult:
    client.addresses()
    sent_at = time.monotonic()
    reply = _call(line, client)
    seconds = time.monotonic() - sent_at
    return _result(line, reply, seconds * 1000, (sent_at - due) * 1000)


def _call(line: TraceLine, client: Client) -> CallReply | EntryUnreachable:
    if line.once:
        limit = line.deadline_ms or LONGEST_MS
        return call_once(client, line.pipeline, line.input, limit)
    return client.call(line.pipeline, line.input, line.deadline_ms, line.stream)


def _result(
    line: TraceLine,
    reply: CallReply | EntryUnreachable,
    milliseconds: float,
    late_ms: float,
) -> RequestResult:
    lost = isinstance(reply, EntryUnreachable)
    outcome = LOST if lost else reply.outcome
    first = None if lost else reply.first_seconds
    limit = line.deadline_ms if line.within_ms is None else line.within_ms
    in_limit = limit is None or milliseconds <= limit
    in_time = line.deadline_ms is None or milliseconds <= line.deadline_ms
    return RequestResult(
        account=line.account,
        pipeline=line.pipeline,
        request_id="" if lost else reply.request_id,
        outcome=outcome,
        milliseconds=round(milliseconds, 2),
        failure=reply.code if lost else _failure_code(reply),
        first_ms=None if first is None else round(first * 1000, 2),
        in_time=outcome == "answered" and in_time,
        as_stated=outcome in line.expect and in_limit if line.expect else None,
        late_ms=round(late_ms, 2),
    )


def _failure_code(reply: CallReply) -> str:
    return str(reply.problem.get("type", "")).rpartition(":")[2]


def _verdict(report: Report) -> ExitCode:
    missed = report.whole.missed or report.whole.lost
    return ExitCode.FAULTS if missed else ExitCode.OK
