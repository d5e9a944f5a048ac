"""Messages between entries, as msgspec structs in MessagePack.

Every message travels in an envelope that carries its version, deployment and sender and
is authenticated with the deployment's peer key. A field may be added with a default;
any other change increments ``PROTOCOL_VERSION``. ``entry.links`` sends the messages.
"""

import hashlib
import hmac
from dataclasses import dataclass, field

import msgspec

from boragestream.base.outcomes import Failure
from boragestream.entry.knowledge_messages import (
    AddressesAsk,
    AddressesReply,
    PublishedAsk,
    PublishedReply,
    QuarantineAsk,
    QuarantineReply,
)
from boragestream.entry.permit_messages import (
    LimitsAsk,
    LimitsReply,
    PermitAsk,
    PermitReply,
    PermitReturn,
)
from boragestream.entry.piece_messages import (
    PiecesAnswer,
    PiecesBook,
    PiecesCancel,
    PiecesDone,
    PiecesOrder,
    PiecesRelease,
)
from boragestream.entry.reach_messages import ReachAsk, ReachReply
from boragestream.entry.seat_messages import SeatAsk, SeatReply, SeatReturn
from boragestream.entry.stream_messages import OriginAsk, OriginReply, OriginsNote

__all__ = [
    "MAX_MESSAGE_BYTES",
    "PROTOCOL_VERSION",
    "CallState",
    "DocumentAsk",
    "DocumentReply",
    "Envelope",
    "Exchange",
    "ExchangeReply",
    "Message",
    "MessageRefused",
    "Probe",
    "ProbeFor",
    "ProbeForReply",
    "ProbeReply",
    "Rejected",
    "Repair",
    "RepairReply",
    "RequestAsk",
    "Sender",
    "TicketAsk",
    "TicketPost",
    "open_envelope",
    "seal",
]

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 2 * 1_048_576
MAC_BYTES = 16


class Probe(msgspec.Struct, frozen=True, tag=True):
    """Checks whether a peer answers."""


class ProbeReply(msgspec.Struct, frozen=True, tag=True):
    """Confirms that the peer is running.

    :ivar version: the version of the document in force at the peer; 0 if there is none.
    """

    version: int


class Rejected(msgspec.Struct, frozen=True, tag=True):
    """Reports, by the code of the failure, why a message was rejected."""

    code: str


class Exchange(msgspec.Struct, frozen=True, tag=True):
    """The first half of an exchange between two entries.

    :ivar parts: the bytes of each part, by the name of the part.
    """

    parts: dict[str, bytes]


class ExchangeReply(msgspec.Struct, frozen=True, tag=True):
    """The second half of an exchange between two entries.

    :ivar parts: the bytes of each part, by the name of the part.
    """

    parts: dict[str, bytes]


class ProbeFor(msgspec.Struct, frozen=True, tag=True):
    """Requests that a peer probe an entry that the sender cannot reach.

    :ivar name: the entry's name.
    """

    name: str


class ProbeForReply(msgspec.Struct, frozen=True, tag=True):
    """Reports whether the entry answered."""

    reached: bool


class Repair(msgspec.Struct, frozen=True, tag=True):
    """Requests the records in which two tables differ.

    :ivar digests: the digests of the sender's buckets, by the name of the table.
    """

    digests: dict[str, tuple[int, ...]]


class RepairReply(msgspec.Struct, frozen=True, tag=True):
    """The records of the buckets that differ.

    :ivar records: the records in the encoding of the table, by the name of the table.
    """

    records: dict[str, bytes]


class DocumentAsk(msgspec.Struct, frozen=True, tag=True):
    """Requests the document in force.

    :ivar base: the digest of the sender's document; empty if it has none.
    """

    base: str = ""


class DocumentReply(msgspec.Struct, frozen=True, tag=True):
    """The document in force, compressed against a base.

    :ivar version: the version of the document; 0 if there is none.
    :ivar base: the digest of the base; empty if the document is complete.
    :ivar digest: the digest of the result.
    """

    version: int
    base: str = ""
    digest: str = ""
    data: bytes = b""


class TicketPost(msgspec.Struct, frozen=True, tag=True):
    """Requests that the issuer of a ticket run a call under it; answered immediately.

    :ivar account: the client account to which the caller's key belongs.
    :ivar body: the caller's input, JSON text.
    :ivar left_ms: the milliseconds left until the deadline when it was sent.
    """

    ticket: str
    account: str
    request_id: str
    pipeline: str
    body: bytes
    left_ms: int


class TicketAsk(msgspec.Struct, frozen=True, tag=True):
    """Requests a ticket's state from its issuer; this invalidates an unused ticket."""

    ticket: str
    account: str
    request_id: str


