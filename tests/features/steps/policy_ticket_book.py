"""Steps on granting tickets and recording their outcomes."""

import sys
from concurrent.futures import ThreadPoolExecutor
from threading import Barrier

import msgspec
from behave import given, then, when
from hypothesis import given as for_any
from hypothesis import settings
from hypothesis import strategies as st

from boragestream.base.failures import CallerGone
from boragestream.base.outcomes import Answered, Failed, Refused
from boragestream.policy.ticket_book import (
    RETENTION_SECONDS,
    Ended,
    Grant,
    InProgress,
    TicketBook,
)
from boragestream.policy.tickets import (
    TicketForeign,
    TicketForged,
    TicketForgotten,
    TicketNotUsed,
    TicketReused,
    TicketsExhausted,
    read_ticket,
)
from tests.standins.clock import SetClock

TICKET_SECONDS = 30.0
# Threads switch often enough to expose a missing lock.
SWITCH_SECONDS = 1e-6
EXAMPLES = 300
CONTENT = b"digest"
ACTIONS = st.tuples(
    st.sampled_from(["issue", "claim", "claim", "burn", "finish", "restart"]),
    st.integers(0, 3),
    st.sampled_from(
        [0.0, 0.0, 1.0, TICKET_SECONDS, RETENTION_SECONDS, 1e6, -TICKET_SECONDS]
    ),
)


def new_book(clock, incarnation=0, **bounds):
    """Return the ticket book of one incarnation."""
    key = b"key of incarnation %d" % incarnation
    return TicketBook("entry-1", f"i-{incarnation}", key, clock, **bounds)


@then('in any interleaving a ticket is granted at most once and never after "not run"')
def step(context):
    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
    @for_any(st.lists(ACTIONS, max_size=40))
    def check(actions):
        apply_actions(actions)

    check()


def apply_actions(actions):
    """Apply actions to the books of successive incarnations and check each reply."""
    clock = SetClock()
    book, incarnation, tickets, grants, outcomes = new_book(clock), 0, [], {}, {}
    for action, choice, seconds in actions:
        clock.seconds += seconds
        if action == "issue":
            text = book.issue("ledger-desk", TICKET_SECONDS)
            tickets += [] if isinstance(text, TicketsExhausted) else [text]
        elif action == "restart":
            incarnation += 1
            book = new_book(clock, incarnation)
        elif tickets:
            text = tickets[choice % len(tickets)]
            reply = apply_action(book, action, text, grants)
            check_reply(text, reply, outcomes)


def apply_action(book, action, text, grants):
    """Apply one action to a ticket; fail on a second grant."""
    ticket = read_ticket(text)
    if action == "burn":
        return book.void_unused(ticket, "ledger-desk", "r-burn", TicketNotUsed())
    if action == "finish":
        granted = grants.get(text)
        if granted is None or granted[0] is not book:
            return None
        answer = Answered(msgspec.Raw(b"{}"))
        return book.finish(granted[1], "r-1", answer, "/ask")
    reply = book.claim(ticket, "ledger-desk", "r-1", CONTENT)
    if isinstance(reply, Grant):
        assert text not in grants, "granted twice"
        grants[text] = (book, reply)
    return reply


def check_reply(text, reply, outcomes):
    """Check that an ended ticket keeps its outcome until its record is dropped."""
    earlier = outcomes.get(text)
    if earlier is not None:
        forgotten = isinstance(reply, TicketForgotten | TicketForged | None)
        assert forgotten or reply == earlier, (earlier, reply)
    if isinstance(reply, Ended):
        outcomes[text] = reply


@given("a book of {tickets:d} tickets and {size:d} bytes")
def step(context, tickets, size):
    context.clock = SetClock()
    context.book = new_book(context.clock, max_tickets=tickets, max_bytes=size)


@when("{count:d} threads claim one ticket at once, {times:d} times over")
def step(context, count, times):
    context.grants = []
    barrier = Barrier(count)

    def claim(ticket):
        barrier.wait()
        return context.book.claim(ticket, "a", "r", CONTENT)

    usual = sys.getswitchinterval()
    sys.setswitchinterval(SWITCH_SECONDS)
    with ThreadPoolExecutor(count) as pool:
        for _ in range(times):
            # Earlier tickets expire, so that the account's limit does not end the test.
            context.clock.seconds += TICKET_SECONDS + 2 * RETENTION_SECONDS
            ticket = read_ticket(context.book.issue("a", TICKET_SECONDS))
            replies = pool.map(claim, [ticket] * count)
            grants = [r for r in replies if isinstance(r, Grant)]
            context.grants.append(len(grants))
            context.book.finish(grants[0], "r", Failed(CallerGone(), 1.0), "/ask")
    sys.setswitchinterval(usual)


