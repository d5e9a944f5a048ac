"""Steps on the byte budget and on the bounds learned from crashes.

They guard against a budget that loses or invents bytes, and against bounds that keep a
service from being served.
"""

import os
import queue
import shutil
import tempfile
import threading
from dataclasses import replace
from pathlib import Path
from unittest import mock

from behave import given, then, when

from boragestream.base.memory_budget import MemoryBudget, MemoryCharge, MemoryKind
from boragestream.daemon.memory import make_budget
from boragestream.policy.outstanding import OutstandingWork, WorkSize
from boragestream.policy.servers import Server
from tests.standins.clock import SetClock

SECONDS = 10
MEGABYTE = 1_048_576
FINGERPRINT = b"request-%d"
NEW = b"another request"


@given("a budget of {limit:d} bytes of which {held:d} are held as output")
def step(context, limit, held):
    context.clock = SetClock(0.0)
    context.budget = MemoryBudget(limit, context.clock)
    context.budget.charge(MemoryKind.OUTPUT, held)


@then("a {kind} of {size:d} bytes is {granted}")
def step(context, kind, size, granted):
    reserved = context.budget.reserve(MemoryKind(kind), size)
    assert reserved is (granted == "granted")


@when("a request grows by {size:d} bytes until it is not granted")
def step(context, size):
    context.charge = MemoryCharge(context.budget, MemoryKind.REQUEST)
    while context.charge.reserve(size):
        pass


@then("it holds {size:d} bytes")
def step(context, size):
    assert context.charge.size == context.budget.charged(MemoryKind.REQUEST) == size


@when(
    "{threads:d} threads charge, grow, shrink and release {count:d} charges each, some "
    "twice"
)
def step(context, threads, count):
    def work():
        for number in range(count):
            charge = MemoryCharge(context.budget, MemoryKind.ANSWER)
            charge.reserve(100)
            charge.set(50 + number)
            charge.set(10)
            charge.release()
            charge.set(70)
            if number % 2:
                charge.release()

    started = [threading.Thread(target=work) for _ in range(threads)]
    for thread in started:
        thread.start()
    for thread in started:
        thread.join(SECONDS)


@then("the budget holds {size:d} bytes")
def step(context, size):
    assert context.budget.total == size
    assert sum(context.budget.charged(kind) for kind in MemoryKind) == size


@when("an answer of {size:d} bytes waits for memory")
def step(context, size):
    context.waits = threading.Event()
    context.granted = []
    context.budget.on_short(lambda kind, missing: context.waits.set())

    def wait():
        granted = context.budget.wait_and_reserve(
            MemoryKind.ANSWER, size, SECONDS, lambda: False
        )
        context.granted.append(granted)

    context.thread = threading.Thread(target=wait)
    context.thread.start()
    assert context.waits.wait(SECONDS)


@when("{size:d} bytes of output are returned")
def step(context, size):
    context.budget.release(MemoryKind.OUTPUT, size)


@then("the answer is granted")
def step(context):
    context.thread.join(SECONDS)
    assert context.granted == [True]


@then("a request of {size:d} bytes is told to return after {seconds:f} s")
def step(context, size, seconds):
    told = context.budget.retry_seconds(size)
    assert abs(told - seconds) < 0.01, told


@given('servers "{one}" and "{two}" at which typically {size:d} bytes are outstanding')
def step(context, one, two, size):
    context.clock = SetClock(0.0)
    context.work = OutstandingWork(context.clock)
    context.servers = {
        name: Server(name, "service", f"{name}:1", "hall", "1") for name in (one, two)
    }
    context.open = {name: [] for name in context.servers}
    for server in context.servers.values():
        for _ in range(100):
            call = context.work.begin(server, NEW, WorkSize(size))
            context.work.end(call, cut=False)


def begin(context, name, count, size):
    """Begin calls at a server."""
    server = context.servers[name]
    context.open[name] += [
        context.work.begin(server, FINGERPRINT % number, WorkSize(size))
        for number in range(count)
    ]


def end_cut(context, name):
    """End all calls at a server as cut."""
    for call in context.open[name]:
        context.work.end(call, cut=True)
    context.open[name] = []


