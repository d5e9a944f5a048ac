"""The exchange between entries: a few peers a round, never all of them.

Each round an entry swaps one small message with a bounded number of peers: one of its
own data centre and one of another. What the message says is the parts' business. A
round can be brought forward when something must travel at once. Who is a peer, and
what a missed exchange means, is told by the ``PeerDirectory``.

Callers are named no entry that is gone. A peer that did not answer is asked once more
at once and then through another one, 2.4 s altogether. Where half of all are gone at
once, rounds of two peers found the last of them after 9 s among 74 entries and after
12 s among 195, in simulated time; each entry that was lost lately widens the rounds by
one peer, and the last is found after 5.5 and 6.5 s.
"""

import math
import random
import threading
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from functools import partial
from typing import Protocol

from boragestream.base.clock import Clock
from boragestream.base.events import Event, describe_error, emit
from boragestream.entry.links import PeerLinks
from boragestream.entry.messages import (
    Envelope,
    Exchange,
    ExchangeReply,
    Probe,
    ProbeFor,
    ProbeForReply,
    ProbeReply,
)
from boragestream.entry.parts import ExchangePart, collect, hand_out

__all__ = ["Peer", "PeerDirectory", "PeerExchange", "choose_peers"]

ROUND_SECONDS = 1.0
FAN_OUT = 2
# A round that was brought forward reaches more peers, since it carries news.
URGENT_FAN_OUT = 3
URGENT_GAP_SECONDS = 0.05
# So many rounds can be brought forward in a row; then one for each so many seconds.
URGENT_BURST = 5
URGENT_REFILL_SECONDS = 1.0
# One round in this many also tries a suspect, so that a heal is noticed.
SUSPECT_ROUNDS = 3
ASK_SECONDS = 1.0
PROBE_SECONDS = 0.7
# Each peer that is gone holds a thread for as long as it is asked.
ASK_THREADS = 16
# A round asks so many peers more at the most while entries have been lost lately.
MOST_WIDER = 8
# An entry that answered this entry so lately is most likely there to probe another.
REACHED_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class Peer:
    """Another entry as the exchange needs it.

    :ivar address: its peer ``address:port``.
    :ivar suspect: whether it missed its probes.
    :ivar missed: whether this entry's own last exchange with it failed.
    """

    name: str
    address: str
    data_centre: str
    suspect: bool = False
    missed: bool = False


class PeerDirectory(Protocol):
    """Knows the peers and learns from each exchange whether they are there."""

    def peers(self) -> Sequence[Peer]:
        """Return every other entry that may be asked."""

    def note_reached(self, name: str) -> None:
        """Take that a peer answered this entry."""

    def note_missed(self, name: str) -> bool:
        """Take that a peer did not answer; True where others should probe it too."""

    def note_unreached(self, name: str) -> None:
        """Take that another entry's probe found the peer silent as well."""

    def lost_lately(self) -> int:
        """Return how many entries were found silent in the last seconds."""


def choose_peers(
    peers: Sequence[Peer], data_centre: str, count: int, rng: random.Random
) -> list[Peer]:
    """Return the peers of one round.

    A peer whose last exchange failed comes first, so that one lost message is told
    from a peer that is gone. Of the others, one is of another data centre and the
    rest are of the entry's own where that is possible.

    :param count: the most peers; one suspect may come on top.
    """
    usable = [peer for peer in peers if not peer.suspect]
    chosen = [peer for peer in usable if peer.missed][:1]
    near = [p for p in usable if p.data_centre == data_centre and p not in chosen]
    far = [p for p in usable if p.data_centre != data_centre and p not in chosen]
    rng.shuffle(near)
    rng.shuffle(far)
    order = [*far[:1], *near, *far[1:]]
    chosen += order[: count - len(chosen)]
    suspects = [peer for peer in peers if peer.suspect]
    if suspects and rng.randrange(SUSPECT_ROUNDS) == 0:
        chosen.append(rng.choice(suspects))
    return chosen


