"""Steps on which servers an entry reaches, and on brittle servers, without sockets."""

import random
import socket
from dataclasses import replace
from types import SimpleNamespace

from behave import given, then, when

from boragestream.backend.cancellation import CancelScope
from boragestream.backend.failures import AnswerCut, ConnectFailed, Ran
from boragestream.base.liveness import detect_dead_peer
from boragestream.base.outcomes import Failure
from boragestream.daemon.reach import fewest_servers
from boragestream.document.calls import RunClaim
from boragestream.document.routes import CallKind
from boragestream.entry.brittle import BrittlePart
from boragestream.entry.delegation import (
    DelegatedBy,
    prove_delegation,
    verify_delegation,
)
from boragestream.entry.exchange import PeerExchange
from boragestream.entry.reach import ReachPart
from boragestream.entry.reach_messages import NEVER, ReachReply
from boragestream.entry.server_seats import Seat, ServerSeats
from boragestream.policy.brittle_services import BrittleServices, parse_brittle
from boragestream.policy.cut_entries import ALL_SERVICES, CutEntries, ReachRecord
from boragestream.policy.delegates import Delegates
from boragestream.policy.granters import Granters
from boragestream.policy.peers import ListedEntry
from boragestream.policy.server_reach import ServerReach
from boragestream.policy.servers import Server, ServerTable
from boragestream.serving import delegation, forwarder
from boragestream.serving.forwarded_run import outcome_of
from boragestream.serving.reach_checks import ProbeResult, ReachChecks
from boragestream.serving.request import SentRecord
from tests.standins.clock import SetClock

SERVICE = "plain"
KEY = b"a-peer-key-of-the-tests"
WITNESS = "witness"


def server(number, incarnation="1"):
    """Return a server of the service."""
    host, centre = f"10.9.0.{number}:80", f"hall-{number}"
    return Server(f"s-{number}", SERVICE, host, centre, incarnation, slots=8)


def new_reach(context):
    """Make an entry's evidence; servers are two."""
    context.clock = SetClock()
    context.clock.seconds = 1000.0
    context.reach = ServerReach(context.clock, lambda service: 2)


@given('servers of one service in the regions "{regions}"')
def step(context, regions):
    context.clock = SetClock()
    table = ServerTable()
    table.take_list(
        replace(server(number), region=region)
        for number, region in enumerate(regions.split())
    )
    context.reach = ServerReach(context.clock, fewest_servers(table))


@when("calls fail at one of them with no answer in between")
def step(context):
    for _ in range(3):
        call = context.reach.begin(server(0), True)
        context.reach.end(call, failed=True)


@then("that raises {what} suspicion")
def step(context, what):
    assert context.reach.is_suspect(SERVICE) is (what == "a")


def answer(context, number, fresh):
    """Have a server answer a call."""
    call = context.reach.begin(server(number), fresh)
    context.reach.note_answer(call)
    context.reach.end(call, failed=False)


def refuse(context):
    """Have both servers refuse connections."""
    for number in (1, 2):
        now = context.clock.now()
        context.reach.note_failure(server(number), True, now)


def cut_off(context):
    """Cut the entry off and confirm it."""
    refuse(context)
    context.clock.seconds += 0.5
    assert context.reach.confirm(SERVICE, ["hall-1"], WITNESS, 0.0)


@given("an entry that was answered {seconds:g} s ago and whose calls are silent since")
def step(context, seconds):
    new_reach(context)
    answer(context, 1, fresh=True)
    context.abandoned = []
    for number, name in ((1, "repeatable"), (2, None)):
        abandon = (lambda: context.abandoned.append("repeatable")) if name else None
        context.reach.begin(server(number), True, abandon)
    context.clock.seconds += seconds
    context.reach.check_silence()
    assert context.reach.due_services() == [SERVICE]


@when("all its probes hang, and another entry was answered {age:g} s ago")
def step(context, age):
    context.evidence = context.reach.confirm(SERVICE, ["hall-1"], WITNESS, age)


@then("it reaches the service")
def step(context):
    assert context.evidence is None
    assert not context.reach.is_cut_off(SERVICE)


@then("it is cut off from the service")
def step(context):
    assert context.evidence.witness == WITNESS
    assert context.reach.is_cut_off(SERVICE, fresh=False)


@then("a call that may be repeated is abandoned, one that may not goes on")
def step(context):
    assert context.abandoned == ["repeatable"], context.abandoned


