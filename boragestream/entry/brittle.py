"""The exchange part that carries which services are brittle.

Nothing is sent while no service is. ``policy.brittle_services`` keeps the records.
"""

import msgspec

from boragestream.base.events import Event, emit
from boragestream.entry.parts import encode_fitting
from boragestream.entry.seat_messages import PackedBrittle
from boragestream.policy.brittle_services import BrittleRecord, BrittleServices

__all__ = ["BrittlePart", "log_brittle_change", "pack_brittle", "unpack_brittle"]

MAX_RECORDS = 16
ENDED = -1

_decoder = msgspec.msgpack.Decoder(tuple[PackedBrittle, ...])


class BrittlePart:
    """The part of the exchange that carries the records of brittle services."""

    name = "f"

    def __init__(self, services: BrittleServices) -> None:
        self._services = services

    def offer(self, budget: int) -> bytes:
        """Return as many records as fit; nothing while there are none."""
        packed = [pack_brittle(r) for r in self._services.records()[:MAX_RECORDS]]
        return encode_fitting(packed, budget)

    def take(self, sender: str, data: bytes) -> None:
        """Merge the records that a peer sent."""
        try:
            packed = _decoder.decode(data)
        except msgspec.DecodeError as error:
            emit(Event.PEER_FRAME_REFUSED, peer=sender, reason=repr(error))
            return
        for each in packed[:MAX_RECORDS]:
            log_brittle_change(self._services.take(unpack_brittle(each)), sender)


def pack_brittle(record: BrittleRecord) -> PackedBrittle:
    """Return a record in its form on the wire."""
    places = ENDED if record.places is None else record.places
    return record.service, record.revision, places


def unpack_brittle(packed: PackedBrittle) -> BrittleRecord:
    """Return the record of its form on the wire."""
    service, revision, places = packed
    return BrittleRecord(service, revision, None if places < 0 else max(1, places))


def log_brittle_change(record: BrittleRecord | None, peer: str = "") -> None:
    """Log that a service turned brittle, or has other places, or is sound again.

    :param peer: the entry that sent the record; empty if a server's answer showed it.
    """
    if record is not None:
        emit(
            Event.SERVICE_BRITTLE,
            service=record.service,
            places=record.places,
            peer=peer,
        )
