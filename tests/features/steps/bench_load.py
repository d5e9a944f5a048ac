"""Steps on the load tool's schedules and figures."""

import http.client
import json
import sys
import tempfile
from pathlib import Path

from behave import given, then, when

from bench.load.client import Sample
from bench.load.deployment import POOLS, capacity_rate, server_specs
from bench.load.invariants import invariant_counts
from bench.load.metrics import fair_shares, jain, recovery_seconds, summarise
from bench.load.schedule import Phase, arrivals_of
from bench.load.traces import not_as_stated, read_scenario, trace_text
from tests.standins.fleet import ADDRESS, Process, fetch, free_ports, wait_until


def drawn(load, seconds, seed):
    """Return the arrivals of one steady phase."""
    return arrivals_of((Phase(seconds, load),), seed)


@given("arrivals at load {load:g} for {seconds:g} s with seed {seed:d}")
def step(context, load, seconds, seed):
    context.arrivals = drawn(load, seconds, seed)


@then("arrivals at load {load:g} for {seconds:g} s with seed {seed:d} are the same")
def step(context, load, seconds, seed):
    assert drawn(load, seconds, seed) == context.arrivals


@then("arrivals at load {load:g} for {seconds:g} s with seed {seed:d} differ")
def step(context, load, seconds, seed):
    assert drawn(load, seconds, seed) != context.arrivals


@then("they are in order of time and their rate is {rate:d} a second within a fifth")
def step(context, rate):
    times = [arrival.at for arrival in context.arrivals]
    assert times == sorted(times)
    assert abs(len(times) / 3 - rate) < rate / 5, len(times)


@given("arrivals in phases")
def step(context):
    phases = [Phase(float(r["seconds"]), float(r["load"])) for r in context.table]
    context.arrivals = arrivals_of(tuple(phases), 1)


@then("between {a:d} and {b:d} s come about four times as many a second as before")
def step(context, a, b):
    before = sum(arrival.at < a for arrival in context.arrivals) / a
    within = sum(a <= arrival.at < b for arrival in context.arrivals) / (b - a)
    assert 3.6 < within / before < 4.4, (before, within)


@then("after {second:d} s come none")
def step(context, second):
    assert not [arrival for arrival in context.arrivals if arrival.at >= second]


@then('the servers carry {rate:d} requests a second of "{mix}"')
def step(context, rate, mix):
    assert round(capacity_rate({mix: 1.0}), 6) == rate


@given("a stand-in for a writer")
def step(context):
    (port,) = free_ports(1)
    spec = {"name": "writer", "kind": "engine", "address": ADDRESS, "port": port}
    spec.update(server_specs()["writer"])
    command = [sys.executable, "-m", "tests.standins.backend", json.dumps(spec)]
    log = Path(tempfile.mkdtemp()) / "writer.log"
    context.writer = Process("writer", port, command, log)
    context.add_cleanup(context.writer.kill)
    context.writer.start()
    wait_until(lambda: fetch(port, "/load"))


@when("it is called once for a stream and once for a whole answer")
def step(context):
    for number, stream in enumerate((True, False)):
        connection = http.client.HTTPConnection(ADDRESS, context.writer.port)
        ids = {"X-Request-Id": f"r-{number}", "X-Attempt-Id": f"a-{number}"}
        body = {"input": "a", "prompt": "a", "stream": stream}
        connection.request("POST", "/v1/completions", json.dumps(body), ids)
        assert connection.getresponse().read()
        connection.close()


@then("each call cost the seconds that the pool's rate is computed from")
def step(context):
    wait_until(lambda: len(fetch(context.writer.port, "/standin/work")) == 2)
    work = fetch(context.writer.port, "/standin/work")
    nominal = [round(call["nominal"], 6) for call in work]
    assert nominal == [POOLS["writer"].seconds] * 2, nominal


@given("the recorded samples")
def step(context):
    context.samples = [
        Sample(
            number=number,
            at=float(row["at"]),
            lag=0.0,
            account=row["account"],
            pipeline="caption",
            entry="",
            seconds=float(row["seconds"]),
            first=None,
            outcome=row["outcome"],
            failure="",
            request_id=row["request"],
            crossed=False,
        )
        for number, row in enumerate(context.table)
    ]