@when('"{name}" crashes while {count:d} requests of {size:d} bytes are outstanding')
def step(context, name, count, size):
    begin(context, name, count, size)
    # Half of the calls are found cut before the first of them reports the crash.
    cut = context.open[name][: (count + 1) // 2]
    for call in cut:
        context.work.end(call, cut=True)
        context.open[name].remove(call)
    context.crashed = context.servers[name]
    context.work.note_crash(context.crashed)
    end_cut(context, name)
    context.servers[name] = replace(context.crashed, incarnation="2")


@when('the same crash of "{name}" is reported again after its calls have ended')
def step(context, name):
    context.clock.seconds += 5
    context.work.note_crash(context.crashed)


@when(
    '{count:d} requests of {size:d} bytes are outstanding at "{name}" in its next life'
)
def step(context, count, size, name):
    begin(context, name, count, size)


@when("{seconds:d} s have passed")
def step(context, seconds):
    context.clock.seconds += seconds


@then('a request of {size:d} bytes may be sent to "{names}"')
def step(context, size, names):
    servers = list(context.servers.values())
    usable = context.work.usable(servers, NEW, WorkSize(size))
    assert [server.name for server in usable] == names.split(", "), usable


@then('the request that was on "{name}" may be sent to "{names}"')
def step(context, name, names):
    servers = list(context.servers.values())
    usable = context.work.usable(servers, FINGERPRINT % 0, WorkSize(1))
    assert [server.name for server in usable] == names.split(", "), usable


@given("a machine of {machine:d} MB and a control group of {group}")
def step(context, machine, group):
    folder = Path(tempfile.mkdtemp())
    context.add_cleanup(shutil.rmtree, folder)
    own = folder / "own"
    own.write_text("4:cpu:/x\n0::/outer/inner\n")
    inner = folder / "outer" / "inner"
    inner.mkdir(parents=True)
    limits = {inner: "max", inner.parent: "max"}
    if group != "no limit":
        # Written as "160 MB in" if it is that of the group around its own.
        megabytes, _, outer = group.partition(" MB")
        limits[inner.parent if outer else inner] = str(int(megabytes) * MEGABYTE)
    for each, limit in limits.items():
        (each / "memory.max").write_text(f"{limit}\n")
    report = os.sysconf

    def sysconf(name):
        pages = machine * MEGABYTE // report("SC_PAGE_SIZE")
        return pages if name == "SC_PHYS_PAGES" else report(name)

    for part, value in (
        ("boragestream.base.machine.CONTROL_GROUPS", folder),
        ("boragestream.base.machine.OWN_GROUPS", own),
        ("os.sysconf", sysconf),
    ):
        patched = mock.patch(part, value)
        patched.start()
        context.add_cleanup(patched.stop)


@then("an entry whose settings name {named} may hold {budget:d} MB for others")
def step(context, named, budget):
    memory_mb = None if named == "nothing" else int(named.removesuffix(" MB"))
    limit = make_budget(memory_mb, 1, SetClock(0.0)).limit
    assert limit // MEGABYTE == budget, limit


@given("{count:d} threads may wait for it at once")
def step(context, count):
    held = context.budget.total
    context.budget = MemoryBudget(context.budget.limit, context.clock, count)
    context.budget.charge(MemoryKind.OUTPUT, held)


@when("{count:d} threads wait for {size:d} bytes of an answer")
def step(context, count, size):
    context.granted = queue.SimpleQueue()

    def wait():
        granted = context.budget.wait_and_reserve(
            MemoryKind.ANSWER, size, SECONDS, lambda: False
        )
        context.granted.put(granted)

    context.threads = [threading.Thread(target=wait, daemon=True) for _ in range(count)]
    for thread in context.threads:
        thread.start()


@then("one of them is refused at once")
def step(context):
    # The clock stands still, so that no wait can have ended.
    assert context.granted.get(timeout=SECONDS) is False
    assert context.granted.empty()


@then("the others are granted")
def step(context):
    for thread in context.threads:
        thread.join(SECONDS)
    assert [context.granted.get(), context.granted.get()] == [True, True]