@then("each time one of them may run it")
def step(context):
    assert set(context.grants) == {1}, context.grants


@when("tickets are issued to {accounts:d} accounts until one is refused")
def step(context, accounts):
    context.issued = []
    while True:
        account = f"a-{len(context.issued) % accounts}"
        context.reply = context.book.issue(account, TICKET_SECONDS)
        if isinstance(context.reply, TicketsExhausted):
            return
        context.issued.append(read_ticket(context.reply))


@then('{count:d} were issued and the bound is "{limit}"')
def step(context, count, limit):
    assert len(context.issued) == count
    assert context.reply == TicketsExhausted(limit)


@then("no ticket is forgotten before its margin has passed")
def step(context):
    for ticket in context.issued:
        assert isinstance(
            context.book.claim(ticket, ticket.account, "r", CONTENT), Grant
        )
    context.clock.seconds += TICKET_SECONDS + RETENTION_SECONDS - 0.1
    assert isinstance(context.book.issue("a-0", TICKET_SECONDS), TicketsExhausted)
    for ticket in context.issued:
        grant = Grant(ticket.sequence, 0.0)
        context.book.finish(grant, "r", Refused(CallerGone()), "/ask")


@when("the margin has passed")
def step(context):
    context.clock.seconds += RETENTION_SECONDS + 0.1


@then("a ticket can be issued again")
def step(context):
    assert isinstance(context.book.issue("a-0", TICKET_SECONDS), str)
    assert context.book.remembered == 1


@when("a ticket is run and its answer has {size:d} bytes")
def step(context, size):
    context.ticket = read_ticket(context.book.issue("a", TICKET_SECONDS))
    grant = context.book.claim(context.ticket, "a", "r", CONTENT)
    answer = Answered(msgspec.Raw(b"1" * size))
    context.book.finish(grant, "r", answer, "/ask")


@then('its state is "{outcome}" for "{code}"')
def step(context, outcome, code):
    state = context.book.claim(context.ticket, "a", "r-2", CONTENT)
    assert type(state.outcome).__name__.lower() == outcome
    assert state.outcome.failure.code == code


@when("a ticket's run takes {seconds:d} s")
def step(context, seconds):
    context.ticket = read_ticket(context.book.issue("a", TICKET_SECONDS))
    context.grant = context.book.claim(context.ticket, "a", "r", CONTENT)
    context.clock.seconds += seconds


@then("it is in progress before the end and ended for the margin after it")
def step(context):
    assert context.book.claim(context.ticket, "a", "r-2", CONTENT) == InProgress("r")
    outcome = Refused(CallerGone())
    ended = context.book.finish(context.grant, "r", outcome, "/ask")
    for seconds in (0.0, RETENTION_SECONDS - 0.1):
        context.clock.seconds += seconds
        assert context.book.claim(context.ticket, "a", "r-2", CONTENT) == ended
    context.clock.seconds += 0.2
    assert context.book.claim(context.ticket, "a", "r-2", CONTENT) == TicketForgotten()


@then("a ticket with any field changed is not granted")
def step(context):
    ticket = read_ticket(context.book.issue("a", TICKET_SECONDS))
    for name in ticket.__struct_fields__:
        value = getattr(ticket, name)
        other = value + 1 if isinstance(value, int) else value[:-1]
        changed = msgspec.structs.replace(ticket, **{name: other})
        assert (
            context.book.claim(changed, changed.account, "r", CONTENT) == TicketForged()
        )


@then("a ticket used by another account is not granted")
def step(context):
    ticket = read_ticket(context.book.issue("a", TICKET_SECONDS))
    assert context.book.claim(ticket, "b", "r", CONTENT) == TicketForeign()


@then("a ticket used for another input is not answered by the first one's answer")
def step(context):
    ticket = read_ticket(context.book.issue("a", TICKET_SECONDS))
    assert isinstance(context.book.claim(ticket, "a", "r", CONTENT), Grant)
    assert context.book.claim(ticket, "a", "r", b"other") == TicketReused()
