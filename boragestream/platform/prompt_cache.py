"""Calls for what engines have cached, translated to and from the platform's form."""

import msgspec

from boragestream.policy.servers import Server

__all__ = ["PromptCacheFormat", "encode_cache_call", "read_cached_parts"]

CACHE_CALL = "/boragestream/kv-list"
SERVER_ID = "Expect-Instance"


class _List(msgspec.Struct):
    # Each: an empty text, the part's identity, its tokens, the model.
    held: tuple[tuple[str, str, int, str], ...]


_lists = msgspec.json.Decoder(_List)


def encode_cache_call(server: Server) -> bytes:
    """Return the bytes of a call that asks an engine for what it has cached."""
    head = f"GET {CACHE_CALL} HTTP/1.1\r\nHost: {server.host}\r\n"
    return f"{head}{SERVER_ID}: {server.name}\r\n\r\n".encode("latin-1")


def read_cached_parts(body: bytes) -> dict[str, int] | None:
    """Decode the tokens of each cached part, by its identity; None if unreadable."""
    try:
        held = _lists.decode(body).held
    except (msgspec.DecodeError, RecursionError):
        return None
    cached: dict[str, int] = {}
    for _, identity, tokens, _ in held:
        cached[identity] = max(tokens, cached.get(identity, 0))
    return cached


class PromptCacheFormat:
    """Calls for what engines have cached, in the platform's form."""

    encode_cache_call = staticmethod(encode_cache_call)
    read_cached_parts = staticmethod(read_cached_parts)
