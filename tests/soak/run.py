"""One run of the soak: a site, callers, the strikes of a seed, and the verdict."""

import heapq
import itertools
import shutil
import signal
import time
from collections import Counter
from dataclasses import dataclass, replace
from pathlib import Path

from tests.soak.callers import SPOILING, USUAL, Callers
from tests.soak.calm import broken_in_calm, recover
from tests.soak.checks import broken_promises
from tests.soak.crowds import MEMORY_MB, busy_callers
from tests.soak.limits import over_limits
from tests.soak.plan import NEWER, Family, make_plan
from tests.soak.site import SoakSite
from tests.standins.fleet import wait_until

CALLERS_AN_ENTRY = 4
SERVERS_A_KIND = 3
LOOK_SECONDS = 0.05
# Entries that have followed the server list for less long know no single version.
FOLLOWED_SECONDS = 22.0
PARTS_SHARE = 0.5
# What shows in an entry's log that the newer faults have reached it.
CAUSED = (
    "memory_refused",
    "slow_reader_abandoned",
    "surplus_refused",
    "region_unreachable",
    "region_reachable",
    "cut_off_from_servers",
    "servers_reached_again",
    "request_delegated",
    "stream_resumed",
    "stream_not_resumed",
    "lines_lost",
)


@dataclass(frozen=True, slots=True)
class Verdict:
    """What a run showed.

    :ivar late_seconds: how late faults began or ended at most. With some seconds, the
        machine was too busy for the run: entries may have been paused for too long.
    :ivar statuses: how many requests of the usual callers ended with which status.
    :ivar peak_mb: the most memory that an entry has used, of those with a limit.
    :ivar events: how often entries logged what the newer faults should cause.
    :ivar broken: a line for each broken promise.
    """

    seed: int
    strikes: int
    late_seconds: float
    requests: int
    statuses: dict
    peak_mb: int
    events: dict
    broken: list


def run_seed(seed, entries, seconds, keep=None, plan=None, families=()):
    """Run one seed.

    :param keep: the folder in which the logs of a failed run are kept; None for none.
    :param plan: strikes to run in place of the seed's own.
    :param families: which faults strike beside the usual ones.
    """
    newer = any(family in NEWER for family in families)
    cuts, logs = Family.CUTS in families, Family.LOGS in families
    site = SoakSite(entries, SERVERS_A_KIND, newer, cuts, logs)
    if plan is None:
        plan = make_plan(seed, seconds, families)
    spoils = Family.SPOILS in families
    habit = SPOILING if spoils else USUAL
    if Family.OUT_OF_STEP in families:
        habit = replace(habit, parts=PARTS_SHARE, everywhere=True)
    callers = Callers(site, seed, CALLERS_AN_ENTRY * entries, habit)
    for server in site.of_kind("stage"):
        server.repeats_late = spoils
    broken, late = [], 0.0
    try:
        site.start()
        callers.start()
        if Family.OUT_OF_STEP in families:
            wait_followed(site)
        if Family.SURGES in families:
            site.crowds.begin(busy_callers(site, seed))
        late = strike_all(site, plan, seconds)
        site.heal()
        broken += recover(site)
        if not all([callers.stop(), site.crowds.stop()]):
            broken.append("a caller hangs")
        broken += over_limits(site, callers.told + site.crowds.told)
        broken += broken_in_calm(site, families, seed)
        # The calls of calm times are held to the same promises.
        site.crowds.stop()
        broken += broken_promises(site, callers.told + site.crowds.told)
        if newer:
            broken += site.peaks.beyond(MEMORY_MB)
    except TimeoutError as error:
        # An entry was not ready in time.
        broken.append(str(error))
    finally:
        callers.end()
        site.crowds.end()
        told = callers.told + site.crowds.told
        events = count_events(site)
        if broken and keep is not None:
            keep_logs(site, seed, plan, broken, told, Path(keep))
        site.close()
    statuses = dict(sorted(Counter(t.status for t in callers.told).items()))
    return Verdict(
        seed, len(plan), late, len(told), statuses, site.peaks.most, events, broken
    )


def wait_followed(site):
    """Wait until all entries have followed the server list for long."""
    for name in site.entries:
        lists = wait_until(
            lambda n=name: site.events(n, "instances_changed"),
            what=f"{name} has a server list",
        )
        while time.time() - lists[0]["at"] < FOLLOWED_SECONDS:
            site.look_after()
            time.sleep(LOOK_SECONDS)


def strike_all(site, plan, seconds):
    """Begin and end the strikes at their times; return how late they were at most."""
    began, late = time.monotonic(), 0.0
    order = itertools.count()
    due = [(strike.at, next(order), strike, None) for strike in plan]
    heapq.heapify(due)
    while due or time.monotonic() - began < seconds:
        now = time.monotonic() - began
        site.look_after()
        while due and due[0][0] <= now:
            at, _, strike, end = heapq.heappop(due)
            late = max(late, time.monotonic() - began - at)
            if end is not None:
                end()
                continue
            end = site.strike(strike)
            if end is not None:
                heapq.heappush(due, (now + strike.seconds, next(order), strike, end))
        time.sleep(LOOK_SECONDS)
    return round(late, 1)


def count_events(site):
    """Return how often entries logged what the newer faults should cause."""
    logs = [site.log(name) for name in site.entries]
    counts = {name: sum(log.count(f'"{name}"') for log in logs) for name in CAUSED}
    return {name: count for name, count in counts.items() if count}


def keep_logs(site, seed, plan, broken, told, folder):
    """Keep what tells how a run failed."""
    target = folder / f"seed-{seed}"
    shutil.rmtree(target, ignore_errors=True)
    target.mkdir(parents=True)
    for name in site.entries:
        site.signal(name, signal.SIGCONT)
        shutil.copy(site.folder / f"{name}.log", target)
    (target / "plan.txt").write_text("\n".join(map(repr, plan)) + "\n")
    (target / "told.txt").write_text("\n".join(map(repr, told)) + "\n")
    (target / "broken.txt").write_text("\n".join(broken) + "\n")
