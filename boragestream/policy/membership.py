"""What is known of the other entries, and how two opinions become one.

Each entry has one record, which only rises in a total order, so that merging is
commutative, associative and idempotent whatever comes late, twice or out of order.

* Only the entry itself says that it is leaving or gone; within one incarnation that is
  final. Silence makes a suspect and never more, since behind a partition an entry may
  be serving its callers; a suspect that hears of it raises its counter.
* An incarnation is random, so that it does not tell which of two came later. A running
  entry that hears of another incarnation under its own name knows that it is the later
  one, and raises its generation above it.

The tables that hold the records are left to ``policy.peers``.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, replace
from enum import IntEnum

__all__ = ["Member", "MemberState", "answer_to", "later", "merge", "suspected"]


class MemberState(IntEnum):
    """What is believed of an entry; a higher one outranks a lower one."""

    LIVE = 0
    SUSPECT = 1
    LEAVING = 2
    GONE = 3


FINAL_STATES = (MemberState.LEAVING, MemberState.GONE)


@dataclass(frozen=True, slots=True)
class Member:
    """What is believed of one entry.

    :ivar generation: which of the incarnations under this name is the latest.
    :ivar counter: raised by the entry itself to refute a suspicion.
    """

    name: str
    incarnation: str
    generation: int = 1
    counter: int = 0
    state: MemberState = MemberState.LIVE

    @property
    def rank(self) -> tuple[int, str, int, int, int]:
        """The place in the total order of one entry's records."""
        final = self.state if self.state in FINAL_STATES else MemberState.LIVE
        return (self.generation, self.incarnation, final, self.counter, self.state)


def later(one: Member, other: Member) -> Member:
    """Return the one of two records of the same entry that prevails."""
    return one if one.rank >= other.rank else other


def merge(
    mine: Mapping[str, Member], theirs: Mapping[str, Member]
) -> dict[str, Member]:
    """Return the records that prevail, by name."""
    merged = dict(mine)
    for name, member in theirs.items():
        known = merged.get(name)
        merged[name] = member if known is None else later(known, member)
    return merged


def suspected(member: Member) -> Member:
    """Return the record of an entry that does not answer."""
    if member.state is not MemberState.LIVE:
        return member
    return replace(member, state=MemberState.SUSPECT)


def answer_to(own: Member, received: Member, outranked: Collection[str]) -> Member:
    """Return an entry's own record after it received what is believed of it.

    A leaving entry cannot tell a predecessor from a successor that runs already. It
    rises above either once; a successor rises again, a predecessor does not.

    :param own: its record so far.
    :param received: a record under its name.
    :param outranked: the incarnations above which it has already risen.
    """
    if later(own, received) == own:
        return own
    if received.incarnation == own.incarnation:
        return replace(own, counter=received.counter + 1)
    if own.state is MemberState.LIVE or received.incarnation not in outranked:
        return replace(own, generation=received.generation + 1)
    return own
