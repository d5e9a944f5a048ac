"""One process that takes part in the exchange between entries and serves nothing.

Usage: python -m bench.peer_node SPEC

SPEC is JSON: name, port, data_centre, listed (name, port, data centre), begin and end
(seconds of the boot clock), round_seconds, fan_out, document (a path) and publish_at
(or null). It prints what it used between begin and end, and when version 2 came into
force, as a line of JSON.
"""

import json
import random
import sys
import threading
import time
from pathlib import Path

from boragestream.base.clock import SystemClock
from boragestream.base.identifiers import new_incarnation
from boragestream.base.settings import EntrySettings
from boragestream.daemon.peers import make_peers
from boragestream.daemon.tasks import apply_document
from boragestream.entry import exchange, links
from boragestream.entry.links import LISTENER_TASKS, PeerLinks, PeerListener
from boragestream.entry.messages import Sender, open_envelope, seal
from boragestream.policy.configuration import ConfigurationInForce
from boragestream.policy.membership import Member
from boragestream.policy.peers import ListedEntry
from boragestream.policy.servers import ServerTable

ADDRESS = "127.0.0.1"
KEY = b"peer-key-of-the-bench"
WATCH_SECONDS = 0.0005


class Traffic:
    """Counts the frames of this process."""

    def __init__(self):
        self.sent = 0
        self.received = 0
        self.messages = 0

    def seal(self, sender, message):
        """Return the frame of a message that is about to be sent."""
        frame = seal(sender, message)
        self.sent += len(frame)
        self.messages += 1
        return frame

    def open(self, receiver, frame):
        """Open a frame that was received."""
        self.received += len(frame)
        return open_envelope(receiver, frame)

    def counts(self):
        """Return the counts so far."""
        return {
            "sent_bytes": self.sent,
            "received_bytes": self.received,
            "sent_messages": self.messages,
            "cpu_seconds": time.process_time(),
        }


def listed_entry(name, port, data_centre):
    """Return an entry of the list."""
    address = f"{ADDRESS}:{port}"
    return ListedEntry(name, address, address, data_centre)


def start(spec):
    """Start the exchange; return its parts."""
    exchange.FAN_OUT = spec["fan_out"]
    exchange.ROUND_SECONDS = spec["round_seconds"]
    traffic = Traffic()
    links.seal = traffic.seal
    links.open_envelope = traffic.open
    clock = SystemClock()
    who = EntrySettings(spec["name"], spec["data_centre"], "cooperative")
    sender = Sender(who.deployment, who.name, new_incarnation(), KEY)
    configuration = ConfigurationInForce(who.deployment)
    peers = make_peers(
        who,
        sender.incarnation,
        PeerLinks(sender),
        configuration,
        ServerTable(),
        clock,
        random.Random(),
    )
    listener = PeerListener(sender, f"{ADDRESS}:{spec['port']}", peers.handlers)
    for _ in range(LISTENER_TASKS):
        threading.Thread(target=listener.run, daemon=True).start()
    peers.members.set_listed_entries(listed_entry(*entry) for entry in spec["listed"])
    # Listed entries without a process are known, so that tables have their size.
    running = set(spec["running"])
    for name, _, _ in spec["listed"]:
        if name not in running:
            peers.members.entries.table.merge(Member(name, "0" * 16), spread=False)
    return peers, configuration, traffic


def main():
    """Run until the end and print what was used."""
    spec = json.loads(Path(sys.argv[1]).read_text())
    value = Path(spec["document"]).read_bytes()
    peers, configuration, traffic = start(spec)
    apply_document(value, configuration, "bench")
    threading.Thread(target=peers.members.exchange.run, daemon=True).start()
    taken_at = []
    clock = SystemClock()
    configuration.add_listener(lambda: taken_at.append(clock.now()))
    time.sleep(max(0.0, spec["begin"] - clock.now()))
    before = traffic.counts()
    if spec["publish_at"] is not None:
        time.sleep(max(0.0, spec["publish_at"] - clock.now()))
        document = json.loads(value)
        document["version"] = 2
        document["client_accounts"][0]["weight"] = 3.5
        apply_document(json.dumps(document).encode(), configuration, "bench")
    time.sleep(max(0.0, spec["end"] - clock.now()))
    after = traffic.counts()
    used = {key: after[key] - before[key] for key in after}
    result = {"name": spec["name"], "taken_at": taken_at[:1], **used}
    print(json.dumps(result), flush=True)
    # A thread that is in a question to a peer holds nothing worth waiting for.
    sys.stdout.flush()
    threading.Event().wait(0.5)


if __name__ == "__main__":
    main()
