"""Bounds how deep JSON from outside is nested.

A decoder that goes as deep as the interpreter's stack allows takes values that can't
be encoded again a few calls further down. The bound here is far below that.
"""

import msgspec

__all__ = ["MAX_DEPTH", "TooDeep", "decode_bounded"]

MAX_DEPTH = 64


class TooDeep(msgspec.DecodeError):
    """The JSON is nested deeper than ``MAX_DEPTH``."""


def decode_bounded(text: bytes, shape: type = object) -> object:
    """Decode JSON that is nested no deeper than ``MAX_DEPTH``.

    :param text: the JSON.
    :param shape: the type that it must have.
    :raises msgspec.DecodeError: where it is malformed, of another shape or too deep.
    """
    try:
        # Few answers hold this many brackets at all; the count is cheap.
        if text.count(b"[") + text.count(b"{") > MAX_DEPTH:
            _check_depth(msgspec.json.decode(text))
        return msgspec.json.decode(text, type=shape)
    except RecursionError:
        raise TooDeep("nested deeper than the stack") from None


def _check_depth(data: object) -> None:
    level = [data]
    for _ in range(MAX_DEPTH):
        level = [child for value in level for child in _children(value)]
        if not level:
            return
    raise TooDeep(f"nested deeper than {MAX_DEPTH}")


def _children(value: object) -> list:
    if isinstance(value, dict):
        return list(value.values())
    return value if isinstance(value, list) else []