@given("the recorded work on the writer")
def step(context):
    context.work = [
        {
            "request": row["request"],
            "attempt": "a",
            "queued": 0.0,
            "busy": float(row["busy"]),
            "nominal": float(row["busy"]),
            "finished": row["finished"] == "yes",
        }
        for row in context.table
    ]


@when("they are summed up from {begin:d} to {end:d} s")
def step(context, begin, end):
    work = {"writer": context.work}
    context.figures = summarise(context.samples, work, [Phase(1.0, 1.0)], begin, end)


@then("the figures are")
def step(context):
    for row in context.table:
        value = context.figures
        for key in row["figure"].split():
            value = value[key]
        assert value == float(row["value"]), (row["figure"], value)


@then("100 shared over demands 10, 20 and 200 with equal weights give 10, 20 and 70")
def step(context):
    weights = dict.fromkeys("abc", 1.0)
    shares = fair_shares({"a": 10.0, "b": 20.0, "c": 200.0}, weights, 100.0)
    assert shares == {"a": 10.0, "b": 20.0, "c": 70.0}, shares


@then("Jain's index of 1 and 1 is {even:g} and that of 1 and 0 is {uneven:g}")
def step(context, even, uneven):
    assert (jain([1, 1]), jain([1, 0])) == (even, uneven)


@then(
    'with attainment "{windows}" by half seconds and a fault from {began:d} to '
    '{ended:d} s recovery takes "{seconds}"'
)
def step(context, windows, began, ended, seconds):
    recorded = [
        {"at": index / 2, "sent": 10, "in_time": 10 * float(share)}
        for index, share in enumerate(windows.split())
    ]
    taken = recovery_seconds(recorded, began, ended, 0.0)
    assert str(taken) == seconds, taken


@when('the ledger ran "{one}" {a:d} times and "{other}" {b:d} times')
def step(context, one, a, other, b):
    runs = {"ledger": {one: a, other: b}}
    context.counts = invariant_counts(context.samples, runs)


@then(
    "{lost:d} is lost, {doubled:d} doubled, {crossed:d} crossed and {run:d} refused "
    "but run"
)
def step(context, lost, doubled, crossed, run):
    assert context.counts == {
        "lost": lost,
        "doubled": doubled,
        "crossed": crossed,
        "refused_but_run": run,
    }, context.counts


@given("a trace written from 1 s at load {calm:g} and 1 s at load {overload:g}")
def step(context, calm, overload):
    phases = (Phase(1.0, calm), Phase(1.0, overload))
    context.arrivals = arrivals_of(phases, 1)
    context.trace = trace_text(context.arrivals, phases)


@when("it is read")
def step(context):
    with tempfile.NamedTemporaryFile("w", suffix=".jsonl") as file:
        file.write(context.trace)
        file.flush()
        _, context.read, context.expected = read_scenario(Path(file.name))


@then("its arrivals are those of the schedule")
def step(context):
    def fields(arrivals):
        return [(a.number, round(a.at, 4), a.account, a.stream) for a in arrivals]

    assert fields(context.read) == fields(context.arrivals)


@then('until {end:d} s it states "{calm}" and after it "{overload}"')
def step(context, end, calm, overload):
    stated = {calm: set(), overload: set()}
    for arrival in context.read:
        outcomes = ", ".join(context.expected[arrival.number])
        stated[outcomes].add(arrival.at < end)
    assert stated == {calm: {True}, overload: {False}}, stated


@then("a refusal at {calm:g} s is not as stated, a refusal at {overload:g} s is")
def step(context, calm, overload):
    def wrong(at):
        arrival = min(context.read, key=lambda a: abs(a.at - at))
        fields = dict.fromkeys(Sample.__slots__, 0)
        sample = Sample(**{**fields, "number": arrival.number, "outcome": "refused"})
        return not_as_stated([sample], context.expected)

    assert (wrong(calm), wrong(overload)) == (1, 0)
