"""Many entries that follow one store, in simulated time, without a process or socket.

The entries run the project's own decisions (``policy.watching``, ``policy.confirming``)
and tables; the store, the calls at it and the rounds between entries are simulated: a
round each second with one entry of the own data centre and one of another, three at
once after news. While the store loses questions, those that come are never answered;
those that wait already are, once it answers again.
"""

import random

from boragestream.daemon.publication import LOST_WATCH_SECONDS
from boragestream.policy.confirming import ConfirmationSchedule
from boragestream.policy.operator_table import OperatorTable
from boragestream.policy.publication import Change, Changes, Position, Snapshot
from boragestream.policy.published_table import AnswerStatus, PublishedTable
from boragestream.policy.watchers import is_first_watcher, select_watchers
from boragestream.policy.watching import MAX_AGE_SECONDS, StoreCallSchedule
from tests.standins.clock import SetClock
from tests.standins.copied_store import Copied

TICK_SECONDS = 0.1
WATCH_SECONDS = 28.0
ROUND_SECONDS = 1.0
NEWS_GAP_SECONDS = 0.1
NEWS_BURST = 5
# A cut connection is noticed by probes after so long.
PROBES_SECONDS = 3.0
PREFIXES = {"configuration": False, "servers": True}
# Begins the keys of drained data centres, which are told with the configuration.
DRAINED = "drained/"
KEPT_CHANGES = 64


def is_of(key, prefix):
    """Tell whether a key is published under a prefix."""
    return key.startswith(DRAINED) is (prefix == "configuration")


class SimulatedStore(Copied):
    """What is published, and whom it turns away."""

    def __init__(self):
        """Begin with one server."""
        self.era = 1
        self.revision = 1
        self.values = {"a": b"1"}
        self.written = {"a": 1}
        self.history = []
        self.oldest = 0
        # Whether each watch is told that its history is gone.
        self.refuses_watches = False
        self.down = False
        self.loses = False
        # Whether watches are told nothing; they wait until they are cut.
        self.silent = False
        self.turned_away = set()
        self.calls = 0

    def serves(self, name):
        """Tell whether it answers an entry."""
        return not self.down and name not in self.turned_away

    def publish(self, key, value):
        """Publish a value; None removes it."""
        self.revision += 1
        if value is None:
            self.values.pop(key)
        else:
            self.values[key] = value
            self.written[key] = self.revision
        self.history.append(Change(key, self.revision, value))

    def has_history(self, revision):
        """Tell whether it has the changes since a revision."""
        if self.refuses_watches:
            return False
        return self.oldest <= revision <= self.revision

    def drop_history(self, entries):
        """Drop the history and cut all watches."""
        self.silent = False
        self.forget()
        for entry in entries:
            for prefix in list(entry.pending):
                began, _ = entry.pending.pop(prefix)
                entry.end_unanswered(prefix, began)

    def forget(self):
        """Drop the history."""
        self.oldest = self.revision
        self.history.clear()


