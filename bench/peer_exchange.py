"""What the exchange between entries costs one entry.

Usage:
  bench.peer_exchange [options]

Options:
  --processes N   Processes that exchange [default: 24].
  --seconds S     How long each run counts [default: 5].
  --round S       Seconds of a round, shorter than in service [default: 0.1].
  --result NAME   The result's name [default: peer_exchange].

Points: the number of listed entries at the fan-out in service, and the fan-out at one
number of entries. Rounds are shorter than in service, so that a short run counts many
exchanges; the figures a second are those of an exchange times the exchanges that an
entry begins and answers a second in service.
"""

import statistics

from docopt import docopt

from bench.fit import fit_line
from bench.peer_nodes import run_nodes
from bench.usage import write_result
from boragestream.entry.exchange import FAN_OUT, ROUND_SECONDS, URGENT_GAP_SECONDS

ENTRIES = (24, 92, 185, 277, 370)
FAN_OUTS = (1, 2, 3, 4)
TARGET_ENTRIES = 370
# Of each frame on the wire: TCP and IP headers with time stamps, the length and the
# request id of nng, and a share of acknowledgements.
WIRE_BYTES = 52 + 12 + 52
BUDGET_BYTES = 7000
BUDGET_CORE = 0.022


def measure(processes, seconds, round_seconds, entries, fan_out):
    """Return the means over all processes of one run."""
    runs = run_nodes(
        processes, seconds, entries, round_seconds=round_seconds, fan_out=fan_out
    )

    def mean(key):
        return statistics.mean(run[key] for run in runs)

    # An exchange is a frame sent and one received, asked or answered.
    exchanges = mean("sent_messages")
    frame_bytes = (mean("sent_bytes") + mean("received_bytes")) / exchanges
    cpu = mean("cpu_seconds") / exchanges
    in_service = 2 * fan_out / (ROUND_SECONDS + URGENT_GAP_SECONDS)
    wire_bytes = frame_bytes + 2 * WIRE_BYTES
    return {
        "entries": entries,
        "fan_out": fan_out,
        "exchanges_counted": round(exchanges * processes),
        "bytes_per_frame": round(frame_bytes / 2),
        "cpu_us_per_exchange": round(cpu * 1e6),
        "exchanges_per_second": round(in_service, 2),
        "wire_bytes_per_second": round(wire_bytes * in_service),
        "core_share": round(cpu * in_service, 5),
    }


def fit(points, x, y):
    """Return the line of one figure through the points."""
    return fit_line([p[x] for p in points], [p[y] for p in points]).as_json()


def main(argv=None):
    """Run the measurement and write its result."""
    arguments = docopt(__doc__, argv)
    processes = int(arguments["--processes"])
    seconds = float(arguments["--seconds"])
    round_seconds = float(arguments["--round"])

    def run(entries, fan_out):
        return measure(processes, seconds, round_seconds, entries, fan_out)

    by_entries = [run(entries, FAN_OUT) for entries in ENTRIES]
    by_fan_out = [run(ENTRIES[1], fan_out) for fan_out in FAN_OUTS]
    target = by_entries[-1]
    write_result(
        arguments["--result"],
        {
            "processes": processes,
            "seconds": seconds,
            "round_seconds_of_the_run": round_seconds,
            "wire_bytes_assumed_per_frame": WIRE_BYTES,
            "by_entries": by_entries,
            "by_fan_out": by_fan_out,
            "lines": {
                "cpu_us_per_exchange_by_entries": fit(
                    by_entries, "entries", "cpu_us_per_exchange"
                ),
                "wire_bytes_per_second_by_entries": fit(
                    by_entries, "entries", "wire_bytes_per_second"
                ),
                "core_share_by_fan_out": fit(by_fan_out, "fan_out", "core_share"),
                "wire_bytes_per_second_by_fan_out": fit(
                    by_fan_out, "fan_out", "wire_bytes_per_second"
                ),
            },
            "at_370_entries_of_budget": {
                "bytes": round(target["wire_bytes_per_second"] / BUDGET_BYTES, 3),
                "core": round(target["core_share"] / BUDGET_CORE, 3),
            },
        },
    )


if __name__ == "__main__":
    main()
