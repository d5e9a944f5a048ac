"""Measures the processor time of one choice of a server, at growing sizes.

Usage:
  bench.routing [--json OUT]
  bench.routing --help

Options:
  --json OUT  Where to write the result.

Every size has servers that were called, that report their load and that were not
called yet. The ratio between sizes is what counts; the figures are of this machine.
"""

import json
import random
import sys
import time
from pathlib import Path

from docopt import docopt

from boragestream.base.clock import SystemClock
from boragestream.policy.affinity import prefix_key
from boragestream.policy.candidates import RoutingNeed
from boragestream.policy.load import CallEnd, LoadTable
from boragestream.policy.reports import LoadReport
from boragestream.policy.routing import Location, routing_policies
from boragestream.policy.servers import Server

SIZES = (100, 400, 1600, 6700)
CHOICES = 20_000
BASELINE_CHOICES = 100
CENTRES = 4


def main(argv: list[str] | None = None) -> int:
    """Measure every size and print it; return the exit code."""
    arguments = docopt(__doc__, argv)
    rows = [measure(size) for size in SIZES]
    result = {"command": "python -m bench.routing", "rows": rows}
    text = json.dumps(result, indent=1) + "\n"
    print(text, end="")
    if arguments["--json"]:
        Path(arguments["--json"]).write_text(text)
    return 0


def measure(size: int) -> dict[str, float]:
    """Return microseconds of processor time by what is done, at one size."""
    rng = random.Random(size)
    clock = SystemClock()
    servers = tuple(
        Server(f"s-{n}", "pool", f"127.0.0.1:{n + 1}", f"centre-{n % CENTRES}")
        for n in range(size)
    )
    loads = LoadTable(clock, rng)
    list_us = micros(lambda: loads.take_list(servers), 1)
    fill(loads, servers, rng)
    policies = routing_policies(loads, clock, rng, lambda: Location("centre-1"))
    own, least = policies["expected-finish"], policies["least-connections"]
    plain = RoutingNeed(frozenset())
    prefixes = [RoutingNeed(frozenset(), prefix_key("m", str(n))) for n in range(500)]
    ring_us = micros(lambda: own.choose(servers, prefixes[0]), 1)
    return {
        "servers": size,
        "choice_us": micros(lambda: own.choose(servers, plain), CHOICES),
        "choice_with_prefix_us": micros(
            lambda: own.choose(servers, rng.choice(prefixes)), CHOICES
        ),
        "prefix_key_us": micros(lambda: prefix_key("m", "x" * 4000), CHOICES),
        "least_connections_us": micros(
            lambda: least.choose(servers, plain), BASELINE_CHOICES
        ),
        "new_list_us": list_us,
        "new_ring_us": ring_us,
    }


def fill(loads: LoadTable, servers: tuple[Server, ...], rng: random.Random) -> None:
    """Have half of the servers called, with reports and calls in progress."""
    for server in servers[::2]:
        loads.begin(server)
        loads.note_report(server, LoadReport(rng.randrange(6), 8))
        loads.end(server, CallEnd.ANSWERED, rng.uniform(0.01, 0.03))
        if rng.random() < 0.5:
            loads.begin(server)


def micros(work: object, times: int) -> float:
    """Return the mean processor time of some work in microseconds."""
    began = time.thread_time()
    for _ in range(times):
        work()
    return round((time.thread_time() - began) / times * 1e6, 1)


if __name__ == "__main__":
    sys.exit(main())
