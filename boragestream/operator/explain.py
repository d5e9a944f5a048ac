"""``boragestream explain``: one request's story from the log lines of the entries.

Lines of one entry keep their order, since its calendar time may jump; entries are told
apart by the name in their start line or by the file. Beside the request's own lines
stand the beliefs that were in force on its entry: the version, the server list, servers
kept out, owners that were silent. Crashes of servers under the same request are told
from all entries, also under its earlier ids. Damaged lines are counted and skipped.
"""

import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from boragestream.base.failures import MemoryExhausted
from boragestream.base.shapes import Fault
from boragestream.operator.exits import ExitCode
from boragestream.operator.output import print_failure, print_json

__all__ = ["Story", "explain_files", "read_story"]

# Changes of what an entry believes that can decide about a request.
BELIEFS = (
    "configuration_in_force",
    "instances_changed",
    "data_centres_drained",
    "instances_unreachable",
    "configuration_unreachable",
    "store_regained",
    "server_ejected",
    "server_backed_off",
    "server_said_leaving",
    "server_limit_changed",
    "owner_silent",
    "entry_suspected",
    "batch_failed",
    "entry_leaving",
    "settings_reloaded",
)
# The last of each is in force until the next.
IN_FORCE = ("configuration_in_force", "instances_changed", "data_centres_drained")
# The last for each server is in force until the next.
IN_FORCE_BY_SERVER = ("server_limit_changed",)
# What is told of all returns of a request, by its fingerprint.
OF_ALL_RETURNS = ("server_crashed", "part_crashed", "crashes_heard")
# What is shown of other requests that brought parts of a stream.
OF_ALL_TRIES = (
    "server_chosen",
    "stream_resumed",
    "stream_not_resumed",
    "request_ended",
)
# How long before a request's first line a change still counts as close to it.
CLOSE_SECONDS = 3.0
KEPT_BELIEFS = 50


@dataclass(frozen=True, slots=True)
class Line:
    """One line of a log.

    :ivar at: the entry's calendar time in seconds.
    """

    source: str
    at: float
    name: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Story:
    """What logs tell of one request.

    :ivar lines: its own lines, entry by entry.
    :ivar beliefs: the changes shortly before and during it, on the same entries.
    :ivar tries: the lines of other requests that brought parts of the same stream.
    :ivar crashes: of servers that ran it, under whatever id, on all entries.
    :ivar cause: the failure that decided its end; empty where it was answered.
    :ivar damaged: lines that could not be read.
    """

    request: str
    lines: tuple[Line, ...]
    beliefs: tuple[Line, ...]
    tries: tuple[Line, ...]
    crashes: tuple[Line, ...]
    cause: str
    damaged: int


def explain_files(request: str, names: Iterable[str], as_json: bool) -> ExitCode:
    """Read logs, ``-`` for standard input, and print one request's story."""
    texts: list[tuple[str, str]] = []
    for name in names:
        try:
            text = sys.stdin.read() if name == "-" else Path(name).read_text("utf-8")
        except (OSError, UnicodeDecodeError) as error:
            print_failure(Fault(name, str(error)), as_json)
            return ExitCode.USAGE
        texts.append((Path(name).stem if name != "-" else "stdin", text))
    story = read_story(request, texts)
    if as_json:
        print_json(story)
    else:
        print(_text(story), end="")
    return ExitCode.OK if story.lines else ExitCode.FAULTS


def read_story(request: str, texts: Iterable[tuple[str, str]]) -> Story:
    """Return the story of a request.

    :param texts: the name of each log, and its text.
    """
    own: list[Line] = []
    near: list[Line] = []
    returns: list[Line] = []
    tries: list[Line] = []
    damaged = 0
    for source, text in texts:
        lines: list[Line] = []
        for line in _lines(source, text):
            if line is None:
                damaged += 1
            else:
                lines.append(line)
        returns += [line for line in lines if line.name in OF_ALL_RETURNS]
        tries += [line for line in lines if line.name in OF_ALL_TRIES]
        mine = [line for line in lines if line.fields.get("request") == request]
        if mine:
            own += mine
            near += _beliefs(lines, mine)
    crashes = _of_same_request(returns, own)
    same_stream = _of_same_stream(request, tries)
    return Story(
        request, tuple(own), tuple(near), same_stream, crashes, _cause(own), damaged
    )


