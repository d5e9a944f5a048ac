"""Membership records of entries and the rules for merging them.

Each entry has one record, which only rises in a total order. Merging is therefore
commutative, associative and idempotent, also for late, repeated or reordered messages.

* Only the entry itself reports that it is leaving or gone, which is final within an
  incarnation. An entry that does not answer becomes at most a suspect, since it may be
  serving its callers behind a partition. An entry that learns that it is suspected
  raises its counter.
* Incarnations are random and don't show which of two is later. A running entry that
  receives a record of another incarnation under its own name is the later one, and
  raises its generation above that record's.

``policy.peers`` holds the tables of records.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, replace
from enum import IntEnum

__all__ = [
    "Member",
    "MemberState",
    "as_suspect",
    "merge",
    "prevailing_record",
    "updated_own_record",
]


class MemberState(IntEnum):
    """The believed state of an entry; a higher state outranks a lower one."""

    LIVE = 0
    SUSPECT = 1
    LEAVING = 2
    GONE = 3


FINAL_STATES = (MemberState.LEAVING, MemberState.GONE)


@dataclass(frozen=True, slots=True)
class Member:
    """The membership record of one entry.

    :ivar generation: orders the incarnations under this name; the highest is the
        latest.
    :ivar counter: raised by the entry itself to refute a suspicion.
    """

    name: str
    incarnation: str
    generation: int = 1
    counter: int = 0
    state: MemberState = MemberState.LIVE

    @property
    def rank(self) -> tuple[int, str, int, int, int]:
        """The sort key in the total order of an entry's records."""
        final_state = self.state if self.state in FINAL_STATES else MemberState.LIVE
        return (
            self.generation,
            self.incarnation,
            final_state,
            self.counter,
            self.state,
        )


def prevailing_record(first: Member, second: Member) -> Member:
    """Return which of two records of the same entry prevails."""
    return first if first.rank >= second.rank else second


def merge(
    mine: Mapping[str, Member], theirs: Mapping[str, Member]
) -> dict[str, Member]:
    """Return the prevailing records of two tables by name."""
    merged = dict(mine)
    for name, member in theirs.items():
        known = merged.get(name)
        merged[name] = member if known is None else prevailing_record(known, member)
    return merged


def as_suspect(member: Member) -> Member:
    """Return the record of an entry after it did not answer."""
    if member.state is not MemberState.LIVE:
        return member
    return replace(member, state=MemberState.SUSPECT)


def updated_own_record(
    own: Member, received: Member, outranked: Collection[str]
) -> Member:
    """Return an entry's own record after it received a record under its name.

    A leaving entry can't distinguish a predecessor from a successor that is already
    running. It raises its generation above either incarnation once. A running successor
    then raises its own again; a predecessor does not.

    :param own: the entry's current record.
    :param received: the received record.
    :param outranked: the incarnations above which it has already raised its generation.
    """
    if prevailing_record(own, received) == own:
        return own
    if received.incarnation == own.incarnation:
        return replace(own, counter=received.counter + 1)
    if own.state is MemberState.LIVE or received.incarnation not in outranked:
        return replace(own, generation=received.generation + 1)
    return own
