"""Sends real requests through the cooperative's deployment and sums up.

It starts the platform stand-in, the backend stand-ins and six entries, calls every
pipeline from every client account, half of the requests streamed and some under
tickets, replaces one entry in the middle, does the same with calls forwarded by
published routes, and ends with a line of JSON. Exit code 1
says that something was lost, doubled or crossed, 130 that it was interrupted.
"""

import json
import os
import shutil
import signal
import sys
import threading
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from boragestream.operator.client import Client
from boragestream.operator.results import write_results
from demo.calls import call_one
from demo.counts import is_bad, summarise, to_result
from demo.routes import run_routes
from tests.standins.fleet import Fleet
from tests.standins.sites import example_document, example_key, example_servers

SITE = "cooperative"
REQUESTS = 400
CALLERS = 12
REPLACED = "entry-2"
REPLACED_AFTER = 150
STOP_SETTINGS = "[stop]\nlinger_seconds = 1.5\nlimit_seconds = 20.0\n"
KEEP_SECONDS = 1.0
TICKET_SECONDS = 4.0
RESULTS = Path("out") / "demo-results.jsonl"
EXIT_INTERRUPTED = 130


def interrupt(*_):
    """End the demo at once; every process of the fleet is ended with it."""
    # A second signal must not interrupt the end itself.
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    raise KeyboardInterrupt


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


def send_all(fleet, document):
    """Send every request and replace an entry meanwhile; return the samples."""
    names = [account["name"] for account in document["client_accounts"]]
    clients = {n: Client(example_key(n), fleet.addresses()) for n in names}
    done = threading.Semaphore(0)

    def one(number):
        try:
            return call_one(number, document, clients)
        finally:
            done.release()

    pool = ThreadPoolExecutor(CALLERS)
    try:
        futures = [pool.submit(one, number) for number in range(REQUESTS)]
        for _ in range(REPLACED_AFTER):
            done.acquire()
        code = replace_entry(fleet, REPLACED)
        print(f"{REPLACED} replaced, its exit code was {code}", flush=True)
        return [future.result() for future in futures]
    finally:
        pool.shutdown(wait=False, cancel_futures=True)


def run():
    """Run the demonstration; return the summary."""
    document = example_document(SITE)
    policies = document.setdefault("policies", {})
    policies["answer_keep_seconds"] = KEEP_SECONDS
    policies["ticket_seconds"] = TICKET_SECONDS
    servers = example_servers(SITE)
    print(f"starting 6 entries and {len(servers)} backend servers", flush=True)
    fleet = Fleet(document, servers, settings=STOP_SETTINGS)
    try:
        with fleet:
            print(f"sending {REQUESTS} requests", flush=True)
            samples = send_all(fleet, document)
            summary = summarise(samples, fleet)
    finally:
        shutil.rmtree(fleet.folder, ignore_errors=True)
    RESULTS.parent.mkdir(exist_ok=True)
    write_results(RESULTS, [to_result(sample) for sample in samples])
    print(f"each request's result is in {RESULTS}", flush=True)
    print("calls by published routes, through 3 entries", flush=True)
    return {**summary, "routes": run_routes()}


def main():
    """Run the demonstration and end the process with its exit code."""
    signal.signal(signal.SIGINT, interrupt)
    signal.signal(signal.SIGTERM, interrupt)
    try:
        summary = run()
    except KeyboardInterrupt:
        print("interrupted", file=sys.stderr, flush=True)
        # Requests that were being made have nobody to answer them any more.
        os._exit(EXIT_INTERRUPTED)
    print(json.dumps(summary))
    sys.exit(1 if is_bad(summary) or is_bad(summary["routes"]) else 0)


if __name__ == "__main__":
    main()
