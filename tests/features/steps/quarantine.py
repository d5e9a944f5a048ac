"""Steps on requests that crash servers and on the exchange of crash records."""

from types import SimpleNamespace

from behave import given, then, when

from boragestream.daemon.peers import make_quarantine
from boragestream.policy.fingerprints import fingerprint
from boragestream.policy.peers import EntryTable, ListedEntry
from boragestream.policy.quarantine import (
    CRASHES_TO_QUARANTINE,
    CrashRecord,
    Quarantine,
)
from boragestream.serving.request_guard import RequestGuard
from tests.standins.clock import SetClock
from tests.standins.quarantines import CrashCrowd

# The time from the start of a request to the crash of its server.
CRASH_SECONDS = 0.1


def record_crash(quarantine, name):
    """Record that a server crashes under a request that is sent now."""
    quarantine.note_crash(quarantine.record_for(fingerprint(name)))


@given("an entry that knows of no crash")
def step(context):
    context.clock = SetClock()
    context.quarantine = Quarantine("entry", lambda: ["entry"], context.clock)


@when('a server crashes under the request "{name}"')
def step(context, name):
    record_crash(context.quarantine, name)


@when('{count:d} servers that run the request "{name}" at the same time crash')
def step(context, count, name):
    sent_with = [context.quarantine.record_for(fingerprint(name)) for _ in range(count)]
    for known in sent_with:
        context.quarantine.note_crash(known)


@when('a server answers the request "{name}"')
def step(context, name):
    context.quarantine.note_answered(fingerprint(name))


@when(
    'the request "{name}" is sent to two servers, '
    "one answers and then the other crashes"
)
def step(context, name):
    sent_with = context.quarantine.record_for(fingerprint(name))
    context.quarantine.note_answered(fingerprint(name))
    context.quarantine.note_crash(sent_with)


@then('{count:d} crash in a row is known of the request "{name}"')
def step(context, count, name):
    assert context.quarantine.record_for(fingerprint(name)).crashes == count


@when("{count:d} other requests are each cut by a crash")
def step(context, count):
    for number in range(count):
        record_crash(context.quarantine, f"other {number}")


@then("no more than {most:d} requests are kept")
def step(context, most):
    kept = context.quarantine.next_offers(10 * most)
    assert len(kept) <= most, len(kept)


@when("{seconds:d} seconds of its quarantine pass")
@when("the process is suspended for {seconds:d} seconds")
def step(context, seconds):
    context.clock.seconds += seconds


@then('the request "{name}" may be sent')
def step(context, name):
    for _ in range(3):
        assert context.quarantine.admit(fingerprint(name)) is None


@then('the request "{name}" may not be sent')
def step(context, name):
    refused = context.quarantine.admit(fingerprint(name))
    assert refused is not None and refused.left_seconds > 0


@then('the copy of the request "{name}" that was cut may be sent')
def step(context, name):
    assert context.quarantine.admit(fingerprint(name), was_cut=True) is None


@then('the copy of the request "{name}" that was cut may not be sent')
def step(context, name):
    assert context.quarantine.admit(fingerprint(name), was_cut=True) is not None


@then('the request "{name}" may be sent once')
def step(context, name):
    assert context.quarantine.admit(fingerprint(name)) is None
    assert context.quarantine.admit(fingerprint(name)) is not None


@given("{count:d} entries that serve")
def step(context, count):
    context.clock = SetClock()
    names = [f"entry {number}" for number in range(count)]
    context.tables = [Quarantine(name, lambda: names, context.clock) for name in names]


@given("{count:d} entries of which {apart:d} are cut off from the others")
def step(context, count, apart):
    context.clock = SetClock()
    names = [f"entry {number}" for number in range(count)]
    listed = [ListedEntry(name, name, name, "hall") for name in names]
    context.tables = []
    for own in names:
        entries = EntryTable(own, "1", context.clock)
        entries.apply_list(listed)
        for other in names:
            if (other in names[:apart]) is not (own in names[:apart]):
                entries.note_unreachable(other)
        exchange = SimpleNamespace(
            add_part=lambda part: None, request_round=lambda: None, submit=None
        )
        members = SimpleNamespace(entries=entries, exchange=exchange, address=None)
        quarantine, _ = make_quarantine(own, members, None, context.clock)
        context.tables.append(quarantine)


CRASHES = {"suspected": 1, "quarantined": CRASHES_TO_QUARANTINE}


@when('every entry knows that the request "{name}" is {state}')
def step(context, name, state):
    context.record = CrashRecord(fingerprint(name), crashes=CRASHES[state])
    for table in context.tables:
        assert table.merge(context.record, 0.0)