@given("an entry whose connects to 2 servers are refused")
def step(context):
    new_reach(context)
    refuse(context)


@then("the service is suspect")
def step(context):
    assert context.reach.is_suspect(SERVICE)
    assert context.reach.due_services() == [SERVICE]


@when("a check finds no other entry that was answered since")
def step(context):
    context.reach.note_unconfirmed(SERVICE)


@when(
    "{count:d} checks find that another entry was last answered {seconds:g} s "
    "{order} the first failure"
)
def step(context, count, seconds, order):
    clock = context.clock
    answered_at = clock.now() + (seconds if order == "after" else -seconds)

    def ask(address, message, timeout):
        return ReachReply((round((clock.now() - answered_at) * 1000),))

    check_with(context, count, ask)


@when("{count:d} checks find that the other entry {gives}")
def step(context, count, gives):
    replies = {
        "gives no answer": SimpleNamespace(describe=lambda: "no answer"),
        "was never answered": ReachReply((NEVER,)),
    }
    check_with(context, count, lambda *question: replies[gives])


def check_with(context, count, ask):
    """Make checks whose probes fail, and in which another entry is asked."""
    clock = context.clock
    witness = ListedEntry(WITNESS, "hall-1", "10.9.1.1:80", "10.9.1.1:81")
    checks = ReachChecks(
        "own",
        "hall-2",
        context.reach,
        CutEntries("own", "own-1", lambda name: "", clock),
        lambda server, timeout: ProbeResult(answered=False),
        lambda: [witness],
        lambda service: [server(1), server(2)],
        lambda: [SERVICE],
        SimpleNamespace(ask=ask),
        clock,
        random.Random(1),
    )
    for _ in range(count):
        clock.seconds += 0.25
        checks._check()


@then("the suspicion {result}")
def step(context, result):
    assert context.reach.is_suspect(SERVICE) is (result == "stays")
    assert not context.reach.cut_services


@then("the service is not suspect until calls fail anew")
def step(context):
    assert not context.reach.is_suspect(SERVICE)
    answer(context, 1, fresh=True)
    context.clock.seconds += 1
    refuse(context)
    assert context.reach.is_suspect(SERVICE)


@given("an entry that is cut off and is still answered on kept connections")
def step(context):
    new_reach(context)
    cut_off(context)
    answer(context, 1, fresh=False)


@then("calls that need a new connection can't reach the service, others can")
def step(context):
    assert context.reach.is_cut_off(SERVICE, fresh=True)
    assert not context.reach.is_cut_off(SERVICE, fresh=False)


@when("the kept connections are silent for {seconds:g} s")
def step(context, seconds):
    context.clock.seconds += seconds


@then("no call can reach the service")
def step(context):
    assert context.reach.is_cut_off(SERVICE, fresh=False)


@given("an entry that is cut off")
def step(context):
    new_reach(context)
    cut_off(context)


@when("it is cut off again {seconds:g} s later")
def step(context, seconds):
    context.clock.seconds += seconds
    cut_off(context)


@then("{count:d} answers on new connections end the cut")
def step(context, count):
    for number in range(count):
        assert context.reach.is_cut_off(SERVICE), number
        answer(context, 1, fresh=True)
    assert not context.reach.is_cut_off(SERVICE)


def new_cut_entries(context):
    """Make the table of one entry that knows one other."""
    context.clock = SetClock()
    context.incarnations = {"other": "first"}
    context.cut_entries = CutEntries(
        "own", "own-1", lambda name: context.incarnations.get(name, ""), context.clock
    )


def announce(context, number):
    """Have the other entry announce that it reaches nothing."""
    record = ReachRecord(
        "other", context.incarnations["other"], number, (ALL_SERVICES,)
    )
    assert context.cut_entries.take(record) is not None


@given("an entry that announced that it is cut off from all services")
def step(context):
    new_cut_entries(context)
    announce(context, 1)


@then("it owns nothing for others")
def step(context):
    assert context.cut_entries.reaching(["own", "other"], str, "stage") == ["own"]


@when("it has restarted")
def step(context):
    context.incarnations["other"] = "second"


@then("it may own queues again")
def step(context):
    assert list(context.cut_entries.reaching(["own", "other"], str)) == ["own", "other"]


@when("it announces the same and is not heard again for {seconds:d} s")
def step(context, seconds):
    announce(context, 1)
    assert context.cut_entries.is_cut_off("other")
    context.clock.seconds += seconds


