"""An entry loses the path to the only server of the area that requests may not leave.

Exits with 1 if the body of such a request reaches an entry of another area, 0 if not, 2
if it can't run.
"""

import sys
import time
from pathlib import Path

from review.harness.small_site import (
    CONFIG_SECONDS,
    Record,
    SmallSite,
    configuration,
    run_case,
    troubled,
)

HOME = "valley"
AREAS = {"hall-a": "valley", "hall-b": "hills"}
ZONES = ["hall-a", "hall-b", "hall-b", "hall-b"]
# One of five servers of the service is in the home area.
FURTHER_SERVERS = 3
CALLER_ENTRY = "entry-0"
# How long the path is cut, see claim.txt.
CUT_SECONDS = 5.0
PAUSE_SECONDS = 0.2
# Requests that are sent at once.
CLIENTS = 6
BODY = b"a body that stays at home"


def play(record):
    """Return the requests whose body left the home area."""
    site = SmallSite(ZONES, areas=AREAS, cuts=True)
    try:
        return run(site, record)
    finally:
        site.close()


def run(site, record):
    """Send requests before, during and after the cut; return those that left home."""
    for _ in range(FURTHER_SERVERS):
        site.add_server("plain", zone="hall-b")
    callers = note_callers(site)
    published = configuration(2)
    for route in published["routes"]:
        route["home_regions"] = [HOME]
    site.publish(published)
    site.start()
    time.sleep(CONFIG_SECONDS)
    record.write(f"entries: { {n: f['zone'] for n, f in site.fields.items()} }")
    left = send(site, record, callers, 1.0)
    if troubled():
        home = [s for s in site.of_kind("plain") if AREAS[s.zone] == HOME]
        site.cut_off([CALLER_ENTRY], "refused", home)
        record.write(f"{CALLER_ENTRY} can't connect to {[s.identity for s in home]}")
    left += send(site, record, callers, CUT_SECONDS)
    site.heal()
    record.write("the path is back")
    left += send(site, record, callers, 2.0)
    return left


def note_callers(site):
    """Have each server note from which address each request came; return the notes."""
    callers = {}
    for server in site.of_kind("plain"):
        server.call = noting(server.call, callers)
    return callers


def noting(call, callers):
    """Return a server's handler of calls that notes where they came from."""

    def noted(sock, method, target, headers, body):
        request_id = headers.get("Request-Id", "")
        callers.setdefault(request_id, []).append((sock.getpeername()[0], body))
        return call(sock, method, target, headers, body)

    return noted


def send(site, record, callers, seconds):
    """Send requests for some time; return those whose body another area saw."""
    areas = {f["ip"]: AREAS[f["zone"]] for f in site.fields.values()}
    ends, left_home = time.monotonic() + seconds, []
    while time.monotonic() < ends:
        answers = site.at_once(CLIENTS, lambda _: ask(site))
        for answer in answers:
            seen = [
                areas.get(address, address)
                for address, body in callers.get(answer.request_id, [])
                if body == BODY
            ]
            record.write(
                f"{answer.request_id} of a client in {HOME} to {CALLER_ENTRY}: "
                f"{answer.status}, a server was called by entries in {seen}"
            )
            if any(area != HOME for area in seen):
                left_home.append(answer.request_id)
        time.sleep(PAUSE_SECONDS)
    return left_home


def ask(site):
    """Send a request of a client in the home area; return its answer."""
    return site.call("/unsafe/x", "POST", BODY, entry=CALLER_ENTRY)


def main():
    """Run the case; return the exit code."""
    return run_case(Record(Path(__file__).parent), play)


if __name__ == "__main__":
    sys.exit(main())
