"""Steps on the repair of address books where there are several regions."""

import random

from behave import given, then, when

from boragestream.entry.address_sync import AddressSync
from boragestream.entry.addresses import AddressBook
from boragestream.entry.knowledge_messages import AddressesReply
from boragestream.entry.peers import EntryPeers
from boragestream.policy.peers import ListedEntry
from tests.standins.clock import SetClock
from tests.standins.region_links import REGIONS, make_links


class RecordingLinks:
    """Records whom requests go to.

    :ivar answering: the region whose entries agree with each book; empty for none.
    """

    def __init__(self):
        """Start without requests."""
        self.asked = []
        self.answering = ""

    def ask(self, address, message, seconds):
        """Record a request; return an answer if the entry gives one."""
        self.asked.append(address)
        if self.answering and address.startswith(f"{self.answering}-"):
            return AddressesReply()
        return None

    def forget(self, address):
        """Do nothing."""


def start_sync(context, centres):
    """Build an entry's address book and its synchronisation with others."""
    clock, rng = context.clock, random.Random(6)
    context.requests = RecordingLinks()
    context.members = members = EntryPeers(
        "own",
        "1",
        "hall-a",
        context.requests,
        lambda server: None,
        clock,
        rng,
        make_links(clock, []),
    )
    own = ListedEntry("own", "host", "own", "hall-a")
    book = AddressBook(own, rng, members.set_listed_entries)
    for n in range(30):
        centre = centres[n % len(centres)]
        record = AddressBook(
            ListedEntry(f"{REGIONS[centre]}-{n}", "host", "", centre),
            rng,
            lambda e: None,
        )
        book.take("peer", record.encoded_own_record())
    context.sync_book = book
    context.sync = AddressSync(
        book,
        context.requests,
        lambda task: task(),
        clock,
        rng,
        members.of_own_region,
    )


@given('an entry of "valley" that knows addresses of both regions')
def step(context):
    context.clock = SetClock()
    start_sync(context, ["hall-a", "pier-a"])


@when('it knows addresses of "coast" only')
def step(context):
    start_sync(context, ["pier-a"])


@when("it requests whole address books until they agree")
def step(context):
    for _ in range(40):
        context.clock.seconds += 1.0
        context.sync.request_until_agreed()


@then('it requests them from entries of "{region}" only')
def step(context, region):
    regions = {address.partition("-")[0] for address in context.requests.asked}
    assert regions == {region}, regions


@given('the other entries of "{region}" have been lost')
def step(context, region):
    entries = context.members.entries
    context.requests.answering = "coast"
    for address in context.sync_book.other_addresses():
        if address.startswith(f"{region}-"):
            entries.note_unreachable(address)


@then('it has agreed with entries of "{region}"')
def step(context, region):
    assert context.sync.has_converged, context.requests.asked
    regions = {address.partition("-")[0] for address in context.requests.asked}
    assert region in regions, regions
