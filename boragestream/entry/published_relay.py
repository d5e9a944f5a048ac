"""Relays the platform's published data from the entries that watch it to the others.

The exchange carries the maximum age of the sender's data and its positions. An entry
that lacks changes requests them from the sender; so does an entry that holds different
values against a store that was restored from a copy. The configuration document is
transferred as differences by ``entry.relay``; here its version only shows whether the
entry has it. ``policy.watching`` decides when an entry queries the platform itself.
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
from boragestream.entry.open_questions import OpenRequests
from boragestream.entry.relay import RelayedVersion
from boragestream.policy.confirming import ConfirmationSchedule
from boragestream.policy.operator_table import DRAIN_ORDER_VALUE, OperatorTable
from boragestream.policy.publication import (
    NO_ERA,
    Change,
    Held,
    Position,
    Relayed,
    Write,
)
from boragestream.policy.published_table import PublishedTable
from boragestream.policy.watching import StoreCallSchedule

__all__ = ["PublishedRelay"]

REQUEST_TIMEOUT_SECONDS = 1.0
# Ages in messages are capped at this value; a capped age carries no information.
MAX_AGE_MS = 60_000
# Digests remembered for held values that were already requested. Digests change as held
# values expire.
MAX_REQUESTED_DIGESTS = 32
NO_WRITE = -1


class PublishedOffer(msgspec.Struct, frozen=True, array_like=True):
    """The state of the published data at an entry.

    :ivar age_ms: the maximum age of the data.
    :ivar trouble_ms: the time since the platform last failed to answer any entry.
    :ivar revision: the revision of the servers.
    :ivar configuration_revision: the revision up to which ``version`` is the latest.
    :ivar version: the version of the configuration in force.
    :ivar confirmed_ms: the time since all of the data was confirmed; earlier releases
        do not send it.
    :ivar drained_revision: the revision of ``drained``; 0 from an earlier release,
        which does not send it.
    :ivar drained: the keys of all drained data centres.
    :ivar era: the era of ``revision``; earlier releases send no eras.
    :ivar configuration_era: the era of ``configuration_revision``.
    :ivar drained_era: the era of ``drained_revision``.
    :ivar drained_written: the revision of each key's last write.
    :ivar drained_held: the values held against a returned store, each as its key, the
        milliseconds left, and the revisions of the write that is used and of the write
        that the store has.
    :ivar era_ms: the time since ``drained_era`` was first seen; None if unknown.
    :ivar held: a digest of the servers' values that are held against the store.
    """

    age_ms: int
    trouble_ms: int
    revision: int
    configuration_revision: int
    version: int
    confirmed_ms: int = MAX_AGE_MS
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
        """The position of the known servers."""
        return Position(self.era, self.revision)

    @property
    def configuration_position(self) -> Position:
        """The position of the known configuration."""
        return Position(self.configuration_era, self.configuration_revision)

    @property
    def drained_position(self) -> Position:
        """The position of the known drained data centres."""
        return Position(self.drained_era, self.drained_revision)


_encoder = msgspec.msgpack.Encoder()
_offer_decoder = msgspec.msgpack.Decoder(PublishedOffer)


class PublishedRelay:
    """The part of the exchange that carries the platform's published data.

    :param following: tracks the maximum age of this entry's data.
    :param confirming: tracks the time since that data was confirmed.
    :param servers: the published servers.
    :param operators: the values published by operators.
    :param in_force: returns the configuration in force; None while there is none.
    :param take_servers: called with the server changes that a peer sends.
    :param take_drained: called with the drained data centres that a peer sends.
    :param links: carries the requests.
    :param address: returns a peer's address by its name.
    :param submit: runs a request in the background, independently of the rounds.
    """

    name = "p"

    def __init__(
        self,
        following: StoreCallSchedule,
        confirming: ConfirmationSchedule,
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
        self._open_requests = OpenRequests()
        self._requested_digests: deque[int] = deque(maxlen=MAX_REQUESTED_DIGESTS)

    def offer(self, budget: int) -> bytes:
        """Return the state of this entry's data; empty while there is none."""
        # Ages are read before the data: a change in between makes them too high,
        # never too low.
        age, confirmed = self._following.age(), self._confirming.age()
        # Likewise the position is read before the version: one that takes effect in
        # between is newer than the position.
        configuration = self._operators.applied_configuration_position
        configuration = configuration or Position(NO_ERA, 0)
        in_force, servers = self._in_force(), self._servers.position
        if in_force is None or servers is None:
            return b""
        drained = self._operators.drained_centres() or Relayed(None, 0, (), {})
        withheld = {held.key for held in drained.held if held.used is None}
        orders = [c for c in drained.changes if c.key not in withheld]
        offer = PublishedOffer(
            _milliseconds(age),
            _milliseconds(self._following.seconds_since_failure()),
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
        return _encoder.encode(offer)

    def take(self, sender: str, data: bytes) -> None:
        """Process a peer's state, and request the changes that this entry lacks."""
        try:
            offer = _offer_decoder.decode(data)
        except msgspec.DecodeError as error:
            emit(Event.PEER_FRAME_REFUSED, peer=sender, reason=repr(error))
            return
        received_at = self._clock.now()
        if offer.drained_revision:
            # Applied at once, independently of the other changes that the sender has.
            self._take_drained(_drained(offer))
        own_position = self._servers.position
        if own_position is not None and offer.position <= own_position:
            self._adopt_ages(offer, received_at)
            if not self._held_values_differ(offer):
                return
        if self._open_requests.begin(sender):
            self._submit(partial(self._request_changes, sender, offer, received_at))

    def answer(self, envelope: Envelope, message: PublishedAsk) -> PublishedReply:
        """Return to a peer the changes since its position."""
        relayed = self._servers.changes_since(message.after, message.era)
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
            _uncapped_milliseconds(relayed.followed_seconds),
            relayed.unbroken,
        )

    def _request_changes(
        self, peer: str, offer: PublishedOffer, received_at: float
    ) -> None:
        try:
            address = self._address(peer)
            if address is None:
                return
            request = PublishedAsk(self._servers.revision, self._servers.era)
            reply = self._links.ask(address, request, REQUEST_TIMEOUT_SECONDS)
            if isinstance(reply, Failure):
                emit(Event.INSTANCES_UNREACHABLE, failure=reply.describe())
            elif isinstance(reply, PublishedReply) and reply.revision:
                self._take_servers(_relayed(reply))
                self._adopt_ages(offer, received_at)
                if offer.held and self._servers.position == offer.position:
                    self._requested_digests.append(offer.held)
        finally:
            self._open_requests.end(peer)

    def _held_values_differ(self, offer: PublishedOffer) -> bool:
        """Return whether a peer at the same position holds different values."""
        if not offer.held or offer.position != self._servers.position:
            return False
        return (
            offer.held != self._servers.held_digest
            and offer.held not in self._requested_digests
        )

    def _adopt_ages(self, offer: PublishedOffer, received_at: float) -> None:
        """Adopt the ages in a peer's offer if this entry has all the data it covers."""
        own_position, in_force = self._servers.applied_position, self._in_force()
        if own_position is None or own_position < offer.position or in_force is None:
            return
        if own_position.era > offer.era:
            # The sender's data belongs to an earlier era.
            return
        if in_force.version < offer.version or offer.age_ms >= MAX_AGE_MS:
            return
        if offer.drained_position < offer.configuration_position:
            # The sender runs an earlier release, whose age does not cover the drained
            # data centres.
            return
        operators = self._operators.configuration_position
        if operators is not None and operators.era > offer.configuration_era:
            return
        if in_force.version == offer.version:
            position = offer.configuration_position
            self._operators.advance_configuration_revision(
                position.revision, position.era
            )
        elapsed = self._clock.now() - received_at
        trouble = math.inf
        if offer.trouble_ms < MAX_AGE_MS:
            trouble = offer.trouble_ms / 1000 + elapsed
        self._following.note_relayed_age(offer.age_ms / 1000 + elapsed, trouble)
        self._servers.note_peer_failure(received_at + elapsed - trouble)
        if offer.confirmed_ms < MAX_AGE_MS:
            confirmed_at = received_at - offer.confirmed_ms / 1000
            self._servers.note_answer(confirmed_at, self._confirming.last_answered_at)
            self._confirming.note_relayed_age(offer.confirmed_ms / 1000 + elapsed)


