"""What an entry adds to a direct call of a backend server: milliseconds and processor.

Usage:
  bench.overhead [options]

Options:
  --earlier TREE  Also measure the entry of another work tree.
  --rate N        Requests a second of each kind [default: 35].
  --seconds S     How long each phase takes [default: 10].
  --result NAME   The result's name [default: overhead].

Kinds take turns, so that each request by an entry stands between a direct one and one
by the earlier version. The processor time of pipelines of one to six stages gives the
cost of a stage call as a slope and that of a request as its intercept.
"""

import http.client
import statistics
import time
from concurrent.futures import ThreadPoolExecutor

from docopt import docopt

from bench.deployment import BenchFleet, bench_document, caller_headers
from bench.fit import fit_line
from bench.usage import quantile, used_seconds, write_result

THREADS = 48
TOKENS = 16
TOKEN_MS = 5.0
STAGE_COUNTS = (1, 2, 4, 6)
MAX_SECONDS = 60
BODY = '{"input":"what shade was the sari"}'
SETTINGS = "[stop]\nlinger_seconds = 1.0\nlimit_seconds = 5.0\n"


def pipelines():
    """Return a pipeline for each number of stages; the last stage generates."""
    made = []
    for count in STAGE_COUNTS:
        stages = [{"name": f"stage-{i}", "service": "plain"} for i in range(count - 1)]
        stages.append({"name": "write", "service": "engine", "model": "model"})
        name = f"stages-{count}"
        made.append({"name": name, "deadline_ms": 10_000, "stages": stages})
    return made


def one_call(address, path, body, headers, mark):
    """Make one call; return seconds to the first data and to the end, or None."""
    began = time.monotonic()
    connection = http.client.HTTPConnection(*address, timeout=MAX_SECONDS)
    try:
        connection.request("POST", path, body, headers)
        response = connection.getresponse()
        data = response.read1(65536)
        first = time.monotonic() - began
        data += response.read()
        good = response.status == http.HTTPStatus.OK and mark in data
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()
    return (first, time.monotonic() - began) if good else None


def call_of(fleet, kind, stream, stages):
    """Return the arguments of one call of a kind."""
    headers = caller_headers(stream)
    if kind == "direct":
        headers |= {"X-Request-Id": "r", "X-Attempt-Id": "a"}
        body = '{"prompt":"x","stream":true}' if stream else BODY
        mark = b"[DONE]" if stream else b"bench"
        return fleet.address("engine-0"), "/v1/completions", body, headers, mark
    path = f"/v1/pipelines/stages-{stages}"
    mark = b"event: end" if stream else b"answered"
    return fleet.address(kind), path, BODY, headers, mark


def run_phase(fleet, kinds, stream, stages, rate, seconds):
    """Call every kind in turn at a fixed rate; return what each took and used."""
    pids = {k: fleet.entries[k].popen.pid for k in kinds if k != "direct"}
    before = {kind: used_seconds(pid) for kind, pid in pids.items()}
    total = int(rate * seconds) * len(kinds)
    futures = []
    began = time.monotonic()
    with ThreadPoolExecutor(THREADS) as pool:
        for i in range(total):
            due = began + i / (rate * len(kinds))
            time.sleep(max(0.0, due - time.monotonic()))
            kind = kinds[i % len(kinds)]
            call = call_of(fleet, kind, stream, stages)
            futures.append((kind, pool.submit(one_call, *call)))
    used = {kind: used_seconds(pid) - before[kind] for kind, pid in pids.items()}
    return {kind: summarise(kind, futures, used) for kind in kinds}


def summarise(kind, futures, used):
    """Return one kind's figures."""
    replies = [future.result() for k, future in futures if k == kind]
    whole = [reply for reply in replies if reply is not None]
    figures = {"calls": len(replies), "whole": len(whole)}
    for name, at in (("first_ms", 0), ("end_ms", 1)):
        values = [reply[at] * 1e3 for reply in whole]
        figures[name] = {q: round(quantile(values, q), 2) for q in (0.5, 0.95)}
    if kind in used:
        figures["us_per_request"] = round(used[kind] / len(replies) * 1e6)
    return figures


def added(phase):
    """Return what each entry adds to the direct call, in milliseconds."""
    direct = phase["direct"]
    return {
        kind: {
            f"{name} {q}": round(figures[name][q] - direct[name][q], 2)
            for name in ("first_ms", "end_ms")
            for q in (0.5, 0.95)
        }
        for kind, figures in phase.items()
        if kind != "direct"
    }


def main(argv=None):
    """Run the measurement and write its result."""
    arguments = docopt(__doc__, argv)
    rate = float(arguments["--rate"])
    seconds = float(arguments["--seconds"])
    earlier = {"entry-2": arguments["--earlier"]} if arguments["--earlier"] else {}
    entries = ["entry-1", *earlier]
    services = {"engine": "engine", "plain": "plain"}
    servers = [
        (f"{service}-{i}", service, kind, "here")
        for service, kind in services.items()
        for i in range(2)
    ]
    fleet = BenchFleet(
        bench_document(pipelines(), services),
        servers,
        engine="bench.stream_engine",
        earlier=earlier,
        entries=len(entries),
        settings=SETTINGS,
        backend={"token_ms": TOKEN_MS, "tokens": TOKENS},
    )
    with fleet:
        kinds = ["direct", *entries]
        run_phase(fleet, kinds, False, 1, rate, 2.0)
        whole = run_phase(fleet, kinds, False, 1, rate, seconds)
        stream = run_phase(fleet, kinds, True, 1, rate, seconds)
        by_stages = {kind: {c: [] for c in STAGE_COUNTS} for kind in entries}
        # There and back, so that a drift of the machine's load makes no slope.
        for count in (*STAGE_COUNTS, *reversed(STAGE_COUNTS)):
            phase = run_phase(fleet, entries, False, count, rate, seconds / 2)
            for kind, figures in phase.items():
                by_stages[kind][count].append(figures["us_per_request"])
    lines = {
        kind: fit_line(
            STAGE_COUNTS, [statistics.mean(v) for v in points.values()]
        ).as_json()
        for kind, points in by_stages.items()
    }
    write_result(
        arguments["--result"],
        {
            "rate_of_each_kind": rate,
            "tokens": TOKENS,
            "added_ms_whole": added(whole),
            "added_ms_streamed": added(stream),
            "us_per_stage_call": lines,
            "whole": whole,
            "streamed": stream,
            "us_per_request_by_stages": by_stages,
        },
    )


if __name__ == "__main__":
    main()
