"""What a report of account demand weighs on the exchange, and how many fit.

Usage:
  bench.demand [options]

Options:
  --result NAME  The result's name [default: demand].

Reports are made as an entry makes them and offered by the part of the exchange that
carries them, within the exchange's own bound of bytes.
"""

import random

import msgspec
from docopt import docopt

from bench.fit import fit_line
from bench.usage import write_result
from boragestream.base.clock import SystemClock
from boragestream.entry.demand import DemandPart
from boragestream.entry.parts import EXCHANGE_BYTES
from boragestream.policy.demand import AccountDemand, DemandTable, EntryReport

ACCOUNTS = (0, 6, 12, 18, 24)
ENTRIES = 370


def demands(accounts, rng):
    """Return the demand of some client accounts."""
    return {
        rng.getrandbits(32): AccountDemand(rng.random(), 1, rng.random(), 1)
        for _ in range(accounts)
    }


def offered(accounts, budget):
    """Return the bytes and the reports that an entry offers.

    :param budget: the most bytes; an entry knows the reports of all the others.
    """
    rng = random.Random(accounts)
    table = DemandTable("entry-0", SystemClock())
    for number in range(1, ENTRIES):
        name = f"entry-{number}"
        incarnation = f"{number:016x}"
        table.add(EntryReport(name, incarnation, 1, 0.5, demands(accounts, rng)), 0.1)
    part = DemandPart(
        "entry-0", "0" * 16, table, lambda: demands(accounts, rng), lambda: 0.5
    )
    data = part.offer(budget)
    return len(data), len(msgspec.msgpack.decode(data)) if data else 0


def main(argv=None):
    """Measure each number of accounts and write the result."""
    arguments = docopt(__doc__, argv)
    points = []
    for accounts in ACCOUNTS:
        everything, reports = offered(accounts, 10_000_000)
        size, fitting = offered(accounts, EXCHANGE_BYTES)
        points.append(
            {
                "accounts": accounts,
                "bytes_per_report": round(everything / reports, 1),
                "reports_in_a_message": fitting,
                "bytes_in_a_message": size,
            }
        )
    line = fit_line(ACCOUNTS, [p["bytes_per_report"] for p in points])
    write_result(
        arguments["--result"],
        {
            "command": "python -m bench.demand",
            "entries": ENTRIES,
            "bound_bytes": EXCHANGE_BYTES,
            "points": points,
            "bytes_per_account": line.as_json(),
        },
    )


if __name__ == "__main__":
    main()
