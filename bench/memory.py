"""How an entry's memory, status page and instance list grow with what it knows.

Usage:
  bench.memory [options]

Options:
  --result NAME  The result's name [default: memory].

Each point is a fresh entry process which is given a published document and instance
list of some size; its resident memory is read when it has them in force.
"""

import json
import time

from docopt import docopt

from bench.deployment import BenchFleet, bench_document
from bench.fit import fit_line
from bench.usage import resident_bytes, used_seconds, write_result
from tests.standins.fleet import wait_until

SETTLE_SECONDS = 1.5
SMALL = {"servers": 50, "accounts": 5, "models": 2, "pipelines": 1, "entries": 5}
POINTS = {
    "servers": (50, 1700, 3350, 5000, 6700),
    "accounts": (5, 245, 490, 730),
    "models": (2, 8, 14, 21),
    "pipelines": (1, 3, 5, 8),
    "entries": (5, 125, 250, 370),
}
ALL = {"servers": 6700, "accounts": 730, "models": 21, "pipelines": 8, "entries": 370}
STAGES = 5


def document_of(size, version):
    """Return a document of a size."""
    stages = [
        {"name": f"stage-{i}", "service": "engine", "model": "model"}
        for i in range(STAGES)
    ]
    pipelines = [
        {"name": f"pipeline-{i}", "deadline_ms": 3000, "stages": stages}
        for i in range(size["pipelines"])
    ]
    document = bench_document(pipelines)
    account = document["client_accounts"][0]
    document["client_accounts"] += [
        {**account, "name": f"account-{i}", "key_digests": [f"{i:064x}"]}
        for i in range(size["accounts"] - 1)
    ]
    document["models"] += [
        {"name": f"model-{i}", "adapters": ["first", "second"]}
        for i in range(size["models"] - 1)
    ]
    return {**document, "version": version}


def instances_of(size):
    """Return an instance list of a size, with addresses where nothing listens."""
    servers = [
        {
            "name": f"engine-{i}",
            "service": "engine",
            "address": f"127.1.{i // 250}.{i % 250}",
            "port": 9,
            "data_centre": f"centre-{i % 4}",
            "incarnation": f"{i:016x}",
        }
        for i in range(size["servers"])
    ]
    entries = [
        {
            "name": f"entry-{i + 100}",
            "service": "boragestream-entry",
            "address": f"127.2.{i // 250}.{i % 250}",
            "port": 9,
            "data_centre": f"centre-{i % 4}",
            "peer_port": 9,
        }
        for i in range(size["entries"])
    ]
    return servers + entries


def measure(size):
    """Return what a fresh entry of a size uses."""
    fleet = BenchFleet(
        document_of(size, 1), [("e", "engine", "engine", "x")], entries=1
    )
    with fleet:
        entry = fleet.entries["entry-1"]
        pid = entry.popen.pid
        listed = {"instances": instances_of(size)}
        before = used_seconds(pid)
        fleet._publish("/v1/instances", listed, None)
        wait_until(lambda: len(fleet.status("entry-1")["servers"]) == size["servers"])
        took = used_seconds(pid) - before
        time.sleep(SETTLE_SECONDS)
        began = time.monotonic()
        status = fleet.status("entry-1")
        seconds = time.monotonic() - began
        return {
            "rss_bytes": resident_bytes(pid),
            "status_bytes": len(json.dumps(status, separators=(",", ":"))),
            "status_ms": round(seconds * 1e3, 1),
            "list_bytes": len(json.dumps(listed, separators=(",", ":"))),
            "document_bytes": len(
                json.dumps(document_of(size, 1), separators=(",", ":"))
            ),
            "take_list_ms": round(took * 1e3),
        }


def main(argv=None):
    """Run the measurement and write its result."""
    arguments = docopt(__doc__, argv)
    points = {}
    lines = {}
    for what, values in POINTS.items():
        points[what] = [
            {what: value, **measure({**SMALL, what: value})} for value in values
        ]
        lines[what] = {
            field: fit_line(values, [p[field] for p in points[what]]).as_json()
            for field in ("rss_bytes", "status_bytes", "list_bytes", "document_bytes")
        }
    write_result(
        arguments["--result"],
        {
            "command": "python -m bench.memory",
            "base": SMALL,
            "points": points,
            "lines": lines,
            "all_at_once": {**ALL, **measure(ALL)},
        },
    )


if __name__ == "__main__":
    main()
