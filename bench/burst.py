"""What a fresh entry begins of a burst of long streams.

Usage:
  bench.burst --earlier TREE [options]

Options:
  --earlier TREE  The work tree of the entry that is compared.
  --streams N     Streams that come at once [default: 40].
  --rounds N      How often fresh entries are measured [default: 3].
  --result NAME   The result's name [default: burst].

Each round starts a deployment of its own: two entries, one of each version, before
eight engine stand-ins of eight slots with streams of three seconds. The burst goes to
one entry and then, once that has ended, to the other; which is first changes with the
rounds. Nothing warms the entries, and admission is on.
"""

import http.client
import json
import time
from concurrent.futures import ThreadPoolExecutor

from docopt import docopt

from bench.deployment import BenchFleet, bench_document, caller_headers
from bench.usage import quantile, write_result

SERVERS = 8
SLOTS = 8
TOKENS = 50
TOKEN_MS = 60.0
SERVICE_MS = 20.0
DEADLINE_MS = 5000
TIMEOUT_SECONDS = 20.0
KINDS = {"entry-1": "new", "entry-2": "earlier"}
PIPELINE = {
    "name": "generate",
    "deadline_ms": DEADLINE_MS,
    "stages": [
        {"name": "write", "service": "engine", "model": "model", "max_tokens": TOKENS}
    ],
}


def one_stream(address, number):
    """Make one request; return its status, whether whole, and its seconds."""
    began = time.monotonic()
    connection = http.client.HTTPConnection(*address, timeout=TIMEOUT_SECONDS)
    body = json.dumps({"input": f"burst {number}"})
    try:
        connection.request(
            "POST", "/v1/pipelines/generate", body, caller_headers(stream=True)
        )
        response = connection.getresponse()
        whole = b"event: end" in response.read()
        status = response.status
    except (OSError, http.client.HTTPException):
        status, whole = 0, False
    finally:
        connection.close()
    return status, whole, time.monotonic() - began


def burst(address, streams):
    """Offer a burst; return what came of it."""
    with ThreadPoolExecutor(streams) as pool:
        seen = list(pool.map(lambda n: one_stream(address, n), range(streams)))
    in_time = [s for _, whole, s in seen if whole and s <= DEADLINE_MS / 1000]
    statuses = sorted({status for status, _, _ in seen})
    return {
        "offered": streams,
        "answered_in_time": len(in_time),
        "statuses": {s: sum(x == s for x, _, _ in seen) for s in statuses},
        "seconds_p50": round(quantile(in_time, 0.5), 2) if in_time else None,
        "seconds_p95": round(quantile(in_time, 0.95), 2) if in_time else None,
    }


def one_round(earlier, streams, order):
    """Measure fresh entries of both versions."""
    fleet = BenchFleet(
        bench_document([PIPELINE]),
        [(f"engine-{i}", "engine", "engine", "here") for i in range(SERVERS)],
        earlier={"entry-2": earlier},
        entries=len(KINDS),
        backend={
            "slots": SLOTS,
            "tokens": TOKENS,
            "token_ms": TOKEN_MS,
            "service_ms": SERVICE_MS,
        },
    )
    with fleet:
        return {KINDS[name]: burst(fleet.address(name), streams) for name in order}


def main(argv=None):
    """Run the measurement and write its result."""
    arguments = docopt(__doc__, argv)
    streams = int(arguments["--streams"])
    names = list(KINDS)
    runs = []
    for number in range(int(arguments["--rounds"])):
        order = names[::-1] if number % 2 else names
        runs.append(one_round(arguments["--earlier"], streams, order))
    write_result(arguments["--result"], {"slots": SERVERS * SLOTS, "runs": runs})


if __name__ == "__main__":
    main()
