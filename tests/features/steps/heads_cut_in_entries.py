"""Steps on servers that cut the heads of their answers, seen through whole entries."""

from behave import then, when

from tests.standins.route_site import STAGED

ENTRY = "entry-0"
AT_ONCE = 6
# Shorter than a silence of the server.
DEADLINE_MS = {"silence": "800"}
WHOLE_EVENTS = [1, 2, 3, 4, 5, 6]
# Cuts between two that are tried at stage servers, whose calls take longer.
STAGE_STRIDE = 5


def call(context, path, **headers):
    """Call a path at the entry."""
    method = "GET" if path.startswith("/safe") else "POST"
    if path.startswith("/staged"):
        headers |= STAGED
    body = None if method == "GET" else b"hello"
    return context.site.call(path, method, body, ENTRY, **headers)


def is_complete(answer):
    """Return whether an answer has all that its server had to send."""
    if answer.events:
        return answer.events == WHOLE_EVENTS
    words = answer.body.decode().split()
    return len(words) == 3 and words[1] == answer.request_id


def is_delivered(answer):
    """Return whether a caller takes an answer for a whole one."""
    return answer.status == 200 and answer.whole


def cut_count(context):
    """Return how many heads the servers have cut."""
    return sum(server.cut_heads for server in context.site.servers)


@when('"{path}" is called with each cut of its head by {end}, {often}')
def step(context, path, end, often):
    assert is_complete(call(context, path))
    length = max(server.longest_head for server in context.site.servers)
    deadline = DEADLINE_MS.get(end, "5000")
    before = cut_count(context)

    def call_some(first):
        return [
            call(context, path, Cut_Head=f"{cut} {end} {often}", Deadline_Ms=deadline)
            for cut in range(first, length, AT_ONCE)
        ]

    results = context.site.at_once(AT_ONCE, call_some)
    context.answers = [answer for answers in results for answer in answers]
    context.cut_heads = cut_count(context) - before
    assert 3 * context.cut_heads >= len(context.answers), (
        f"only {context.cut_heads} heads of {len(context.answers)} answers were cut"
    )


@then("no cut answer was delivered as whole")
def step(context):
    delivered = [answer for answer in context.answers if is_delivered(answer)]
    partial = [a for a in delivered if not is_complete(a)]
    assert not partial, [(a.headers.items(), a.body) for a in partial]


@then("at least {most:d} in ten were served by another server")
@then("at least {most:d} in ten were served")
def step(context, most):
    served = sum(is_delivered(answer) for answer in context.answers)
    assert 10 * served >= most * len(context.answers), (
        served,
        len(context.answers),
        [(a.status, a.body[:80]) for a in context.answers if not is_delivered(a)][:5],
    )


@when("chains are called with cuts of the heads of stage servers by {end}")
def step(context, end):
    stages = context.site.of_kind("stage")
    assert is_complete(call(context, "/staged/ok"))
    length = max(server.longest_head for server in stages)
    cuts = sorted({*range(0, length, STAGE_STRIDE), *range(length - 5, length)})
    before = cut_count(context)
    context.answers = []
    for cut in cuts:
        for server in stages:
            server.piece_head_cut = f"{cut} {end} always"
        context.answers.append(
            call(context, "/staged/ok", Deadline_Ms=DEADLINE_MS.get(end, "5000"))
        )
    for server in stages:
        server.piece_head_cut = None
    assert cut_count(context) - before >= len(cuts)


@then("each that is served was given the results of its own pieces")
def step(context):
    site = context.site
    made = {h: piece for s in site.of_kind("stage") for h, piece in s.made.items()}
    inputs = {id: i for s in site.of_kind("engine") for id, i in s.inputs.items()}
    for answer in filter(is_delivered, context.answers):
        pieces = [made[handle] for handle in inputs[answer.request_id]]
        assert pieces == [(answer.request_id, 1, 0)], (answer.request_id, pieces)
        assert is_complete(answer)
