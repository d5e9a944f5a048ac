"""Who the other entries are, learnt from them: an address book on the exchange.

It begins with a few seeds, which may be out of date or gone, and grows by what each
peer tells. How the entries are, and whether they leave, is told by ``entry.members``;
that whole books are asked for where they differ, by ``entry.address_sync``.
"""

import random
import threading
from collections.abc import Callable, Iterable
from dataclasses import replace

import msgspec
import xxhash

from boragestream.base.events import Event, emit
from boragestream.policy.peers import ListedEntry

__all__ = ["AddressBook"]

RECORDS_IN_OFFER = 12
# What is told of the published versions and of two drained data centres goes with every
# message; the addresses, which fill all the room that they are given, leave this much
# for it.
OTHERS_BYTES = 150
MAX_RECORDS = 4096


class _Record(msgspec.Struct, frozen=True, array_like=True):
    """One entry: its name, which is its address for entries, and that for callers."""

    name: str
    host: str
    data_centre: str
    capacity: float = 1.0


_encoder = msgspec.msgpack.Encoder()
_records = msgspec.msgpack.Decoder(tuple[_Record, ...])


class AddressBook:
    """The part of the exchange that carries addresses.

    :param own: this entry.
    :param rng: chooses what is told next.
    :param changed: called with all entries after each change.
    """

    name = "a"

    def __init__(
        self,
        own: ListedEntry,
        rng: random.Random,
        changed: Callable[[Iterable[ListedEntry]], None],
    ) -> None:
        self._own = own
        self._rng = rng
        self._changed = changed
        self._known: dict[str, ListedEntry] = {own.name: own}
        self._digest = _digest(own.name)
        self._lock = threading.Lock()

    @property
    def entries(self) -> tuple[ListedEntry, ...]:
        """Every entry known; the host of one that was never heard is empty."""
        return tuple(self._known.values())

    @property
    def digest(self) -> int:
        """Of the names of all entries that were heard; equal books have equal ones."""
        return self._digest

    def packed(self) -> bytes:
        """Return the records of all entries that were heard, as ``take`` reads them."""
        with self._lock:
            known = [entry for entry in self._known.values() if entry.host]
        return _encoder.encode([_pack(entry) for entry in known])

    def packed_own(self) -> bytes:
        """Return the record of this entry, as ``take`` reads it."""
        return _encoder.encode([_pack(self._own)])

    def others(self) -> list[str]:
        """Return the addresses of all other entries, seeds that were not heard too."""
        with self._lock:
            return [name for name in self._known if name != self._own.name]

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Take the seeds of the settings."""
        with self._lock:
            for address in addresses:
                seed = ListedEntry(address, "", address, "")
                self._known.setdefault(address, seed)
        self._changed(self.entries)

    def tell_again(self) -> None:
        """Name all entries again, so that none is forgotten while it is known."""
        self._changed(self.entries)

    def offer(self, budget: int) -> bytes:
        """Return the own record and some of the others, as many as there is room."""
        with self._lock:
            others = [e for e in self._known.values() if e.host and e != self._own]
        count = min(RECORDS_IN_OFFER, len(others))
        offered = [self._own, *self._rng.sample(others, count)]
        while offered:
            data = _encoder.encode([_pack(entry) for entry in offered])
            if len(data) <= budget - OTHERS_BYTES:
                return data
            offered.pop()
        return b""

    def take(self, sender: str, data: bytes) -> None:
        """Merge what a peer offered."""
        try:
            records = _records.decode(data)
        except msgspec.DecodeError as error:
            emit(Event.PEER_FRAME_REFUSED, peer=sender, reason=repr(error))
            return
        with self._lock:
            changed = [r for r in records if self._take(r)]
        if changed:
            self._changed(self.entries)

    def _take(self, record: _Record) -> bool:
        known = self._known.get(record.name)
        if record.name == self._own.name or not record.host:
            return False
        if known is None and len(self._known) >= MAX_RECORDS:
            return False
        name, host, centre = record.name, record.host, record.data_centre
        entry = ListedEntry(name, host, name, centre, capacity=record.capacity)
        if known is not None and replace(known, leaving=False) == entry:
            return False
        if known is None or not known.host:
            self._digest ^= _digest(name)
        self._known[record.name] = entry
        return True


def _digest(name: str) -> int:
    return xxhash.xxh32_intdigest(name.encode())


def _pack(entry: ListedEntry) -> _Record:
    capacity = round(entry.capacity, 3)
    return _Record(entry.name, entry.host, entry.data_centre, capacity)