def _of_same_stream(request: str, tries: list[Line]) -> tuple[Line, ...]:
    """Return the lines of other requests that began the stream or took it up."""
    began = {request}
    for line in tries:
        if line.fields.get("request") == request and line.fields.get("resumes"):
            began.add(line.fields["resumes"])
    names = began | {
        line.fields["request"] for line in tries if line.fields.get("resumes") in began
    }
    same = [line for line in tries if line.fields.get("request") in names - {request}]
    return tuple(sorted(same, key=lambda line: line.at))


def _of_same_request(returns: list[Line], own: list[Line]) -> tuple[Line, ...]:
    known = {line.fields.get("fingerprint") for line in own} - {None}
    same = [line for line in returns if line.fields.get("fingerprint") in known]
    return tuple(sorted(same, key=lambda line: line.at))


def _lines(source: str, text: str) -> Iterator[Line | None]:
    """Yield each line with an event; None for one that is damaged."""
    name = source
    for raw in text.splitlines():
        start = raw.find("{")
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(raw[start:])
        except (msgspec.DecodeError, RecursionError):
            yield None
            continue
        if not isinstance(fields, dict) or "name" not in fields:
            yield None
            continue
        if fields["name"] == "entry_started":
            name = str(fields.get("entry", source))
        at = fields.pop("at", 0.0)
        event = str(fields.pop("name"))
        fields.pop("event", None)
        yield Line(name, float(at), event, fields)


def _beliefs(lines: list[Line], mine: list[Line]) -> list[Line]:
    """Return the version and list in force, and what changed close to the request."""
    first, last = lines.index(mine[0]), lines.index(mine[-1])
    latest: dict[str, Line] = {}
    close: list[Line] = []
    for index, line in enumerate(lines[: last + 1]):
        if line.name not in BELIEFS:
            continue
        if line.name in IN_FORCE + IN_FORCE_BY_SERVER:
            if index < first:
                latest[_subject(line)] = line
                continue
        elif index < first and abs(mine[0].at - line.at) > CLOSE_SECONDS:
            continue
        close.append(line)
    return [*latest.values(), *close[-KEPT_BELIEFS:]]


def _subject(line: Line) -> str:
    """Return what a line tells the state of."""
    if line.name in IN_FORCE_BY_SERVER:
        return f"{line.name} {line.fields.get('server')}"
    return line.name


def _cause(lines: list[Line]) -> str:
    """Return the failure that decided the end: the last one that the end names."""
    ends = [line for line in lines if line.name == "request_ended"]
    if not ends:
        # Requests refused for memory have no other line: their bodies are not read.
        if lines and all(line.name == "memory_refused" for line in lines):
            size, limit = (lines[-1].fields.get(f, 0) for f in ("bytes", "budget"))
            return MemoryExhausted(size, limit).describe()
        return "no line of its end: the entry ended, or its lines were dropped"
    failure = ends[-1].fields.get("failure")
    if failure:
        return str(failure)
    status = ends[-1].fields.get("status") or 0
    return f"the server answered {status}" if status >= 400 else ""


def _text(story: Story) -> str:
    rows = [f"request {story.request}"]
    if not story.lines:
        rows.append("no line names it")
    if story.beliefs:
        rows += ["", "in force and changed around it:"]
        rows += [_row(line) for line in story.beliefs]
    if story.tries:
        rows += ["", "other requests of the same stream:"]
        rows += [
            f"{_row(line)} request={line.fields['request']}" for line in story.tries
        ]
    if story.crashes:
        rows += ["", "servers that crashed while they ran it, under whatever id:"]
        rows += [_row(line) for line in story.crashes]
    rows += ["", "its own lines:", *(_row(line) for line in story.lines)]
    rows += ["", f"cause: {story.cause or 'it was answered'}"]
    if story.damaged:
        rows.append(f"{story.damaged} damaged lines were skipped")
    return "\n".join(rows) + "\n"


def _row(line: Line) -> str:
    shown = {k: v for k, v in line.fields.items() if k != "request" and v is not None}
    fields = " ".join(f"{name}={value}" for name, value in shown.items())
    return f"  {line.at:.3f} {line.source} {line.name} {fields}"
