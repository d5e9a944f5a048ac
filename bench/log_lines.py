"""What one request's log lines and metrics cost an entry that forwards by routes.

Usage:
  bench.log_lines [options]

Options:
  --requests N   Requests a round [default: 4000].
  --rounds N     Rounds, the lines and the metrics in turn [default: 5].
  --result NAME  The result's name [default: log-lines].

A round logs the lines of so many calm staged requests and writes them out, and counts
as many in the metrics. Times are of the processor, of one thread.
"""

import os
import time

from docopt import docopt

from bench.usage import quantile, write_result
from boragestream.base.events import Event, emit
from boragestream.base.line_writer import log_lines_to
from boragestream.base.route_metrics import RouteMetrics

ACCOUNTS = 730
WRITE_EVERY = 200
LINES_A_REQUEST = 3


def log_request(number):
    """Log the three lines of a calm staged request."""
    request_id = f"request-{number:08d}"
    stages = [
        {
            "stage": n,
            "service": f"s-{n}",
            "owner": "o",
            "pieces": 4,
            "milliseconds": 300,
        }
        for n in range(3)
    ]
    emit(
        Event.STAGES_DONE,
        request=request_id,
        version=7,
        stages=stages,
        slack_ms=400,
        failure=None,
    )
    emit(
        Event.SERVER_CHOSEN,
        request=request_id,
        service="engines",
        server="i-0123456789",
        of=30,
        open_calls=3,
        attempt=1,
        version=7,
        list_age_ms=900,
        left_ms=4000,
    )
    emit(
        Event.REQUEST_ENDED,
        request=request_id,
        account="account",
        pipeline="route",
        service="engines",
        version=7,
        outcome="answered",
        status=200,
        milliseconds=1500,
        wait_ms=6000,
        first_ms=1400,
        pause_ms=40,
        failure=None,
    )


def count_request(metrics, number):
    """Count the same request in the metrics."""
    for stage in range(3):
        metrics.stage_ended(f"s-{stage}", 0.3)
    metrics.server_chosen(0.9)
    metrics.attempt_ended("engines", "answered", 0.2)
    metrics.request_ended(f"a-{number % ACCOUNTS}", "route", "answered", "", 1.5)


def time_round(writer, metrics, requests):
    """Return the microseconds a request of the lines, and of the metrics."""
    began = time.thread_time()
    for number in range(requests):
        log_request(number)
        if number % WRITE_EVERY == 0:
            writer.write_out()
    logged = time.thread_time()
    for number in range(requests):
        count_request(metrics, number)
    counted = time.thread_time()
    scale = 1e6 / requests
    return (logged - began) * scale, (counted - logged) * scale


def main(argv=None):
    """Run the measurement and write its result."""
    arguments = docopt(__doc__, argv)
    requests = int(arguments["--requests"])
    with open(os.devnull, "w") as stream:
        measure(log_lines_to(stream.fileno()), RouteMetrics(), requests, arguments)


def measure(writer, metrics, requests, arguments):
    """Time the rounds, and write their result."""
    time_round(writer, metrics, requests)
    rounds = [
        time_round(writer, metrics, requests) for _ in range(int(arguments["--rounds"]))
    ]
    lines, counts = zip(*rounds, strict=True)
    began = time.thread_time()
    scraped = len(metrics.text())
    scrape_ms = (time.thread_time() - began) * 1e3
    write_result(
        arguments["--result"],
        {
            "lines_a_request": LINES_A_REQUEST,
            "us_a_line": {
                q: round(quantile(lines, q) / LINES_A_REQUEST, 2)
                for q in (0.0, 0.5, 1.0)
            },
            "metrics_us_a_request": {
                q: round(quantile(counts, q), 2) for q in (0.0, 0.5, 1.0)
            },
            "accounts": ACCOUNTS,
            "scrape_ms": round(scrape_ms, 2),
            "scrape_bytes": scraped,
        },
    )


if __name__ == "__main__":
    main()
