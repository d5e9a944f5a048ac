"""Steps on the estimates by which an entry schedules requests, without a process."""

import random
from types import SimpleNamespace

from behave import given, then, when

from boragestream.base.events import Event
from boragestream.daemon.publication import Publication
from boragestream.document.calls import PromptPart, StageResult
from boragestream.policy.confirming import ConfirmationSchedule
from boragestream.policy.connection_shares import idle_connections
from boragestream.policy.engine_delays import EngineDelays
from boragestream.policy.publication import Change, Changes, Snapshot
from boragestream.policy.published_table import PublishedTable
from boragestream.policy.server_choice import (
    results_data_centre,
    shared_tokens,
    stage_data_centre,
)
from boragestream.policy.watching import StoreCallSchedule
from boragestream.serving.forwarded_run import outcome_of
from boragestream.serving.owner_links import milliseconds
from boragestream.serving.piece_failures import StageSaturated
from tests.standins.clock import SetClock


@then(
    "{entries:d} entries keep {most:d} idle connections each to a server that takes "
    "{limit:d}"
)
def step(context, entries, most, limit):
    assert idle_connections(limit, entries) == most


@then(
    "results of {size:g} MB and a prompt that shares {tokens:d} tokens run near "
    '"{near}"'
)
def step(context, size, tokens, near):
    results = [StageResult("handle", "here", size * 1e6)]
    prompt = (PromptPart("a", tokens), PromptPart("own", 500))
    assert shared_tokens(prompt) == tokens
    assert (results_data_centre(results, tokens) or "none") == near


@given(
    "engines that took {one:g} s and {two:g} s in turn for {count:d} calls of a route"
)
def step(context, one, two, count):
    context.engine_delays = EngineDelays()
    for number in range(count):
        context.engine_delays.note("route", (one, two)[number % 2])


@then(
    "{kept:g} s are kept back for that route, and {usual:g} s for one that is not known"
)
def step(context, kept, usual):
    found = context.engine_delays.reserve_seconds("route")
    assert abs(found - kept) < 0.02, found
    assert context.engine_delays.reserve_seconds("another") == usual


@when("one call takes {seconds:g} s")
def step(context, seconds):
    context.engine_delays.note("route", seconds)


@then("{kept:g} s are kept back for that route at the most")
def step(context, kept):
    assert context.engine_delays.reserve_seconds("route") == kept


@then('{count:d} pieces of {size:g} MB that read "{read}" are made in "{place}"')
def step(context, count, size, read, place):
    read_mb = 0.0 if read == "nothing" else float(read)
    results = [StageResult("handle", "there", read_mb * 1e6)] if read_mb else []
    found = stage_data_centre(results, count, size * 1e6, "home")
    assert (found or "any") == place, found


class ChangingStore:
    """A store that answers each call after a given delay, mostly with a change."""

    def __init__(self, clock, seconds):
        """Set the delay of each answer; below 0 for one without a change."""
        self.clock = clock
        self.left = list(seconds)

    def read(self, prefix):
        """Answer the first call."""
        self.clock.seconds += self.left.pop(0)
        return Snapshot(1, {})

    def watch(self, prefix, revision, seconds, answer_seconds):
        """Answer a long poll."""
        answer = self.left.pop(0)
        self.clock.seconds += abs(answer)
        if answer < 0:
            return Changes(revision, ())
        return Changes(revision + 1, (Change("servers/a", revision + 1, b"x"),))


class RecordingStopEvent:
    """A stop event that records waits, and is set after the store's last answer."""

    def __init__(self, store):
        """Start without recorded waits."""
        self.store, self.waits = store, []

    def is_set(self):
        """Return whether the store has no answers left."""
        return not self.store.left

    def wait(self, seconds):
        """Record a wait."""
        self.waits.append(seconds)


@given('a store that answers after "{seconds}" seconds, each with a change')
@given('a store that answers after "{seconds}" seconds, below 0 without a change')
def step(context, seconds):
    context.answers = [float(s) for s in seconds.split()]


def follow(context, gap):
    """Follow the store with a gap; return the waits."""
    clock = SetClock()
    store = ChangingStore(clock, context.answers)
    stopping = RecordingStopEvent(store)
    following = StoreCallSchedule(
        clock, random.Random(1), {"servers/": True}, 1.0, lambda: True, lambda: 1
    )
    # Long after the start, when this entry knows that it is a watcher.
    clock.seconds += 60
    Publication(
        store=store,
        prefix="servers/",
        watch_seconds=10.0,
        table=PublishedTable(clock.now),
        following=following,
        confirming=ConfirmationSchedule(
            clock, random.Random(1), ["servers/"], 1.0, lambda: True
        ),
        take=lambda values: None,
        on_change=lambda: None,
        before_answer=lambda: None,
        unreachable=Event.INSTANCES_UNREACHABLE,
        stopping=stopping,
        clock=clock,
        gap_seconds=gap,
    ).run()
    return stopping.waits


@then('an entry that follows it with a gap of {gap:g} s waits "{waits}"')
def step(context, gap, waits):
    assert follow(context, gap) == [float(wait) for wait in waits.split()]


@then("one that follows it without a gap never waits")
def step(context):
    assert not any(follow(context, 0.0))


@then("one refused with an expected wait of {wait:g} s comes back after {after:g} s")
def step(context, wait, after):
    run = SimpleNamespace(sent=SimpleNamespace(may_have_run=False))
    refused = outcome_of(run, StageSaturated("service", milliseconds(wait)))
    assert refused.retry_after == after
