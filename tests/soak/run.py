"""One run of the soak: a site, callers, the strikes of a seed, and the verdict."""

import heapq
import itertools
import shutil
import signal
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from tests.soak.callers import Callers
from tests.soak.checks import broken_promises
from tests.soak.limits import over_limits
from tests.soak.plan import make_plan
from tests.soak.site import SoakSite
from tests.standins.fleet import wait_until
from tests.standins.route_site import DRAIN_BOUNDS, ZONES

CALLERS_AN_ENTRY = 4
SERVERS_A_KIND = 3
LOOK_SECONDS = 0.05
# After the last fault all entries serve again within this time.
RECOVER_SECONDS = 30.0
# A server that has left is reached no more after this time, where nothing else is in
# the way.
LEAVE_SECONDS = 5.0
# The bound that the settings of the entries name for a drained data centre.
DRAIN_SECONDS = DRAIN_BOUNDS["evacuate_ms"] / 1000


@dataclass(frozen=True, slots=True)
class Verdict:
    """What a run showed.

    :ivar broken: a line for each broken promise.
    :ivar statuses: how many requests ended with which status.
    """

    seed: int
    strikes: int
    requests: int
    statuses: dict
    broken: list


def run_seed(
    seed,
    entries,
    seconds,
    keep=None,
    plan=None,
    centres=False,
    limits=False,
    returns=False,
):
    """Run one seed.

    :param keep: the folder in which the logs of a failed run are kept; None for none.
    :param plan: strikes to run in place of the seed's own.
    :param centres: whether whole data centres are struck as well.
    :param limits: whether servers name limits as well.
    :param returns: whether the store comes back from copies as well.
    """
    site = SoakSite(entries, SERVERS_A_KIND)
    if plan is None:
        plan = make_plan(seed, seconds, centres, limits, returns)
    callers = Callers(site, seed, CALLERS_AN_ENTRY * entries)
    broken = []
    try:
        site.start()
        callers.start()
        strike_all(site, plan, seconds)
        site.heal()
        broken += recover(site)
        if not callers.stop():
            broken.append("a caller hangs")
        broken += broken_promises(site, callers.told)
        broken += over_limits(site, callers.told)
        broken += reached_after_leaving(site)
        if centres:
            broken += reached_while_drained(site)
    finally:
        callers.ending.set()
        if broken and keep is not None:
            keep_logs(site, seed, plan, broken, callers.told, Path(keep))
        site.close()
    statuses = dict(sorted(Counter(t.status for t in callers.told).items()))
    return Verdict(seed, len(plan), len(callers.told), statuses, broken)


def strike_all(site, plan, seconds):
    """Begin and end the strikes at their times."""
    began = time.monotonic()
    order = itertools.count()
    due = [(strike.at, next(order), strike, None) for strike in plan]
    heapq.heapify(due)
    while due or time.monotonic() - began < seconds:
        now = time.monotonic() - began
        site.look_after()
        while due and due[0][0] <= now:
            _, _, strike, end = heapq.heappop(due)
            if end is not None:
                end()
                continue
            end = site.strike(strike)
            if end is not None:
                heapq.heappush(due, (now + strike.seconds, next(order), strike, end))
        time.sleep(LOOK_SECONDS)


def recover(site):
    """Wait until all entries serve the newest version; return what did not."""
    broken = []
    site.publish_next()
    until = time.monotonic() + RECOVER_SECONDS
    for name in site.entries:

        def recovered(name=name):
            site.look_after()
            # A relay that was struck may hold connections of the time before.
            path = f"/v{site.version}/ok"
            served = site.call(path, entry=name).status == 200
            return served and len(site.directory(name)) == len(site.entries)

        left = max(1.0, until - time.monotonic())
        try:
            wait_until(recovered, left, what=f"{name} serves and names all entries")
        except TimeoutError as error:
            broken.append(str(error))
    return broken


def reached_after_leaving(site):
    """Return which servers that left were reached long after, with nothing in the way.

    All entries serve the newest version here, and the last fault is over.
    """
    wait = max((at + LEAVE_SECONDS for _, at in site.drained), default=0.0)
    time.sleep(max(0.0, wait - time.monotonic()))
    before = {server.identity: sum(server.runs.values()) for server, _ in site.drained}
    for name in site.entries:
        for _ in range(10):
            site.call("/safe/ok", entry=name)
    return [
        f"{server.identity} left and was reached"
        for server, _ in site.drained
        if sum(server.runs.values()) > before[server.identity]
    ]


def reached_while_drained(site):
    """Return which servers of a drained data centre were reached, in calm times."""
    site.drain(ZONES[0])
    time.sleep(DRAIN_SECONDS)
    drained = [server for server in site.servers if server.zone == ZONES[0]]
    before = {server.identity: sum(server.runs.values()) for server in drained}
    for name in site.entries:
        for _ in range(10):
            site.call("/safe/ok", entry=name)
    site.drain()
    return [
        f"{server.identity} was reached in a drained data centre"
        for server in drained
        if sum(server.runs.values()) > before[server.identity]
    ]


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
