"""Steps on one attempt of a call, with a clock that the test sets."""

import socket

from behave import given, then, when

from boragestream.backend.attempt import open_attempt
from boragestream.backend.calls import StageCall
from boragestream.backend.cancellation import CancelScope
from boragestream.backend.connections import ConnectionKeeper
from boragestream.backend.failures import AttemptCancelled, Ran
from tests.standins.clock import SetClock
from tests.standins.fleet import ADDRESS

START = 1000.0


class PausedConnect(ConnectionKeeper):
    """Connections during whose connect the clock goes on."""

    def __init__(self, clock, pause):
        """Take the clock and the seconds of the pause."""
        super().__init__()
        self.clock = clock
        self.pause = pause

    def connect(self, host, seconds):
        """Connect and pause."""
        connection = super().connect(host, seconds)
        self.clock.seconds += self.pause
        return connection


@given("a call that may not be repeated, to be sent within {run_by:g} s")
def step(context, run_by):
    context.call = StageCall(
        "r-1", "/v1/call", b"{}", False, 0, False, run_by=START + run_by
    )


@given("a deadline in {seconds:g} s")
def step(context, seconds):
    context.scope = CancelScope(START + seconds)


@when("the process is paused for {pause:g} s while it connects")
def step(context, pause):
    clock = SetClock(START)
    listener = socket.create_server((ADDRESS, 0))
    host = f"{ADDRESS}:{listener.getsockname()[1]}"
    context.sent = []
    keeper = PausedConnect(clock, pause)

    def sending():
        context.sent.append(True)
        # A server that closes without an answer ends a call that was sent.
        listener.accept()[0].close()

    context.answer = open_attempt(
        context.call, "s", host, "a-1", keeper, context.scope, clock, sending
    )
    listener.close()


@then('the call was {fate} and the failure is "{code}"')
def step(context, fate, code):
    answer = context.answer
    assert bool(context.sent) == (fate == "sent"), answer
    assert answer.ran is (Ran.MAY_HAVE_RUN if context.sent else Ran.NOT_SENT), answer
    cause = answer.reason if isinstance(answer, AttemptCancelled) else answer
    assert cause.code == code, answer
