"""Steps on entries whose log is not read, and on the ends of their processes.

Each scenario guards against a process that stops serving, or never ends, since the
reader of its output has gone or does not read.
"""

import re
import signal
import socket
import subprocess

from behave import given, then, use_fixture, when

from boragestream.base.events import Event
from boragestream.daemon.background_tasks import BackgroundTasks
from tests.standins.crowd_fleet import CrowdFleet
from tests.standins.crowd_site import CrowdSite
from tests.standins.fleet import wait_until
from tests.standins.log_lines import log_lines
from tests.standins.log_readers import LogReader, ReturningReader

END_SECONDS = 60
REQUESTS = 5
FAILURES = 2


@given("a forwarding entry whose log has a reader that comes and goes")
def step(context):
    site = new_site(context)
    context.reader = ReturningReader(context.process, site.folder)
    context.add_cleanup(context.reader.close)
    site.start()


@given("a forwarding entry whose log has a reader that {manner}")
def step(context, manner):
    site = new_site(context)
    context.add_cleanup(LogReader(context.process, manner).close)
    site.start()


def new_site(context):
    """Return a site that is not started yet, which ends with the scenario."""
    context.site = CrowdSite()
    context.add_cleanup(context.site.close)
    context.process = context.site.entries["entry-0"]
    return context.site


def new_fleet(context):
    """Return a fleet that is not started yet."""
    context.fleet = CrowdFleet()
    context.process = context.fleet.entries["entry-1"]
    return context.fleet


@given("an entry of JSON pipelines whose log has a reader that {manner}")
def step(context, manner):
    fleet = new_fleet(context)
    context.add_cleanup(LogReader(context.process, manner).close)
    context.add_cleanup(fleet.__exit__)
    fleet.__enter__()


@when("the entry reads its settings again")
def step(context):
    context.site.signal("entry-0", signal.SIGHUP)


@when("the entry of JSON pipelines is told to end")
def step(context):
    context.process.signal(signal.SIGTERM)


@then("it ends by itself with the exit code {code:d}")
def step(context, code):
    try:
        ended = context.process.popen.wait(END_SECONDS)
    except subprocess.TimeoutExpired as error:
        raise AssertionError("the process did not end") from error
    assert ended == code, ended


def serve(context):
    """Have requests served."""
    for _ in range(REQUESTS):
        assert context.site.serve_ordinary()


def lost_lines(context):
    """Return how many lines the metrics count as lost."""
    text = context.site.ask("entry-0", "ready", "/metrics")[1].decode()
    return int(float(re.search(r"^\w+_log_lines_lost (\S+)$", text, re.M)[1]))


@when("the reader has gone, and requests are served")
def step(context):
    context.reader.leave()
    serve(context)


@then("the metrics count lost lines")
def step(context):
    wait_until(lambda: lost_lines(context), what="lost lines are counted")


@when("requests to its pipelines are served")
def step(context):
    for _ in range(REQUESTS):
        assert context.fleet.serve_ordinary()


@then("its status page counts lost lines, and none as dropped")
def step(context):
    def status():
        return context.fleet.status("entry-1")

    wait_until(lambda: status()["log_lines_lost"] >= REQUESTS, what="lost lines")
    assert status()["log_lines_dropped"] == 0


@when("a reader has come back, and requests are served")
def step(context):
    context.reader.come()
    serve(context)


@then("it reads as many lost lines as the metrics count")
def step(context):
    text = b""

    def reported():
        nonlocal text
        text += context.reader.read()
        counts = re.findall(rb'"lines_lost","count":(\d+)}', text)
        return sum(map(int, counts)) == lost_lines(context)

    wait_until(reported, what="as many lost lines are reported")


@when("the entry is told to end, and again once it is leaving")
def step(context):
    site = context.site
    site.signal("entry-0", signal.SIGTERM)
    wait_until(lambda: site.ready("entry-0") != 200, what="the entry is leaving")
    site.signal("entry-0", signal.SIGTERM)


@given("a forwarding entry whose {fault}, and a full standard error")
def step(context, fault):
    site = new_site(context)
    start_with_fault(context, fault, site.settings_path("entry-0"))


@given("a entry of JSON pipelines whose {fault}, and a full standard error")
def step(context, fault):
    fleet = new_fleet(context)
    context.add_cleanup(context.process.kill)
    start_with_fault(context, fault, fleet.folder / "entry-1.toml")


def start_with_fault(context, fault, settings):
    """Start an entry that can't run, and whose output nobody reads."""
    if fault == "settings are no TOML":
        settings.write_text("[entry")
    else:
        taken = socket.create_server(("127.0.0.1", context.process.port))
        context.add_cleanup(taken.close)
    context.add_cleanup(LogReader(context.process, "does not read").close)
    context.process.start()


@when("its settings are a folder, and it reads them again")
def step(context):
    path = context.site.settings_path("entry-0")
    path.unlink()
    path.mkdir()
    context.site.signal("entry-0", signal.SIGHUP)


@given("a background task that fails twice")
def step(context):
    context.runs = 0

    def task():
        context.runs += 1
        if context.runs <= FAILURES:
            raise ValueError("fails")

    context.task = task


@when("it is started")
def step(context):
    context.tasks = BackgroundTasks()
    context.add_cleanup(context.tasks.close)
    use_fixture(log_lines, context)
    context.tasks.start(context.task)
    wait_until(lambda: context.runs > FAILURES, what="the task is run again")


@then("it was run three times, and each failure was logged")
def step(context):
    assert context.runs == FAILURES + 1
    failed = context.lines.of(Event.TASK_FAILED.number)
    assert len(failed) == FAILURES, failed