class PeerExchange:
    """Swaps messages with peers, round by round.

    :param links: carries the messages.
    :param directory: who the peers are.
    :param data_centre: the entry's own.
    :param clock: paces the rounds that are brought forward.
    :param rng: chooses peers and spreads the rounds.
    """

    def __init__(
        self,
        links: PeerLinks,
        directory: PeerDirectory,
        data_centre: str,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._clock = clock
        self._links = links
        self._directory = directory
        self._data_centre = data_centre
        self._rng = rng
        self._parts: list[ExchangePart] = []
        self._turn = 0
        self._asked: set[str] = set()
        # When each peer answered this entry last.
        self._reached_at: dict[str, float] = {}
        self._lock = threading.Lock()
        self._met = threading.Event()
        self._urgent = threading.Event()
        self._closed = threading.Event()
        self._asks = ThreadPoolExecutor(ASK_THREADS, "exchange")

    def add_part(self, part: ExchangePart) -> None:
        """Let a part ride on the exchange; the first one added goes first."""
        self._parts.append(part)

    def hurry(self) -> None:
        """Bring the next round forward, since there is news."""
        self._urgent.set()

    @property
    def met(self) -> threading.Event:
        """Set once the peers of a round have all answered or been given up."""
        return self._met

    def run(self) -> None:
        """Run rounds until ``close``."""
        began = self._clock.now()
        urgent_left = float(URGENT_BURST)
        while not self._closed.is_set():
            pause = ROUND_SECONDS * (0.75 + 0.5 * self._rng.random())
            if urgent_left >= 1:
                self._urgent.wait(pause)
            else:
                self._closed.wait(pause)
            urgent = self._urgent.is_set()
            self._urgent.clear()
            self.round(URGENT_FAN_OUT if urgent else FAN_OUT)
            self._closed.wait(URGENT_GAP_SECONDS)
            now = self._clock.now()
            earned = (now - began) / URGENT_REFILL_SECONDS - urgent
            urgent_left = min(URGENT_BURST, urgent_left + earned)
            began = now
        self._asks.shutdown(wait=False, cancel_futures=True)

    def tell(self) -> None:
        """Begin a round at once, for news of which this entry is the source."""
        self.round(URGENT_FAN_OUT)

    def submit(self, work: Callable[[], None]) -> None:
        """Have a question to a peer asked beside the rounds."""
        if not self._closed.is_set():
            self._asks.submit(_logged, work)

    def round(self, count: int) -> None:
        """Begin one round with a few peers; a slow one does not hold up the others."""
        peers = self._directory.peers()
        count += min(MOST_WIDER, self._directory.lost_lately())
        for peer in choose_peers(peers, self._data_centre, count, self._rng):
            with self._lock:
                if peer.name in self._asked:
                    continue
                self._asked.add(peer.name)
            self.submit(partial(self._exchange, peer))

    def close(self) -> None:
        """End the rounds; what is under way ends by its own timeout."""
        self._closed.set()
        self._urgent.set()

    def answer(self, envelope: Envelope, message: Exchange) -> ExchangeReply:
        """Take a peer's half of a round and return this entry's."""
        hand_out(self._parts, envelope.sender, message.parts)
        self._directory.note_reached(envelope.sender)
        return ExchangeReply(self._collect())

    def answer_probe_for(self, envelope: Envelope, message: ProbeFor) -> ProbeForReply:
        """Probe an entry on behalf of a peer that cannot reach it."""
        for peer in self._directory.peers():
            if peer.name == message.name:
                reply = self._links.ask(peer.address, Probe(), PROBE_SECONDS)
                return ProbeForReply(isinstance(reply, ProbeReply))
        return ProbeForReply(reached=False)

    def _exchange(self, peer: Peer) -> None:
        try:
            message = Exchange(self._collect())
            reply = self._links.ask(peer.address, message, ASK_SECONDS)
            if isinstance(reply, ExchangeReply):
                hand_out(self._parts, peer.name, reply.parts)
                self._note_reached(peer.name)
            else:
                self._make_sure(peer)
        finally:
            with self._lock:
                self._asked.discard(peer.name)
                if not self._asked:
                    self._met.set()

    def _note_reached(self, name: str) -> None:
        self._reached_at[name] = self._clock.now()
        self._directory.note_reached(name)

    def _make_sure(self, silent: Peer) -> None:
        """Ask a peer that did not answer once more, and then through another one."""
        self._directory.note_missed(silent.name)
        reply = self._links.ask(silent.address, Probe(), PROBE_SECONDS)
        if isinstance(reply, ProbeReply):
            self._note_reached(silent.name)
        elif self._directory.note_missed(silent.name):
            self._probe_through_other(silent)

    def _probe_through_other(self, silent: Peer) -> None:
        others = [
            peer
            for peer in self._directory.peers()
            if not (peer.suspect or peer.missed or peer.name == silent.name)
        ]
        since = self._clock.now() - REACHED_SECONDS
        there = [p for p in others if self._reached_at.get(p.name, -math.inf) > since]
        if others:
            other = self._rng.choice(there or others)
            limit = PROBE_SECONDS + ASK_SECONDS
            reply = self._links.ask(other.address, ProbeFor(silent.name), limit)
            if isinstance(reply, ProbeForReply) and reply.reached:
                self._directory.note_reached(silent.name)
                return
        self._directory.note_unreached(silent.name)

    def _collect(self) -> dict[str, bytes]:
        self._turn += 1
        return collect(self._parts, self._turn)


def _logged(work: Callable[[], None]) -> None:
    try:
        work()
    except Exception as error:
        emit(Event.TASK_FAILED, task="exchange", error=describe_error(error))
