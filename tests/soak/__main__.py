"""Runs the soak and prints a line of JSON for each seed.

Usage:
  tests.soak [options]

Options:
  --seeds N       How many fresh seeds [default: 5].
  --only SEED     Run this one seed alone.
  --entries N     How many entries [default: 3].
  --seconds S     How long faults strike in each run [default: 12].
  --plain         Strike no whole data centres, and have the store not come back from
                  copies, as the first seeds were run.
  --limits        Have servers name limits as well.
  --readers       Have callers not read their answers as well.
  --surges        Have a client account send eight times its demand as well.
  --partitions    Lose what is sent between two regions as well.
  --cuts          Cut entries off from all servers as well.
  --upgrades      Replace engines by others of two more software versions as well.
  --out-of-step   Let entries follow the server list for long, then pause them or cut
                  them off from the store and all other entries, while engines are
                  replaced by others of two more software versions.
  --logs          Have the readers of the entries' logs go, stall and come back as well.
  --spoils        Have servers cut answers in their heads, and stage servers send
                  answers twice, as well.
  --keep DIR      Where the logs of failed runs are kept [default: out/soak].

The exit code is 1 where a promise was broken. Ended are only processes that a run
started itself.
"""

import dataclasses
import json
import random
import sys

from docopt import docopt

from tests.soak.plan import Family
from tests.soak.run import run_seed


def asked_for(arguments, family):
    """Tell whether a family of faults strikes in the runs."""
    if family in (Family.CENTRES, Family.RETURNS):
        return not arguments["--plain"]
    return arguments[f"--{family.value}"]


def main(argv=None):
    """Run the seeds; return the exit code."""
    arguments = docopt(__doc__, argv)
    if arguments["--only"]:
        seeds = [int(arguments["--only"])]
    else:
        fresh = random.SystemRandom()
        seeds = [fresh.randrange(1 << 30) for _ in range(int(arguments["--seeds"]))]
    families = [family for family in Family if asked_for(arguments, family)]
    failed = 0
    for seed in seeds:
        verdict = run_seed(
            seed,
            int(arguments["--entries"]),
            float(arguments["--seconds"]),
            arguments["--keep"],
            families=families,
        )
        print(json.dumps(dataclasses.asdict(verdict)), flush=True)
        failed += bool(verdict.broken)
    print(f"{len(seeds) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
