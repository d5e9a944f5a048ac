"""Measures admission with open-loop arrivals at multiples of the servers' capacity.

Usage:
  overload [options]

Options:
  --multiples LIST   Offered load over capacity [default: 0.5,1,2,4].
  --seeds LIST       One run for each [default: 1].
  --seconds N        Length of the arrivals of a run [default: 6].
  --without LIST     Mechanisms that are switched off, joined by + [default: ].
  --routing NAME     The document's routing policy [default: expected-finish].
  --flood            One large account sends the load, four small ones their share.
  --out FILE         Where to write the JSON.

The writer is the bottleneck. Arrivals are Poisson and do not wait for answers. The
first second is not counted: it belongs to the start of the windows.
"""

import json
import random
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from docopt import docopt

from boragestream.operator.client import CallReply, Client
from tests.standins.fleet import Fleet
from tests.standins.sites import example_document, example_key, example_servers

SITE = "cooperative"
PIPELINE = "caption"
DEADLINE_MS = 1500
SERVICE_MS = {"engine": 100.0, "encoder": 10.0, "retriever": 10.0, "reranker": 10.0}
SLOTS = {"engine": 4}
WRITERS = 3
CAPACITY = WRITERS * SLOTS["engine"] / (SERVICE_MS["engine"] / 1000)
WARM_SECONDS = 1.0
QUICK_SECONDS = 0.05
SMALL = ("patan-counter", "bhaktapur-counter", "scan-desk", "caption-desk")
LARGE = "members-web"
SMALL_SHARE = 0.08
CALLERS = 900


@dataclass(frozen=True)
class Arrival:
    """One request to make."""

    at: float
    account: str
    entry: int


@dataclass(frozen=True)
class Sample:
    """One request as its caller saw it."""

    arrival: Arrival
    outcome: str
    failure: str
    request_id: str
    seconds: float
    late_start: float


def make_document(without, routing):
    """Return the document of a run."""
    document = example_document(SITE)
    for pipeline in document["pipelines"]:
        pipeline["deadline_ms"] = DEADLINE_MS
    for account in document["client_accounts"]:
        account["weight"] = 1.0
        account["priority"] = 0
    document["policies"] = {"without": without, "routing": routing}
    return document


def make_fleet(document):
    """Return a fleet whose writers are the bottleneck, not started yet."""
    wanted = {"encoder", "retriever", "reranker", "writer"}
    servers = [s for s in example_servers(SITE) if s[1] in wanted]
    fleet = Fleet(document, servers)
    for process in fleet.servers.values():
        spec = json.loads(process.command[-1])
        spec["service_ms"] = SERVICE_MS[spec["kind"]]
        spec["slots"] = SLOTS.get(spec["kind"], 32)
        spec["token_ms"] = 0.0
        process.command[-1] = json.dumps(spec)
    return fleet


def arrivals(rng, multiple, seconds, flood):
    """Return the arrivals of a run in order."""
    rates = {}
    accounts = (*SMALL, LARGE)
    if flood:
        rates = {name: SMALL_SHARE * CAPACITY for name in SMALL}
        rates[LARGE] = multiple * CAPACITY
    else:
        rates = {name: multiple * CAPACITY / len(accounts) for name in accounts}
    made = []
    for name, rate in rates.items():
        at = rng.expovariate(rate)
        while at < seconds:
            made.append(Arrival(at, name, rng.randrange(6)))
            at += rng.expovariate(rate)
    return sorted(made, key=lambda a: a.at)


def call(fleet_addresses, clients, arrival, began):
    """Make one request."""
    sent = time.monotonic()
    reply = clients[arrival.account].call(
        PIPELINE, {"at": arrival.at}, address=fleet_addresses[arrival.entry]
    )
    seconds = time.monotonic() - sent
    late = sent - began - arrival.at
    if not isinstance(reply, CallReply):
        return Sample(arrival, "lost", reply.reason, "", seconds, late)
    failure = reply.problem.get("type", "").rpartition(":")[2]
    return Sample(arrival, reply.outcome, failure, reply.request_id, seconds, late)


