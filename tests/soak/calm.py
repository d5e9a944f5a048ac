"""What holds once the last fault is over, looked at with one thing amiss at a time."""

import random
import time
from collections import Counter

from tests.soak.crowds import SilentCallers, busy_callers, surge_callers
from tests.soak.plan import REGION_WAYS, Family
from tests.standins.fleet import wait_until
from tests.standins.route_site import DRAIN_BOUNDS, ZONES

# After the last fault all entries serve again within this time.
RECOVER_SECONDS = 30.0
# A server that has left is reached no more after this time, where nothing else is in
# the way.
LEAVE_SECONDS = 5.0
# The bound that the settings of the entries name for a drained data centre.
DRAIN_SECONDS = DRAIN_BOUNDS["evacuate_ms"] / 1000
PATHS_SERVED = ("/safe/ok", "/unsafe/ok", "/chat/ok", "/draft/ok", "/staged/ok")
# The time that calls have. A caller that is refused returns as told until then. Callers
# of the deployments return once, but here one account fills all three servers of a
# service, and callers that don't read fill an entry's memory until their deadlines.
WAIT_SECONDS = 5.0
CALLS_AN_ENTRY = 5
# Demand is averaged over two seconds, so that a surge is known for one by then.
NOTICE_SECONDS = 2.0
SURGE_SECONDS = 5.0
OTHER_CALLERS = 4
OTHERS_GAP_SECONDS = 0.2
OTHERS_PATHS = ("/safe/ok", "/chat/ok", "/staged/ok")
PARTED = '"region_unreachable"'
STATUS_OK = 200
REFUSED = (429, 503)


def recover(site):
    """Wait until all entries serve the newest version; return what did not."""
    site.publish_next()

    def recovered(name):
        # A relay that was struck may hold connections of the time before.
        path = f"/v{site.version}/ok"
        served = site.call(path, entry=name).status == STATUS_OK
        return served and len(site.directory(name)) == len(site.entries)

    return _all_entries(site, recovered, "serves and names all entries")


def _all_entries(site, condition, what):
    """Wait until a condition holds at all entries; return where it did not."""
    broken = []
    until = time.monotonic() + RECOVER_SECONDS
    for name in site.entries:

        def holds(name=name):
            site.look_after()
            return condition(name)

        left = max(1.0, until - time.monotonic())
        try:
            wait_until(holds, left, what=f"{name} {what}")
        except TimeoutError as error:
            broken.append(str(error))
    return broken


def broken_in_calm(site, families, seed):
    """Return a line for each promise that the site breaks once it has recovered."""
    broken = reached_after_leaving(site)
    if Family.CENTRES in families:
        broken += reached_while_drained(site)
    if Family.PARTITIONS in families:
        broken += unserved_while_parted(site, REGION_WAYS[seed % len(REGION_WAYS)])
    if Family.READERS in families:
        broken += unserved_beside_silent_callers(site)
    if Family.SURGES in families:
        broken += unserved_beside_surge(site, seed)
    return broken


def reached_after_leaving(site):
    """Return which servers that left were reached long after, with nothing in the way.

    All entries serve the newest version here, and the last fault is over.
    """
    wait = max((at + LEAVE_SECONDS for _, at in site.drained), default=0.0)
    time.sleep(max(0.0, wait - time.monotonic()))
    return [
        f"{reached} left and was reached"
        for reached in _reached(site, [server for server, _ in site.drained])
    ]


def reached_while_drained(site):
    """Return which servers of a drained data centre were reached, in calm times."""
    site.drain(ZONES[0])
    time.sleep(DRAIN_SECONDS)
    found = _reached(site, [s for s in site.servers if s.zone == ZONES[0]])
    site.drain()
    return [f"{reached} was reached in a drained data centre" for reached in found]


def _reached(site, servers):
    """Return which servers ran something during calls to all entries, and what."""
    before = {server.identity: Counter(server.runs) for server in servers}
    for name in site.entries:
        for _ in range(10):
            site.call("/safe/ok", entry=name)
    ran = {s.identity: sorted(s.runs - before[s.identity]) for s in servers}
    return [f"{identity} ({', '.join(ids)})" for identity, ids in ran.items() if ids]


def unserved_while_parted(site, how):
    """Return which entries don't serve while the regions are parted, or don't heal."""
    before = {name: site.log(name).count(PARTED) for name in site.entries}
    heal = site.ways.part(how)
    broken = _all_entries(
        site,
        lambda name: site.log(name).count(PARTED) > before[name],
        f"notices that the regions are parted ({how})",
    )
    broken += _all_entries(
        site,
        lambda name: all(_serves(site, name, path) for path in PATHS_SERVED),
        f"serves while the regions are parted ({how})",
    )
    heal()
    return broken + _all_entries(
        site,
        lambda name: len(site.directory(name)) == len(site.entries),
        f"names all entries once the regions have healed ({how})",
    )


def _serves(site, name, path):
    return _is_served(_call(site, name, path))


def _is_served(answer):
    return answer.status == STATUS_OK and answer.whole


def _call(site, name, path):
    headers = {"Pieces": "2,1", "Piece_Key": "calm"} if "staged" in path else {}
    return site.call(path, entry=name, **headers)


def unserved_beside_silent_callers(site):
    """Return which entries don't serve others beside callers that read nothing."""
    broken = []
    for name in site.entries:
        silent = SilentCallers(site, name)
        site.crowds.begin(silent)
        silent.wait_sent()
        for _ in range(CALLS_AN_ENTRY):
            answer = _last_answer(site, name, "/safe/ok")
            if not _is_served(answer):
                story = f"{answer.request_id} ended with {answer.status}"
                broken.append(f"{name} beside callers that don't read: {story}")
        silent.stop()
        site.look_after()
    return broken


def _last_answer(site, name, path):
    """Return the answer to a call whose caller returns as told where it is refused."""
    until = time.monotonic() + WAIT_SECONDS
    while True:
        answer = _call(site, name, path)
        if answer.status not in REFUSED:
            return answer
        returns_at = time.monotonic() + float(answer.headers["Retry-After"])
        if returns_at >= until:
            return answer
        time.sleep(returns_at - time.monotonic())


def unserved_beside_surge(site, seed):
    """Return whether other accounts are served beside one that sends its surplus."""
    crowds = [busy_callers(site, f"calm {seed}"), surge_callers(site, f"calm {seed}")]
    for crowd in crowds:
        site.crowds.begin(crowd)
    time.sleep(NOTICE_SECONDS)
    until = time.monotonic() + SURGE_SECONDS

    def call_on(number):
        rng, answers = random.Random(f"others {seed} {number}"), []
        while time.monotonic() < until:
            name, path = rng.choice(list(site.entries)), rng.choice(OTHERS_PATHS)
            answers.append(_last_answer(site, name, path))
            time.sleep(OTHERS_GAP_SECONDS)
        return answers

    answers = sum(site.at_once(OTHER_CALLERS, call_on), [])
    for crowd in crowds:
        crowd.end()
    broken = []
    if not all([crowd.stop() for crowd in crowds]):
        broken.append("a caller hangs in a surge")
    unserved = [a.request_id for a in answers if not _is_served(a)]
    if unserved:
        broken.append(f"unserved beside a surge: {unserved} of {len(answers)}")
    return broken
