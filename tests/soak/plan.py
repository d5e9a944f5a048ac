"""Which faults strike when, drawn from a seed."""

import random
from dataclasses import dataclass
from enum import Enum, auto

from tests.soak.relay import LinkFault

# Strikes overlap: they come faster than they end.
GAP_SECONDS = 0.7
LONGEST_SECONDS = 4.0
PEER_PAIRS = ("both", "one-way")
# Which bytes between the regions are lost: all, or those in one direction.
REGION_WAYS = ("both", "there", "back")
STORE_TROUBLES = ("503", "429", "reset", "silent")


class StrikeKind(Enum):
    """What is done, and to what."""

    CALLER_LINK = auto()
    STORE_LINK = auto()
    SERVER_LINK = auto()
    PEER_LINK = auto()
    PAUSE = auto()
    KILL = auto()
    KILL_ALL = auto()
    TERM = auto()
    HANG_UP = auto()
    STORE_DOWN = auto()
    STORE_FORGETS = auto()
    SERVER_DRAINS = auto()
    SERVER_DIES = auto()
    PUBLISH = auto()
    REVOKE = auto()
    CENTRE_DRAINED = auto()
    CENTRE_COLD = auto()
    SERVER_LIMITED = auto()
    STORE_RETURNS = auto()
    CALLERS_STOP_READING = auto()
    ACCOUNT_SURGE = auto()
    REGIONS_PARTED = auto()
    ENTRIES_CUT_OFF = auto()
    SERVER_UPGRADED = auto()
    ENTRY_OUT_OF_STEP = auto()
    LOG_READER = auto()


class Family(Enum):
    """Faults that strike beside those of every run, each with draws of its own."""

    CENTRES = "centres"
    LIMITS = "limits"
    RETURNS = "returns"
    READERS = "readers"
    SURGES = "surges"
    PARTITIONS = "partitions"
    CUTS = "cuts"
    UPGRADES = "upgrades"
    OUT_OF_STEP = "out-of-step"
    LOGS = "logs"
    # Strikes nothing: what callers ask for spoils the answers of servers.
    SPOILS = "spoils"


# The families that need entries with bounded memory, fair shares and two regions.
NEWER = {
    Family.READERS: StrikeKind.CALLERS_STOP_READING,
    Family.SURGES: StrikeKind.ACCOUNT_SURGE,
    Family.PARTITIONS: StrikeKind.REGIONS_PARTED,
}
WEIGHTS = {
    StrikeKind.CALLER_LINK: 3,
    StrikeKind.STORE_LINK: 3,
    StrikeKind.SERVER_LINK: 4,
    StrikeKind.PEER_LINK: 4,
    StrikeKind.PAUSE: 3,
    StrikeKind.KILL: 3,
    StrikeKind.KILL_ALL: 0.5,
    StrikeKind.TERM: 3,
    StrikeKind.HANG_UP: 1,
    StrikeKind.STORE_DOWN: 2,
    StrikeKind.STORE_FORGETS: 1,
    StrikeKind.SERVER_DRAINS: 2,
    StrikeKind.SERVER_DIES: 2,
    StrikeKind.PUBLISH: 3,
    StrikeKind.REVOKE: 1,
}


