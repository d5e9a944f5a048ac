"""The processor time in which an entry works out which servers it owns.

Usage:
  bench.ownership [options]

Options:
  --result NAME  The result's name [default: ownership].
"""

import time

from docopt import docopt

from bench.fit import fit_line
from bench.usage import write_result
from boragestream.policy.ownership import Candidate, Ownership

ENTRIES = 370
CENTRES = 4
SERVERS = (1700, 3350, 5000, 6700)
REPEATS = 5


def seconds_for(servers):
    """Return the least processor time of some runs, and the servers owned."""
    entries = [Candidate(f"entry-{i}", f"centre-{i % CENTRES}") for i in range(ENTRIES)]
    listed = [(f"engine-{i}", f"centre-{i % CENTRES}") for i in range(servers)]
    times = []
    for _ in range(REPEATS):
        ownership = Ownership("entry-0")
        began = time.process_time()
        ownership.confirm(1, entries, listed, 0.0, 0.0)
        times.append(time.process_time() - began)
    return min(times)


def main(argv=None):
    """Run the measurement and write its result."""
    arguments = docopt(__doc__, argv)
    points = [
        {"servers": n, "ms_per_list": round(seconds_for(n) * 1e3, 1)} for n in SERVERS
    ]
    line = fit_line(SERVERS, [p["ms_per_list"] for p in points])
    write_result(
        arguments["--result"],
        {
            "command": "python -m bench.ownership",
            "entries": ENTRIES,
            "data_centres": CENTRES,
            "points": points,
            "ms_per_server": line.as_json(),
        },
    )


if __name__ == "__main__":
    main()
