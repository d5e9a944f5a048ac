"""Distributes reports of load and account demand through the exchange of entries.

Each message carries the sender's own report. As far as there is room, it also carries
reports of other entries: first those that the sender has not forwarded yet, the most
recent ones first. ``policy.demand`` and its users interpret the reports.
"""

import itertools
import threading
from collections.abc import Callable

import msgspec

from boragestream.base.events import Event, emit
from boragestream.policy.demand import AccountDemand, DemandTable, EntryReport

__all__ = ["DemandPart"]

MAX_ACCOUNTS = 24
RATE_UNITS = 100
LOAD_UNITS = 100

PackedAccount = tuple[int, int, int, int, int]


class PackedReport(msgspec.Struct, frozen=True, array_like=True):
    """An entry's report in its form on the wire.

    :ivar age_ms: the age of the report.
    :ivar load: the load in hundredths.
    :ivar accounts: for each account its key, its rate and held rate in hundredths, its
        slots and its held slots.
    """

    age_ms: int
    entry: str
    incarnation: str
    sequence: int
    load: int
    accounts: tuple[PackedAccount, ...] = ()


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(tuple[PackedReport, ...])


class DemandPart:
    """The part of the exchange that carries reports.

    :param own: this entry's name.
    :param table: the reports of the other entries.
    :param demands: returns this entry's demand by account key.
    :param load: returns this entry's load.
    """

    name = "d"

    def __init__(
        self,
        own: str,
        incarnation: str,
        table: DemandTable,
        demands: Callable[[], dict[int, AccountDemand]],
        load: Callable[[], float],
    ) -> None:
        self._own = own
        self._incarnation = incarnation
        self._table = table
        self._demands = demands
        self._load = load
        self._sequence = itertools.count(1)
        self._forwarded: dict[str, int] = {}
        self._lock = threading.Lock()

    def offer(self, budget: int) -> bytes:
        """Return this entry's report and as many reports of others as fit."""
        accounts = self._demands()
        busiest = sorted(accounts, key=lambda key: -accounts[key].rate)[:MAX_ACCOUNTS]
        own = EntryReport(
            self._own,
            self._incarnation,
            next(self._sequence),
            self._load(),
            {key: accounts[key] for key in busiest},
        )
        packed = [_pack_within(own, budget)]
        left = budget - len(_encoder.encode(packed))
        if left < 0:
            return b""
        with self._lock:
            for age, report in self._in_forwarding_order():
                packed_report = _pack(report, age)
                size = len(_encoder.encode(packed_report))
                if size <= left:
                    packed.append(packed_report)
                    left -= size
                    self._forwarded[report.entry] = report.sequence
        return _encoder.encode(packed)

    def take(self, sender: str, data: bytes) -> None:
        """Add the reports that a peer offered to the table."""
        try:
            reports = _decoder.decode(data)
        except msgspec.DecodeError as error:
            emit(Event.PEER_FRAME_REFUSED, peer=sender, reason=repr(error))
            return
        for packed in reports:
            self._table.add(_unpack(packed), packed.age_ms / 1000)

    def _in_forwarding_order(self) -> list[tuple[float, EntryReport]]:
        """Return the others' reports, unforwarded ones first, then by age."""
        reports = self._table.unexpired_reports()
        return sorted(
            reports.values(),
            key=lambda aged: (
                self._forwarded.get(aged[1].entry) == aged[1].sequence,
                aged[0],
            ),
        )


def _pack_within(own: EntryReport, budget: int) -> PackedReport:
    """Return an entry's own report, without its smallest demands if it is too large."""
    packed = _pack(own, 0.0)
    while packed.accounts and len(_encoder.encode([packed])) > budget:
        packed = msgspec.structs.replace(packed, accounts=packed.accounts[:-1])
    return packed


def _pack(report: EntryReport, age: float) -> PackedReport:
    accounts = tuple(
        (
            key,
            round(demand.rate * RATE_UNITS),
            round(demand.held_rate * RATE_UNITS),
            demand.slots,
            demand.held_slots,
        )
        for key, demand in report.accounts.items()
    )
    return PackedReport(
        round(age * 1000),
        report.entry,
        report.incarnation,
        report.sequence,
        round(report.load * LOAD_UNITS),
        accounts,
    )


def _unpack(packed: PackedReport) -> EntryReport:
    accounts = {
        key: AccountDemand(rate / RATE_UNITS, slots, held / RATE_UNITS, held_slots)
        for key, rate, held, slots, held_slots in packed.accounts
    }
    return EntryReport(
        packed.entry,
        packed.incarnation,
        packed.sequence,
        packed.load / LOAD_UNITS,
        accounts,
    )
