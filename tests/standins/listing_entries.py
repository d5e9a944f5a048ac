"""Entries that follow one store with a set clock, without threads of their own.

Each is built as the daemon builds it. A test has it ask the store, and take what
another one relays.
"""

import json
from pathlib import Path

from boragestream.base.route_settings import (
    EntryAddresses,
    EntryPlace,
    PeerSeeds,
    RetrySettings,
    RouteSettings,
    RouteStopSettings,
    StoreSettings,
)
from boragestream.daemon.route_assembly import make_route_parts
from boragestream.daemon.settings_in_force import SettingsInForce
from boragestream.entry.published_relay import PublishedRelay
from boragestream.policy.publication import AnswerStatus
from boragestream.policy.stream_origins import stream_key

SERVICE = "engine"
KEY = "a-key-of-16-bytes"
LEAVING_MS = 2000
ANSWER_SECONDS = 1.0


def server_value(version, state="ready"):
    """Return the published value of a server."""
    fields = {
        "service": SERVICE,
        "addr": "10.9.0.1:80",
        "zone": "hall-a",
        "version": version,
        "slots": 6,
        "state": state,
        "cold_left_ms": 0,
        "seq": 1,
    }
    return json.dumps(fields).encode()


def write_servers(store, text):
    """Publish "a=v1" (a server of a version) or "a-" (a removal), in turn."""
    for word in text.split():
        key, _, version = word.rstrip("-").partition("=")
        removed = word.endswith("-")
        store.put(f"servers/{key}", None if removed else server_value(version))


class DirectLinks:
    """Links that call another entry's handler."""

    def __init__(self, entries):
        """Take the entries by address."""
        self.entries = entries

    def ask(self, address, message, seconds):
        """Return the answer of the entry at an address."""
        return self.entries[address].relay.answer(None, message)


class ListingEntry:
    """One entry; nothing of it runs by itself."""

    def __init__(self, number, clock, store, entries):
        """Build it.

        :param entries: all entries by address, to which this one is added.
        """
        self.address = f"127.0.0.1:{number}"
        settings = RouteSettings(
            EntryPlace(f"entry-{number}", "hall-a"),
            EntryAddresses(*[self.address] * 4),
            PeerSeeds((), KEY),
            StoreSettings(store.address, leaving_ms=LEAVING_MS, draining_ms=5000),
            RetrySettings(0.2, 10.0, 500.0),
            RouteStopSettings(4.0),
        )
        self.parts = make_route_parts(SettingsInForce(Path(), settings), clock)
        self.clock = clock
        followed = self.parts.publications
        self.publications = (followed.operators, followed.servers)
        self.relay = PublishedRelay(
            followed.following,
            followed.confirming,
            followed.servers.table,
            followed.operators.table,
            lambda: self.parts.routes.current,
            followed.servers.take_relayed,
            followed.operators.take_relayed,
            DirectLinks(entries),
            lambda peer: peer,
            lambda work: work(),
            clock,
        )
        # The services whose records were sent to their holders.
        self.sent = []
        self.parts.streams.records.note_several = self.sent.extend
        entries[self.address] = self

    def ask(self):
        """Ask the store as an entry does: watch, and read where that is no use."""
        for publication in self.publications:
            revision = publication.table.revision
            if revision is not None and self.accept(publication, revision):
                continue
            publication._accept(publication.store.read(publication.prefix))

    def accept(self, publication, revision):
        """Take the changes since a revision; return whether they were of use."""
        sent_position = publication.table.position
        answer = publication.store.watch(
            publication.prefix, revision, 0.0, ANSWER_SECONDS
        )
        status = publication._classify(answer, sent_position)
        if status is AnswerStatus.UNCONNECTED:
            return False
        publication._accept(answer)
        return True

    def hear(self, other):
        """Take what another entry offers, and request what is missing here."""
        self.relay.take(other.address, other.relay.offer(65536))

    def find(self, name="r-1"):
        """Return where a stream goes on that no entry has recorded."""
        key = stream_key("account", name)
        return self.parts.streams.records.find(key, (SERVICE,))

    @property
    def history(self):
        """The versions that it has listed."""
        return self.parts.streams.history