# Whole data centres are struck beside the others, so that seeds of before stay as they
# were.
CENTRE_KINDS = (StrikeKind.CENTRE_DRAINED, StrikeKind.CENTRE_COLD)
CENTRE_GAP_SECONDS = 2.0
# Servers name limits beside the others, and for long enough to see the sum of a window.
LIMIT_STRIKES = 3
# The store comes back from a copy beside the others; a copy is some seconds old.
RETURN_GAP_SECONDS = 3.0
NEWER_GAP_SECONDS = 2.5
# Entries take a region for unreachable after 6.5 s without an answer.
LONGEST_PARTED_SECONDS = 9.0
LIMITS = ("0", "1", "2.5")
CUT_GAP_SECONDS = 2.5
LONGEST_CUT_SECONDS = 6.0
# How entries are cut off from servers, see ``tests.standins.bound_entry``.
CUT_WAYS = ("refused", "dark", "kept")
UPGRADE_GAP_SECONDS = 1.2
VERSIONS = ("v1", "v2", "v3")
LOG_GAP_SECONDS = 0.7
LOG_WAYS = ("gone", "stalled")
OUT_OF_STEP_GAP_SECONDS = 2.0
OUT_OF_STEP_SECONDS = (1.0, 6.0)
# How the store and the other entries are lost to an entry.
OUT_OF_STEP_WAYS = ("silent", "reset", "paused")
# Upgrades while an entry is out of step, so soon after it fell out.
OUT_OF_STEP_UPGRADES = 2
UPGRADE_AFTER_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Strike:
    """One fault.

    :ivar at: seconds from the start.
    :ivar seconds: how long it lasts, where it lasts.
    :ivar how: the variant; empty for the only one.
    :ivar target: picks the entry, the server or the pair, a number below a million.
    """

    at: float
    seconds: float
    kind: StrikeKind
    how: str
    target: int


def make_plan(seed, seconds, families=()):
    """Return the strikes of a run, in the order of their times.

    :param families: which faults strike beside the usual ones.
    """
    rng = random.Random(seed)
    strikes = []
    at = 1.0
    while at < seconds:
        kind = rng.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
        lasts = round(rng.uniform(0.2, LONGEST_SECONDS), 2)
        target = rng.randrange(1_000_000)
        strikes.append(Strike(round(at, 2), lasts, kind, _variant(kind, rng), target))
        # Series of signals come close together.
        at += rng.choice((0.05, GAP_SECONDS, 2 * GAP_SECONDS)) * rng.uniform(0.5, 1.5)
    for family in families:
        rng = random.Random(f"{family.value} {seed}")
        if family is Family.CENTRES:
            strikes += _centre_strikes(rng, seconds)
        elif family is Family.LIMITS:
            strikes += _limit_strikes(rng, seconds)
        elif family is Family.RETURNS:
            strikes += _return_strikes(rng, seconds)
        elif family is Family.CUTS:
            strikes += _cut_strikes(rng, seconds)
        elif family is Family.UPGRADES:
            strikes += _upgrade_strikes(rng, seconds)
        elif family is Family.LOGS:
            strikes += _log_strikes(rng, seconds)
        elif family is Family.OUT_OF_STEP:
            strikes += _out_of_step_strikes(rng, seconds)
        elif family is Family.SPOILS:
            continue
        else:
            strikes += _newer_strikes(rng, seconds, NEWER[family])
    return sorted(strikes, key=lambda strike: strike.at)


def _centre_strikes(rng, seconds):
    at = rng.uniform(0.5, CENTRE_GAP_SECONDS)
    while at < seconds:
        lasts = round(rng.uniform(0.2, LONGEST_SECONDS), 2)
        kind, target = rng.choice(CENTRE_KINDS), rng.randrange(1_000_000)
        yield Strike(round(at, 2), lasts, kind, "", target)
        at += CENTRE_GAP_SECONDS * rng.uniform(0.5, 1.5)


def _return_strikes(rng, seconds):
    at = rng.uniform(0.2, RETURN_GAP_SECONDS)
    while at < seconds:
        lasts = round(rng.uniform(0.2, LONGEST_SECONDS), 2)
        how = rng.choice(STORE_TROUBLES)
        yield Strike(round(at, 2), lasts, StrikeKind.STORE_RETURNS, how, 0)
        at += RETURN_GAP_SECONDS * rng.uniform(0.3, 1.7)


def _cut_strikes(rng, seconds):
    lengths = (0.3, LONGEST_CUT_SECONDS)
    kind = StrikeKind.ENTRIES_CUT_OFF
    return _spaced_strikes(rng, seconds, 0.5, CUT_GAP_SECONDS, lengths, kind, CUT_WAYS)


