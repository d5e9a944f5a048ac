"""Runners truncate some of their answers; checks that none looks complete.

Exit code: 1 if a client got a success with a body that isn't the runner's whole body, 0
if none did, 2 if the case could not run.
"""

import os
import sys
import time
import traceback
from collections import Counter
from pathlib import Path

from review.standins.app_runner import answer_body
from review.standins.clients import Clients
from review.standins.records import merge
from review.standins.site import HOST, Site, until

FOLDER = Path(__file__).parent
SERVICE = "portcall-core"
RUNNERS = 7
CLIENTS = 24
RUN_SECONDS = 66.0
WARM_SECONDS = 2.0
# Within what the pages name: 2 in 100 of the answers of three runners in seven, 5 s.
TRUNCATED_SHARE = 0.02
TRUNCATING_RUNNERS = RUNNERS // 2
TRUNCATING_SECONDS = 5.0
TRUNCATING_PAUSE_SECONDS = 0.5
# The sheet of the small deployment: the work of a request is 90 ms on average, the
# route's timeout 2,000 ms, the client's deadline 4,000 ms.
WORK_SECONDS = (0.03, 0.09)
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
        "length": TRUNCATING_SECONDS,
        "pause": TRUNCATING_PAUSE_SECONDS,
        "last": last,
    }
    never = {**windows, "first": float("inf")}
    for number in range(RUNNERS):
        site.add_runner(
            "truncating_runner",
            SERVICE,
            number,
            slots=6,
            queue=24,
            truncating=windows if number < TRUNCATING_RUNNERS else never,
            truncated_share=TRUNCATED_SHARE,
            work_seconds=WORK_SECONDS,
            seed=f"{began}/{number}",
        )
    judge = Judge()
    with site:
        until(first - WARM_SECONDS)
        clients = Clients(site, CLIENTS, make_request, judge.take)
        clients.start()
        until(last)
        clients.stop(DEADLINE_MS / 1000 + 1)

    def verdict(events):
        kinds = Counter(event["event"] for event in events)
        yield f"trouble: {trouble}"
        yield f"runs: {kinds['run']}, truncated answers: {kinds['truncated']}"
        yield f"answers by status: {dict(judge.counts)}"
        yield f"successes with a body that isn't the runner's: {len(judge.wrong)}"
        for request_id, path, size in judge.wrong:
            whole = len(answer_body(request_id))
            yield f"  {request_id} {path}: {size} bytes of {whole}"

    merge(site.logs, FOLDER / "record.txt", began, verdict)
    site.remove()
    print(f"wrong {len(judge.wrong)}, answers {dict(judge.counts)}")
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
