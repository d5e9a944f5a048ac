"""Tickets that grant the right to run a non-repeatable call at most once.

A ticket names the entry that issued it and that entry's incarnation. It is
authenticated with a key that is random in each incarnation, so that no other process
can accept it as its own. ``policy.ticket_book`` records the state of each ticket.
"""

import base64
import binascii
import hashlib
import hmac
from dataclasses import dataclass

import msgspec

from boragestream.base.outcomes import Failure

__all__ = [
    "MAX_TICKET_CHARACTERS",
    "Ticket",
    "TicketExpired",
    "TicketForeign",
    "TicketForged",
    "TicketForgotten",
    "TicketMalformed",
    "TicketNotUsed",
    "TicketReused",
    "TicketsExhausted",
    "is_genuine",
    "read_ticket",
    "ticket_mac",
    "write_ticket",
]

MAX_TICKET_CHARACTERS = 512
MAC_BYTES = 16


class Ticket(msgspec.Struct, frozen=True, array_like=True):
    """A ticket as the entries read it; to callers it is opaque text.

    :ivar account: the client account that may use it.
    :ivar issuer: the name of the entry that issued it.
    :ivar incarnation: that entry's incarnation.
    :ivar sequence: the number of the ticket within the incarnation, rising by one.
    :ivar expiry_ms: the expiry in milliseconds of the issuer's clock; only the issuer
        interprets it.
    :ivar mac: the message authentication code of the other fields.
    """

    account: str
    issuer: str
    incarnation: str
    sequence: int
    expiry_ms: int
    mac: bytes = b""


@dataclass(frozen=True, slots=True)
class TicketMalformed(Failure):
    """The idempotency key is no ticket; a POST to /v1/tickets gives one."""


@dataclass(frozen=True, slots=True)
class TicketForged(Failure):
    """The ticket was not issued by the entry that it names."""


@dataclass(frozen=True, slots=True)
class TicketForeign(Failure):
    """The ticket belongs to another client account."""


@dataclass(frozen=True, slots=True)
class TicketExpired(Failure):
    """The ticket was not used before its expiry and can't be used any more."""


@dataclass(frozen=True, slots=True)
class TicketForgotten(Failure):
    """The ticket expired so long ago that its use is not remembered."""


@dataclass(frozen=True, slots=True)
class TicketNotUsed(Failure):
    """The ticket had not been used when its state was asked for, and now never can."""


@dataclass(frozen=True, slots=True)
class TicketReused(Failure):
    """The ticket was used for another pipeline or input; this one was not run."""


@dataclass(frozen=True, slots=True)
class TicketsExhausted(Failure):
    """The entry remembers as many tickets or answers as it may and issues none.

    :ivar limit: the name of the limit that was reached.
    """

    limit: str


def ticket_mac(key: bytes, ticket: Ticket) -> bytes:
    """Return the authentication code of a ticket, computed without its ``mac``."""
    unsigned = msgspec.structs.replace(ticket, mac=b"")
    body = msgspec.msgpack.encode(unsigned)
    return hashlib.blake2b(body, key=key, digest_size=MAC_BYTES).digest()


def write_ticket(key: bytes, ticket: Ticket) -> str:
    """Authenticate a ticket and return its text."""
    signed = msgspec.structs.replace(ticket, mac=ticket_mac(key, ticket))
    data = msgspec.msgpack.encode(signed)
    return base64.urlsafe_b64encode(data).decode().rstrip("=")


def read_ticket(text: str) -> Ticket | TicketMalformed:
    """Decode a ticket's text; only its issuer can check whether it is genuine."""
    if len(text) > MAX_TICKET_CHARACTERS:
        return TicketMalformed()
    try:
        padded = text.encode("ascii") + b"=" * (-len(text) % 4)
        data = base64.b64decode(padded, altchars=b"-_", validate=True)
        return msgspec.msgpack.decode(data, type=Ticket)
    except (UnicodeEncodeError, binascii.Error, msgspec.DecodeError):
        return TicketMalformed()


def is_genuine(key: bytes, ticket: Ticket) -> bool:
    """Return whether a ticket was authenticated with a key."""
    return hmac.compare_digest(ticket.mac, ticket_mac(key, ticket))
