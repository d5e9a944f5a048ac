"""Steps on entries that reach no server in the home regions of their requests."""

import contextlib
import time
from dataclasses import dataclass

from behave import then, when

from tests.features.steps.drained_entries import method
from tests.features.steps.stream_versions import (
    LONG_PAUSE_SECONDS,
    read_later,
    slowed_site,
)
from tests.standins.fleet import wait_until
from tests.standins.route_site import REGIONS, STAGED
from tests.standins.stream_caller import read_stream

HOME, AWAY = "valley", "hills"
CUT_SECONDS = 6.0
# A cut is judged from this long after it began.
SETTLED_SECONDS = 3.0
GAP_SECONDS = 0.1
# An entry has written what it logged within this time.
LOGGED_SECONDS = 1.0
AT_ONCE = 3
OK, REFUSED = 200, 503
SERVED_SHARE = 0.9
STREAMS = 6
# The most attempts of a caller at one stream.
MOST_TRIES = 20
MANY_CALLS = 20


@dataclass(frozen=True)
class Call:
    """One call at the entry.

    :ivar status: 0 for a connection without an answer.
    :ivar after: the seconds from the beginning of the cut to the call.
    """

    request_id: str
    status: int
    whole: bool
    retry_after: str | None
    after: float


def call(site, entry, path, cut_at=0.0):
    """Call an entry once."""
    more = STAGED if path.startswith("/staged") else {}
    request_id = f"h-{next(site.numbers)}"
    status, whole, retry_after = 0, False, None
    after = time.monotonic() - cut_at
    with contextlib.suppress(OSError):
        answer = site.call(
            path, *method(path), entry=entry, request_id=request_id, **more
        )
        status, whole = answer.status, answer.whole
        retry_after = answer.headers.get("Retry-After")
    return Call(request_id, status, whole, retry_after, after)


def entries_in(site, region):
    """Return the names of the entries in a region."""
    return [n for n in site.entries if REGIONS[site.fields[n]["zone"]] == region]


def home_servers(site):
    """Return the servers in the home region."""
    return [server for server in site.servers if REGIONS[server.zone] == HOME]


def run_cut(context, cut, how, path, servers=None):
    """Cut entries off, from all servers by default; keep what the first one answers."""
    site = context.site
    context.called = entry = cut[0]
    # Kept connections and measured times are there before the cut.
    call(site, entry, path)
    cut_at = time.monotonic()
    site.cut_off(cut, how, servers)
    context.calls = []
    try:
        while time.monotonic() < cut_at + CUT_SECONDS:
            context.calls += site.at_once(
                AT_ONCE, lambda _: call(site, entry, path, cut_at)
            )
            time.sleep(GAP_SECONDS)
    finally:
        site.heal()


@when(
    'an entry in "{region}" is cut off from all servers, {how}, '
    'and "{path}" is called there'
)
def step(context, region, how, path):
    run_cut(context, entries_in(context.site, region)[:1], how, path)


@when(
    'all entries in "valley" are cut off from all servers, {how}, '
    'and "{path}" is called there'
)
def step(context, how, path):
    run_cut(context, entries_in(context.site, HOME), how, path)


@when(
    'all entries in "valley" are cut off from the servers there, {how}, '
    'and "{path}" is called there'
)
def step(context, how, path):
    site = context.site
    run_cut(context, entries_in(site, HOME), how, path, home_servers(site))


@when(
    'an entry in "{region}" is cut off from all servers amid streams '
    "that are taken up there"
)
def step(context, region):
    site, entry = slowed_site(context), entries_in(context.site, region)[0]
    threads, context.tries = read_later(site, STREAMS, entry, "/chat/ok")
    time.sleep(LONG_PAUSE_SECONDS)
    site.cut_off([entry], "refused")
    try:
        for thread in threads:
            thread.join()
        for tries in context.tries:
            while not tries.whole and len(tries.statuses) < MOST_TRIES:
                time.sleep(GAP_SECONDS)
                read_stream(site, tries, entry, "/chat/ok")
    finally:
        site.heal()


@when('all entries in "valley" are cut off from all servers, {how}')
def step(context, how):
    site = context.site
    site.cut_off(entries_in(site, HOME), how)
    context.called = entries_in(site, HOME)[0]


def taken_over(context, region):
    """Return the requests that other entries sent to the entries in a region."""
    # The log is written in intervals.
    time.sleep(LOGGED_SECONDS)
    site = context.site
    return {
        event["request"]
        for entry in entries_in(site, region)
        for event in site.events(entry, "request_taken_over")
    }


@then('"{path}" is soon served there by an entry in "hills"')
def step(context, path):
    def served():
        return call(context.site, context.called, path).status == OK

    wait_until(served, what="served by another entry")
    before = taken_over(context, AWAY)
    assert served()
    assert taken_over(context, AWAY) > before


@then('"{path}" is refused there, and no entry in "hills" is sent it')
def step(context, path):
    before = taken_over(context, AWAY)
    site, entry = context.site, context.called
    calls = [call(site, entry, path) for _ in range(MANY_CALLS)]
    assert taken_over(context, AWAY) == before
    for each in calls:
        check_refused(context, each)


def settled(context):
    """Return the calls that were made after the cut had lasted for a while."""
    calls = [call for call in context.calls if call.after >= SETTLED_SECONDS]
    assert calls, context.calls
    return calls


def check_refused(context, refused):
    """Check that a call was refused, and that nothing of it ran."""
    assert refused.status == REFUSED and refused.retry_after is not None, refused
    site = context.site
    assert not sum(server.runs[refused.request_id] for server in site.servers)
    assert not [p for p in site.piece_counts() if p[0] == refused.request_id], refused


@then('no entry in "hills" was sent a request')
def step(context):
    sent = taken_over(context, AWAY)
    assert not sent, f"{len(sent)}: {sorted(sent)[:5]}"


@then('entries in "valley" were sent some of them')
def step(context):
    assert taken_over(context, HOME)


@then("those called 3 s after the cut began were served")
def step(context):
    calls = settled(context)
    served = [c for c in calls if c.status == OK and c.whole]
    assert len(served) >= SERVED_SHARE * len(calls), (len(served), calls[:5])


@then("those called 3 s after the cut began were refused as not run")
def step(context):
    for each in settled(context):
        check_refused(context, each)


@then("no attempt was made for those called 3 s after the cut began")
def step(context):
    called = {call.request_id for call in settled(context)}
    time.sleep(LOGGED_SECONDS)
    events = context.site.events(context.called, "server_chosen")
    tried = called & {event["request"] for event in events}
    assert not tried, (len(tried), len(called))


@then("the streams are whole")
def step(context):
    assert all(tries.whole for tries in context.tries), context.tries
