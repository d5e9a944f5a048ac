"""Measures what a ticket and a forwarded post cost beside a direct post.

Usage:
  bench.tickets [--write]
  bench.tickets --help

Options:
  --write  Write the result under bench/results.

Kinds of requests take turns in blocks within one run against one deployment; only
their ratios count. The processor time is that of all entries together, with what they
use between requests taken off.
"""

import sys
import time
import tracemalloc
from collections import defaultdict

from docopt import docopt

from bench.usage import quantile, used_seconds, write_result
from boragestream.base.clock import SystemClock
from boragestream.operator.client import Client
from boragestream.operator.tickets import fetch_ticket
from boragestream.policy.ticket_book import TicketBook
from tests.standins.fleet import Fleet
from tests.standins.sites import example_document, example_key, example_servers

BLOCKS = 12
BLOCK_REQUESTS = 50
IDLE_SECONDS = 3.0
PIPELINE = "order-status"
BOOK_TICKETS = 4096


def direct(client: Client, near: str, far: str) -> None:
    """Post without a ticket."""
    check(client.call(PIPELINE, "order", address=near))


def ticket(client: Client, near: str, far: str) -> None:
    """Fetch a ticket and leave it."""
    fetch_ticket(client, near)


def at_issuer(client: Client, near: str, far: str) -> None:
    """Fetch a ticket and post it to its issuer."""
    held = fetch_ticket(client, near)
    check(client.call(PIPELINE, "order", address=near, ticket=held))


def forwarded(client: Client, near: str, far: str) -> None:
    """Fetch a ticket and post it to another entry."""
    held = fetch_ticket(client, near)
    check(client.call(PIPELINE, "order", address=far, ticket=held))


KINDS = {
    "direct": direct,
    "ticket": ticket,
    "ticket_and_post": at_issuer,
    "ticket_and_forwarded_post": forwarded,
}


def check(reply: object) -> None:
    """Fail where a request was not answered."""
    if getattr(reply, "outcome", "") != "answered":
        raise RuntimeError(f"not answered: {reply}")


def entries_seconds(fleet: Fleet) -> float:
    """Return the processor seconds that all entries have used."""
    return sum(used_seconds(p.popen.pid) for p in fleet.entries.values())


def measure(fleet: Fleet) -> dict[str, dict[str, float]]:
    """Return median and 95th percentile in ms and processor ms by kind."""
    client = Client(example_key("patan-counter"), fleet.addresses())
    near, far = fleet.addresses()[:2]
    for kind in KINDS.values():
        kind(client, near, far)
    before = entries_seconds(fleet)
    time.sleep(IDLE_SECONDS)
    idle = (entries_seconds(fleet) - before) / IDLE_SECONDS
    times, used = defaultdict(list), defaultdict(float)
    for _ in range(BLOCKS):
        for name, kind in KINDS.items():
            before, began = entries_seconds(fleet), time.monotonic()
            for _ in range(BLOCK_REQUESTS):
                start = time.monotonic()
                kind(client, near, far)
                times[name].append((time.monotonic() - start) * 1000)
            seconds = time.monotonic() - began
            used[name] += entries_seconds(fleet) - before - idle * seconds
    count = BLOCKS * BLOCK_REQUESTS
    return {
        name: {
            "median_ms": round(quantile(times[name], 0.5), 3),
            "p95_ms": round(quantile(times[name], 0.95), 3),
            "processor_ms": round(used[name] / count * 1000, 3),
        }
        for name in KINDS
    }


def book_bytes() -> float:
    """Return the bytes that a remembered, unused ticket takes in the book."""
    book = TicketBook("entry-1", "i", b"k" * 32, SystemClock(), 4 * BOOK_TICKETS)
    tracemalloc.start()
    for _ in range(BOOK_TICKETS):
        book.issue("patan-counter", 30.0)
    return round(tracemalloc.get_traced_memory()[0] / BOOK_TICKETS)


def main(argv: list[str] | None = None) -> int:
    """Measure and print; return the exit code."""
    arguments = docopt(__doc__, argv)
    site = "cooperative"
    with Fleet(example_document(site), example_servers(site), entries=3) as fleet:
        kinds = measure(fleet)
    base = kinds["direct"]
    ratios = {
        name: {key: round(value / base[key], 2) for key, value in row.items()}
        for name, row in kinds.items()
    }
    result = {
        "command": "python -m bench.tickets --write",
        "requests_each": BLOCKS * BLOCK_REQUESTS,
        "book_bytes_each": book_bytes(),
        "relative_to_direct": ratios,
        "absolute_rough": kinds,
    }
    if arguments["--write"]:
        write_result("tickets", result)
    else:
        print(result)
    return 0


if __name__ == "__main__":
    sys.exit(main())
