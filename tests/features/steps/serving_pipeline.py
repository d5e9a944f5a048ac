"""Steps that call pipelines and check their outcomes."""

from behave import then, when

from boragestream.operator.client import Client
from tests.standins.answers import expected_text, fingerprint
from tests.standins.sites import example_key

TOKENS = 8


@when('a caller with the key "{key}" calls "{pipeline}" with "{text}"')
def call(context, key, pipeline, text, **options):
    """Call a pipeline and store the reply in the context."""
    client = Client(key, context.fleet.addresses())
    address = options.pop("address", context.fleet.addresses()[0])
    context.reply = client.call(pipeline, text, address=address, **options)


@when('"{account}" calls "{pipeline}" with "{text}"')
@when('"{account}" calls "{pipeline}" with "{text}" and {left:d} ms left')
def step(context, account, pipeline, text, left=None):
    call(context, example_key(account), pipeline, text, deadline_ms=left)


@when('"{account}" streams "{pipeline}" with "{text}"')
def step(context, account, pipeline, text):
    call(context, example_key(account), pipeline, text, stream=True)


@then('the outcome is "{outcome}"')
def step(context, outcome):
    assert context.reply.outcome == outcome, context.reply


@then('the failure is "{code}"')
def step(context, code):
    assert context.reply.problem["type"].endswith(f":{code}"), context.reply


@then('the answer is made from "{text}"')
def step(context, text):
    assert context.reply.result["mark"] == fingerprint(text), context.reply


@then('the streamed answer is made from "{text}"')
def step(context, text):
    assert context.reply.result == expected_text(text, TOKENS), context.reply


@then("no backend server ran it")
def step(context):
    request_id = context.reply.request_id
    runs = context.fleet.runs()
    ran = [name for name, run in runs.items() if request_id in run["requests"]]
    assert not ran, ran


@when('"{account}" streams "{pipeline}" with "{text}" {count:d} times')
def step(context, account, pipeline, text, count):
    repeat(context, account, pipeline, text, count, stream=True)


@when('"{account}" calls "{pipeline}" with "{text}" {count:d} times')
def step(context, account, pipeline, text, count):
    repeat(context, account, pipeline, text, count, stream=False)


def repeat(context, account, pipeline, text, count, stream):
    """Make the same call several times and add all replies to the context."""
    replies = getattr(context, "replies", [])
    for _ in range(count):
        call(context, example_key(account), pipeline, text, stream=stream)
        replies.append(context.reply)
    context.replies = replies


@then('every outcome is "{outcome}"')
def step(context, outcome):
    outcomes = {getattr(r, "outcome", r) for r in context.replies}
    assert outcomes == {outcome}, outcomes
