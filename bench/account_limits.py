"""Measures how a client account's limit holds over all entries and in a partition.

Usage:
  bench.account_limits [--seeds LIST] [--out FILE] [--lock FILE]

Options:
  --seeds LIST  One run for each [default: 1,2,3].
  --out FILE    Where to write the JSON.
  --lock FILE   Hold a lock on this file during each run.

Real entries hold ``requests_per_second`` of one account whose callers ask for three
times the limit, spread over all entries. Then the entries are cut into two sides,
which keep serving, and joined again. What is let in is given as a multiple of the
limit; each phase is counted after the reports had time to travel or to expire.
"""

import fcntl
import json
import random
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager, nullcontext
from dataclasses import dataclass
from pathlib import Path

from docopt import docopt

from boragestream.operator.client import CallReply, Client
from boragestream.policy.demand import LEASE_SECONDS
from tests.standins.fleet import Fleet
from tests.standins.partition import PartitionedNetwork
from tests.standins.sites import example_document, example_key

ACCOUNT = "scan-desk"
LIMIT = 60.0
OFFERED = 3.0
CALLERS = 200
SERVERS = [
    (f"{service}-{i}", service, kind, "lalitpur-hall")
    for service, kind in (
        ("encoder", "encoder"),
        ("retriever", "retriever"),
        ("writer", "engine"),
    )
    for i in (1, 2)
]


@dataclass(frozen=True)
class Phase:
    """A time over which what was let in is counted.

    :ivar event: what happens when the phase before has ended: a split, a heal.
    :ivar settle: seconds after it that are not counted.
    """

    name: str
    event: str
    settle: float
    seconds: float


PHASES = (
    Phase("together", "", 8.0, 6.0),
    Phase("cut, before the lease expires", "split", 0.0, LEASE_SECONDS - 2.0),
    Phase("cut, after the lease expired", "", 6.0, 6.0),
    Phase("joined again", "heal", 6.0, 6.0),
)


def offer(fleet, rng, seconds):
    """Offer calls at random times; return how many were answered and refused."""
    addresses = fleet.addresses()
    client = Client(example_key(ACCOUNT), addresses)
    began = time.monotonic()
    at = 0.0
    futures = []
    with ThreadPoolExecutor(CALLERS) as pool:
        while (at := at + rng.expovariate(OFFERED * LIMIT)) < seconds:
            time.sleep(max(0.0, began + at - time.monotonic()))
            address = rng.choice(addresses)
            futures.append(pool.submit(client.call, "caption", at, address=address))
    replies = [future.result() for future in futures]
    return sum(isinstance(r, CallReply) and r.outcome == "answered" for r in replies)


def run(seed):
    """Return what each phase lets in over the limit."""
    rng = random.Random(seed)
    document = example_document("cooperative")
    for account in document["client_accounts"]:
        if account["name"] == ACCOUNT:
            account["requests_per_second"] = LIMIT
    figures = {}
    with Fleet(document, SERVERS) as fleet:
        ports = {n: p.extra["peer_port"] for n, p in fleet.entries.items()}
        with PartitionedNetwork(ports) as network:
            for name, port in network.ports.items():
                fleet.entries[name].extra["peer_port"] = port
            fleet.publish_instances()
            names = list(fleet.entries)
            for phase in PHASES:
                if phase.event == "split":
                    network.split(names[:3], names[3:])
                elif phase.event == "heal":
                    network.heal()
                if phase.settle:
                    offer(fleet, rng, phase.settle)
                answered = offer(fleet, rng, phase.seconds)
                figures[phase.name] = round(answered / phase.seconds / LIMIT, 3)
    return figures


@contextmanager
def held(path):
    """Hold a lock on a file."""
    with Path(path).open("w") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield


def main():
    """Run the measurement; return the exit code."""
    options = docopt(__doc__)
    results = []
    for seed in map(int, options["--seeds"].split(",")):
        with held(options["--lock"]) if options["--lock"] else nullcontext():
            figures = run(seed)
        results.append({"seed": seed, "limit": LIMIT, "let_in": figures})
        print(json.dumps(results[-1]), flush=True)
    if options["--out"]:
        Path(options["--out"]).write_text(json.dumps(results, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
