"""Entries before servers with limits, in simulated time, without a process.

Each has the project's own limits, permits and part of the exchange. What is simulated
are callers, servers, the rounds and questions between entries, and lost messages.
"""

from collections import defaultdict, deque
from types import SimpleNamespace

from boragestream.entry.limits import LimitsPart
from boragestream.entry.permit_messages import LimitsAsk, PermitAsk, PermitReturn
from boragestream.entry.server_permits import ServerPermits
from boragestream.policy.granters import Granters
from boragestream.policy.server_limits import ServerLimits
from boragestream.policy.servers import Server
from boragestream.serving.limited_servers import LimitedServers, PermittedServer
from tests.standins.quarantines import CrashCrowd, CrashEntry

SERVICE = "engine"
ANSWER_SECONDS = 0.05
# An entry is bound by a limit this long after it got an answer that names it.
BOUND_SECONDS = 0.5
WINDOW_SECONDS = 4.0
FACTOR = 1.5
SLACK = 5.0
WAIT_SECONDS = 0.5


class LimitEntry(CrashEntry):
    """One entry."""

    def make_part(self):
        """Return its part of the exchange, with all that holds limits."""
        crowd = self.crowd
        # Whom it knows, and whether it agrees with others on that.
        self.known, self.agreed, self.frozen = None, True, False
        self.answered_at = {}
        self.limits = ServerLimits(crowd.clock, self.hurry)
        self.limits.take_list(crowd.servers)
        self.divided = False
        granters = Granters(
            lambda: self.known or crowd.names(),
            lambda s: s.name,
            crowd.clock,
            lambda: self.divided,
        )
        self.permits = ServerPermits(
            self.name,
            self.limits,
            granters,
            lambda name: name,
            lambda: self.agreed,
            self.links,
            self.submit,
            crowd.clock,
        )
        self.limited = LimitedServers(
            self.limits, self.permits, lambda: granters.count, crowd.clock, crowd.rng
        )
        look = granters.refresh
        return LimitsPart(self.limits, self.links, lambda n: n, self.submit, look)

    def ask(self, address, message, seconds):
        """Ask another entry; the answer is there at once, or never."""
        other = self.crowd.entries[address]
        apart = self.known is not None and address not in self.known
        if isinstance(message, PermitAsk | PermitReturn):
            self.crowd.asked += 1
        if self.crowd.loses() or other.frozen or apart:
            return SimpleNamespace(describe=lambda: "silent")
        handlers = {
            LimitsAsk: other.part.answer,
            PermitAsk: other.permits.answer,
            PermitReturn: other.permits.answer_return,
        }
        envelope = SimpleNamespace(sender=self.name)
        return handlers[type(message)](envelope, message)

    def swap(self, other):
        """Swap messages, unless one of the two knows nothing of the other."""
        apart = self.known is not None and other.name not in self.known
        if not (apart or self.frozen or other.frozen):
            super().swap(other)


class LimitCrowd(CrashCrowd):
    """Entries that know one another, before servers of one service."""

    entry_type = LimitEntry

    def __init__(self, count, servers, limits, seed=1):
        """Start all of them; ``limits`` are those of the first servers."""
        self.servers = [
            Server(f"s-{n}", SERVICE, f"10.9.0.{n}:80", "hall", f"{n}")
            for n in range(servers)
        ]
        names = [server.name for server in self.servers]
        self.named = dict(zip(names, limits, strict=False))
        # By server, when each request came, and whether its entry was bound.
        self.arrivals = defaultdict(list)
        self.asked = self.refused = self.given = 0
        super().__init__(count, seed)

    def give(self, entry):
        """Give an entry a request."""
        self.given += 1
        limited, rng = entry.limited, self.rng
        free, held = entry.limits.split(self.servers)
        chosen = None
        if free:
            server = limited.idle_server(held)
            server = server or rng.choice([*free, *limited.ready(held)])
            chosen = limited.acquire_now(server) if server in held else None
            chosen = chosen or PermittedServer(rng.choice(free))
        else:
            chosen = limited.acquire_earliest(held, WAIT_SECONDS, rng.choice)
        if not isinstance(chosen, PermittedServer):
            self.refused += 1
            return
        wait = chosen.permit.begins - self.clock.now() if chosen.permit else 0.0
        self.after(max(0.0, wait), lambda: self.send(entry, chosen))

    def send(self, entry, chosen):
        """Send a request if its permit is valid; the server answers later."""
        server, now = chosen.server, self.clock.now()
        if entry.frozen or not entry.permits.is_valid(server, chosen.permit):
            return
        first = entry.answered_at.get(server.name)
        bound = first is not None and now - first >= BOUND_SECONDS
        self.arrivals[server.name].append((now, bound))
        self.after(ANSWER_SECONDS, lambda: self.answer(entry, server, now))

    def answer(self, entry, server, sent_at):
        """Have an entry receive an answer."""
        limit = self.named.get(server.name)
        if limit is not None:
            entry.answered_at.setdefault(server.name, self.clock.now())
        entry.limits.note_answer(server, limit, sent_at, True)

    def load(self, entries, rate, seconds, each_tick=lambda: None):
        """Give each of some entries requests at random moments."""
        tick = 0.01
        for _ in range(round(seconds / tick)):
            self.run(tick)
            each_tick()
            for name in entries or list(self.entries):
                if self.rng.random() < rate * tick:
                    self.give(self.entries[name])

    def excess(self):
        """Return by how much the worst window is over what a limit allows."""
        worst = float("-inf")
        for name, limit in self.named.items():
            within = deque()
            for at, bound in self.arrivals[name]:
                if not bound:
                    continue
                within.append(at)
                while within[0] <= at - WINDOW_SECONDS:
                    within.popleft()
                allowed = FACTOR * WINDOW_SECONDS * limit + SLACK
                worst = max(worst, len(within) - allowed)
        return worst

    def used(self, since, seconds):
        """Return the share of the limits that was used in some time."""
        count = sum(
            since <= at < since + seconds
            for name in self.named
            for at, _ in self.arrivals[name]
        )
        return count / (seconds * sum(self.named.values()))
