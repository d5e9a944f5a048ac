"""Steps on differences between documents."""

from dataclasses import replace

import zstandard
from behave import given, then, when
from hypothesis import assume, settings
from hypothesis import given as for_all
from hypothesis import strategies as st

from boragestream.document.difference import (
    MAX_TEXT_BYTES,
    apply_difference,
    encode_difference,
)

texts = st.binary(min_size=1, max_size=3000)


@then("for arbitrary texts a difference applied to its base is the text")
def step(context):
    @settings(max_examples=200, derandomize=True, deadline=None)
    @for_all(texts, texts)
    def check(base, text):
        assert apply_difference(encode_difference(base, text), base) == text
        assert apply_difference(encode_difference(b"", text), base) == text

    check()


@then('applied to another base it is refused as "{code}"')
def step(context, code):
    @settings(max_examples=200, derandomize=True, deadline=None)
    @for_all(texts, texts, texts)
    def check(base, text, other):
        assume(other != base)
        assert apply_difference(encode_difference(base, text), other).code == code

    check()


@given("the difference between two texts")
def step(context):
    context.base = b'{"version":1}' * 50
    context.difference = encode_difference(context.base, context.base + b"more")


@when('its "{field}" is damaged')
def step(context, field):
    data = context.difference.data
    oversized = zstandard.compress(bytes(MAX_TEXT_BYTES + 1))
    damage = {
        "data": {"data": b"not a frame"},
        "cut": {"data": data[:-2]},
        "result": {"result": "0" * 64},
        "base": {"base": "0" * 64},
        "oversized": {"data": oversized},
    }
    context.difference = replace(context.difference, **damage[field])


@then('it is refused as "{code}"')
def step(context, code):
    refused = apply_difference(context.difference, context.base)
    assert refused.code == code, refused