class SimulatedEntry:
    """One entry: its decisions, its calls under way, its rounds."""

    def __init__(self, name, centre, site):
        """Start."""
        self.name, self.centre, self.site = name, centre, site
        self.alive = True
        # Cut off from all other entries.
        self.alone = False
        self.starts()

    def starts(self):
        """Begin knowing nothing."""
        site = self.site
        self.following = StoreCallSchedule(
            site.clock,
            site.rng,
            PREFIXES,
            site.bound,
            self.designated,
            lambda: len(site.running()),
        )
        self.confirming = ConfirmationSchedule(
            site.clock,
            site.rng,
            PREFIXES,
            site.bound,
            lambda: is_first_watcher(self.name, site.running()),
        )
        self.table = PublishedTable(
            site.clock.now, KEPT_CHANGES, bound_seconds=site.bound
        )
        self.operators = OperatorTable(site.clock.now, DRAINED)
        self.configuration_known = False
        # Calls that are never answered, and when the entry gives them up.
        self.lost = {}
        self.lost_question_until = None
        self.lost_question = ""
        # By prefix: when the call began and until when it waits.
        self.pending = {}
        self.reread = set()
        self.round_at = site.clock.now() + site.rng.random() * ROUND_SECONDS
        self.news_at = None
        self.news_left = float(NEWS_BURST)
        self.alive = True

    def designated(self):
        """Tell whether this entry is a watcher, by the entries that run."""
        peers = [e for e in self.site.running() if e.centre == self.centre]
        return self.name in select_watchers(e.name for e in peers)

    def table_of(self, prefix):
        """Return the table of what is published under a prefix."""
        return self.table if prefix == "servers" else self.operators

    def step(self):
        """Begin and end calls."""
        for prefix in PREFIXES:
            if prefix in self.pending:
                self.try_to_end(prefix)
            elif self.following.should_call(prefix):
                self.site.store.calls += 1
                known = self.table_of(prefix).revision is not None
                wait = self.following.wait_seconds(prefix, WATCH_SECONDS)
                now = self.site.clock.now()
                self.pending[prefix] = (now, now + wait if known else now)
                if self.site.store.loses:
                    limit = self.following.answer_seconds(prefix)
                    self.lost[prefix] = now + wait + limit
                self.try_to_end(prefix)

    def confirm(self):
        """Ask questions that do not wait where it is time."""
        now = self.site.clock.now()
        if self.lost_question_until is not None:
            if now >= self.lost_question_until:
                self.lost_question_until = None
                self.note_unanswered(self.lost_question)
            return
        for prefix in PREFIXES:
            waits = self.following.has_pending_watch(prefix)
            if not waits or not self.confirming.should_read(prefix):
                continue
            self.site.store.calls += 1
            if self.site.store.loses or self.site.store.silent:
                self.lost_question_until = now + self.confirming.answer_seconds()
                self.lost_question = prefix
                return
            if not self.site.store.serves(self.name):
                self.note_unanswered(prefix)
                return
            self.table.note_answer(now, self.confirming.last_answered_at)
            if not self.take(prefix):
                self.site.store.calls += 1
                self.take(prefix)
            self.following.note_confirmed(prefix, now)
            self.confirming.note_answer(prefix, now)

    def note_unanswered(self, prefix):
        """Take that a question that does not wait was not answered."""
        self.table.note_failure()
        self.following.note_unanswered()
        self.confirming.note_failure(prefix)

    def try_to_end(self, prefix):
        """End a call that has an answer or fails."""
        store, now = self.site.store, self.site.clock.now()
        began, until = self.pending[prefix]
        if prefix in self.lost:
            if now >= self.lost[prefix]:
                del self.lost[prefix], self.pending[prefix]
                self.end_unanswered(prefix, began)
            return
        if store.loses or (store.silent and not self.reads(prefix)):
            return
        if not store.serves(self.name):
            del self.pending[prefix]
            self.end_unanswered(prefix, began)
            return
        if not self.has_news(prefix, began) and now < until:
            return
        del self.pending[prefix]
        of_watch = not self.reads(prefix)
        self.table.note_answer(now, self.confirming.last_answered_at)
        if not self.take(prefix):
            self.following.note_unusable(prefix)
            return
        self.following.note_answer(prefix, of_watch)
        self.confirming.note_answer(prefix, now)

    def reads(self, prefix):
        """Tell whether the next question reads all, in place of what has changed."""
        return self.table_of(prefix).position is None or prefix in self.reread

    def has_news(self, prefix, began):
        """Tell whether the store answers a question at once."""
        store, known = self.site.store, self.table_of(prefix).position
        if self.reads(prefix) or known.era != store.era:
            return True
        if not store.has_history(known.revision):
            return True
        if known.revision >= store.revision:
            return False
        return began == self.site.clock.now() or bool(self.changes(prefix))

    def end_unanswered(self, prefix, began):
        """Take that a call was not answered."""
        waited = self.following.has_pending_watch(prefix)
        lately = max(began, self.site.clock.now() - LOST_WATCH_SECONDS)
        if waited and self.confirming.confirmed_since(prefix, lately):
            self.following.note_call_lost(prefix)
            return
        self.table.note_failure()
        self.following.note_failure(prefix)

    def changes(self, prefix):
        """Return what the store has published since this entry's revision."""
        after = self.table_of(prefix).revision
        history = self.site.store.history
        return [c for c in history if c.revision > after and is_of(c.key, prefix)]

    def take(self, prefix):
        """Take an answer; False where the history is gone."""
        store, table = self.site.store, self.table_of(prefix)
        if self.reads(prefix):
            self.reread.discard(prefix)
            values = {k: v for k, v in store.values.items() if is_of(k, prefix)}
            answer = Snapshot(store.revision, values, store.era, dict(store.written))
        elif not store.has_history(table.revision):
            self.reread.add(prefix)
            return False
        else:
            answer = Changes(store.revision, tuple(self.changes(prefix)), store.era)
        standing = table.answer_status(answer)
        if standing is not AnswerStatus.USABLE:
            if standing is AnswerStatus.UNCONNECTED:
                self.reread.add(prefix)
            return False
        if prefix == "configuration":
            self.configuration_known = True
        if table.apply_answer(answer):
            self.note_news()
        return True

    def note_news(self):
        """Have a round brought forward."""
        if self.news_at is None and self.news_left >= 1:
            self.news_left -= 1
            self.news_at = self.site.clock.now() + NEWS_GAP_SECONDS

    def rounds(self):
        """Swap words with other entries where it is time."""
        now = self.site.clock.now()
        self.news_left = min(NEWS_BURST, self.news_left + TICK_SECONDS)
        if self.news_at is not None and now >= self.news_at:
            self.news_at = None
            for other in self.site.peers(self, 3):
                self.swap(other)
        if now >= self.round_at:
            self.round_at = now + ROUND_SECONDS * (0.8 + 0.5 * self.site.rng.random())
            for other in self.site.peers(self, 2):
                self.swap(other)

    def swap(self, other):
        """Exchange words both ways."""
        if self.alone or other.alone or not other.alive:
            return
        word, answer = self.word(), other.word()
        other.hear(self, word)
        self.hear(other, answer)

    def word(self):
        """Return what this entry says; None while it knows nothing."""
        age = self.following.age()
        if self.table.revision is None or age >= MAX_AGE_SECONDS:
            return None
        confirmed = self.confirming.age()
        trouble = self.following.seconds_since_failure()
        drained = self.operators.drained_centres()
        return age, trouble, self.table.position, confirmed, drained

    def hear(self, other, word):
        """Take another entry's word, and what it knows more."""
        if word is None:
            return
        age, trouble, position, confirmed, drained = word
        if drained is not None and self.operators.apply_relayed(drained):
            self.note_news()
        if self.lacks(other, position):
            self.configuration_known = True
            relayed = other.table.changes_since(self.table.revision, self.table.era)
            trouble = self.following.seconds_since_failure()
            if self.table.apply_relayed(relayed, trouble):
                self.note_news()
        if self.table.era > position.era:
            return
        self.following.note_relayed_age(age, trouble)
        self.table.note_peer_failure(self.site.clock.now() - trouble)
        if confirmed < MAX_AGE_SECONDS:
            confirmed_at = self.site.clock.now() - confirmed
            self.table.note_answer(confirmed_at, self.confirming.last_answered_at)
            self.confirming.note_relayed_age(confirmed)

    def lacks(self, other, position):
        """Tell whether another entry has more, or uses other values."""
        if self.table.position is None or self.table.position < position:
            return True
        same = self.table.position == position
        return same and other.table.held_digest != self.table.held_digest

    def look_again(self):
        """Believe the store where that was put off."""
        if self.table.drop_expired() or self.operators.drop_expired():
            self.note_news()


