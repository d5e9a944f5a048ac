"""What an entry loses by knowing only a part of the servers and their load.

Usage:
  bench.subset [options]

Options:
  --seconds S    How long each size counts [default: 8].
  --result NAME  The result's name [default: subset].

Sixteen engine stand-ins, four entries. Each entry has a platform stand-in of its own,
which names a sample of the servers that differs from entry to entry; what the others
send to a server an entry sees only in its own calls. Requests come at random, at three
quarters of what the servers can do together.
"""

import http.client
import random
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from docopt import docopt

from bench.deployment import BenchFleet, bench_document, caller_headers
from bench.usage import quantile, write_result
from tests.standins.fleet import ADDRESS, fetch, free_ports, wait_until

SERVERS = 16
ENTRIES = 4
SLOTS = 2
SERVICE_MS = 150.0
USED = 0.75
SIZES = (2, 4, 8, 16)
DEADLINE_MS = 600
THREADS = 160
BODY = '{"input":"x"}'
PIPELINE = {
    "name": "one",
    "deadline_ms": DEADLINE_MS,
    "stages": [{"name": "write", "service": "engine", "model": "model"}],
}
SETTINGS = "[stop]\nlinger_seconds = 1.0\nlimit_seconds = 5.0\n"


class SplitFleet(BenchFleet):
    """A fleet whose entries read a platform of their own each."""

    def _entry_settings(self, name, data_centre, port, peer_port):
        text = super()._entry_settings(name, data_centre, port, peer_port)
        shared = f'instances = "{ADDRESS}:{self.platform.port}"'
        own = self._process(
            f"list-{name}",
            free_ports(1)[0],
            lambda p: ["-m", "tests.standins.platform", ADDRESS, str(p)],
        )
        self.lists = {**getattr(self, "lists", {}), name: own}
        return text.replace(shared, f'instances = "{ADDRESS}:{own.port}"')

    def __enter__(self):
        """Start the lists, then everything else."""
        for own in self.lists.values():
            own.start()
            self.wait_for_port(own)
        self.name_servers(SERVERS, random.Random(0))
        return super().__enter__()

    def __exit__(self, *_):
        """End everything."""
        super().__exit__()
        for own in self.lists.values():
            own.kill()

    def name_servers(self, size, rng):
        """Have each entry's list name a sample of the servers."""
        for own in self.lists.values():
            names = rng.sample(sorted(self.servers), size)
            listed = [
                {
                    "name": n,
                    "address": ADDRESS,
                    "port": self.servers[n].port,
                    **self.servers[n].extra,
                }
                for n in names
            ]
            body = {"path": "/v1/instances", "value": {"instances": listed}}
            fetch(own.port, "/standin/publish", body)

    def wait_for_size(self, size):
        """Wait until every entry knows just so many servers."""
        for name in self.entries:
            wait_until(lambda name=name: len(self.status(name)["servers"]) == size)


def one_call(address):
    """Make one call; return its status and seconds."""
    began = time.monotonic()
    connection = http.client.HTTPConnection(*address, timeout=10)
    try:
        connection.request("POST", "/v1/pipelines/one", BODY, caller_headers(False))
        response = connection.getresponse()
        response.read()
        return response.status, time.monotonic() - began
    except (OSError, http.client.HTTPException):
        return 0, time.monotonic() - began
    finally:
        connection.close()


def run_size(fleet, size, seconds, rng):
    """Return what callers see where each entry knows a number of servers."""
    fleet.name_servers(size, rng)
    fleet.wait_for_size(size)
    rate = SERVERS * SLOTS / (SERVICE_MS / 1000) * USED
    addresses = [fleet.address(name) for name in fleet.entries]
    futures = []
    due = time.monotonic()
    with ThreadPoolExecutor(THREADS) as pool:
        for _ in range(int(rate * seconds)):
            due += rng.expovariate(rate)
            time.sleep(max(0.0, due - time.monotonic()))
            futures.append(pool.submit(one_call, rng.choice(addresses)))
    replies = [future.result() for future in futures]
    times = [s * 1e3 for status, s in replies if status == http.HTTPStatus.OK]
    in_time = sum(t <= DEADLINE_MS for t in times)
    return {
        "known_servers": size,
        "requests": len(replies),
        "attainment": round(in_time / len(replies), 4),
        "p50_ms": round(quantile(times, 0.5), 1),
        "p95_ms": round(quantile(times, 0.95), 1),
        "statuses": dict(Counter(status for status, _ in replies)),
    }


def main(argv=None):
    """Run the measurement and write its result."""
    arguments = docopt(__doc__, argv)
    servers = [(f"engine-{i}", "engine", "engine", "here") for i in range(SERVERS)]
    backend = {"slots": SLOTS, "service_ms": SERVICE_MS, "token_ms": 0.0, "tokens": 1}
    fleet = SplitFleet(
        bench_document([PIPELINE]),
        servers,
        entries=ENTRIES,
        settings=SETTINGS,
        backend=backend,
    )
    rng = random.Random(7)
    with fleet:
        run_size(fleet, SERVERS, 2.0, rng)
        # There and back, so that a drift of the machine's load makes no difference.
        sizes = (*SIZES, *reversed(SIZES))
        runs = [
            run_size(fleet, k, float(arguments["--seconds"]) / 2, rng) for k in sizes
        ]
    write_result(
        arguments["--result"],
        {
            "command": "python -m bench.subset",
            "servers": SERVERS,
            "entries": ENTRIES,
            "used_share": USED,
            "deadline_ms": DEADLINE_MS,
            "runs": runs,
        },
    )


if __name__ == "__main__":
    main()
