"""What an entry's observations weigh: histograms by account, loads by server.

Usage:
  bench.histograms [options]

Options:
  --result NAME  The result's name [default: histograms].
"""

import os
import random
import subprocess
import sys
import time

from docopt import docopt

from bench.fit import fit_line
from bench.usage import resident_bytes, write_result
from boragestream.base.clock import SystemClock
from boragestream.base.observations import Observations
from boragestream.policy.load import CallEnd, LoadTable
from boragestream.policy.servers import Server

SIZES = {"accounts": (10, 250, 490, 730), "servers": (100, 2300, 4500, 6700)}
TIMES_EACH = 40
ONE_POINT = "--point"


def account_taker(rng):
    """Return what takes one request's end of an account."""
    observations = Observations(SystemClock())

    def take(number):
        seconds = rng.lognormvariate(-1.0, 1.0)
        name = f"account-{number}"
        observations.request_ended(name, "pipeline", "answered", seconds)

    return take


def server_taker(rng):
    """Return what takes one call on a server."""
    loads = LoadTable(SystemClock(), rng)

    def take(number):
        server = Server(f"engine-{number}", "engine", f"h:{number}", "here")
        call = loads.begin(server)
        loads.end(server, call, CallEnd.ANSWERED, rng.lognormvariate(-1.0, 1.0))

    return take


def point(what, size):
    """Print the memory that so many take, and the processor time of taking one."""
    rng = random.Random(size)
    take = {"accounts": account_taker, "servers": server_taker}[what](rng)
    take(0)
    before = resident_bytes(os.getpid())
    began = time.process_time()
    for number in range(size * TIMES_EACH):
        take(number % size)
    took = time.process_time() - began
    grown = resident_bytes(os.getpid()) - before
    print(grown, took / (size * TIMES_EACH) * 1e6)


def run_point(what, size):
    """Measure one point in a fresh process."""
    command = [sys.executable, "-m", "bench.histograms", ONE_POINT, what, str(size)]
    grown, took = subprocess.check_output(command, text=True).split()
    return {what: size, "grown_bytes": int(grown), "us_each": round(float(took), 2)}


def main(argv=None):
    """Measure every size and write the result."""
    arguments = docopt(__doc__, argv)
    result = {"command": "python -m bench.histograms", "times_each": TIMES_EACH}
    for what, sizes in SIZES.items():
        points = [run_point(what, size) for size in sizes]
        line = fit_line(sizes, [p["grown_bytes"] for p in points])
        result[what] = {"points": points, "bytes_each": line.as_json()}
    write_result(arguments["--result"], result)


if __name__ == "__main__":
    if sys.argv[1:2] == [ONE_POINT]:
        point(sys.argv[2], int(sys.argv[3]))
    else:
        main()
