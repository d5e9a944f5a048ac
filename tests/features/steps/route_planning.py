"""Steps on what an entry reckons with when it plans a request, without a process."""

from behave import given, then, when

from boragestream.document.calls import PromptPart, StageResult
from boragestream.policy.caller_waits import CallerWaits
from boragestream.policy.connection_shares import idle_connections
from boragestream.policy.engine_delays import EngineDelays
from boragestream.policy.server_choice import near_results, shared_tokens, stage_place


@given('callers of a route that wait "{waits}" seconds')
def step(context, waits):
    context.waits = CallerWaits()
    for wait in waits.split():
        context.waits.waited("route", float(wait))


@then("one that waits {wait:g} s has waited {waited:g} s before")
def step(context, wait, waited):
    found = context.waits.waited("route", wait)
    assert abs(found - waited) < 0.01, found
    assert context.waits.waited("another route", wait) == 0.0


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
    assert (near_results(results, tokens) or "none") == near


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
    found = context.engine_delays.expected("route")
    assert abs(found - kept) < 0.02, found
    assert context.engine_delays.expected("another") == usual


@when("one call takes {seconds:g} s")
def step(context, seconds):
    context.engine_delays.note("route", seconds)


@then("{kept:g} s are kept back for that route at the most")
def step(context, kept):
    assert context.engine_delays.expected("route") == kept


@then('{count:d} pieces of {size:g} MB that read "{read}" are made in "{place}"')
def step(context, count, size, read, place):
    read_mb = 0.0 if read == "nothing" else float(read)
    results = [StageResult("handle", "there", read_mb * 1e6)] if read_mb else []
    found = stage_place(results, count, size * 1e6, "home")
    assert (found or "any") == place, found