@given("an entry whose cut is known to another one")
def step(context):
    new_cut_entries(context)
    context.own = CutEntries("other", "first", lambda name: "", context.clock)
    context.own.announce([ALL_SERVICES])
    ReachPart(context.cut_entries).take("other", ReachPart(context.own).offer(600))
    assert context.cut_entries.is_cut_off("other")


@when("it reaches its servers again, and {count:d} of its messages are lost in 5 s")
def step(context, count):
    context.own.announce([])
    for _ in range(count):
        ReachPart(context.own).offer(600)
        context.clock.seconds += 5 / count


@then("the other one knows that it is over after the next message")
def step(context):
    ReachPart(context.cut_entries).take("other", ReachPart(context.own).offer(600))
    assert not context.cut_entries.is_cut_off("other")


@then("the parts of cut entries and brittle services take no byte in a message")
def step(context):
    new_cut_entries(context)
    assert ReachPart(context.cut_entries).offer(600) == b""
    assert BrittlePart(BrittleServices(context.clock)).offer(600) == b""


@given("an exchange with a part")
def step(context):
    new_cut_entries(context)
    context.exchange = PeerExchange(None, None, "hall", context.clock, None)
    context.exchange.add_part(ReachPart(context.cut_entries))


@then("a second part of the same name is refused")
def step(context):
    for add in (context.exchange.add_part, context.exchange.add_last_part):
        try:
            add(ReachPart(context.cut_entries))
        except ValueError:
            continue
        raise AssertionError("it was taken")


@given("three entries that all announced that they are cut off")
def step(context):
    new_cut_entries(context)
    context.incarnations["third"] = "first"
    context.cut_entries.announce([ALL_SERVICES])
    for name in ("other", "third"):
        context.cut_entries.take(ReachRecord(name, "first", 1, (ALL_SERVICES,)))


@then("all three are ranked as before")
def step(context):
    names = ["own", "other", "third"]
    assert list(context.cut_entries.reaching(names, str)) == names


@given("the proof of a delegated request")
def step(context):
    context.proof = prove_delegation(KEY, "entry-1", "r-1", 1)
    assert verify_delegation(KEY, context.proof, "r-1") == DelegatedBy("entry-1", 1)


@then("with another {part} it proves nothing")
def step(context, part):
    key, proof, request_id = KEY, context.proof, "r-1"
    if part == "key":
        key = b"another-peer-key"
    elif part == "request id":
        request_id = "r-2"
    elif part == "sender":
        proof = proof.replace("entry-1", "entry-2")
    elif part == "number of runs":
        proof = proof.replace(" 1 ", " 0 ")
    else:
        proof = "entry-1 1 é"
    assert verify_delegation(key, proof, request_id) == DelegatedBy()


class OtherEntry:
    """The answer of an entry to a delegated request."""

    def __init__(self, claim, status, runs=1):
        """Answer with a status of the entry's own.

        :param runs: the attempts that it states.
        """
        self.head = SimpleNamespace(
            claim=claim, sealed=False, status=status, backoff_seconds=0.2, runs=runs
        )

    def read_blocks(self):
        """Return the body."""
        return [b"queue-full\n"]


@given("an entry that is cut off, with {count:d} other entries that {answers}")
def step(context, count, answers):
    new_reach(context)
    cut_off(context)
    entries = [ListedEntry(f"e-{n}", f"h-{n}", "", "hall") for n in range(count)]
    table = CutEntries("own", "1", lambda name: "", context.clock)
    delegates = Delegates(
        "own", lambda: entries, table, "hall", lambda centre: "", context.clock
    )
    context.sent_to = []

    def open_call(line, entry, call, scope):
        context.sent_to.append(entry.name)
        if answers == "can't be reached":
            return ConnectFailed(entry.name, Ran.NOT_SENT, "refused")
        call.encode(1.0)
        if answers == "break off":
            return AnswerCut(entry.name, Ran.MAY_HAVE_RUN, "reset")
        if answers == "fail":
            return OtherEntry(RunClaim.RAN, 502)
        if answers == "fail twice":
            return OtherEntry(RunClaim.RAN, 502, 2)
        return OtherEntry(RunClaim.NOT_RUN, 503)

    context.opened = delegation.open_forwarded_call
    delegation.open_forwarded_call = open_call
    context.add_cleanup(setattr, delegation, "open_forwarded_call", context.opened)
    context.parts = delegation.DelegationParts(
        delegates, None, lambda *head: b"", lambda request_id, runs: "proof"
    )


