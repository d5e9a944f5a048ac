"""Boragestream for people.

Usage:
  boragestream check FILE [--json]
  boragestream check --schema [--settings]
  boragestream show FILE
  boragestream show --entry=LIST [--key-file=FILE]
  boragestream status --entry=LIST [--key-file=FILE] [--json]
  boragestream status --metrics=LIST [--json]
  boragestream entries --entry=LIST [--key-file=FILE] [--json]
  boragestream call PIPELINE (TEXT | --input=FILE) --entry=LIST [--key-file=FILE]
                    [--deadline=MS] [--stream | --once] [--json]
  boragestream replay TRACE --entry=LIST --keys=FILE [--speed=FACTOR]
                      [--callers=N] [--results=FILE] [--json]
  boragestream report FILE... [--json]
  boragestream explain REQUEST FILE... [--json]
  boragestream --help
  boragestream --version

Commands:
  check    Check a document, or settings (*.toml); print every fault with its place.
  show     Print the document of a file, or the one in force at an entry; no keys.
  status   Print one picture of all entries: versions, peers, servers, latencies, costs.
  entries  Print which entries the client account is told to use.
  call     Make one request. TEXT is sent as a JSON string.
  replay   Send a recorded trace at its recorded times; compare with its statement.
  explain  Print one request's story from entries' logs; - for standard input.
  report   Print a Markdown report of results of replays, or of entries' logs.

Options:
  --entry=LIST      Entries to ask first: address:port, several joined by commas.
  --metrics=LIST    Metrics addresses of entries that forward by routes, joined alike.
  --key-file=FILE   Holds the key. Without it: $BORAGESTREAM_KEY for entries and call,
                    $BORAGESTREAM_OPERATOR_KEY for show and status.
  --keys=FILE       TOML file; its table [keys] gives each client account's key.
  --input=FILE      The request's input as JSON; - for standard input.
  --deadline=MS     Milliseconds that the request has; the pipeline's own without.
  --stream          Ask for a streamed answer and print tokens as they come.
  --once            Call under a ticket, so that it runs at most once.
  --speed=FACTOR    2 replays twice as fast as recorded [default: 1].
  --callers=N       The most requests of a replay in hand at once [default: 128].
  --results=FILE    Write each request's result as a line of JSON.
  --schema          Print the JSON schema of the document.
  --settings        Print the schema of the settings instead.
  --json            Print JSON.

Exit codes: 0 as it should be, 1 faults or missed statements, 2 unusable arguments,
3 unreachable entry, 4 refused, 5 failed, 6 unknown.
"""

import os
import sys
from importlib.metadata import version
from pathlib import Path
from typing import Any

import msgspec
from docopt import DocoptExit, docopt

from boragestream.base.shapes import Fault
from boragestream.operator.call import call_pipeline
from boragestream.operator.check import check_file, print_schema
from boragestream.operator.client import Client
from boragestream.operator.entries import print_entries
from boragestream.operator.exits import ExitCode
from boragestream.operator.explain import explain_files
from boragestream.operator.keys import (
    ACCOUNT_KEY_VARIABLE,
    OPERATOR_KEY_VARIABLE,
    KeyUnusable,
    read_account_keys,
    read_key,
)
from boragestream.operator.output import print_failure
from boragestream.operator.replay import ReplayOptions, replay_file
from boragestream.operator.report import report_files
from boragestream.operator.route_status import print_route_status
from boragestream.operator.show import show_entry, show_file
from boragestream.operator.status import print_status

__all__ = ["main"]

Arguments = dict[str, Any]


def main(argv: list[str] | None = None) -> int:
    """Run one command; return the exit code."""
    try:
        arguments = docopt(__doc__, argv, version=version("boragestream"))
    except DocoptExit as error:
        print(error, file=sys.stderr)
        return ExitCode.USAGE
    commands = {
        "check": _check,
        "show": _show,
        "status": _status,
        "entries": _entries,
        "call": _call,
        "replay": _replay,
        "report": _report,
        "explain": _explain,
    }
    run = next(run for name, run in commands.items() if arguments[name])
    try:
        return run(arguments)
    except BrokenPipeError:
        # The reader of the output has seen enough; the interpreter must not try to
        # write the rest at its end.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return ExitCode.OK


