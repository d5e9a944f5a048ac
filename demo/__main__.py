"""Sends real requests through the cooperative's deployment and sums up.

It starts the platform stand-in, the backend stand-ins and six entries, calls every
pipeline from every client account, replaces one entry in the middle, and ends with a
line of JSON. Exit code 1 says that something was lost, doubled or crossed.
"""

import json
import random
import signal
import sys
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from boragestream.operator.client import CallReply, Client, EntryUnreachable
from tests.standins.backend import expected_text, fingerprint
from tests.standins.fleet import Fleet
from tests.standins.sites import example_document, example_key, example_servers

SITE = "cooperative"
REQUESTS = 400
CALLERS = 12
REPLACED_AFTER = 150
TOKENS = 8
STOP_SETTINGS = "[stop]\nlinger_seconds = 1.5\nlimit_seconds = 20.0\n"
KEEP_SECONDS = 1.0


@dataclass(frozen=True)
class Sample:
    """One request as its caller saw it."""

    number: int
    pipeline: str
    reply: CallReply | EntryUnreachable
    crossed: bool
    seconds: float
    deadline_seconds: float


def call_one(number, document, clients):
    """Make one request and check that the answer is its own."""
    rng = random.Random(number)
    pipeline = document["pipelines"][number % len(document["pipelines"])]
    client = clients[number % len(clients)]
    generates = pipeline["name"] != "order-status"
    stream = generates and rng.random() < 0.7
    body = {"number": number, "note": "scan " * rng.randint(1, 20)}
    began = time.monotonic()
    reply = client.call(pipeline["name"], body, stream=stream)
    seconds = time.monotonic() - began
    crossed = False
    if isinstance(reply, CallReply) and reply.outcome == "answered":
        crossed = not is_own(reply, body, stream)
    return Sample(
        number, pipeline["name"], reply, crossed, seconds, pipeline["deadline_ms"] / 1e3
    )


def is_own(reply, body, stream):
    """Tell whether an answer was made from this input."""
    if stream:
        return reply.result == expected_text(body, TOKENS)
    return reply.result["mark"] == fingerprint(body)


def replace_entry(fleet, name):
    """Stop an entry gracefully and start it again under the same address."""
    entry = fleet.entries[name]
    entry.signal(signal.SIGTERM)
    entry.extra["state"] = "leaving"
    fleet.publish_instances()
    code = entry.popen.wait(30)
    entry.extra["state"] = "live"
    entry.start()
    fleet.wait_for_entry(entry)
    fleet.publish_instances()
    return code


def run_counts(fleet, service):
    """Return the runs by request id over the servers of a service."""
    counts = Counter()
    for name, runs in fleet.runs().items():
        if fleet.servers[name].extra["service"] == service:
            counts.update(runs["requests"])
    return counts


def summarise(samples, fleet):
    """Return the summary: counts, latencies and attainment."""
    outcomes = Counter()
    for sample in samples:
        whole = isinstance(sample.reply, CallReply)
        outcomes[sample.reply.outcome if whole else "lost"] += 1
    charged = run_counts(fleet, "member-ledger")
    refused = {
        s.reply.request_id
        for s in samples
        if isinstance(s.reply, CallReply) and s.reply.outcome == "refused"
    }
    everything = Counter()
    for runs in fleet.runs().values():
        everything.update(runs["requests"])
    in_time = [
        s
        for s in samples
        if isinstance(s.reply, CallReply)
        and s.reply.outcome == "answered"
        and s.seconds <= s.deadline_seconds
    ]
    seconds = sorted(s.seconds for s in samples)
    return {
        "sent": len(samples),
        **{k: outcomes[k] for k in ("answered", "refused", "failed", "unknown")},
        "lost": outcomes["lost"],
        "doubled": sum(1 for count in charged.values() if count > 1),
        "crossed": sum(1 for s in samples if s.crossed),
        "refused_but_run": sum(1 for r in refused if everything[r]),
        "p50_ms": round(seconds[len(seconds) // 2] * 1e3, 1),
        "p95_ms": round(seconds[int(len(seconds) * 0.95)] * 1e3, 1),
        "attainment": round(len(in_time) / len(samples), 4),
    }


def main():
    """Run the demonstration; return the exit code."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    document = example_document(SITE)
    document.setdefault("policies", {})["answer_keep_seconds"] = KEEP_SECONDS
    servers = example_servers(SITE)
    print(f"starting 6 entries and {len(servers)} backend servers", flush=True)
    with Fleet(document, servers, settings=STOP_SETTINGS) as fleet:
        names = [account["name"] for account in document["client_accounts"]]
        clients = [Client(example_key(n), fleet.addresses()) for n in names]
        done = threading.Semaphore(0)

        def one(number):
            sample = call_one(number, document, clients)
            done.release()
            return sample

        with ThreadPoolExecutor(CALLERS) as pool:
            futures = [pool.submit(one, number) for number in range(REQUESTS)]
            for _ in range(REPLACED_AFTER):
                done.acquire()
            code = replace_entry(fleet, "entry-2")
            print(f"entry-2 replaced, its exit code was {code}", flush=True)
            samples = [future.result() for future in futures]
        summary = summarise(samples, fleet)
    print(json.dumps(summary))
    bad = ("lost", "doubled", "crossed", "refused_but_run")
    return 1 if any(summary[name] for name in bad) else 0


if __name__ == "__main__":
    sys.exit(main())
