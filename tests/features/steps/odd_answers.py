"""Steps on servers whose answers have odd numbers and deep nesting."""

import re

from behave import given, then, when

PATHS = {"plain": "/unsafe/ok", "engine": "/draft/ok", "stage": "/staged/ok"}
REPEATED = re.compile(r"(\S) x (\d+)")


def spell_out(text):
    """Return a text with "9 x 3" spelled out as "999"."""
    return REPEATED.sub(lambda match: match[1] * int(match[2]), text)


@given('all "{kind}" servers say "{header}: {value}" in each answer')
def step(context, kind, header, value):
    for server in context.site.of_kind(kind):
        server.added_headers = {header: spell_out(value)}
        context.add_cleanup(setattr, server, "added_headers", {})


@when('the path of "{kind}" servers is called at all entries')
def step(context, kind):
    headers = {"Pieces": "2,1", "Piece_Key": "k"} if kind == "stage" else {}
    context.answers = [
        context.site.call(PATHS[kind], entry=name, **headers)
        for name in context.site.entries
        for _ in range(3)
    ]


@then("every answer is whole and from a server")
def step(context):
    for answer in context.answers:
        got = (answer.status, answer.whole, answer.body)
        assert answer.status == 200 and answer.whole, got
        assert "Server-Seal" in answer.headers
        assert context.site.runs(answer.request_id) == 1
