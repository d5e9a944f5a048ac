"""Counts the calls that are at brittle servers, as the entry that grants their seats.

A seat is the right to have one call at a server. It is returned when the call has
ended, and expires if its holder does not return it. Calls that began before the server
was known to be brittle have no seat; their holders report how many they still have.

A rejection shows how many calls the server bears: those that were beside the rejected
one. Its seat can be returned long after they have ended, and in any order with the
seats of other rejected calls. Each seat therefore keeps the largest number of calls
that were beside it at one time, without those that have turned out to be rejected.

Not thread-safe: the caller holds a lock.
"""

from dataclasses import dataclass, field

__all__ = ["ServerPlaces"]

# How long an entry's number of calls without a seat counts without a new report.
UNSEATED_SECONDS = 5.0
SMOOTHING = 0.1
FIRST_HOLD_SECONDS = 0.1


@dataclass(slots=True)
class _Seat:
    """A seat that is taken.

    :ivar taken_at: when it was taken, in the clock's seconds.
    :ivar until: when it expires, in the clock's seconds.
    :ivar beside: the most calls beside its own at one time since it was taken, without
        rejected ones.
    :ivar beside_at: the number of the seat that was taken last at that time.
    """

    taken_at: float
    until: float
    beside: int
    beside_at: int


@dataclass(slots=True)
class ServerPlaces:
    """The seats at one server.

    :ivar taken: the seats that are in use, by their numbers, which rise.
    :ivar unseated: by entry, how many calls without a seat it has there and when it
        reported it.
    :ivar hold_seconds: the smoothed time for which a seat is held.
    """

    taken: dict[int, _Seat] = field(default_factory=dict)
    unseated: dict[str, tuple[int, float]] = field(default_factory=dict)
    hold_seconds: float = FIRST_HOLD_SECONDS

    def in_use(self, now: float) -> int:
        """Return the number of calls at the server, and drop expired seats."""
        for number in [n for n, seat in self.taken.items() if now >= seat.until]:
            del self.taken[number]
        recent = [n for n, at in self.unseated.values() if now - at < UNSEATED_SECONDS]
        return len(self.taken) + sum(recent)

    def take(self, number: int, places: int, now: float, seconds: float) -> bool:
        """Take a seat; return False if none is free.

        :param number: identifies the seat; higher than that of any seat before.
        :param places: how many calls may be at the server.
        :param seconds: for how long the seat is held at the most.
        """
        before = self.in_use(now)
        if before >= places:
            return False
        for seat in self.taken.values():
            if before > seat.beside:
                seat.beside, seat.beside_at = before, number
        self.taken[number] = _Seat(now, now + seconds, before, number)
        return True

    def release(self, number: int, now: float, linger_seconds: float = 0.0) -> None:
        """Return a seat.

        :param linger_seconds: for how long the call may still be at the server.
        """
        seat = self.taken.get(number)
        if seat is None:
            return
        if linger_seconds > 0:
            seat.until = min(seat.until, now + linger_seconds)
            return
        held = now - seat.taken_at
        self.hold_seconds += SMOOTHING * (held - self.hold_seconds)
        del self.taken[number]

    def release_rejected(self, number: int, now: float) -> int | None:
        """Return the seat of a call that the server rejected.

        :returns: the number of calls that were beside it; None if the seat has expired.
        """
        rejected = self.taken.get(number)
        if rejected is None:
            return None
        self.release(number, now)
        for seat in self.taken.values():
            if seat.beside_at >= number:
                seat.beside -= 1
        return rejected.beside

    def seconds_until_free(self, places: int) -> float:
        """Return the expected time until a call ends while all places are taken."""
        return max(0.01, self.hold_seconds / max(1, places))
