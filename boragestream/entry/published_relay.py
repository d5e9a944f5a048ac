"""What the platform publishes, told by those entries that watch it to the others.

The exchange carries how old the sender's knowledge can be, and the revisions that it
has; an entry that lacks changes asks the sender for them. The configuration itself
travels as differences with ``entry.relay``; its version says here whether it is known.
When an entry asks the platform itself is decided by ``policy.watching``.
"""

import math
from collections.abc import Callable
from functools import partial

import msgspec

from boragestream.base.clock import Clock
from boragestream.base.events import Event, emit
from boragestream.base.outcomes import Failure
from boragestream.entry.knowledge_messages import PublishedAsk, PublishedReply
from boragestream.entry.links import PeerLinks
from boragestream.entry.messages import Envelope
from boragestream.entry.open_questions import OpenQuestions
from boragestream.entry.relay import RelayedVersion
from boragestream.policy.confirming import Confirming
from boragestream.policy.operator_table import OperatorTable
from boragestream.policy.publication import Change, PublishedTable, Relayed
from boragestream.policy.watching import StoreFollowing

__all__ = ["PublishedRelay"]

ASK_SECONDS = 1.0
# Ages are told in milliseconds up to this; what is older says nothing.
MOST_AGE_MS = 60_000


class PublishedWord(msgspec.Struct, frozen=True, array_like=True):
    """What an entry knows of what is published.

    :ivar age_ms: how old it can be.
    :ivar trouble_ms: how long ago the platform did not answer somebody.
    :ivar revision: of the servers.
    :ivar configuration_revision: up to which ``version`` is the latest.
    :ivar version: of the configuration in force.
    :ivar confirmed_ms: how long ago all of it was confirmed; an earlier release does
        not tell.
    :ivar drained_revision: up to which ``drained`` is known; 0 where an earlier release
        does not tell.
    :ivar drained: the keys of the drained data centres, all of them.
    """

    age_ms: int
    trouble_ms: int
    revision: int
    configuration_revision: int
    version: int
    confirmed_ms: int = MOST_AGE_MS
    drained_revision: int = 0
    drained: tuple[str, ...] = ()


_encoder = msgspec.msgpack.Encoder()
_words = msgspec.msgpack.Decoder(PublishedWord)


class PublishedRelay:
    """The part of the exchange that carries what the platform publishes.

    :param following: how old what is known here can be.
    :param confirming: how long ago that was confirmed.
    :param servers: the published servers.
    :param operators: what operators publish.
    :param in_force: returns the configuration in force; None while there is none.
    :param take_servers: takes what a peer told of the servers.
    :param take_drained: takes what a peer told of the drained data centres.
    :param links: carries the questions.
    :param address: returns a peer's address by its name.
    :param submit: has a question asked beside the rounds.
    """

    name = "p"

    def __init__(
        self,
        following: StoreFollowing,
        confirming: Confirming,
        servers: PublishedTable,
        operators: OperatorTable,
        in_force: Callable[[], RelayedVersion | None],
        take_servers: Callable[[Relayed], None],
        take_drained: Callable[[Relayed], None],
        links: PeerLinks,
        address: Callable[[str], str | None],
        submit: Callable[[Callable[[], None]], None],
        clock: Clock,
    ) -> None:
        self._following = following
        self._confirming = confirming
        self._servers = servers
        self._operators = operators
        self._in_force = in_force
        self._take_servers = take_servers
        self._take_drained = take_drained
        self._links = links
        self._address = address
        self._submit = submit
        self._clock = clock
        self._questions = OpenQuestions()

    def offer(self, budget: int) -> bytes:
        """Return what is known here; empty while that is nothing."""
        # The ages go first: what comes in between makes them too old, never too young.
        age, confirmed = self._following.age(), self._confirming.age()
        in_force, revision = self._in_force(), self._servers.revision
        if in_force is None or revision is None:
            return b""
        drained_revision, drained = self._operators.drained()
        word = PublishedWord(
            _milliseconds(age),
            _milliseconds(self._following.trouble_seconds()),
            revision,
            self._operators.configuration_revision or 0,
            in_force.version,
            _milliseconds(confirmed),
            drained_revision or 0,
            drained,
        )
        return _encoder.encode(word)

    def take(self, sender: str, data: bytes) -> None:
        """Take a peer's word, and ask it for what is not known here."""
        try:
            word = _words.decode(data)
        except msgspec.DecodeError as error:
            emit(Event.PEER_FRAME_REFUSED, peer=sender, reason=repr(error))
            return
        came = self._clock.now()
        if word.drained_revision:
            # At once, whatever else the sender knows more.
            self._take_drained(_drained(word))
        known = self._servers.revision
        if known is not None and word.revision <= known:
            self._adopt(word, came)
            return
        if self._questions.begin(sender):
            self._submit(partial(self._ask, sender, word, came))

    def answer(self, envelope: Envelope, message: PublishedAsk) -> PublishedReply:
        """Tell a peer what has changed since what it knows."""
        relayed = self._servers.since(message.after)
        if relayed is None:
            return PublishedReply()
        return PublishedReply(
            relayed.after,
            relayed.revision,
            tuple((c.key, c.revision, c.value) for c in relayed.changes),
            {key: _milliseconds(left) for key, left in relayed.lapsed.items()},
        )

    def _ask(self, peer: str, word: PublishedWord, came: float) -> None:
        try:
            address = self._address(peer)
            if address is None:
                return
            question = PublishedAsk(self._servers.revision)
            reply = self._links.ask(address, question, ASK_SECONDS)
            if isinstance(reply, Failure):
                emit(Event.INSTANCES_UNREACHABLE, failure=reply.describe())
            elif isinstance(reply, PublishedReply) and reply.revision:
                self._take_servers(_relayed(reply))
                self._adopt(word, came)
        finally:
            self._questions.end(peer)

    def _adopt(self, word: PublishedWord, came: float) -> None:
        """Take a word as one's own where all that it speaks of is known here."""
        revision, in_force = self._servers.revision, self._in_force()
        if revision is None or revision < word.revision or in_force is None:
            return
        if in_force.version < word.version or word.age_ms >= MOST_AGE_MS:
            return
        if word.drained_revision < word.configuration_revision:
            # An earlier release, whose age says nothing of drained data centres.
            return
        if in_force.version == word.version:
            self._operators.take_revision(word.configuration_revision)
        waited = self._clock.now() - came
        trouble = math.inf
        if word.trouble_ms < MOST_AGE_MS:
            trouble = word.trouble_ms / 1000 + waited
        self._following.take_notice(word.age_ms / 1000 + waited, trouble)
        if word.confirmed_ms < MOST_AGE_MS:
            self._confirming.take_notice(word.confirmed_ms / 1000 + waited)


def _milliseconds(seconds: float) -> int:
    return math.ceil(min(MOST_AGE_MS, seconds * 1000))


def _drained(word: PublishedWord) -> Relayed:
    revision = word.drained_revision
    changes = tuple(Change(key, revision, b"") for key in word.drained)
    return Relayed(None, revision, changes, {})


def _relayed(reply: PublishedReply) -> Relayed:
    changes = tuple(Change(*change) for change in reply.changes)
    lapsed = {key: left / 1000 for key, left in reply.lapsed.items()}
    return Relayed(reply.after, reply.revision, changes, lapsed)
