"""Steps on strikes, against an entry that answers by script."""

import tempfile
import threading
import time
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

from behave import given, then, when

from tests.standins import strikes
from tests.standins.fleet import Process, wait_until
from tests.standins.http import Handler, Server
from tests.standins.strikes import MAX_TRIES, is_stopped, strike, strike_entry, woken
from tests.standins.verdicts import Injected

DOCUMENT = {"pipelines": [{"name": "p", "stages": [{"name": "s", "service": "v"}]}]}
REFUSED = {
    "type": "urn:boragestream:refused:cannot-meet-deadline",
    "title": "no time",
    "status": 503,
    "outcome": "refused",
    "request_id": "r",
    "failure": {"left_ms": -1, "needed_ms": 0},
    "retry_after_ms": 5,
}


def entry(context, count, outcome="refused", takes=True):
    """Start an entry without answers to some calls, and make a strike's context."""
    problem = {**REFUSED, "outcome": outcome}
    folder = Path(tempfile.mkdtemp())
    made = []

    class Entry(Handler):
        """Gives no answer at first, then takes the fault that waits."""

        def post(self, path, body):
            """Answer a call."""
            made.append(path)
            if len(made) <= count:
                self.reply(problem, 503)
                return
            if takes:
                (folder / "fault.json").unlink(missing_ok=True)
            self.reply({"request_id": "r", "outcome": "answered", "result": 1})

    def inject_call(service, text, *faults):
        path = folder / "fault.json"
        path.write_text("{}")
        return [path]

    server = Server(("127.0.0.1", 0), Entry)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    context.struck = SimpleNamespace(
        fleet=SimpleNamespace(document=DOCUMENT, inject_call=inject_call),
        injected=Injected(),
        calls=[],
        scenario=SimpleNamespace(name="scenario"),
    )
    context.made = made
    context.address = f"127.0.0.1:{server.server_address[1]}"


@given("an entry that has {count:d} calls {outcome} and then serves")
def step(context, count, outcome):
    entry(context, count, outcome)


@given("an entry that serves and a fault that nothing takes")
def step(context):
    entry(context, 0, takes=False)


@then("a strike of one fault strikes within its calls, and keeps each of them")
def step(context):
    strike(context.struck, "p", "s", "whole", [{"fault": "cut"}], context.address)
    assert len(context.struck.calls) == len(context.made)
    assert context.struck.calls[-1].outcome == "answered"


@then("a strike of one fault fails after its tries")
def step(context):
    try:
        strike(context.struck, "p", "s", "whole", [{"fault": "cut"}], context.address)
    except AssertionError:
        assert len(context.made) == MAX_TRIES
        return
    raise AssertionError("the strike says that it struck")


@given("a process that may be frozen")
def step(context):
    log = Path(tempfile.mkdtemp()) / "log"
    context.process = Process("process", 0, ["sleep", "60"], log)
    context.process.start()
    context.add_cleanup(context.process.kill)


def freeze_after(process, seconds):
    """Freeze a process after a while, and wait until it is."""
    time.sleep(seconds)
    process.freeze()
    wait_until(lambda: is_stopped(process), what="it is frozen")


@when("it is frozen at the beginning of a strike that wakes it")
def step(context):
    with woken([context.process]):
        freeze_after(context.process, 0.0)


@when("it is frozen long after the beginning that wakes it")
def step(context):
    with woken([context.process]):
        freeze_after(context.process, 2.0)


@when("it is frozen just after the end of a strike that wakes it")
def step(context):
    late = threading.Thread(target=freeze_after, args=(context.process, 0.2))
    with woken([context.process]):
        late.start()
    late.join()


@when("it is frozen as an entry by a fault that strikes after {seconds:g} s")
def step(context, seconds):
    def strike_late(fleet_context, *job):
        freeze_after(context.process, seconds)

    with mock.patch.object(strikes, "strike", strike_late):
        strike_entry(context, context.process, "frozen", ("p", "s", "whole"), "ran")


@then("it runs again after {most:d} s at most")
def step(context, most):
    wait_until(lambda: not is_stopped(context.process), most, "it runs again")
    assert context.process.popen.poll() is None
