"""What the platform publishes, passed on by those entries that watch it to the others.

The exchange carries how old the sender's knowledge can be, and the positions that it
has; an entry that lacks changes asks the sender for them, as does one that does not use
the same values against a store that has come back from a copy. The configuration itself
travels as differences with ``entry.relay``; its version says here whether it is known.
When an entry asks the platform itself is decided by ``policy.watching``.
"""

import math
from collections import deque
from collections.abc import Callable
from functools import partial

import msgspec

from boragestream.base.clock import Clock
from boragestream.base.events import Event, emit
from boragestream.base.outcomes import Failure
from boragestream.entry.knowledge_messages import (
    PackedHeld,
    PackedWrite,
    PublishedAsk,
    PublishedReply,
)
from boragestream.entry.links import PeerLinks
from boragestream.entry.messages import Envelope
from boragestream.entry.open_questions import OpenQuestions
from boragestream.entry.relay import RelayedVersion
from boragestream.policy.confirming import Confirming
from boragestream.policy.operator_table import ORDER, OperatorTable
from boragestream.policy.publication import (
    NO_ERA,
    Change,
    Held,
    Position,
    Relayed,
    Write,
)
from boragestream.policy.published_table import PublishedTable
from boragestream.policy.watching import StoreFollowing

__all__ = ["PublishedRelay"]

ASK_SECONDS = 1.0
# Ages are sent in milliseconds up to this; what is older says nothing.
MOST_AGE_MS = 60_000
# Digests of held values that were asked for already; they change as times end.
KEPT_DIGESTS = 32
NO_WRITE = -1


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
    :ivar era: of ``revision``; an earlier release sends none of these.
    :ivar configuration_era: of ``configuration_revision``.
    :ivar drained_era: of ``drained_revision``.
    :ivar drained_written: the revision of each key's last write.
    :ivar drained_held: what is used against a returned store: of each its key, the
        milliseconds left, and the revisions of the write that is used and of the one
        that the store has.
    :ivar era_ms: how long ago ``drained_era`` was first seen; None where not known.
    :ivar held: a digest of the servers' values that are used against the store.
    """

    age_ms: int
    trouble_ms: int
    revision: int
    configuration_revision: int
    version: int
    confirmed_ms: int = MOST_AGE_MS
    drained_revision: int = 0
    drained: tuple[str, ...] = ()
    era: int = NO_ERA
    configuration_era: int = NO_ERA
    drained_era: int = NO_ERA
    drained_written: tuple[int, ...] = ()
    drained_held: tuple[tuple[str, int, int, int], ...] = ()
    era_ms: int | None = None
    held: int = 0

    @property
    def position(self) -> Position:
        """Up to where the servers are known."""
        return Position(self.era, self.revision)

    @property
    def configuration_position(self) -> Position:
        """Up to where the configuration is known."""
        return Position(self.configuration_era, self.configuration_revision)

    @property
    def drained_position(self) -> Position:
        """Up to where the drained data centres are known."""
        return Position(self.drained_era, self.drained_revision)


_encoder = msgspec.msgpack.Encoder()
_words = msgspec.msgpack.Decoder(PublishedWord)


class PublishedRelay:
    """The part of the exchange that carries what the platform publishes.

    :param following: how old what is known here can be.
    :param confirming: how long ago that was confirmed.
    :param servers: the published servers.
    :param operators: what operators publish.
    :param in_force: returns the configuration in force; None while there is none.
    :param take_servers: takes what a peer passes on of the servers.
    :param take_drained: takes what a peer passes on of the drained data centres.
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
        self._digests: deque[int] = deque(maxlen=KEPT_DIGESTS)

    def offer(self, budget: int) -> bytes:
        """Return what is known here; empty while that is nothing."""
        # The ages go first: what comes in between makes them too old, never too young.
        age, confirmed = self._following.age(), self._confirming.age()
        in_force, servers = self._in_force(), self._servers.position
        if in_force is None or servers is None:
            return b""
        configuration = self._operators.configuration_position or Position(NO_ERA, 0)
        drained = self._operators.drained_centres() or Relayed(None, 0, (), {})
        withheld = {held.key for held in drained.held if held.used is None}
        orders = [c for c in drained.changes if c.key not in withheld]
        word = PublishedWord(
            _milliseconds(age),
            _milliseconds(self._following.trouble_seconds()),
            servers.revision,
            configuration.revision,
            in_force.version,
            _milliseconds(confirmed),
            drained.revision,
            tuple(order.key for order in orders),
            servers.era,
            configuration.era,
            drained.era,
            tuple(order.revision for order in orders),
            tuple(_pack_order(held) for held in drained.held),
            _optional_milliseconds(drained.era_seconds),
            self._servers.held_digest,
        )
        return _encoder.encode(word)

    def take(self, sender: str, data: bytes) -> None:
        """Take what a peer knows, and ask it for what is not known here."""
        try:
            word = _words.decode(data)
        except msgspec.DecodeError as error:
            emit(Event.PEER_FRAME_REFUSED, peer=sender, reason=repr(error))
            return
        came = self._clock.now()
        if word.drained_revision:
            # At once, whatever else the sender knows more.
            self._take_drained(_drained(word))
        known = self._servers.position
        if known is not None and word.position <= known:
            self._adopt(word, came)
            if not self._holds_otherwise(word):
                return
        if self._questions.begin(sender):
            self._submit(partial(self._ask, sender, word, came))

    def answer(self, envelope: Envelope, message: PublishedAsk) -> PublishedReply:
        """Tell a peer what has changed since what it knows."""
        relayed = self._servers.since(message.after, message.era)
        if relayed is None:
            return PublishedReply()
        return PublishedReply(
            relayed.after,
            relayed.revision,
            tuple((c.key, c.revision, c.value) for c in relayed.changes),
            {key: _milliseconds(left) for key, left in relayed.lapsed.items()},
            relayed.era,
            relayed.after_era,
            _optional_milliseconds(relayed.era_seconds),
            tuple(_pack(held) for held in relayed.held),
        )

    def _ask(self, peer: str, word: PublishedWord, came: float) -> None:
        try:
            address = self._address(peer)
            if address is None:
                return
            question = PublishedAsk(self._servers.revision, self._servers.era)
            reply = self._links.ask(address, question, ASK_SECONDS)
            if isinstance(reply, Failure):
                emit(Event.INSTANCES_UNREACHABLE, failure=reply.describe())
            elif isinstance(reply, PublishedReply) and reply.revision:
                self._take_servers(_relayed(reply))
                self._adopt(word, came)
                if word.held and self._servers.position == word.position:
                    self._digests.append(word.held)
        finally:
            self._questions.end(peer)

    def _holds_otherwise(self, word: PublishedWord) -> bool:
        """Tell whether a peer uses other values against the store than this entry."""
        if not word.held or word.position != self._servers.position:
            return False
        return word.held != self._servers.held_digest and word.held not in self._digests

    def _adopt(self, word: PublishedWord, came: float) -> None:
        """Take a word as one's own where all that it speaks of is known here."""
        known, in_force = self._servers.position, self._in_force()
        if known is None or known < word.position or in_force is None:
            return
        if known.era > word.era:
            # What the sender knows ended with the era before.
            return
        if in_force.version < word.version or word.age_ms >= MOST_AGE_MS:
            return
        if word.drained_position < word.configuration_position:
            # An earlier release, whose age says nothing of drained data centres.
            return
        operators = self._operators.configuration_position
        if operators is not None and operators.era > word.configuration_era:
            return
        if in_force.version == word.version:
            position = word.configuration_position
            self._operators.take_revision(position.revision, position.era)
        waited = self._clock.now() - came
        trouble = math.inf
        if word.trouble_ms < MOST_AGE_MS:
            trouble = word.trouble_ms / 1000 + waited
        self._following.take_notice(word.age_ms / 1000 + waited, trouble)
        if word.confirmed_ms < MOST_AGE_MS:
            self._confirming.take_notice(word.confirmed_ms / 1000 + waited)


