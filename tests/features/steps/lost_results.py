"""Steps on stage servers that end with the results of stages."""

from concurrent.futures import ThreadPoolExecutor

from behave import then, when

from tests.standins.fleet import wait_until

STATUS_OK = 200
NOT_RUN = 503
# Within this time the second stage has begun.
BEGUN_SECONDS = 0.1


def call_staged(context, entry):
    """Send a request with stages of two and one pieces to an entry."""
    return context.site.call("/staged/ok", Pieces="2,1", Piece_Key="k", entry=entry)


def servers_of_first_stage(site):
    """Return the stage servers that have made pieces of a first stage."""
    return [
        server
        for server in site.of_kind("stage")
        if any(stage == 0 for _, stage, _ in list(server.pieces))
    ]


@when(
    '{count:d} requests with stages come to "{entry}", '
    "and the server of their first stage ends during the second"
)
def step(context, count, entry):
    site = context.site
    with ThreadPoolExecutor(count) as pool:
        calls = [pool.submit(call_staged, context, entry) for _ in range(count)]
        wait_until(lambda: servers_of_first_stage(site), what="a first stage")
        site.wait(BEGUN_SECONDS)
        server = servers_of_first_stage(site)[0]
        server.lose()
        site.store.put(f"servers/{server.identity}", None)
        context.answers = [call.result() for call in calls]


@when("a request with stages comes whose results are always lost")
def step(context):
    for server in context.site.of_kind("stage"):
        server.loses_results = True
    context.answers = [call_staged(context, "entry-0")]


@then("all of them are answered")
def step(context):
    statuses = [(a.request_id, a.status, a.body) for a in context.answers]
    assert all(status == STATUS_OK for _, status, _ in statuses), statuses


@then("it is refused as not run")
def step(context):
    assert [answer.status for answer in context.answers] == [NOT_RUN]


@then("each of their pieces was made at most twice")
def step(context):
    counts = context.site.piece_counts()
    assert counts and max(counts.values()) <= 2, counts
