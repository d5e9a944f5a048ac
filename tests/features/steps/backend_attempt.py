"""Steps that make single attempts against a server in the same process."""

import contextlib
import http.client
import socket
import threading
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from boragestream.backend.attempt import AttemptFailure, OpenAnswer, Ran, open_attempt
from boragestream.backend.calls import Completion, StageCall
from boragestream.backend.cancellation import CancelScope, Watchdog
from boragestream.backend.connections import ConnectionKeeper
from boragestream.base.failures import CallerGone, DeadlinePassed
from tests.standins.background import in_background
from tests.standins.clock import SetClock
from tests.standins.fleet import wait_until
from tests.standins.listener import Listener

SECONDS = 30
DEADLINE = 10.0
IDS = "X-Request-Id: r-1\r\nX-Attempt-Id: {attempt}\r\n"
WHOLE = "HTTP/1.1 200 OK\r\n{ids}Content-Length: {length}\r\n\r\n{body}"
PART = 'data: {{"id": "{attempt}", "choices": [{{"text": "{attempt}"}}]}}\n\n'


class Server:
    """Answers every call with its attempt's id; notes the connection of each."""

    def __init__(self, answers):
        """Listen and serve; ``answers`` names the way."""
        self.answers = answers
        self.calls = []
        self.go = threading.Event()
        self.sent = threading.Event()
        self.listener = Listener(self.serve)
        self.host = self.listener.address

    def serve(self, sock):
        """Answer the calls of one connection until it is closed or reset."""
        with contextlib.suppress(ConnectionError):
            self.answer_calls(sock)

    def answer_calls(self, sock):
        """Answer the calls of one connection."""
        number = len(self.listener.accepted)
        stream = sock.makefile("rb")
        while line := stream.readline():
            assert line.startswith(b"POST"), line
            headers = http.client.parse_headers(stream)
            stream.read(int(headers["Content-Length"]))
            self.calls.append(number)
            if self.answers == "holds its 1st answer back" and len(self.calls) == 1:
                self.go.wait(SECONDS)
            sock.sendall(self.answer(headers["X-Attempt-Id"]).encode())
            if self.answers == "answers the 1st call again later":
                self.go.wait(SECONDS)
                sock.sendall(self.answer(headers["X-Attempt-Id"]).encode())
            self.sent.set()

    def answer(self, attempt):
        """Return the bytes of an answer."""
        ids = IDS.format(attempt=attempt)
        if self.answers == "answers in a stream":
            events = [PART.format(attempt=attempt), "data: [DONE]\n\n"]
            chunks = "".join(f"{len(event):x}\r\n{event}\r\n" for event in events)
            head = f"HTTP/1.1 200 OK\r\n{ids}Transfer-Encoding: chunked\r\n\r\n"
            return f"{head}{chunks}0\r\n\r\n"
        body = f'"{attempt}"'
        return WHOLE.format(ids=ids, length=len(body), body=body)


def prepare(context, host):
    """Keep what every attempt of a scenario shares."""
    context.host = host
    context.clock = SetClock(0.0)
    context.connections = ConnectionKeeper()
    context.results = []


@given("a backend server that {answers}")
def step(context, answers):
    context.backend = Server(answers)
    context.add_cleanup(context.backend.listener.close)
    prepare(context, context.backend.host)


@given("nothing that listens")
def step(context):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    prepare(context, f"127.0.0.1:{port}")


@given("a listener that never accepts")
def step(context):
    listener = socket.create_server(("127.0.0.1", 0), backlog=0)
    context.add_cleanup(listener.close)
    for _ in range(4):
        filling = socket.socket()
        filling.setblocking(False)
        filling.connect_ex(listener.getsockname())
        context.add_cleanup(filling.close)
    prepare(context, f"127.0.0.1:{listener.getsockname()[1]}")


@given('the address "{host}"')
def step(context, host):
    prepare(context, host)


def attempt(context, repeatable=True, before=None):
    """Make an attempt; return its result, a whole answer's data or a failure."""
    number = len(context.results) + 1
    call = StageCall("r-1", "/v1/call", b"{}", repeatable, 0, False)
    context.scope = CancelScope(DEADLINE + context.clock.seconds)
    answer = open_attempt(
        call,
        "server",
        context.host,
        f"a-{number}",
        context.connections,
        context.scope,
        context.clock,
        sending=lambda: None,
    )
    if isinstance(answer, OpenAnswer):
        answer = before(answer) if before else answer.read()
    context.results.append(answer)
    return answer


@when("a 1st attempt is made")
@when("a 2nd attempt is made")
def step(context):
    attempt(context)


@when("an attempt that may not be repeated is made")
def step(context):
    attempt(context, repeatable=False)


@when("a 1st attempt is made and its deadline passes")
def step(context):
    with ThreadPoolExecutor(1) as pool:
        future = pool.submit(attempt, context)
        wait_until(lambda: context.backend.calls)
        context.clock.seconds += DEADLINE
        context.scope.check(context.clock.now())
        failure = future.result(SECONDS)
    assert failure.reason == DeadlinePassed("wait"), failure


@when("the server sends what it held back")
def step(context):
    context.backend.go.set()
    assert context.backend.sent.wait(SECONDS)


@when("an attempt is made by a process that is paused after the connect")
def step(context):
    keeper = context.connections
    connect = keeper.connect

    def paused(host, seconds):
        connection = connect(host, seconds)
        context.clock.seconds += 2 * DEADLINE
        return connection

    keeper.connect = paused
    attempt(context)


@when("an attempt is made by a process that is paused before the {what} is read")
def step(context, what):
    def pause():
        context.clock.seconds += 2 * DEADLINE

    def read(answer):
        if what == "body":
            pause()
            return answer.read()
        tokens = answer.tokens()
        if what == "end mark":
            assert isinstance(next(tokens), Completion)
        pause()
        return next(tokens, None)

    attempt(context, before=read)


@when("a 1st attempt is made and cancelled when all of its answer was read")
def step(context):
    def read(answer):
        answer.when_ended(lambda whole: context.scope.cancel(CallerGone()))
        return answer.read()

    attempt(context, before=read)


@then("the 2nd attempt has its own answer on {which} connection")
def step(context, which):
    assert context.results[1] == "a-2", context.results
    first, second = context.backend.calls
    assert (first == second) is (which == "the same"), context.backend.calls


@then("it failed and was not sent")
def step(context):
    (failure,) = context.results
    assert isinstance(failure, AttemptFailure), failure
    assert failure.ran is Ran.NOT_SENT, failure


@then("the server has read nothing")
def step(context):
    wait_until(lambda: context.backend.listener.accepted)
    assert not context.backend.calls


@then("it failed for its deadline")
def step(context):
    (failure,) = context.results
    assert failure.reason == DeadlinePassed("answer"), failure


@given("a watchdog with a scope that fails when it is checked")
def step(context):
    context.clock = SetClock(0.0)
    context.watchdog = Watchdog(context.clock)
    checked = threading.Event()

    def fail():
        checked.set()
        raise ZeroDivisionError

    faulty = CancelScope(DEADLINE, caller_gone=fail)
    context.watchdog.open(faulty)
    in_background(context, context.watchdog.run, context.watchdog.stop)
    assert checked.wait(SECONDS)


@when("the deadline of another scope passes")
def step(context):
    context.scope = CancelScope(DEADLINE / 2)
    context.watchdog.open(context.scope)
    context.clock.seconds = DEADLINE / 2


@then("that scope is cancelled")
def step(context):
    wait_until(lambda: context.scope.reason == DeadlinePassed("wait"))
