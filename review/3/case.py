"""Runners go dark while they answer; checks that no cut answer looks complete.

Exit code: 1 if a client got a success with a body that isn't the runner's whole body, 0
if none did, 2 if the case could not run.
"""

import os
import signal
import sys
import time
import traceback
from collections import Counter
from pathlib import Path

from review.standins.app_runner import answer_body
from review.standins.clients import Clients
from review.standins.records import Recorder, merge
from review.standins.site import HOST, Site, until

FOLDER = Path(__file__).parent
SERVICE = "portcall-core"
RUNNERS = 6
CLIENTS = 48
RUN_SECONDS = 92.0
WARM_SECONDS = 2.0
# What the pages name at the most: answers without a length are 5 in 100 of those of
# half of the runners, for 5 s; one runner in six is dark, for 4.5 s.
UNFRAMED_SHARE = 0.05
UNFRAMED_RUNNERS = RUNNERS // 2
UNFRAMED_SECONDS = 5.0
UNFRAMED_PAUSE_SECONDS = 0.5
DARK_SECONDS = 2.3
DARK_PAUSE_SECONDS = 0.6
# The sheet of the small deployment: most work of a request is 450 ms, the route's
# timeout 2,000 ms, the client's deadline 4,000 ms.
WORK_SECONDS = (0.06, 0.45)
TIMEOUT_MS = 2000
DEADLINE_MS = 4000


def configuration():
    """Return what the operator publishes."""
    common = {
        "host": HOST,
        "service": SERVICE,
        "timeout_ms": TIMEOUT_MS,
        "goal_ms": 400,
        "priority": 2,
        "public": False,
    }
    return {
        "routes": [
            {
                "name": "berth-booking",
                "prefix": "/booking/",
                "kind": "unsafe",
                "attempts": 1,
                **common,
            },
            {
                "name": "clearance-lookup",
                "prefix": "/lookup/",
                "kind": "safe",
                "attempts": 2,
                **common,
            },
        ],
        "services": [{"name": SERVICE, "max_conns": 96, "health_path": "/health"}],
    }


def make_request(request_id, rng):
    """Return method, path, headers and body of a request."""
    headers = {"Deadline-Ms": str(DEADLINE_MS)}
    if rng.random() < 0.7:
        return "POST", "/booking/1", headers, b"berth " * 100
    return "GET", "/lookup/1", headers, None


class Judge:
    """Compares each success with the body that its runner computes."""

    def __init__(self):
        self.counts = Counter()
        self.wrong = []

    def take(self, request_id, made, answer):
        """Judge an answer."""
        self.counts[answer.status if answer.whole else "cut"] += 1
        if answer.status is None or not 200 <= answer.status < 300 or not answer.whole:
            return
        sealed = answer.headers.get("Server-Seal") == f"seal-{request_id}"
        if not sealed or answer.body != answer_body(request_id):
            self.wrong.append((request_id, made[1], len(answer.body)))


def disturb(garbling, first, last, record):
    """Stop and continue one runner after the other; return how often."""
    moment, number = first, 0
    while moment + DARK_SECONDS < last:
        until(moment)
        runner = garbling[number % len(garbling)]
        record.note("dark", runner=runner.identity)
        runner.process.send_signal(signal.SIGSTOP)
        runner.silent = True
        until(moment + DARK_SECONDS)
        record.note("back", runner=runner.identity)
        runner.process.send_signal(signal.SIGCONT)
        runner.silent = False
        moment += DARK_SECONDS + DARK_PAUSE_SECONDS
        number += 1
    return number


def main():
    """Run the case; return the exit code."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    began = time.monotonic()
    site = Site(configuration())
    # The daemons and the runners are up by then.
    first = began + 10.0
    last = first + RUN_SECONDS
    windows = {
        "first": first if trouble else float("inf"),
        "length": UNFRAMED_SECONDS,
        "pause": UNFRAMED_PAUSE_SECONDS,
        "last": last,
    }
    never = {**windows, "first": float("inf")}
    for number in range(RUNNERS):
        site.add_runner(
            "app_runner",
            SERVICE,
            number,
            slots=6,
            queue=24,
            unframed=windows if number < UNFRAMED_RUNNERS else never,
            unframed_share=UNFRAMED_SHARE,
            work_seconds=WORK_SECONDS,
            seed=f"{began}/{number}",
        )
    judge = Judge()
    with site:
        until(first - WARM_SECONDS)
        clients = Clients(site, CLIENTS, make_request, judge.take)
        clients.start()
        dark = 0
        if trouble:
            garbling = site.runners[:UNFRAMED_RUNNERS]
            record = Recorder(site.logs / "script.jsonl", "script")
            dark = disturb(garbling, first, last, record)
        until(last)
        clients.stop(DEADLINE_MS / 1000 + 1)

    def verdict(events):
        runs = [event for event in events if event["event"] == "run"]
        unframed = sum(event["unframed"] for event in runs)
        yield f"trouble: {trouble}; times a runner was dark: {dark}"
        yield f"runs: {len(runs)}, {unframed} of them answered without a length"
        yield f"answers by status: {dict(judge.counts)}"
        yield f"successes with a body that isn't the runner's: {len(judge.wrong)}"
        for request_id, path, size in judge.wrong:
            whole = len(answer_body(request_id))
            yield f"  {request_id} {path}: {size} bytes of {whole}"

    merge(site.logs, FOLDER / "record.txt", began, verdict)
    site.remove()
    print(f"wrong {len(judge.wrong)}, answers {dict(judge.counts)}, dark {dark}")
    if judge.counts[200] < 100:
        return 2
    return 1 if judge.wrong else 0


if __name__ == "__main__":
    try:
        code = main()
    except Exception:
        traceback.print_exc()
        code = 2
    sys.exit(code)
