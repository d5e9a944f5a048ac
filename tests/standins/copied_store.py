"""A store of few values that can come back from a copy, and entries' tables before it.

Nothing runs by itself: a test has the entries ask, and pass on what they know.
"""

from boragestream.policy.operator_table import OperatorTable
from boragestream.policy.publication import NO_ERA, Change, Changes, Snapshot
from boragestream.policy.published_table import AnswerStatus, PublishedTable

KEPT_CHANGES = 4
ORDERS = "op/"


class Copied:
    """What a store holds, with copies of it; a subclass sets the attributes."""

    def copy(self):
        """Return what stands now."""
        return dict(self.values), dict(self.written), list(self.history), self.revision

    def return_from(self, copy):
        """Come back from a copy."""
        values, written, history, self.revision = copy
        self.values, self.written = dict(values), dict(written)
        self.history = list(history)
        self.era += 1


class CopiedStore(Copied):
    """A store of servers and orders that can come back from a copy."""

    def __init__(self):
        """Be empty."""
        self.era, self.revision = 1, 0
        self.values, self.written, self.history = {}, {}, []
        self.names_era = True

    def write(self, text):
        """Write "a=1" (a value), "op/1" (an order) or "a-" (a removal), in turn."""
        for word in text.split():
            self.revision += 1
            key, _, value = word.rstrip("-").partition("=")
            removed = word.endswith("-")
            self.history.append(
                Change(key, self.revision, None if removed else value.encode())
            )
            if removed:
                self.values.pop(key, None)
            else:
                self.values[key] = value.encode()
                self.written[key] = self.revision

    def named_era(self):
        """Return the era of the answers."""
        return self.era if self.names_era else NO_ERA

    def read(self, orders):
        """Answer a read of the servers or of the orders."""
        values = {
            k: v for k, v in self.values.items() if k.startswith(ORDERS) is orders
        }
        return Snapshot(self.revision, values, self.named_era(), dict(self.written))

    def watch(self, orders, revision):
        """Answer a watch; None where the history is not there."""
        if revision > self.revision:
            return None
        changes = tuple(
            c
            for c in self.history
            if c.revision > revision and c.key.startswith(ORDERS) is orders
        )
        return Changes(self.revision, changes, self.named_era())


class Follower:
    """One entry's tables."""

    def __init__(self, clock, store):
        """Know nothing."""
        self.store = store
        self.servers = PublishedTable(clock.now, KEPT_CHANGES)
        self.operators = OperatorTable(clock.now, ORDERS)

    @property
    def tables(self):
        """Both tables, each with whether it is that of the orders."""
        return (self.servers, False), (self.operators, True)

    def ask(self):
        """Ask the store as an entry does: watch, and read where that is no use."""
        for table, orders in self.tables:
            answer = None
            if table.position is not None:
                answer = self.store.watch(orders, table.revision)
            if (
                answer is None
                or table.answer_status(answer) is AnswerStatus.UNCONNECTED
            ):
                answer = self.store.read(orders)
            table.apply_answer(answer)

    def hear(self, other):
        """Take what another entry passes on."""
        drained = other.operators.drained_centres()
        if drained is not None:
            self.operators.apply_relayed(drained)
        relayed = other.servers.changes_since(self.servers.revision, self.servers.era)
        if relayed is not None:
            self.servers.apply_relayed(relayed)

    def look_again(self):
        """End what is over."""
        self.servers.drop_expired()
        self.operators.drop_expired()

    def shown(self, key):
        """Return what is used of a key."""
        self.look_again()
        if key.startswith(ORDERS):
            return "given" if key in self.operators.values else "gone"
        return self.servers.values.get(key, b"gone").decode()