def _check(arguments: Arguments) -> ExitCode:
    if arguments["--schema"]:
        return print_schema(arguments["--settings"])
    return check_file(_path(arguments), arguments["--json"])


def _show(arguments: Arguments) -> ExitCode:
    if not arguments["--entry"]:
        return show_file(_path(arguments))
    client = _client(arguments, OPERATOR_KEY_VARIABLE)
    return show_entry(client) if isinstance(client, Client) else client


def _status(arguments: Arguments) -> ExitCode:
    if arguments["--metrics"]:
        addresses = arguments["--metrics"].split(",")
        return print_route_status(addresses, arguments["--json"])
    client = _client(arguments, OPERATOR_KEY_VARIABLE)
    if not isinstance(client, Client):
        return client
    return print_status(client, _addresses(arguments), arguments["--json"])


def _entries(arguments: Arguments) -> ExitCode:
    client = _client(arguments, ACCOUNT_KEY_VARIABLE)
    if not isinstance(client, Client):
        return client
    return print_entries(client, arguments["--json"])


def _call(arguments: Arguments) -> ExitCode:
    client = _client(arguments, ACCOUNT_KEY_VARIABLE)
    if not isinstance(client, Client):
        return client
    body = _input(arguments)
    deadline = _number(arguments, "--deadline", int)
    for fault in (body, deadline):
        if isinstance(fault, Fault):
            print_failure(fault, arguments["--json"])
            return ExitCode.USAGE
    pipeline = arguments["PIPELINE"]
    return call_pipeline(
        client,
        pipeline,
        body,
        deadline,
        arguments["--stream"],
        arguments["--once"],
        arguments["--json"],
    )


def _replay(arguments: Arguments) -> ExitCode:
    keys = read_account_keys(arguments["--keys"])
    speed = _number(arguments, "--speed", float)
    callers = _number(arguments, "--callers", int)
    for fault in (keys, speed, callers):
        if isinstance(fault, Fault | KeyUnusable):
            print_failure(fault, arguments["--json"])
            return ExitCode.USAGE
    results = arguments["--results"]
    options = ReplayOptions(speed, callers, Path(results) if results else None)
    return replay_file(
        Path(arguments["TRACE"]),
        keys,
        _addresses(arguments),
        options,
        arguments["--json"],
    )


def _report(arguments: Arguments) -> ExitCode:
    paths = [Path(name) for name in arguments["FILE"]]
    return report_files(paths, arguments["--json"])


def _explain(arguments: Arguments) -> ExitCode:
    names = arguments["FILE"]
    return explain_files(arguments["REQUEST"], names, arguments["--json"])


def _path(arguments: Arguments) -> Path:
    return Path(arguments["FILE"][0])


def _addresses(arguments: Arguments) -> tuple[str, ...]:
    return tuple(arguments["--entry"].split(","))


def _client(arguments: Arguments, variable: str) -> Client | ExitCode:
    key = read_key(arguments["--key-file"], variable)
    if isinstance(key, KeyUnusable):
        print_failure(key, arguments["--json"])
        return ExitCode.USAGE
    return Client(key, _addresses(arguments))


def _input(arguments: Arguments) -> Any | Fault:
    if arguments["TEXT"] is not None:
        return arguments["TEXT"]
    name = arguments["--input"]
    try:
        text = sys.stdin.buffer.read() if name == "-" else Path(name).read_bytes()
        return msgspec.json.decode(text)
    except (OSError, msgspec.DecodeError, RecursionError) as error:
        return Fault(name, str(error))


def _number(arguments: Arguments, option: str, kind: type) -> Any | Fault:
    given = arguments[option]
    if given is None:
        return None
    try:
        number = kind(given)
    except ValueError:
        return Fault(option, f"{given!r} is no number")
    # Written so that "nan" fails it too.
    return number if number > 0 else Fault(option, "must be greater than 0")


if __name__ == "__main__":
    sys.exit(main())