class SimulatedSite:
    """Entries in data centres before one store."""

    def __init__(self, count, centres, bound, seed=1):
        """Start all entries within a moment."""
        self.clock = SetClock()
        self.rng = random.Random(seed)
        self.bound = bound
        self.store = SimulatedStore()
        self.entries = [
            SimulatedEntry(f"entry-{n}", n % centres, self) for n in range(count)
        ]
        self.worst = 0.0
        # Whether requests come to all entries.
        self.used = False
        # When each revision was published.
        self.published = {1: self.clock.now()}

    def running(self):
        """Return the entries that run."""
        return [entry for entry in self.entries if entry.alive]

    def watching(self):
        """Return the entries that are watchers."""
        return [entry for entry in self.running() if entry.designated()]

    def peers(self, entry, count):
        """Return entries to swap words with: one of elsewhere, the others near."""
        others = [e for e in self.running() if e is not entry]
        near = [e for e in others if e.centre == entry.centre]
        far = [e for e in others if e.centre != entry.centre]
        chosen = self.rng.sample(far, min(1, len(far)))
        return chosen + self.rng.sample(near, min(count - len(chosen), len(near)))

    def publish(self, key="a", value=b"2"):
        """Publish a value now."""
        self.store.publish(key, value)
        self.published[self.store.revision] = self.clock.now()

    def run(self, seconds, until=lambda: False):
        """Let time pass; return the seconds until a condition held."""
        began = self.clock.now()
        while self.clock.now() - began < seconds and not until():
            self.clock.seconds += TICK_SECONDS
            for entry in self.running():
                if self.used:
                    entry.confirming.note_use()
                entry.step()
                entry.confirm()
                entry.rounds()
                entry.look_again()
            self.note_worst()
        return self.clock.now() - began

    def note_worst(self):
        """Note how far behind the entries are that the store answers."""
        if self.store.down or self.store.loses:
            return
        now = self.clock.now()
        for entry in self.running():
            known = entry.table.revision or 0
            missing = [at for r, at in self.published.items() if r > known]
            if missing and self.store.serves(entry.name):
                self.worst = max(self.worst, now - min(missing))

    def unused_everywhere(self, key, value):
        """Tell whether no running entry uses a value of a key."""
        return all(e.table.values.get(key) != value for e in self.running())

    def drained_everywhere(self):
        """Tell whether all running entries drain just what the store says."""
        drained = tuple(sorted(k for k in self.store.values if k.startswith(DRAINED)))
        return all(e.operators.drained()[1] == drained for e in self.running())

    def known_everywhere(self):
        """Tell whether all running entries have the newest revision."""
        newest = Position(self.store.era, self.store.revision)
        tables = [entry.table for entry in self.running()]
        return all(t.position is not None and t.position >= newest for t in tables)
