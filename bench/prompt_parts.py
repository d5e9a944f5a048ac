"""Compares ways to find the part of prompts that crashes servers, in a simulation.

Usage:
  bench.prompt_parts [options]

Options:
  --seed N  The seed of the random choices [default: 1].

Requests with one crashing part come at a steady rate beside sound ones, at entries that
report crashes to one another after a delay. All entries use ``policy.prompt_parts``.
The ways differ in the number of crashes that block a part, and in what is suspected.
Counted are the crashes, the requests with the part that are sent later than three
seconds after the fifth crash, and the sound requests that are refused. Prints JSON.
"""

import heapq
import itertools
import json
import random
import sys

from docopt import docopt

from boragestream.policy.prompt_parts import PartCrashes, part_fingerprint
from boragestream.policy.quarantine import Quarantine

SERVICE = "engine"
SECONDS = 30.0
STABLE_SECONDS = 3.0
FREE_CRASHES = 5
REPORT_SECONDS = 0.3
# From the send of a request to its crash, or to the beginning of its answer.
BEGIN_SECONDS = (0.05, 0.4)
ATTEMPTS = 2
SOUND_RATE = 30.0
# Sound prompts: shared first parts, a session that returns, and its own last part.
FIRST_PARTS = ("a1", "a2")
SESSIONS = 60
CASES = {
    "4 a second, 6 entries": (4.0, 6, 0.0),
    "10 a second, 12 entries": (10.0, 12, 0.0),
    "one in two seconds, 6 entries": (0.5, 6, 0.0),
    "4 a second, 9 of 10 with the same neighbour": (4.0, 6, 0.9),
    "4 a second, 370 entries": (4.0, 370, 0.0),
}
WAYS = {
    "kept: 3 crashes, cleared parts left out, most crashes alone": (3, True, True),
    "2 crashes": (2, True, True),
    "4 crashes": (4, True, True),
    "cleared parts are suspected": (3, False, True),
    "all suspected parts are counted": (3, True, False),
}


class SimulatedClock:
    """The simulated time."""

    def __init__(self):
        """Begin at a time after which nothing is recorded yet."""
        self.seconds = 1000.0

    def now(self):
        """Return the simulated time."""
        return self.seconds


class Entry:
    """The records of one entry, and what it would report."""

    def __init__(self, name, names, clock, threshold, leaves_out, most_alone):
        """Make empty records."""
        self.table = Quarantine(name, lambda: names, clock, threshold=threshold)
        self.parts = PartCrashes(self.table, clock)
        self.leaves_out, self.most_alone = leaves_out, most_alone

    def note_crash(self, parts, at_send):
        """Count a crash, in the way that is compared; return what changed."""
        if not self.leaves_out:
            self.parts._cleared.clear()
        if self.most_alone:
            return self.parts.note_crash(parts, at_send)
        changed = []
        for part in parts:
            changed += self.parts.note_crash([part], at_send)
        return changed


def simulate(case, way, rng):
    """Return the crashes, the late sends and the refused sound requests."""
    rate, size, neighbour = case
    clock = SimulatedClock()
    names = [f"e-{n}" for n in range(size)]
    entries = [Entry(name, names, clock, *way) for name in names]
    due, numbers = [], itertools.count()
    crashes, sent_bad, refused, sound = [], [], 0, 0

    def at(delay, work, *details):
        heapq.heappush(due, (clock.seconds + delay, next(numbers), work, details))

    def report(sender, records):
        for entry in entries:
            if entry is not sender:
                at(rng.uniform(0, REPORT_SECONDS), "merge", entry, records)

    def fingerprints(parts):
        return tuple(part_fingerprint(SERVICE, part) for part in parts)

    def arrive(parts, bad, attempt=1, entry=None):
        nonlocal refused, sound
        entry = entry or rng.choice(entries)
        if not bad and attempt == 1:
            sound += 1
        if entry.parts.refused(parts) is not None:
            refused += not bad
            return
        at_send = entry.parts.at_send(parts)
        if bad:
            sent_bad.append(clock.seconds)
        at(rng.uniform(*BEGIN_SECONDS), "began", entry, parts, bad, attempt, at_send)

    def began(entry, parts, bad, attempt, at_send):
        if not bad:
            before = [entry.table.record_for(p) for p in parts]
            entry.parts.note_began(parts)
            after = [entry.table.record_for(p) for p in parts]
            changed = [a for a, b in zip(after, before, strict=True) if a != b]
        else:
            crashes.append(clock.seconds)
            changed = entry.note_crash(parts, at_send)
            if attempt < ATTEMPTS:
                at(0.02, "arrive", parts, bad, attempt + 1, entry)
        if changed:
            report(entry, changed)

    for start, step, kind in ((0.0, 1 / SOUND_RATE, False), (2.0, 1 / rate, True)):
        moment = start
        while moment < SECONDS:
            session = f"s{rng.randrange(SESSIONS)}"
            middle = session
            if kind:
                middle = "s0" if rng.random() < neighbour else session
            parts = (*FIRST_PARTS, middle, *(("bad",) if kind else ()))
            at(moment, "arrive", fingerprints(parts), kind)
            moment += step
    while due:
        clock.seconds, _, work, details = heapq.heappop(due)
        if work == "arrive":
            arrive(*details)
        elif work == "began":
            began(*details)
        else:
            entry, records = details
            for record in records:
                entry.table.merge(record, 0.0)
    bound = crashes[min(FREE_CRASHES, len(crashes)) - 1] + STABLE_SECONDS
    late = sum(moment > bound for moment in sent_bad)
    return {"crashes": len(crashes), "late": late, "sound refused": refused / sound}


def main():
    """Print the results."""
    seed = int(docopt(__doc__)["--seed"])
    results = {}
    for name, case in CASES.items():
        for way, settings in WAYS.items():
            runs = [simulate(case, settings, random.Random(seed + n)) for n in range(5)]
            results.setdefault(name, {})[way] = {
                "crashes": [run["crashes"] for run in runs],
                "late": [run["late"] for run in runs],
                "sound refused": [round(run["sound refused"], 3) for run in runs],
            }
    json.dump(results, sys.stdout, indent=1)
    print()


if __name__ == "__main__":
    main()