def _milliseconds(seconds: float) -> int:
    return math.ceil(min(MOST_AGE_MS, seconds * 1000))


def _optional_milliseconds(seconds: float | None) -> int | None:
    return None if seconds is None else _milliseconds(seconds)


def _optional_seconds(milliseconds: int | None) -> float | None:
    return None if milliseconds is None else milliseconds / 1000


def _pack_order(held: Held) -> tuple[str, int, int, int]:
    used = NO_WRITE if held.used is None else held.used.revision
    stored = NO_WRITE if held.stored is None else held.stored.revision
    return held.key, _milliseconds(held.seconds), used, stored


def _order(revision: int) -> Write | None:
    return None if revision == NO_WRITE else Write(revision, ORDER)


def _drained(word: PublishedWord) -> Relayed:
    revision = word.drained_revision
    written = word.drained_written or (revision,) * len(word.drained)
    orders = dict(zip(word.drained, written, strict=False))
    held = tuple(
        Held(key, left / 1000, _order(used), _order(stored))
        for key, left, used, stored in word.drained_held
    )
    # Orders that are not obeyed although the store has them.
    orders.update((h.key, h.stored.revision) for h in held if h.stored is not None)
    return Relayed(
        None,
        revision,
        tuple(Change(key, at, ORDER) for key, at in orders.items()),
        {h.key: h.seconds for h in held if h.stored is None},
        word.drained_era,
        era_seconds=_optional_seconds(word.era_ms),
        held=held,
    )


def _pack(held: Held) -> PackedHeld:
    left = _milliseconds(held.seconds)
    return held.key, left, _pack_write(held.used), _pack_write(held.stored)


def _pack_write(write: Write | None) -> PackedWrite | None:
    return None if write is None else (write.revision, write.value)


def _held(packed: PackedHeld) -> Held:
    key, left, used, stored = packed
    return Held(key, left / 1000, _write(used), _write(stored))


def _write(packed: PackedWrite | None) -> Write | None:
    return None if packed is None else Write(*packed)


def _relayed(reply: PublishedReply) -> Relayed:
    changes = tuple(Change(*change) for change in reply.changes)
    lapsed = {key: left / 1000 for key, left in reply.lapsed.items()}
    return Relayed(
        reply.after,
        reply.revision,
        changes,
        lapsed,
        reply.era,
        reply.after_era,
        _optional_seconds(reply.era_ms),
        tuple(_held(packed) for packed in reply.held),
    )