def delegable_run(context, route, delegated_by=""):
    """Return a request that may be served by another entry."""
    return SimpleNamespace(
        service=SERVICE,
        scope=CancelScope(context.clock.now() + 5),
        request=SimpleNamespace(
            request_id="r-1",
            method="POST",
            body=b"",
            last_event=None,
            resumes="",
            takes_up_stream=False,
        ),
        route=route,
        sent=SentRecord(),
        delegated_by=delegated_by,
        earlier_runs=0,
        version=None,
        regions=None,
        shared_parts=(),
        fingerprint=b"",
    )


@when("a request that {what} comes")
def step(context, what):
    repeatable = what == "may be repeated"
    route = SimpleNamespace(kind=CallKind.ONCE, repeatable=repeatable, attempts=3)
    by = "e-9" if "delegated" in what else ""
    context.run = delegable_run(context, route, by)
    retries = SimpleNamespace(spend=lambda service: True)
    asked = delegation.Delegation(context.parts, context.reach, context.run, retries)
    reason = asked.reason(fresh=True, unreached=False)
    assert list(asked.outcomes(reason, 0, lambda: None)) == []
    context.failure = asked.failure


@then("it was sent to {count:d} entries and ends as {end}")
def step(context, count, end):
    assert len(set(context.sent_to)) == len(context.sent_to) == count, context.sent_to
    assert isinstance(context.failure, Failure)
    outcome = outcome_of(context.run, context.failure)
    assert type(outcome).__name__.lower() == end, (outcome, context.failure)


@given("an entry whose connects to 2 servers are refused, with another entry")
def step(context):
    new_reach(context)
    refuse(context)
    other = ListedEntry("e-1", "h-1", "", "hall")
    table = CutEntries("own", "1", lambda name: "", context.clock)
    delegates = Delegates(
        "own", lambda: [other], table, "hall", lambda centre: "", context.clock
    )
    context.parts = delegation.DelegationParts(delegates, None, None, None)


def forwarding_of(context, runs, last_event, route):
    """Return the state of a request that could not be sent to a server."""
    run = SimpleNamespace(
        service=SERVICE,
        scope=CancelScope(context.clock.now() + 5),
        request=SimpleNamespace(request_id="r-1", last_event=last_event),
        route=route,
        sent=SentRecord(),
        delegated_by="",
        earlier_runs=runs,
        version=None,
        regions=None,
        shared_parts=(),
        fingerprint=b"",
    )
    return new_forwarding(context, run)


def new_forwarding(context, run, retries=None):
    """Return the state of a request before its first attempt."""
    parts = SimpleNamespace(
        quarantine=None,
        part_crashes=None,
        stages=None,
        retries=retries,
        clock=context.clock,
        line=SimpleNamespace(connections=None, reach=context.reach),
        other_servers=None,
        delegation=context.parts,
        regions=SimpleNamespace(several=False),
        shares=None,
        outstanding=None,
        oversized=None,
    )
    state = forwarder._Forwarding(parts, run)
    state._unreached = True
    return state


@when("a request with {attempts:d} attempts comes, while {left:d} repeats are left")
def step(context, attempts, left):
    route = SimpleNamespace(
        kind=CallKind.IDEMPOTENT, repeatable=True, attempts=attempts
    )
    context.run = delegable_run(context, route)
    repeats = iter([True] * left)
    retries = SimpleNamespace(spend=lambda service: next(repeats, False))
    state = new_forwarding(context, context.run, retries)
    assert list(state._delegate(state._delegation_reason())) == []
    context.failure = state._failure


@then("a request of which {runs:d} attempts may have run is {done}")
def step(context, runs, done):
    route = SimpleNamespace(kind=CallKind.IDEMPOTENT, repeatable=True, attempts=2)
    state = forwarding_of(context, runs, None, route)
    assert bool(state._delegation_reason()) is (done == "delegated")


@then("a stream with {events:d} events and {runs:d} runs of at most {most:d} is {done}")
def step(context, events, runs, most, done):
    route = SimpleNamespace(kind=CallKind.STREAM, repeatable=True, attempts=most)
    state = forwarding_of(context, runs, events or None, route)
    assert bool(state._delegation_reason()) is (done == "delegated")


