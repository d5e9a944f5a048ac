"""Measures what the quarantine of requests costs an entry; prints one line of JSON.

The fingerprint of each request by the size of its body, and one offer of the exchange
by the number of records: none, those of a day, and a full table.
"""

import json
import time
from types import SimpleNamespace

from boragestream.base.clock import SystemClock
from boragestream.entry.quarantine import QuarantinePart
from boragestream.policy.fingerprints import fingerprint
from boragestream.policy.quarantine import MAX_RECORDS, CrashRecord, Quarantine

ROUNDS = 2000
ROOM = 250
ENTRIES = [f"10.0.{n // 250}.{n % 250}:8741" for n in range(370)]


def micros(work, rounds):
    """Return the microseconds of one call."""
    began = time.perf_counter()
    for _ in range(rounds):
        work()
    return round((time.perf_counter() - began) / rounds * 1e6, 2)


def offer_micros(records, lasting):
    """Return the microseconds and bytes of an offer."""
    table = Quarantine(ENTRIES[0], lambda: ENTRIES, SystemClock())
    links = SimpleNamespace(ask=None)
    part = QuarantinePart(table, links, lambda name: None, lambda work: None)
    for number in range(records):
        crashes = 2 if number < lasting else 1
        table.merge(CrashRecord(number.to_bytes(8, "big"), crashes=crashes), 0.0)
    size = len(part.offer(ROOM))
    return {"us": micros(lambda: part.offer(ROOM), 100), "bytes": size}


def admit_micros():
    """Return the microseconds to decide about a quarantined request."""
    table = Quarantine(ENTRIES[0], lambda: ENTRIES, SystemClock())
    table.merge(CrashRecord(bytes(8), crashes=2), 0.0)
    return micros(lambda: table.admit(bytes(8)), ROUNDS)


def main():
    """Measure and print."""
    sizes = (0, 1_000, 20_000, 200_000)
    bodies = {size: bytes(size) for size in sizes}
    result = {
        "fingerprint_us": {
            size: micros(lambda b=body: fingerprint("account", "POST", "/", b), ROUNDS)
            for size, body in bodies.items()
        },
        "offer_empty": offer_micros(0, 0),
        "offer_100": offer_micros(100, 4),
        "offer_full": offer_micros(MAX_RECORDS, 40),
        "admit_quarantined_us": admit_micros(),
    }
    print(json.dumps(result))


if __name__ == "__main__":
    main()
