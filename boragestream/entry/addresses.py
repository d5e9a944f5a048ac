"""Discovery of the other entries: an address book that is shared through the exchange.

It starts with a few seeds, which may be out of date or gone, and grows by the records
of each peer. ``entry.members`` carries the state of the entries and whether they leave;
``entry.address_sync`` requests whole address books where they differ.
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

MAX_OFFERED_RECORDS = 12
# Bytes of a message left free for the published versions and two drained data centres,
# which every message carries. The addresses would otherwise fill all the room they get.
RESERVED_BYTES = 150
MAX_RECORDS = 4096


class _Record(msgspec.Struct, frozen=True, array_like=True):
    """One entry: its name, which is its peer address, and its address for callers."""

    name: str
    host: str
    data_centre: str
    capacity: float = 1.0


_encoder = msgspec.msgpack.Encoder()
_records_decoder = msgspec.msgpack.Decoder(tuple[_Record, ...])


class AddressBook:
    """The part of the exchange that carries addresses.

    :param own: this entry.
    :param rng: chooses which records are offered next.
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
        self._on_change = changed
        self._entries: dict[str, ListedEntry] = {own.name: own}
        self._digest = _digest(own.name)
        self._lock = threading.Lock()

    @property
    def entries(self) -> tuple[ListedEntry, ...]:
        """Every known entry; the host is empty until a record of the entry arrives."""
        return tuple(self._entries.values())

    @property
    def digest(self) -> int:
        """The digest of the names of all entries with a record."""
        return self._digest

    def encoded_records(self) -> bytes:
        """Return all known records, in the encoding that ``take`` reads."""
        with self._lock:
            entries = [entry for entry in self._entries.values() if entry.host]
        return _encoder.encode([_pack(entry) for entry in entries])

    def encoded_own_record(self) -> bytes:
        """Return the record of this entry, in the encoding that ``take`` reads."""
        return _encoder.encode([_pack(self._own)])

    def other_addresses(self) -> list[str]:
        """Return the addresses of all other entries, including the seeds."""
        with self._lock:
            return [name for name in self._entries if name != self._own.name]

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Add the seeds from the settings."""
        with self._lock:
            for address in addresses:
                seed = ListedEntry(address, "", address, "")
                self._entries.setdefault(address, seed)
        self._on_change(self.entries)

    def notify_changed(self) -> None:
        """Call ``changed`` with all entries, so that no known entry expires there."""
        self._on_change(self.entries)

    def offer(self, budget: int) -> bytes:
        """Return this entry's own record and as many others as fit."""
        with self._lock:
            others = [e for e in self._entries.values() if e.host and e != self._own]
        count = min(MAX_OFFERED_RECORDS, len(others))
        offered = [self._own, *self._rng.sample(others, count)]
        while offered:
            data = _encoder.encode([_pack(entry) for entry in offered])
            if len(data) <= budget - RESERVED_BYTES:
                return data
            offered.pop()
        return b""

    def take(self, sender: str, data: bytes) -> None:
        """Merge the records that a peer offered."""
        try:
            records = _records_decoder.decode(data)
        except msgspec.DecodeError as error:
            emit(Event.PEER_FRAME_REFUSED, peer=sender, reason=repr(error))
            return
        with self._lock:
            changed = [r for r in records if self._add(r)]
        if changed:
            self._on_change(self.entries)

    def _add(self, record: _Record) -> bool:
        current = self._entries.get(record.name)
        if record.name == self._own.name or not record.host:
            return False
        if current is None and len(self._entries) >= MAX_RECORDS:
            return False
        name, host, centre = record.name, record.host, record.data_centre
        entry = ListedEntry(name, host, name, centre, capacity=record.capacity)
        if current is not None and replace(current, leaving=False) == entry:
            return False
        if current is None or not current.host:
            self._digest ^= _digest(name)
        self._entries[record.name] = entry
        return True


def _digest(name: str) -> int:
    return xxhash.xxh32_intdigest(name.encode())


def _pack(entry: ListedEntry) -> _Record:
    capacity = round(entry.capacity, 3)
    return _Record(entry.name, entry.host, entry.data_centre, capacity)