class RequestAsk(msgspec.Struct, frozen=True, tag=True):
    """Requests the state of a request that an entry ran without a ticket."""

    account: str
    request_id: str


class CallState(msgspec.Struct, frozen=True, tag=True):
    """Reports the state of a call.

    :ivar outcome: the name of the outcome; empty while the call is in progress.
    :ivar request_id: the request that runs or ran the call.
    :ivar status: the HTTP status line of the reply.
    :ivar headers: the HTTP headers of the reply.
    :ivar content: the reply, JSON text.
    """

    outcome: str
    request_id: str
    status: str = ""
    headers: tuple[tuple[str, str], ...] = ()
    content: bytes = b""


Message = (
    Probe
    | ProbeReply
    | Rejected
    | Exchange
    | ExchangeReply
    | ProbeFor
    | ProbeForReply
    | Repair
    | RepairReply
    | DocumentAsk
    | DocumentReply
    | AddressesAsk
    | AddressesReply
    | PublishedAsk
    | PublishedReply
    | QuarantineAsk
    | QuarantineReply
    | LimitsAsk
    | LimitsReply
    | PermitAsk
    | PermitReply
    | PermitReturn
    | TicketPost
    | TicketAsk
    | RequestAsk
    | CallState
    | PiecesOrder
    | PiecesBook
    | PiecesAnswer
    | PiecesDone
    | PiecesCancel
    | PiecesRelease
    | ReachAsk
    | ReachReply
    | SeatAsk
    | SeatReply
    | SeatReturn
    | OriginsNote
    | OriginAsk
    | OriginReply
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """The transmitted frame: sender, encoded message and authentication code."""

    version: int
    deployment: str
    sender: str
    incarnation: str
    body: bytes
    mac: bytes


@dataclass(frozen=True, slots=True)
class Sender:
    """The identity and keys with which an entry sends and receives.

    :ivar key: the deployment's peer key.
    :ivar also_accepted: additional keys that are accepted during a key rotation.
    """

    deployment: str
    name: str
    incarnation: str
    key: bytes = field(repr=False)
    also_accepted: tuple[bytes, ...] = field(default=(), repr=False)


@dataclass(frozen=True, slots=True)
class MessageRefused(Failure):
    """A frame is no message of this deployment.

    :ivar reason: why the frame was refused.
    """

    reason: str


_encoder = msgspec.msgpack.Encoder()
_envelope_decoder = msgspec.msgpack.Decoder(Envelope)
_message_decoder = msgspec.msgpack.Decoder(Message)


def seal(sender: Sender, message: Message) -> bytes:
    """Return the frame of a message."""
    body = _encoder.encode(message)
    envelope = Envelope(
        PROTOCOL_VERSION,
        sender.deployment,
        sender.name,
        sender.incarnation,
        body,
        _mac(sender.key, sender.deployment, sender.name, sender.incarnation, body),
    )
    return _encoder.encode(envelope)


def open_envelope(
    receiver: Sender, frame: bytes
) -> tuple[Envelope, Message] | MessageRefused:
    """Verify a frame and return its envelope and message.

    :param receiver: the receiver; its deployment and key must match the sender's.
    :param frame: bytes from the network.
    """
    if len(frame) > MAX_MESSAGE_BYTES:
        return MessageRefused("too long")
    try:
        envelope = _envelope_decoder.decode(frame)
    except msgspec.DecodeError:
        return MessageRefused("not an envelope")
    if envelope.version != PROTOCOL_VERSION:
        return MessageRefused("another protocol version")
    if envelope.deployment != receiver.deployment:
        return MessageRefused("another deployment")
    if not _is_authentic(receiver, envelope):
        return MessageRefused("another key")
    try:
        return envelope, _message_decoder.decode(envelope.body)
    except msgspec.DecodeError:
        return MessageRefused("not a known message")


def _is_authentic(receiver: Sender, envelope: Envelope) -> bool:
    for key in (receiver.key, *receiver.also_accepted):
        mac = _mac(
            key,
            envelope.deployment,
            envelope.sender,
            envelope.incarnation,
            envelope.body,
        )
        if hmac.compare_digest(mac, envelope.mac):
            return True
    return False


def _mac(key: bytes, *parts: str | bytes) -> bytes:
    mac = hashlib.blake2b(key=key, digest_size=MAC_BYTES)
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        # The length prefix keeps bytes from being moved between adjacent parts without
        # changing the code.
        mac.update(len(data).to_bytes(4, "big"))
        mac.update(data)
    return mac.digest()
