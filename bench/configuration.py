"""What a change of the configuration costs an entry, and how fast it spreads.

Usage:
  bench.configuration [options]

Options:
  --repeats N     How often each size is encoded and taken [default: 5].
  --chain N       Entries in the chain on which hops are timed [default: 9].
  --crowd N       Entries that all know one another [default: 40].
  --result NAME   The result's name [default: configuration].

Bytes and processor time against the document's size: whole, compressed, and as the
difference of one changed field. The time to come into force against hops is taken on a
chain of processes, each of which knows its two neighbours only; then on a crowd. How
many rounds more entries need is worked out with the choice of peers itself, without
processes, and is marked as such.
"""

import json
import random
import statistics
import time

from docopt import docopt

from bench.fit import fit_line
from bench.peer_nodes import DATA_CENTRES, run_nodes, sized_document
from bench.usage import write_result
from boragestream.document import parse_document
from boragestream.document.difference import apply_difference, encode_difference
from boragestream.document.digest import canonical_text
from boragestream.entry.exchange import FAN_OUT, ROUND_SECONDS, URGENT_FAN_OUT
from boragestream.entry.peer_choice import Peer, choose_peers
from boragestream.policy.configuration import ConfigurationInForce

SIZES = (8_000, 64_000, 250_000, 500_000, 1_000_000)
CHANGES_PER_DAY = 5300
DAY_SECONDS = 86_400
PUBLISH_AFTER = 1.0
SPREAD_SECONDS = 6.0
SPREAD_ENTRIES = (6, 40, 185, 370)
SPREAD_RUNS = 20


def timed(function, repeats):
    """Return the median processor microseconds of a call, and its result."""
    spent = []
    for _ in range(repeats):
        began = time.process_time()
        result = function()
        spent.append(time.process_time() - began)
    return round(statistics.median(spent) * 1e6), result


def measure_size(size, repeats):
    """Return what one change costs in a document of a size."""
    data = sized_document(size)
    published = json.dumps(data).encode()
    base = canonical_text(published)
    data["version"] = 2
    data["client_accounts"][len(data["client_accounts"]) // 2]["weight"] = 2.5
    changed = json.dumps(data).encode()
    text = canonical_text(changed)
    compress_us, whole = timed(lambda: encode_difference(b"", text), repeats)
    encode_us, difference = timed(lambda: encode_difference(base, text), repeats)
    apply_us, _ = timed(lambda: apply_difference(difference, base), repeats)
    check_us, parsed = timed(lambda: parse_document(text), repeats)

    def offer():
        configuration = ConfigurationInForce(data["deployment"])
        configuration.offer(parsed[0], canonical_text(changed))

    offer_us, _ = timed(offer, repeats)
    return {
        "document_bytes": len(text),
        "compressed_bytes": len(whole.data),
        "difference_bytes": len(difference.data),
        "compress_us": compress_us,
        "difference_us": encode_us,
        "apply_us": apply_us,
        "check_us": check_us,
        "take_over_us": offer_us,
        "bytes_per_second_at_target": {
            kind: round(count * CHANGES_PER_DAY / DAY_SECONDS, 2)
            for kind, count in (
                ("whole", len(text)),
                ("compressed", len(whole.data)),
                ("difference", len(difference.data)),
            )
        },
        "core_share_at_target": round(
            (encode_us + apply_us + check_us + offer_us)
            / 1e6
            * CHANGES_PER_DAY
            / DAY_SECONDS,
            6,
        ),
    }


def measure_chain(count):
    """Return the milliseconds after which each entry of a chain has a change."""
    runs = run_nodes(
        count,
        SPREAD_SECONDS,
        neighbours=lambda i: [j for j in (i - 1, i, i + 1) if 0 <= j < count],
        publish_after=PUBLISH_AFTER,
    )
    return delays(runs)


def delays(runs):
    """Return the milliseconds since the publishing entry had the change."""
    began = runs[0]["taken_at"][0]
    late = [run["name"] for run in runs if not run["taken_at"]]
    if late:
        raise RuntimeError(f"{late} never had the change")
    return [round((run["taken_at"][0] - began) * 1000, 1) for run in runs]


def rounds_needed(entries, rng):
    """Return in how many rounds a change reaches all, by the choice of peers alone.

    Whoever has the change asks as many peers as in a round that was brought forward,
    whoever has not asks as many as in any other.
    """
    peers = [
        Peer(f"entry-{i}", "", f"centre-{i % DATA_CENTRES}") for i in range(entries)
    ]
    have = {peers[0].name}
    fresh = set(have)
    rounds = 0
    while len(have) < entries:
        rounds += 1
        reached = set()
        for peer in peers:
            others = [p for p in peers if p is not peer]
            count = URGENT_FAN_OUT if peer.name in fresh else FAN_OUT
            for other in choose_peers(others, peer.data_centre, count, rng):
                if peer.name in have or other.name in have:
                    reached |= {peer.name, other.name}
        fresh = reached - have
        have |= reached
    return rounds


def spread_by_choice():
    """Return the rounds that several numbers of entries need."""
    results = []
    for entries in SPREAD_ENTRIES:
        runs = [rounds_needed(entries, random.Random(i)) for i in range(SPREAD_RUNS)]
        results.append(
            {
                "entries": entries,
                "rounds_median": statistics.median(runs),
                "rounds_worst": max(runs),
                "seconds_worst_without_hurry": max(runs) * ROUND_SECONDS * 1.25,
            }
        )
    return results


def main(argv=None):
    """Run the measurement and write its result."""
    arguments = docopt(__doc__, argv)
    repeats = int(arguments["--repeats"])
    by_size = [measure_size(size, repeats) for size in SIZES]
    chain = measure_chain(int(arguments["--chain"]))
    crowd = run_nodes(
        int(arguments["--crowd"]), SPREAD_SECONDS, publish_after=PUBLISH_AFTER
    )
    sizes = [point["document_bytes"] for point in by_size]

    def by_document_byte(key):
        return fit_line(sizes, [point[key] for point in by_size]).as_json()

    write_result(
        arguments["--result"],
        {
            "changes_per_day": CHANGES_PER_DAY,
            "by_size": by_size,
            "lines_by_document_byte": {
                key: by_document_byte(key)
                for key in (
                    "compressed_bytes",
                    "difference_bytes",
                    "difference_us",
                    "apply_us",
                    "check_us",
                    "take_over_us",
                )
            },
            "chain_ms_by_hops": chain,
            "line_ms_by_hops": fit_line(range(len(chain)), chain).as_json(),
            "crowd": {
                "entries": len(crowd),
                "ms_median": statistics.median(delays(crowd)),
                "ms_worst": max(delays(crowd)),
            },
            "rounds_by_choice_of_peers_without_processes": spread_by_choice(),
        },
    )


if __name__ == "__main__":
    main()
