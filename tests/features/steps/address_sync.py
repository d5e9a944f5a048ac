"""Steps on the synchronisation of address books, within one process."""

import random

from behave import given, then, when

from boragestream.entry.address_sync import AddressSync
from boragestream.entry.addresses import AddressBook
from boragestream.entry.messages import Envelope
from boragestream.entry.parts import collect_offers, distribute_offers
from boragestream.policy.peers import ListedEntry
from boragestream.policy.queue_owners import owner_ranking
from tests.standins.clock import SetClock

SERVICES = ("first", "second", "third")
ROUND_SECONDS = 1.0
FAN_OUT = 2
# Interval at which an entry checks whether to request a book.
CHECK_INTERVAL_SECONDS = 0.25
# The membership part uses this many bytes of each message.
MEMBERSHIP_BYTES = 220


class Membership:
    """Fills the bytes of a message that the membership part takes up."""

    name = "m"

    def offer(self, budget):
        """Return as many bytes as the membership part does."""
        return b"x" * MEMBERSHIP_BYTES

    def take(self, sender, data):
        """Ignore the data."""


class EntryGroup:
    """Entries by name, and the number of books requested."""

    def __init__(self, count):
        """Start all entries."""
        self.clock = SetClock()
        self.rng = random.Random(1)
        self.names = [f"10.{n % 5}.{n // 5}.7:8741" for n in range(count)]
        self.requests_sent = 0
        self.entries = {}
        for name in self.names:
            self.start(name)

    def start(self, name):
        """Start an entry that knows only the seeds."""
        entry = Entry(name, self)
        entry.book.add_seeds(self.names[:3])
        self.entries[name] = entry

    def ask(self, address, message, seconds):
        """Deliver a request for a book."""
        self.requests_sent += 1
        envelope = Envelope(1, "routes", "asker", "1", b"", b"")
        return self.entries[address].sync.answer(envelope, message)

    def check_all(self):
        """Have each entry request a book if it has not converged."""
        for entry in self.rng.sample(list(self.entries.values()), len(self.names)):
            entry.sync.request_until_agreed()

    def round(self):
        """Have each entry exchange a message with some of the entries it knows."""
        for entry in self.rng.sample(list(self.entries.values()), len(self.names)):
            known = [e.name for e in entry.book.entries if e.name != entry.name]
            for name in self.rng.sample(known, min(FAN_OUT, len(known))):
                entry.exchange(self.entries[name])
            self.clock.seconds += ROUND_SECONDS / len(self.names)
        self.check_all()


class Entry:
    """One entry's address book and the parts of its messages."""

    def __init__(self, name, group):
        """Start with only its own record."""
        self.name, self.group, self.turn = name, group, 0
        listed = ListedEntry(name, name.replace("8741", "8000"), name, "hall")
        self.book = AddressBook(listed, group.rng, lambda entries: None)
        self.sync = AddressSync(
            self.book, group, lambda work: work(), group.clock, group.rng
        )
        self.parts = [Membership(), self.book, self.sync]

    def message(self):
        """Return the parts of one message."""
        self.turn += 1
        return collect_offers(self.parts, self.turn)

    def exchange(self, other):
        """Exchange messages with another entry."""
        own_parts, other_parts = self.message(), other.message()
        distribute_offers(other.parts, self.name, own_parts)
        distribute_offers(self.parts, other.name, other_parts)

    def owners(self):
        """Return which entry it considers the owner of each service's queue."""
        names = [entry.name for entry in self.book.entries if entry.host]
        return [owner_ranking(service, names)[0] for service in SERVICES]


@given("{count:d} entries that know three seeds each")
def step(context, count):
    context.group = EntryGroup(count)


@given("all have run for {rounds:d} rounds")
@when("all have run for {rounds:d} rounds")
def step(context, rounds):
    context.requests_before = context.group.requests_sent
    for _ in range(rounds):
        context.group.round()


@when("all have looked {count:d} times whom to ask, and no round was")
def step(context, count):
    for _ in range(count):
        context.group.clock.seconds += CHECK_INTERVAL_SECONDS
        context.group.check_all()


@when("one entry starts again")
def step(context):
    context.group.start(context.group.names[-1])


@then("every entry knows all others, and all name the same owner of each queue")
def step(context):
    entries = context.group.entries.values()
    known = {sum(bool(e.host) for e in entry.book.entries) for entry in entries}
    assert known == {len(entries)}, known
    assert len({tuple(entry.owners()) for entry in entries}) == 1


@then("nobody has asked for a book since")
def step(context):
    assert context.group.requests_sent == context.requests_before
