"""Starts processes of ``bench.peer_node`` together and collects what they print."""

import hashlib
import json
import subprocess
import sys
import tempfile
from pathlib import Path

from boragestream.base.clock import SystemClock
from tests.standins.fleet import free_ports
from tests.standins.sites import example_document

__all__ = ["run_nodes", "sized_document"]

START_SECONDS = 4.0
LIMIT_SECONDS = 60
DATA_CENTRES = 4


def sized_document(size):
    """Return a valid document of about so many bytes, by its client accounts."""
    document = example_document("cooperative")
    account = document["client_accounts"][0]
    count = 0
    length = len(json.dumps(document, separators=(",", ":")))
    while length < size:
        digest = hashlib.sha256(str(count).encode()).hexdigest()
        more = {**account, "name": f"account-{count}", "key_digests": [digest]}
        document["client_accounts"].append(more)
        length += len(json.dumps(more, separators=(",", ":"))) + 1
        count += 1
    return document


def run_nodes(
    processes,
    seconds,
    listed=None,
    round_seconds=1.0,
    fan_out=2,
    neighbours=None,
    document=None,
    publish_after=None,
):
    """Run processes that exchange; return their results in order.

    :param listed: how many entries the list names; those beyond the processes share
        the processes' ports.
    :param neighbours: returns the indexes that one process knows; all if left out.
    :param publish_after: seconds after the begin at which the first one publishes.
    """
    folder = Path(tempfile.mkdtemp(prefix="boragestream-bench-"))
    path = folder / "document.json"
    path.write_text(json.dumps(document or example_document("cooperative")))
    ports = free_ports(processes)
    entries = [
        (f"entry-{i}", ports[i % processes], f"centre-{i % DATA_CENTRES}")
        for i in range(listed or processes)
    ]
    running = [name for name, _, _ in entries[:processes]]
    begin = SystemClock().now() + START_SECONDS
    started = []
    for index in range(processes):
        known = neighbours(index) if neighbours else range(len(entries))
        publishes = index == 0 and publish_after is not None
        name, port, data_centre = entries[index]
        spec = {
            "name": name,
            "port": port,
            "data_centre": data_centre,
            "listed": [entries[i] for i in known],
            "running": running,
            "begin": begin,
            "end": begin + seconds,
            "round_seconds": round_seconds,
            "fan_out": fan_out,
            "document": str(path),
            "publish_at": begin + publish_after if publishes else None,
        }
        file = folder / f"{name}.json"
        file.write_text(json.dumps(spec))
        command = [sys.executable, "-m", "bench.peer_node", str(file)]
        log = (folder / f"{name}.log").open("wb")
        popen = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=log)
        started.append(popen)
    try:
        limit = seconds + START_SECONDS + LIMIT_SECONDS
        outputs = [popen.communicate(timeout=limit)[0] for popen in started]
    finally:
        for popen in started:
            if popen.poll() is None:
                popen.kill()
                popen.wait()
    return [json.loads(output) for output in outputs]