@when("one of them admits a copy in its turn")
def step(context):
    table = context.tables[0]
    context.clock.seconds += table.refusal_of(context.record.fingerprint).left_seconds
    context.guard = RequestGuard(table, None, "r-1", context.record.fingerprint)
    assert context.guard.refusal() is None


@then("the copy may be sent {early:g} s later, and may not be sent {late:g} s later")
def step(context, early, late):
    context.clock.seconds += early
    assert context.guard.check_before_send() is None
    context.clock.seconds += late - early
    refused = context.guard.check_before_send()
    assert refused is not None and refused.left_seconds > 0


@then("no two of them probe within {seconds:d} seconds")
def step(context, seconds):
    of = context.record.fingerprint
    moments = sorted(table.admit(of).left_seconds for table in context.tables)
    gaps = [b - a for a, b in zip(moments, moments[1:], strict=False)]
    assert all(gap >= seconds - 1e-6 for gap in gaps), gaps


@given("{count:d} entries that exchange crash records, by seed {seed:d}")
def step(context, count, seed):
    context.crowd = CrashCrowd(count, seed)
    context.crowd.run(1.0)


@when(
    'the request "{name}" crashes two servers at one entry, and cuts {noise:d} others'
)
def step(context, name, noise):
    crowd = context.crowd
    first = next(iter(crowd.entries.values())).quarantine
    record_crash(first, name)
    for number in range(noise):
        entry = crowd.rng.choice(list(crowd.entries.values()))
        record_crash(entry.quarantine, f"other {number}")
    crowd.run(CRASH_SECONDS)
    record_crash(first, name)


@when("the others run for {seconds:d} seconds, while {lost:d} in 100 messages are lost")
def step(context, seconds, lost):
    context.crowd.lost_share = lost / 100
    context.crowd.run(seconds)


@when("an entry starts anew, and {seconds:d} seconds pass")
def step(context, seconds):
    *_, last = context.crowd.entries
    context.crowd.start(last)
    context.crowd.run(seconds)


@when('a server answers the request "{name}" at one entry')
def step(context, name):
    first = next(iter(context.crowd.entries.values())).quarantine
    first.note_answered(fingerprint(name))


@then('every entry would send the request "{name}" at once')
def step(context, name):
    of = fingerprint(name)
    tables = [entry.quarantine for entry in context.crowd.entries.values()]
    held = sum(table.admit(of) is not None for table in tables)
    assert not held, f"{held} of {len(tables)} would not send it"


@then('no entry would send the request "{name}"')
def step(context, name):
    of = fingerprint(name)
    tables = [entry.quarantine for entry in context.crowd.entries.values()]
    unaware = sum(table.admit(of) is None for table in tables)
    assert not unaware, f"{unaware} of {len(tables)} would send it"


@when(
    'the request "{name}" comes every {gap:g} seconds, at a random entry, '
    "for {seconds:d} seconds"
)
def step(context, name, gap, seconds):
    crowd, of = context.crowd, fingerprint(name)
    context.crashed = 0

    def cut(table, sent_with):
        context.crashed += 1
        table.note_crash(sent_with)

    for _ in range(int(seconds / gap)):
        table = crowd.rng.choice(list(crowd.entries.values())).quarantine
        if table.admit(of) is None:
            sent_with = table.record_for(of)
            crowd.after(CRASH_SECONDS, lambda t=table, s=sent_with: cut(t, s))
        crowd.run(gap)


@when('{copies:d} of them hold a copy of the request "{name}" that crashes servers')
def step(context, copies, name):
    crowd, of = context.crowd, fingerprint(name)
    context.crashed = 0
    holders = crowd.rng.sample(list(crowd.entries.values()), copies)

    def send(table, was_cut):
        if table.admit(of, was_cut) is None:
            sent_with = table.record_for(of)
            crowd.after(CRASH_SECONDS, lambda: cut(table, sent_with))

    def cut(table, sent_with):
        context.crashed += 1
        table.note_crash(sent_with)
        send(table, was_cut=True)

    send(holders[0].quarantine, was_cut=False)
    crowd.run(CRASH_SECONDS * 3)
    # Copies whose stages have ended are sent at the same time, and their callers send
    # them again until one is refused for good.
    for _ in range(20):
        for holder in holders:
            send(holder.quarantine, was_cut=False)
        crowd.run(0.5)


@then("it crashed {most:d} servers at the most")
def step(context, most):
    assert 1 <= context.crashed <= most, context.crashed
