"""Steps on address books that are compared, without a process."""

import random

from behave import given, then, when

from boragestream.entry.address_sync import AddressSync
from boragestream.entry.addresses import AddressBook
from boragestream.entry.messages import Envelope
from boragestream.entry.parts import collect, hand_out
from boragestream.policy.peers import ListedEntry
from boragestream.policy.queue_owners import owner_order
from tests.standins.clock import SetClock

SERVICES = ("first", "second", "third")
ROUND_SECONDS = 1.0
FAN_OUT = 2
# An entry looks this often whether it has to ask somebody.
LOOK_SECONDS = 0.25
# What membership says in each message takes up room too.
MEMBERSHIP_BYTES = 220


class Membership:
    """Takes up the room that membership does."""

    name = "m"

    def offer(self, budget):
        """Return as many bytes as membership has."""
        return b"x" * MEMBERSHIP_BYTES

    def take(self, sender, data):
        """Take nothing."""


class Crowd:
    """Entries by their names, and the books asked for."""

    def __init__(self, count):
        """Start all of them."""
        self.clock = SetClock()
        self.rng = random.Random(1)
        self.names = [f"10.{n % 5}.{n // 5}.7:8741" for n in range(count)]
        self.asked = 0
        self.entries = {}
        for name in self.names:
            self.start(name)

    def start(self, name):
        """Start an entry that knows the seeds alone."""
        entry = Entry(name, self)
        entry.book.add_seeds(self.names[:3])
        self.entries[name] = entry

    def ask(self, address, message, seconds):
        """Carry a question for a book."""
        self.asked += 1
        envelope = Envelope(1, "routes", "asker", "1", b"", b"")
        return self.entries[address].sync.answer(envelope, message)

    def looks(self):
        """Have each entry look whether it has to ask somebody."""
        for entry in self.rng.sample(list(self.entries.values()), len(self.names)):
            entry.sync.look_again()

    def round(self):
        """Have each entry swap a message with some that it knows."""
        for entry in self.rng.sample(list(self.entries.values()), len(self.names)):
            known = [e.name for e in entry.book.entries if e.name != entry.name]
            for name in self.rng.sample(known, min(FAN_OUT, len(known))):
                entry.swap(self.entries[name])
            self.clock.seconds += ROUND_SECONDS / len(self.names)
        self.looks()


class Entry:
    """One entry's book and the parts of its messages."""

    def __init__(self, name, crowd):
        """Begin with itself."""
        self.name, self.crowd, self.turn = name, crowd, 0
        listed = ListedEntry(name, name.replace("8741", "8000"), name, "hall")
        self.book = AddressBook(listed, crowd.rng, lambda entries: None)
        self.sync = AddressSync(
            self.book, crowd, lambda work: work(), crowd.clock, crowd.rng
        )
        self.parts = [Membership(), self.book, self.sync]

    def message(self):
        """Return the parts of one message."""
        self.turn += 1
        return collect(self.parts, self.turn)

    def swap(self, other):
        """Swap messages with another entry."""
        mine, theirs = self.message(), other.message()
        hand_out(other.parts, self.name, mine)
        hand_out(self.parts, other.name, theirs)

    def owners(self):
        """Return whom it takes for the owner of each queue."""
        names = [entry.name for entry in self.book.entries if entry.host]
        return [owner_order(service, names)[0] for service in SERVICES]


@given("{count:d} entries that know three seeds each")
def step(context, count):
    context.crowd = Crowd(count)


@given("all have run for {rounds:d} rounds")
@when("all have run for {rounds:d} rounds")
def step(context, rounds):
    context.asked_before = context.crowd.asked
    for _ in range(rounds):
        context.crowd.round()


@when("all have looked {count:d} times whom to ask, and no round was")
def step(context, count):
    for _ in range(count):
        context.crowd.clock.seconds += LOOK_SECONDS
        context.crowd.looks()


@when("one entry starts again")
def step(context):
    context.crowd.start(context.crowd.names[-1])


@then("every entry knows all others, and all name the same owner of each queue")
def step(context):
    entries = context.crowd.entries.values()
    known = {sum(bool(e.host) for e in entry.book.entries) for entry in entries}
    assert known == {len(entries)}, known
    assert len({tuple(entry.owners()) for entry in entries}) == 1


@then("nobody has asked for a book since")
def step(context):
    assert context.crowd.asked == context.asked_before
