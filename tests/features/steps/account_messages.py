"""Steps on the room that reports of demand take up in the exchange of entries."""

import random
from types import SimpleNamespace

from behave import given, then, when

from boragestream.base.route_settings import AccountSettings, PlatformSettings
from boragestream.daemon.account_parts import make_account_parts
from boragestream.entry.demand import DemandPart
from boragestream.entry.exchange import PeerExchange
from boragestream.entry.messages import Exchange
from boragestream.entry.parts import EXCHANGE_BYTES
from boragestream.policy.demand import AccountDemand, DemandTable
from tests.standins.clock import SetClock

SENDER = SimpleNamespace(sender="peer")


class FixedPart:
    """A part of the exchange whose data never changes."""

    def __init__(self, name, size):
        """Remember what is offered."""
        self.name = name
        self._data = b"x" * size

    def offer(self, budget):
        """Return the data."""
        return self._data

    def take(self, sender, data):
        """Ignore what comes."""


@given(
    "an entry whose messages carry a part of {size:d} bytes after the reports of demand"
)
def step(context, size):
    context.clock = SetClock()
    directory = SimpleNamespace(note_reached=lambda name: None)
    context.exchange = PeerExchange(
        None, directory, "hall", context.clock, random.Random(1)
    )
    for name, small in (("m", 90), ("c", 20), ("a", 12), ("q", 8)):
        context.exchange.add_part(FixedPart(name, small))
    settings = SimpleNamespace(
        accounts=AccountSettings(fair_shares=True), platform=PlatformSettings(())
    )
    members = SimpleNamespace(
        exchange=context.exchange, entries=SimpleNamespace(usable=tuple)
    )
    context.parts = make_account_parts(
        settings, "10.0.0.1:8741", "incarnation1", members, context.clock
    )
    context.exchange.add_part(FixedPart("l", 7))
    context.exchange.add_part(FixedPart("p", size))


@given(
    "it has demand of {accounts:d} accounts and reports of {entries:d} other entries"
)
def step(context, accounts, entries):
    services = context.parts.services
    for number in range(accounts):
        for _ in range(number + 1):
            services.admit("service", f"account-{number}", 0)
    demand = {key: AccountDemand(rate=2.5) for key in range(2**31, 2**31 + 24)}
    for number in range(entries):
        name = f"10.0.1.{number}:8741"
        table = DemandTable(name, context.clock)
        part = DemandPart(name, "incarnation", table, lambda: demand, lambda: 0.0)
        message = Exchange({part.name: part.offer(EXCHANGE_BYTES)})
        context.exchange.answer(SimpleNamespace(sender=name), message)


@when("it answers {count:d} exchanges")
def step(context, count):
    context.answers = []
    for _ in range(count):
        context.clock.seconds += 0.25
        context.answers.append(context.exchange.answer(SENDER, Exchange({})).parts)


@then("each answer has the other part, and each its own report too")
def step(context):
    without = [a for a in context.answers if "p" not in a or "d" not in a]
    assert not without, (len(without), [sorted(a) for a in without][:3])
