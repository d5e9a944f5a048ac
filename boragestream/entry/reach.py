"""The exchange part that carries which entries are cut off from backend servers.

Nothing is sent while no entry is cut off. ``policy.cut_entries`` keeps the records.
"""

from collections.abc import Callable

import msgspec

from boragestream.base.events import Event, emit
from boragestream.entry.parts import encode_fitting
from boragestream.policy.cut_entries import CutEntries, ReachRecord

__all__ = ["ReachPart"]

MAX_RECORDS = 12
# A record names at most this many services; with more, it names all.
MAX_SERVICES = 64

PackedReach = tuple[str, str, int, tuple[str, ...]]

_decoder = msgspec.msgpack.Decoder(tuple[PackedReach, ...])


class ReachPart:
    """The part of the exchange that carries the records of entries without servers.

    :param on_cut_off: called with each entry that was cut off from some service.
    """

    name = "u"

    def __init__(
        self,
        entries: CutEntries,
        on_cut_off: Callable[[str], None] = lambda entry: None,
    ) -> None:
        self._entries = entries
        self._on_cut_off = on_cut_off

    def offer(self, budget: int) -> bytes:
        """Return as many records as fit; nothing while there are none."""
        records = self._entries.pending_records(MAX_RECORDS)
        packed = [(r.entry, r.incarnation, r.number, r.services) for r in records]
        return encode_fitting(packed, budget)

    def take(self, sender: str, data: bytes) -> None:
        """Merge the records that a peer sent."""
        try:
            packed = _decoder.decode(data)
        except msgspec.DecodeError as error:
            emit(Event.PEER_FRAME_REFUSED, peer=sender, reason=repr(error))
            return
        for entry, incarnation, number, services in packed[:MAX_RECORDS]:
            record = ReachRecord(entry, incarnation, number, services[:MAX_SERVICES])
            changed = self._entries.take(record)
            if changed is not None:
                emit(
                    Event.ENTRY_REACH_CHANGED,
                    entry=changed.entry,
                    services=changed.services,
                )
                if changed.services:
                    self._on_cut_off(changed.entry)
