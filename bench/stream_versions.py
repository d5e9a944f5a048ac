"""Compares ways to know which software version began a stream, in a simulation.

Usage:
  bench.stream_versions [options]

Options:
  --seed N  The seed of the random choices [default: 1].

Two questions are simulated, without network. First, how many streams go on at a wrong
version if each entry computes the version from a digest of the request, while a rolling
upgrade changes the listed versions and the server lists of the entries lag. Second, how
many records are lost if entries are lost that hold them, with the holders that
``policy.stream_origins`` ranks. Prints JSON.
"""

import json
import random
import sys

import xxhash
from docopt import docopt

from boragestream.policy.peers import ListedEntry
from boragestream.policy.stream_origins import record_holders, stream_key

STREAMS = 20_000
SERVERS = 9
# Each server is replaced this long after the one before.
REPLACEMENT_SECONDS = 4.0
# A caller takes a stream up after a time between these.
RETURN_SECONDS = (0.05, 6.0)
LAGS_SECONDS = (0.0, 0.2, 1.0, 3.0)
SIZES = (6, 62, 370)
LOST_SHARES = (0.02, 1 / 3, 0.5)
HOLDERS = (0, 1, 2, 3)
DATA_CENTRES = 3


def listed_counts(moment):
    """Return the number of listed servers of the old and the new version."""
    replaced = min(SERVERS, max(0, int(moment / REPLACEMENT_SECONDS)))
    return {"v1": SERVERS - replaced, "v2": replaced}


def digest_choice(request_id, counts):
    """Return the version that a digest of the request selects, by server counts."""
    point = xxhash.xxh3_64_intdigest(request_id.encode()) / 2**64 * SERVERS
    return "v2" if point < counts["v2"] else "v1"


def wrong_share(lag, rng):
    """Return the share of resumed streams for which two entries choose differently."""
    wrong = 0
    for number in range(STREAMS):
        request_id = f"r-{number}"
        began = rng.uniform(0, SERVERS * REPLACEMENT_SECONDS)
        returned = began + rng.uniform(*RETURN_SECONDS)
        first = listed_counts(began - rng.uniform(0, lag))
        second = listed_counts(returned - rng.uniform(0, lag))
        chosen = digest_choice(request_id, first)
        wrong += digest_choice(request_id, second) != chosen
    return wrong / STREAMS


def lost_share(size, share, holders, rng):
    """Return the share of streams of lost entries whose records are lost as well."""
    entries = [
        ListedEntry(f"e-{n}", "", f"10.0.{n // 250}.{n % 250}:1", f"c-{n % 3}")
        for n in range(size)
    ]
    lost = rng.sample(entries, max(1, round(size * share)))
    names = {entry.name for entry in lost}
    unknown = total = 0
    for number in range(STREAMS // 50):
        key = stream_key("account", f"r-{number}-{rng.random()}")
        began = rng.choice(lost)
        others = [entry for entry in entries if entry is not began]
        held_by = record_holders(key, others)[:holders]
        unknown += all(entry.name in names for entry in held_by)
        total += 1
    return unknown / total


def main():
    """Print the results."""
    arguments = docopt(__doc__)
    rng = random.Random(int(arguments["--seed"]))
    results = {
        "digest": {
            f"lists lag up to {lag} s": round(wrong_share(lag, rng), 4)
            for lag in LAGS_SECONDS
        },
        "records": {
            f"{size} entries, {round(share * 100)} in 100 lost": {
                f"{holders} holders": round(lost_share(size, share, holders, rng), 3)
                for holders in HOLDERS
            }
            for size in SIZES
            for share in LOST_SHARES
        },
    }
    json.dump(results, sys.stdout, indent=2)
    print()


if __name__ == "__main__":
    main()
