"""Steps on calls in a queue, with a clock that only the steps advance."""

import random
import threading
from concurrent.futures import ThreadPoolExecutor, wait

from behave import given, then, when

from boragestream.policy.servers import Server
from boragestream.policy.waiting import CallQueue, ServiceSaturated
from tests.standins.clock import SetClock
from tests.standins.fleet import wait_until

WAIT_SECONDS = 20
SERVER = Server("s-0", "pool", "127.0.0.1:1", "here")


@given("a line before a service without room")
def step(context):
    context.clock = SetClock()
    context.queue = CallQueue("pool", context.clock, random.Random(3))
    context.room = threading.Semaphore(0)
    context.gone = False
    context.served = []
    context.waiting = []
    context.executor = ThreadPoolExecutor(16)
    context.add_cleanup(end, context)


def end(context):
    """Cancel every waiting call."""
    context.gone = True
    context.executor.shutdown()


def take(context, spare, cancelled):
    """Wait in the queue with a slack in milliseconds."""

    def choose():
        if not context.room.acquire(blocking=False):
            return None
        context.served.append(spare)
        return SERVER

    latest = context.clock.now() + spare / 1000
    return context.queue.acquire(choose, latest, cancelled)


@given("{rate:d} calls of the service end in each second")
def step(context, rate):
    for _ in range(rate * 2):
        context.clock.seconds += 1 / rate
        context.queue.record_end()


@when("calls with {spares} ms to spare wait")
def step(context, spares):
    for spare in map(int, spares.split(", ")):
        before = context.queue.waiting
        call = context.executor.submit(take, context, spare, lambda: context.gone)
        context.waiting.append(call)
        wait_until(lambda before=before: context.queue.waiting > before, WAIT_SECONDS)


@when("room comes for one call at a time")
def step(context):
    for count in range(1, len(context.waiting) + 1):
        context.room.release()
        context.queue.record_end()
        wait_until(lambda count=count: len(context.served) == count, WAIT_SECONDS)


@then("they are served in the order {spares}")
def step(context, spares):
    assert context.served == list(map(int, spares.split(", "))), context.served
    assert all(f.result(WAIT_SECONDS) is SERVER for f in context.waiting)


@then("a call with {spare:d} ms to spare is given up without a wait")
def step(context, spare):
    assert isinstance(take(context, spare, lambda: False), ServiceSaturated)


@then("a call with {spare:d} ms to spare waits first in line")
def step(context, spare):
    context.room.release()
    assert take(context, spare, lambda: False) is SERVER


@then("a call with {spare:d} ms to spare is told to return after {low:g} to {high:g} s")
def step(context, spare, low, high):
    # The call is queued and then cancelled, so that it fails with a retry time.
    failure = take(context, spare, lambda: True)
    assert isinstance(failure, ServiceSaturated), failure
    assert low <= failure.retry_after <= high, failure


@when("their callers go")
def step(context):
    context.gone = True


@then("nobody waits")
def step(context):
    wait(context.waiting, timeout=WAIT_SECONDS)
    assert context.queue.waiting == 0
    assert all(isinstance(f.result(), ServiceSaturated) for f in context.waiting)