@then('the header "{text}" says that a server {verdict}')
def step(context, text, verdict):
    assert parse_brittle(text.split(",")) is (verdict == "is brittle")


@given("a brittle service with {places:d} places at each server")
def step(context, places):
    context.clock = SetClock()
    context.services = BrittleServices(context.clock)
    context.services.note_answer(server(1), True, 0.0, True)
    context.server = server(1)
    assert context.services.places(context.server) == places


@when("a server rejects a call while {left:d} stay")
def step(context, left):
    context.services.note_rejected(SERVICE, left)


@when("all places are taken {seconds:g} s later")
def step(context, seconds):
    context.clock.seconds += seconds
    context.services.note_full(SERVICE)


@then("{places:d} calls may be at each server")
def step(context, places):
    assert context.services.places(server(1)) == places
    assert context.services.places(server(2)) == places


@when("a server comes back in a new incarnation")
def step(context):
    context.server = server(1, "2")


@then("{places:d} calls may be at it")
def step(context, places):
    assert context.services.places(context.server) == places


@when("an answer that was sent {seconds:g} s later does not say so")
def step(context, seconds):
    context.clock.seconds += seconds
    now = context.clock.now()
    context.services.note_answer(context.server, False, now, True)


@then("any number of calls may be at it")
def step(context):
    assert context.services.places(context.server) is None


@given("an entry that grants the {places:d} places at a brittle server")
def step(context, places):
    context.clock = SetClock()
    services = BrittleServices(context.clock)
    services.note_answer(server(1), True, 0.0, True)
    services.note_rejected(SERVICE, places)
    granters = Granters(lambda: ["own"], lambda s: s.name, context.clock)
    context.seats = ServerSeats(
        "own",
        services,
        granters,
        lambda name: name,
        lambda: True,
        None,
        lambda work: work(),
        context.clock,
    )
    # The entry has been the first in rank for long.
    granters.standing(server(1), "own")
    context.clock.seconds += 10


@when("{count:d} seats are taken for {seconds:g} s and never returned")
def step(context, count, seconds):
    for _ in range(count):
        assert isinstance(context.seats.acquire(server(1), seconds), Seat)


@then("no seat is free for {seconds:g} s, and one is free after that")
def step(context, seconds):
    rng = random.Random(1)
    until = context.clock.seconds + seconds
    while context.clock.seconds < until - 0.1:
        assert not isinstance(context.seats.acquire(server(1), 1.0), Seat)
        context.clock.seconds += rng.uniform(0.05, 0.1)
    context.clock.seconds = until + 0.1
    assert isinstance(context.seats.acquire(server(1), 1.0), Seat)


@when(
    "all {places:d} are taken and the {order} {count:d} are rejected and returned "
    "{when}"
)
def step(context, places, order, count, when):
    context.services, clock = context.seats.services, context.clock
    seats = [context.seats.acquire(server(1), 1.0) for _ in range(places)]
    assert all(isinstance(seat, Seat) for seat in seats), seats
    rejected = seats[:count] if order == "first" else seats[-count:]
    others = [seat for seat in seats if seat not in rejected]
    if when != "at once":
        clock.seconds += 0.1
        for seat in others:
            context.seats.release(seat)
    if when.endswith("as many calls since"):
        later = [context.seats.acquire(server(1), 1.0) for _ in others]
        assert all(isinstance(seat, Seat) for seat in later), later
        clock.seconds += 0.1
        for seat in later:
            context.seats.release(seat)
    for seat in rejected:
        clock.seconds += 0.05
        context.seats.release(seat, rejected=True)


@given("a connection whose dead peer is to be detected")
def step(context):
    listener = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(listener.close)
    context.sock = socket.create_connection(listener.getsockname())
    context.add_cleanup(context.sock.close)
    detect_dead_peer(context.sock)


@then(
    "its probes and its unacknowledged data end it after {least:d} to {most:d} seconds"
)
def step(context, least, most):
    def option(name):
        return context.sock.getsockopt(socket.IPPROTO_TCP, name)

    unacknowledged = option(socket.TCP_USER_TIMEOUT) / 1000
    idle, interval = option(socket.TCP_KEEPIDLE), option(socket.TCP_KEEPINTVL)
    # The kernel ends it with the first probe that is due after this time, whatever
    # the number of probes.
    probes = idle
    while probes < unacknowledged:
        probes += interval
    assert context.sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    assert least < unacknowledged < most, unacknowledged
    assert least < probes < most, probes
