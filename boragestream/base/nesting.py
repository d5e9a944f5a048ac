"""Bounds how deep JSON from outside is nested.

A decoder that goes as deep as the interpreter's stack allows takes values that can't
be encoded again a few calls further down. The bound here is far below that.
"""

from typing import Any

import msgspec

__all__ = ["MAX_DEPTH", "TooDeep", "decode_bounded", "decoded_bytes"]

MAX_DEPTH = 64
# A shorter text can't open and close that many levels.
SHORT_BYTES = 2 * MAX_DEPTH
CONTAINERS = (dict, list)
# What the interpreter needs at the most for each value, besides the characters of a
# string: the object and its place in its container; and for a container itself.
VALUE_BYTES = 64
LIST_BYTES, OBJECT_BYTES = 88, 232
# A string with any character beyond the first 256 takes up to four bytes for each.
WIDE_CHARACTER_BYTES = 4
ANYTHING = msgspec.json.Decoder()


class TooDeep(msgspec.DecodeError):
    """The JSON is nested deeper than ``MAX_DEPTH``."""


def decode_bounded(text: bytes, decoder: msgspec.json.Decoder = ANYTHING) -> Any:
    """Decode JSON that is nested no deeper than ``MAX_DEPTH``.

    :param text: the JSON.
    :param decoder: decodes it to the shape that it must have.
    :raises msgspec.DecodeError: where it is malformed, of another shape or too deep.
    """
    try:
        data = decoder.decode(text)
        # Few answers hold this many brackets at all, and the count is cheap.
        if len(text) > SHORT_BYTES and _count_brackets(text) > MAX_DEPTH:
            _check_depth(data if decoder is ANYTHING else ANYTHING.decode(text))
    except RecursionError:
        raise TooDeep("nested deeper than the stack") from None
    return data


def decoded_bytes(text: bytes) -> int:
    """Return at the most how many bytes of memory the decoded JSON takes up."""
    wide = not text.isascii() or b"\\u" in text
    values = 1 + text.count(b",") + text.count(b":")
    return (
        len(text) * (WIDE_CHARACTER_BYTES if wide else 1)
        + values * VALUE_BYTES
        + text.count(b"[") * LIST_BYTES
        + text.count(b"{") * OBJECT_BYTES
    )


def _count_brackets(text: bytes) -> int:
    return text.count(b"[") + text.count(b"{")


def _check_depth(data: Any) -> None:
    level = [data] if type(data) in CONTAINERS else []
    for _ in range(MAX_DEPTH):
        level = [
            child
            for value in level
            for child in (value.values() if type(value) is dict else value)
            if type(child) in CONTAINERS
        ]
        if not level:
            return
    raise TooDeep(f"nested deeper than {MAX_DEPTH}")
