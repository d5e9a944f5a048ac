"""Two of three entries lose power right after a configuration was acknowledged.

Exits with 1 if the third one goes on with the old configuration for longer than the
bound, 0 if not, 2 if it can't run.
"""

import signal
import sys
import time
from pathlib import Path

from boragestream.policy.watchers import select_watchers
from review.harness.small_site import (
    CONFIG_SECONDS,
    KEY,
    LEFT_KEY,
    Record,
    SmallSite,
    configuration_text,
    run_case,
    troubled,
)

# Each trial is a deployment of its own, since the order of events decides. In seconds
# after the acknowledgement: when a further server is listed, and when the power goes.
# How fast a machine decodes a configuration decides which of them strike.
TRIALS = [
    (0.045, 0.095),
    (0.045, 0.095),
    (0.03, 0.07),
    (0.08, 0.16),
    (0.045, 0.095),
    (0.02, 0.05),
    (0.06, 0.12),
    (0.1, 0.2),
    (0.045, 0.095),
    (0.14, 0.28),
    (0.19, 0.38),
    (0.045, 0.095),
]
CALM_TRIALS = TRIALS[:4]
# The published configuration has about a megabyte, see claim.txt.
GROWN_ROUTES = 4_800
CALM_SECONDS = 3.2
# The machines stay dark until the end of the trial.
TRIAL_SECONDS = 3.05
PAUSE_SECONDS = 0.1


def run(record):
    """Play trials; return how many requests ran as only the old version allows."""
    texts = (
        configuration_text(2, (KEY, LEFT_KEY), GROWN_ROUTES),
        configuration_text(3, (KEY,), GROWN_ROUTES),
    )
    record.write(f"version 2: {len(texts[0])} bytes, version 3: {len(texts[1])} bytes")
    for times in TRIALS if troubled() else CALM_TRIALS:
        site = SmallSite(["hall-a"] * 3)
        try:
            stale = play(site, record, times, *texts)
        finally:
            site.close()
        if stale:
            return stale
    return []


def play(site, record, times, before, after):
    """Play one trial; return the requests that ran with the key taken away."""
    listed_after, power_off_after = times
    record.write(f"a trial with the power off after {power_off_after} s")
    site.publish_text(before)
    site.start()
    site.wait_for_key(LEFT_KEY)
    time.sleep(CALM_SECONDS)
    lost = entries_that_watch(site)
    left = next(name for name in site.entries if name not in lost)
    acknowledged = site.publish_text(after)
    sleep_until(acknowledged + listed_after)
    site.add_server("plain")
    sleep_until(acknowledged + power_off_after)
    if troubled():
        for name in lost:
            site.signal(name, signal.SIGKILL)
        record.write(f"{lost} lost power; {left} is left, ready: {site.ready(left)}")
    stale = []
    while time.monotonic() < acknowledged + TRIAL_SECONDS:
        sent = time.monotonic() - acknowledged
        answer = site.statuses(LEFT_KEY, [left])[left]
        ran = site.runs(answer.request_id)
        record.write(
            f"{answer.request_id} with the left key to {left}, sent {sent:.2f} s after "
            f"the acknowledgement: {answer.status}, ran {ran} times"
        )
        if sent > CONFIG_SECONDS and answer.status == 200 and ran:
            stale.append(answer.request_id)
        time.sleep(PAUSE_SECONDS)
    return stale


def entries_that_watch(site):
    """Return the entries that ask the store for all; the third hears from them."""
    names = {site.fields[name]["listen"]["control"]: name for name in site.entries}
    return [names[address] for address in select_watchers(names)]


def sleep_until(moment):
    """Wait until a moment of the monotonic clock."""
    time.sleep(max(0.0, moment - time.monotonic()))


def main():
    """Run the case; return the exit code."""
    return run_case(Record(Path(__file__).parent), run)


if __name__ == "__main__":
    sys.exit(main())
