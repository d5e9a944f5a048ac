"""What the histograms of client accounts and stages weigh, in memory and time.

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

ACCOUNTS = (10, 250, 490, 730)
REQUESTS_EACH = 40
ONE_POINT = "--point"


def point(accounts):
    """Print the memory that observations of so many client accounts take."""
    rng = random.Random(accounts)
    observations = Observations(SystemClock())
    observations.request_ended("warm", "pipeline", "answered", 0.1)
    before = resident_bytes(os.getpid())
    began = time.process_time()
    for number in range(accounts * REQUESTS_EACH):
        seconds = rng.lognormvariate(-1.0, 1.0)
        name = f"account-{number % accounts}"
        observations.request_ended(name, "pipeline", "answered", seconds)
    took = time.process_time() - began
    grown = resident_bytes(os.getpid()) - before
    print(grown, took / (accounts * REQUESTS_EACH) * 1e6)


def main(argv=None):
    """Measure each point in a fresh process and write the result."""
    arguments = docopt(__doc__, argv)
    points = []
    for accounts in ACCOUNTS:
        command = [sys.executable, "-m", "bench.histograms", ONE_POINT, str(accounts)]
        grown, took = subprocess.check_output(command, text=True).split()
        points.append(
            {
                "accounts": accounts,
                "grown_bytes": int(grown),
                "us_per_request": round(float(took), 2),
            }
        )
    line = fit_line(ACCOUNTS, [p["grown_bytes"] for p in points])
    write_result(
        arguments["--result"],
        {
            "command": "python -m bench.histograms",
            "requests_of_each_account": REQUESTS_EACH,
            "points": points,
            "bytes_per_account": line.as_json(),
        },
    )


if __name__ == "__main__":
    if sys.argv[1:2] == [ONE_POINT]:
        point(int(sys.argv[2]))
    else:
        main()