def _milliseconds(seconds: float) -> int:
    return math.ceil(min(MAX_AGE_MS, seconds * 1000))


def _optional_milliseconds(seconds: float | None) -> int | None:
    return None if seconds is None else _milliseconds(seconds)


def _uncapped_milliseconds(seconds: float | None) -> int | None:
    """Return seconds as milliseconds; None instead of a capped figure."""
    milliseconds = _optional_milliseconds(seconds)
    return None if milliseconds == MAX_AGE_MS else milliseconds


def _optional_seconds(milliseconds: int | None) -> float | None:
    return None if milliseconds is None else milliseconds / 1000


def _pack_order(held: Held) -> tuple[str, int, int, int]:
    used = NO_WRITE if held.used is None else held.used.revision
    stored = NO_WRITE if held.stored is None else held.stored.revision
    return held.key, _milliseconds(held.seconds), used, stored


def _order(revision: int) -> Write | None:
    return None if revision == NO_WRITE else Write(revision, DRAIN_ORDER_VALUE)


def _drained(offer: PublishedOffer) -> Relayed:
    revision = offer.drained_revision
    written = offer.drained_written or (revision,) * len(offer.drained)
    orders = dict(zip(offer.drained, written, strict=False))
    held = tuple(
        Held(key, left / 1000, _order(used), _order(stored))
        for key, left, used, stored in offer.drained_held
    )
    # Orders that the store has but that are not applied.
    orders.update((h.key, h.stored.revision) for h in held if h.stored is not None)
    return Relayed(
        None,
        revision,
        tuple(Change(key, at, DRAIN_ORDER_VALUE) for key, at in orders.items()),
        {h.key: h.seconds for h in held if h.stored is None},
        offer.drained_era,
        era_seconds=_optional_seconds(offer.era_ms),
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
        _optional_seconds(reply.followed_ms),
        reply.unbroken,
    )