def _log_strikes(rng, seconds):
    lengths = (0.2, LONGEST_SECONDS)
    kind = StrikeKind.LOG_READER
    return _spaced_strikes(rng, seconds, 0.1, LOG_GAP_SECONDS, lengths, kind, LOG_WAYS)


def _spaced_strikes(rng, seconds, first, gap, lengths, kind, ways):
    """Yield strikes of one kind.

    :param first: the earliest time of the first one, in seconds.
    :param gap: seconds from one to the next, on average.
    :param lengths: the seconds that a strike lasts at least and at most.
    """
    at = rng.uniform(first, gap)
    while at < seconds:
        lasts = round(rng.uniform(*lengths), 2)
        how, target = rng.choice(ways), rng.randrange(1_000_000)
        yield Strike(round(at, 2), lasts, kind, how, target)
        at += gap * rng.uniform(0.5, 1.5)


def _upgrade_strikes(rng, seconds):
    at = rng.uniform(0.2, UPGRADE_GAP_SECONDS)
    while at < seconds:
        how, target = rng.choice(VERSIONS), rng.randrange(1_000_000)
        yield Strike(round(at, 2), 0.0, StrikeKind.SERVER_UPGRADED, how, target)
        at += UPGRADE_GAP_SECONDS * rng.uniform(0.3, 1.7)


def _out_of_step_strikes(rng, seconds):
    # The first entry misses a second version, later ones a third or the first again.
    at, versions = rng.uniform(0.1, 1.0), VERSIONS[1:]
    while at < seconds:
        lasts = round(rng.uniform(*OUT_OF_STEP_SECONDS), 2)
        how, target = rng.choice(OUT_OF_STEP_WAYS), rng.randrange(1_000_000)
        yield Strike(round(at, 2), lasts, StrikeKind.ENTRY_OUT_OF_STEP, how, target)
        for _ in range(OUT_OF_STEP_UPGRADES):
            later = round(at + rng.uniform(0.1, UPGRADE_AFTER_SECONDS), 2)
            how, target = rng.choice(versions), rng.randrange(1_000_000)
            yield Strike(later, 0.0, StrikeKind.SERVER_UPGRADED, how, target)
        versions = VERSIONS
        at += OUT_OF_STEP_GAP_SECONDS * rng.uniform(0.1, 1.9)


def _newer_strikes(rng, seconds, kind):
    at = rng.uniform(0.5, NEWER_GAP_SECONDS)
    while at < seconds:
        parted = kind is StrikeKind.REGIONS_PARTED
        longest = LONGEST_PARTED_SECONDS if parted else LONGEST_SECONDS
        lasts = round(rng.uniform(0.5, longest), 2)
        target = rng.randrange(1_000_000)
        yield Strike(round(at, 2), lasts, kind, _variant(kind, rng), target)
        at += NEWER_GAP_SECONDS * rng.uniform(0.5, 1.5)


def _limit_strikes(rng, seconds):
    for number in range(LIMIT_STRIKES):
        at, target = round(rng.uniform(0.2, 1.0), 2), 7 * number + rng.randrange(7)
        kind = StrikeKind.SERVER_LIMITED
        yield Strike(at, seconds - at, kind, rng.choice(LIMITS), target)


def _variant(kind, rng):
    if kind is StrikeKind.PEER_LINK:
        return rng.choice(PEER_PAIRS)
    if kind is StrikeKind.REGIONS_PARTED:
        return rng.choice(REGION_WAYS)
    if kind is StrikeKind.STORE_DOWN:
        return rng.choice(STORE_TROUBLES)
    if kind in (StrikeKind.CALLER_LINK, StrikeKind.STORE_LINK, StrikeKind.SERVER_LINK):
        return rng.choice(list(LinkFault)).name
    return ""
