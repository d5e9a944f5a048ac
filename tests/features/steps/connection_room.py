"""Steps on the connections that a server allows when it has no descriptors."""

import errno
from types import SimpleNamespace

from behave import given, then, when

from boragestream.caller.connection_room import ConnectionRoom
from tests.standins.clock import SetClock


@given("a server that allows {most:d} connections, of which {count:d} are open")
def step(context, most, count):
    adjustments = SimpleNamespace(connection_limit=most)
    context.server = SimpleNamespace(adj=adjustments, active_channels=range(count))
    context.clock = SetClock()
    context.room = ConnectionRoom(context.server, context.clock)


def fail(number):
    """Return a function that fails with an error of the system."""

    def accept():
        raise OSError(number, errno.errorcode[number])

    return accept


@when("a further one finds no descriptor")
def step(context):
    for number in (errno.EMFILE, errno.ENFILE):
        assert context.room.accept(fail(number)) is None


@when("a further one fails otherwise")
def step(context):
    try:
        context.room.accept(fail(errno.EPROTO))
    except OSError as error:
        assert error.errno == errno.EPROTO, error
    else:
        raise AssertionError("the error was dropped")


@when("{seconds:d} s of the event loop goes by")
@when("{seconds:d} s of the event loop go by")
def step(context, seconds):
    for _ in range(seconds):
        context.clock.seconds += 1.0
        context.room.maintain()


@then("{count:d} connections are allowed, and {some} accepted")
def step(context, count, some):
    assert context.server.adj.connection_limit == count, context.server.adj
    assert context.room.may_accept == (some == "more are"), some
