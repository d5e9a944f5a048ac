"""The part of the demonstration on the users' platform's forms.

Stand-ins for the store and for plain, engine and stage servers run in threads; three
entries are processes of their own. One is replaced while calls go on.
"""

import signal
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from tests.standins.route_site import RouteSite

REQUESTS = 200
CALLERS = 8
ENTRIES = 3
REPLACED = "entry-1"
REPLACED_AFTER = 80
KINDS = ("/safe/ok", "/unsafe/ok", "/chat/ok", "/staged/ok")
STAGE_PIECES = {"Pieces": "2,3", "Piece_Key": "k"}


def run_routes():
    """Send calls of every kind through the entries; return the summary."""
    site = RouteSite(ENTRIES)
    try:
        site.start()
        with ThreadPoolExecutor(CALLERS) as pool:
            futures = [pool.submit(call_one, site, n) for n in range(REQUESTS)]
            for future in futures[:REPLACED_AFTER]:
                future.result()
            replace_entry(site)
            answers = [future.result() for future in futures]
        return summarise(site, answers)
    finally:
        site.close()


def call_one(site, number):
    """Make one call as callers do: at an entry that the directory names."""
    path = KINDS[number % len(KINDS)]
    staged = STAGE_PIECES if path.startswith("/staged") else {}
    name = f"entry-{number % ENTRIES}"
    if name == REPLACED and number >= REPLACED_AFTER:
        name = "entry-0"
    return site.call(path, entry=name, request_id=f"demo-{number}", **staged)


def replace_entry(site):
    """Stop an entry gracefully and start it again under the same address."""
    site.signal(REPLACED, signal.SIGTERM)
    code = site.entries[REPLACED].popen.wait(30)
    site.entries[REPLACED].start()
    site.wait_ready(REPLACED)
    print(f"{REPLACED} of the routes replaced, its exit code was {code}", flush=True)


def summarise(site, answers):
    """Return what callers saw held against what the servers ran."""
    outcomes = Counter(outcome(answer) for answer in answers)
    refused = [a.request_id for a in answers if a.status == 503]
    once = [a for n, a in enumerate(answers) if KINDS[n % len(KINDS)] == "/unsafe/ok"]
    return {
        "sent": len(answers),
        "answered": outcomes["answered"],
        "refused": outcomes["refused"],
        "failed": outcomes["failed"],
        "lost": sum(not answer.whole for answer in answers),
        "doubled": sum(site.runs(answer.request_id) > 1 for answer in once),
        "crossed": sum(is_crossed(answer) for answer in answers),
        "refused_but_run": sum(site.runs(request_id) > 0 for request_id in refused),
        "answered_but_not_run": sum(
            site.runs(a.request_id) == 0 for a in answers if a.status == 200
        ),
    }


def outcome(answer):
    """Return how a call ended."""
    if answer.status == 200:
        return "answered"
    return "refused" if answer.status == 503 else "failed"


def is_crossed(answer):
    """Tell whether an answer is that of another call."""
    return answer.headers["Request-Id"] != answer.request_id
