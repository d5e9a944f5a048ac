"""How long six entries need until all of them know something.

Usage:
  bench.spread [options]

Options:
  --repeats N     How often each thing is told [default: 4].
  --result NAME   The result's name [default: spread].

Whole deployments of the cooperative's size: a published configuration, with all six
entries watching the service and with two of them; the same after a partition heals; a
backend server that says to one entry that it is leaving; an entry that is told to
stop; one that is frozen. Times are in milliseconds and end when the last entry's status
page says so; the pages are read in turn, so that they are upper bounds.
"""

import contextlib
import copy
import signal
import statistics
import time

from docopt import docopt

from bench.usage import write_result
from boragestream.operator.client import Client
from tests.standins.fleet import ADDRESS, Fleet, fetch, wait_until
from tests.standins.partition import PartitionedNetwork
from tests.standins.sites import example_document, example_key, example_servers

SITE = "cooperative"
SETTINGS = "[stop]\nlinger_seconds = 3.0\n"
LIMIT_SECONDS = 40
DOCUMENT = "/v1/document"
SIDES = (("entry-1", "entry-2", "entry-3"), ("entry-4", "entry-5", "entry-6"))


class Deployment:
    """A fleet whose published version is known."""

    def __init__(self, fleet, network):
        """Take the fleet and the network between its entries."""
        self.fleet = fleet
        self.network = network
        self.version = 1

    def publish(self):
        """Publish the next version."""
        self.version += 1
        document = copy.deepcopy(self.fleet.document)
        document["version"] = self.version
        self.fleet.publish(document)

    def in_force(self, names=None):
        """Return whether entries have the newest version."""
        names = names or self.fleet.entries
        return all(self.fleet.status(n)["version"] == self.version for n in names)

    def peer_state(self, asked, name):
        """Return what one entry believes of another."""
        entries = self.fleet.status(asked)["entries"]
        return {e["name"]: e["state"] for e in entries}[name]

    def server_state(self, asked, name):
        """Return what an entry believes of a backend server."""
        servers = self.fleet.status(asked)["servers"]
        return {s["name"]: s["state"] for s in servers}[name]


@contextlib.contextmanager
def deployment(servers):
    """Start a deployment whose entries hear one another through relays."""
    with Fleet(example_document(SITE), servers, settings=SETTINGS) as fleet:
        ports = {n: p.extra["peer_port"] for n, p in fleet.entries.items()}
        with PartitionedNetwork(ports) as network:
            for name, port in network.ports.items():
                fleet.entries[name].extra["peer_port"] = port
            fleet.publish_instances()
            time.sleep(2)
            yield Deployment(fleet, network)


def until(condition):
    """Return the milliseconds until a condition holds."""
    began = time.monotonic()
    wait_until(condition, LIMIT_SECONDS)
    return (time.monotonic() - began) * 1000


def published(site):
    """Return the time until a published version is in force everywhere."""
    site.publish()
    return until(site.in_force)


def healed(site):
    """Return the time from a heal until all have what one side had."""
    site.network.split(*SIDES)
    site.fleet.platform_mode(down=[DOCUMENT])
    time.sleep(0.5)
    for name in SIDES[1]:
        site.fleet.entries[name].signal(signal.SIGSTOP)
    site.fleet.platform_mode(down=[])
    site.publish()
    wait_until(lambda: site.in_force(SIDES[0]), LIMIT_SECONDS)
    site.fleet.platform_mode(down=[DOCUMENT])
    for name in SIDES[1]:
        site.fleet.entries[name].signal(signal.SIGCONT)
    time.sleep(5)
    site.network.heal()
    spent = until(site.in_force)
    site.fleet.platform_mode(down=[])
    return spent


def server_left(site, number):
    """Return the time from one entry's knowledge of a leaving server to all's."""
    server = f"writer-{number % 3 + 1}"
    process = site.fleet.servers[server]
    client = Client(example_key("patan-counter"), ())
    address = f"{ADDRESS}:{site.fleet.entries['entry-1'].port}"
    fetch(process.port, "/standin/leaving", {"leaving": True})

    def refused():
        # The same input would go to the same server again.
        client.call("caption", f"who leaves {time.monotonic()}", address=address)
        return site.server_state("entry-1", server) == "leaving"

    wait_until(refused, LIMIT_SECONDS)
    names = site.fleet.entries
    spent = until(lambda: all(site.server_state(n, server) == "leaving" for n in names))
    fetch(process.port, "/standin/leaving", {"leaving": False})
    process.extra["incarnation"] = str(number + 2)
    site.fleet.publish_instances()
    wait_until(lambda: all(site.server_state(n, server) == "live" for n in names))
    return spent


def entry_lost(site, number, how):
    """Return the time until the others know that an entry stops or is silent."""
    name = f"entry-{number % 6 + 1}"
    others = [n for n in site.fleet.entries if n != name]
    process = site.fleet.entries[name]
    process.signal(how)
    spent = until(lambda: all(site.peer_state(n, name) != "live" for n in others))
    if how == signal.SIGSTOP:
        process.signal(signal.SIGCONT)
    else:
        process.popen.wait(LIMIT_SECONDS)
        process.start()
        site.fleet.wait_for_entry(process)
    wait_until(lambda: all(site.peer_state(n, name) == "live" for n in others))
    return spent


def summary(times):
    """Return the figures of one thing."""
    return {
        "ms_median": round(statistics.median(times)),
        "ms_worst": round(max(times)),
        "times": len(times),
    }


def main(argv=None):
    """Run the measurement and write its result."""
    arguments = docopt(__doc__, argv)
    repeats = range(int(arguments["--repeats"]))
    servers = example_servers(SITE)
    result = {}
    with deployment(servers) as site:
        result["published_six_watch"] = summary([published(site) for _ in repeats])
        result["server_left"] = summary([server_left(site, i) for i in repeats])
        stops = [entry_lost(site, i, signal.SIGTERM) for i in repeats]
        result["entry_told_to_stop"] = summary(stops)
        frozen = [entry_lost(site, i, signal.SIGSTOP) for i in repeats]
        result["entry_frozen"] = summary(frozen)
        result["healed"] = summary([healed(site) for _ in list(repeats)[:3]])
    with deployment([(*s[:3], "only-hall") for s in servers]) as site:
        time.sleep(1)
        result["published_two_watch"] = summary([published(site) for _ in repeats])
    write_result(arguments["--result"], result)


if __name__ == "__main__":
    main()