def run(fleet, planned):
    """Make the requests when they are due; return the samples."""
    addresses = fleet.addresses()
    clients = {a: Client(example_key(a), addresses) for a in (*SMALL, LARGE)}
    with ThreadPoolExecutor(CALLERS) as pool:
        began = time.monotonic()
        futures = []
        for arrival in planned:
            time.sleep(max(0.0, began + arrival.at - time.monotonic()))
            futures.append(pool.submit(call, addresses, clients, arrival, began))
        return [future.result() for future in futures]


def in_time(sample):
    """Tell whether a request was answered within its deadline."""
    return sample.outcome == "answered" and sample.seconds * 1000 <= DEADLINE_MS


def share(part, whole):
    """Return a share, None of nothing."""
    return round(len(part) / len(whole), 4) if whole else None


def summarise(samples, runs, multiple, seconds, flood):
    """Return the figures of a run."""
    counted = [s for s in samples if s.arrival.at >= WARM_SECONDS]
    refused = [s for s in counted if s.outcome == "refused"]
    admitted = [s for s in counted if s.outcome != "refused"]
    good = [s for s in counted if in_time(s)]
    offered = len(counted) / (seconds - WARM_SECONDS)
    ideal = min(offered, CAPACITY) * (seconds - WARM_SECONDS)
    quick = [s for s in refused if s.seconds <= QUICK_SECONDS]
    writers = [r for name, r in runs.items() if name.startswith("writer")]
    started = {r for run in writers for r in run["requests"]}
    attempts = sum(sum(run["attempts"].values()) for run in writers)
    refused_ids = {s.request_id for s in samples if s.outcome == "refused"}
    all_run = {r for run in runs.values() for r in run["requests"]}
    good_ids = [s for s in samples if in_time(s)]
    busy = sum(run["busy_seconds"] for run in writers)
    useful = len(good_ids) * SERVICE_MS["engine"] / 1000
    ordered = sorted(s.seconds for s in good) or [0]
    failures = {}
    for sample in counted:
        key = f"{sample.outcome} {sample.failure}".strip()
        failures[key] = failures.get(key, 0) + 1
    figures = {
        "multiple": multiple,
        "sent": len(counted),
        "goodput_of_ideal": round(len(good) / ideal, 4),
        "admitted_attainment": share([s for s in admitted if in_time(s)], admitted),
        "refused_within_50ms": share(quick, refused),
        "attempts_per_started": round(attempts / max(1, len(started)), 4),
        "wasted_writer_share": round(1 - useful / busy, 4) if busy else None,
        "refused_but_run": len(refused_ids & all_run),
        "p50_ms": round(ordered[len(ordered) // 2] * 1000),
        "p99_ms": round(ordered[int(len(ordered) * 0.99)] * 1000),
        "generator_p99_late_ms": round(
            sorted(s.late_start for s in samples)[int(len(samples) * 0.99)] * 1000
        ),
        "ends": dict(sorted(failures.items())),
    }
    if flood:
        small = [s for s in counted if s.arrival.account in SMALL]
        worst = max(
            1 - share([s for s in mine if in_time(s)], mine)
            for name in SMALL
            if (mine := [s for s in small if s.arrival.account == name])
        )
        figures["small_lost"] = round(
            1 - len([s for s in small if in_time(s)]) / len(small), 4
        )
        figures["worst_small_lost"] = round(worst, 4)
    return figures


def main():
    """Run the measurement; print one line of JSON for each run."""
    options = docopt(__doc__)
    without = [name for name in options["--without"].split("+") if name]
    seconds = float(options["--seconds"])
    results = []
    for seed in map(int, options["--seeds"].split(",")):
        for multiple in map(float, options["--multiples"].split(",")):
            planned = arrivals(
                random.Random(seed), multiple, seconds, options["--flood"]
            )
            document = make_document(without, options["--routing"])
            with make_fleet(document) as fleet:
                samples = run(fleet, planned)
                figures = summarise(
                    samples, fleet.runs(), multiple, seconds, options["--flood"]
                )
                figures["windows"] = fleet.status("entry-1").get("windows")
            figures = {
                "seed": seed,
                "without": without,
                "routing": options["--routing"],
                **figures,
            }
            print(json.dumps(figures), flush=True)
            results.append(figures)
    if options["--out"]:
        Path(options["--out"]).write_text(json.dumps(results, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
