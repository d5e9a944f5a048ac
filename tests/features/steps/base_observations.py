"""Steps that record latencies and send metrics."""

import socket
import tracemalloc
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from boragestream.base.histograms import WINDOW_SECONDS, Histograms
from boragestream.base.metrics import open_metrics
from boragestream.base.observations import Observations
from tests.standins.clock import SetClock

PRECISION = 0.07


@given("histograms on a clock that the test moves")
def step(context):
    context.clock = SetClock(0.0)
    context.histograms = Histograms(context.clock)


@when('1 to 1000 milliseconds are recorded for "{name}" by {threads:d} threads')
def step(context, name, threads):
    def record(_):
        for milliseconds in range(1, 1001):
            context.histograms.record(name, milliseconds / 1000)

    with ThreadPoolExecutor(threads) as pool:
        list(pool.map(record, range(threads)))


@then('"{name}" shows {count:d} values, and percentiles within 7 in 100')
def step(context, name, count):
    shown = context.histograms.snapshot()[name]
    assert shown.count == count, shown
    expected = {"p50_ms": 500, "p95_ms": 950, "p99_ms": 990, "max_ms": 1000}
    for field, value in expected.items():
        assert abs(getattr(shown, field) - value) <= value * PRECISION, shown


@when("{seconds:d} seconds pass")
def step(context, seconds):
    context.clock.seconds += seconds


@then("no series is shown")
def step(context):
    assert context.histograms.snapshot() == {}


@when("{accounts:d} client accounts and {stages:d} stages fill both of their windows")
def step(context, accounts, stages):
    tracemalloc.start()
    for _ in range(2):
        for index in range(accounts + stages):
            context.histograms.record(f"series-{index}", 0.1)
        context.clock.seconds += WINDOW_SECONDS + 1
    for index in range(accounts + stages):
        context.histograms.record(f"series-{index}", 0.1)
    context.held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert len(context.histograms.snapshot()) == accounts + stages


@then("the histograms hold less than {megabytes:d} megabytes")
def step(context, megabytes):
    assert 1e6 < context.held_bytes < megabytes * 1e6, context.held_bytes


@given("a statsd socket")
def step(context):
    context.statsd = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.statsd.bind(("127.0.0.1", 0))
    context.statsd.settimeout(10)
    address, port = context.statsd.getsockname()
    metrics = open_metrics(address, port, "entry-1")
    context.observations = Observations(SetClock(0.0), metrics)


@when('a request of "{account}" to "{pipeline}" is answered in {number:d} milliseconds')
def step(context, account, pipeline, number):
    context.observations.request_ended(account, pipeline, "answered", number / 1000)


@then('statsd has heard "{text}"')
def step(context, text):
    heard = context.statsd.recv(512).decode()
    assert heard == text, heard


@when("the statsd socket is closed")
def step(context):
    context.statsd.close()


@then('"{account}" counts {count:d} answered requests')
def step(context, account, count):
    reports = context.observations.accounts()
    assert reports[account].outcomes == {"answered": count}, reports
