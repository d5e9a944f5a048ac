"""The platform's store, read and watched; nothing is ever written there.

It shares its one HTTP call with ``platform.reader``. When to read, to wait or to come
back is left to the watch tasks of the daemon.
"""

import base64
from dataclasses import dataclass
from typing import Annotated
from urllib.parse import urlencode

import msgspec

from boragestream.platform.reader import (
    PlatformUnreachable,
    ValueTooLong,
    get_value,
    read_era,
)
from boragestream.policy.publication import (
    Change,
    Changes,
    HistoryGone,
    Position,
    Snapshot,
)
from boragestream.policy.store_times import MAX_ANSWER_SECONDS

__all__ = [
    "CONFIGURATION_KEY",
    "DRAINED_PREFIX",
    "OPERATOR_PREFIX",
    "SERVERS_PREFIX",
    "Store",
]

# What the operator publishes: the configuration, and a key for each data centre that is
# drained while the key stands.
OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
DRAINED_PREFIX = "op/evacuate/"
SERVERS_PREFIX = "servers/"
# No key has this prefix: a read of it returns the revision of the store alone.
EMPTY_PREFIX = "none/"
RANGE_CALL = "/boragestream/kv-range"
WATCH_CALL = "/boragestream/kv-watch"
GONE_STATUS = 410
# Rises by one each time that the store comes back from a copy.
ERA_HEADER = "Store-Era"
# A read that takes longer finds the store slow or out of reach, and is tried again.
READ_SECONDS = 3.0
MAX_PAGES = 1000
# Revisions are sent on to other entries, whose messages carry 64 bits.
Revision = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class _Item(msgspec.Struct, frozen=True):
    key: str
    # The revision of its last change.
    rev: Revision = 0
    # Base64 with padding.
    value: str = ""
    # Whether the key was removed.
    tombstone: bool = False


class _Range(msgspec.Struct, frozen=True):
    items: tuple[_Item, ...]
    # Whether more items follow.
    truncated: bool
    store_revision: Revision


class _Events(msgspec.Struct, frozen=True):
    events: tuple[_Item, ...]
    # The revision from which to go on.
    store_revision: Revision


@dataclass(frozen=True, slots=True)
class _Answer:
    """A body with the era of its answer; ``NO_ERA`` where the store names none."""

    body: _Range | _Events
    era: int


_ranges = msgspec.json.Decoder(_Range)
_events = msgspec.json.Decoder(_Events)


@dataclass(frozen=True, slots=True)
class Store:
    """The store at an address.

    :ivar address: ``address:port``.
    """

    address: str

    def read(self, prefix: str) -> Snapshot | HistoryGone | PlatformUnreachable:
        """Read all items whose keys begin with a prefix.

        Pages are not a snapshot, so that the lowest revision of them is returned: a
        watch from there on sees again what changed meanwhile. Pages of two eras fit
        together in no way.
        """
        values: dict[str, bytes] = {}
        written: dict[str, int] = {}
        revision, era = None, None
        after = ""
        for _ in range(MAX_PAGES):
            query = {"prefix": prefix, **({"after": after} if after else {})}
            answer = self._call(RANGE_CALL, query, READ_SECONDS, _ranges)
            if not isinstance(answer, _Answer):
                return _unreachable(answer, self.address)
            if era is not None and answer.era != era:
                return HistoryGone()
            page, era = answer.body, answer.era
            values.update((item.key, _value(item)) for item in page.items)
            written.update((item.key, item.rev) for item in page.items if item.rev)
            revision = min(revision or page.store_revision, page.store_revision)
            if not page.truncated or not page.items:
                return Snapshot(revision, values, era, written)
            after = page.items[-1].key
        return PlatformUnreachable(self.address, "too many pages")

    def read_position(self, answer_seconds: float) -> Position | PlatformUnreachable:
        """Read the position of the store's last change, under whichever prefix.

        :param answer_seconds: how long the answer may take.
        """
        query = {"prefix": EMPTY_PREFIX}
        answer = self._call(RANGE_CALL, query, answer_seconds, _ranges)
        if not isinstance(answer, _Answer):
            return _unreachable(answer, self.address)
        return Position(answer.era, answer.body.store_revision)

    def watch(
        self,
        prefix: str,
        revision: int,
        wait_seconds: float,
        answer_seconds: float = MAX_ANSWER_SECONDS,
    ) -> Changes | HistoryGone | PlatformUnreachable:
        """Wait for changes after a revision.

        :param wait_seconds: the longest that the store may wait for one.
        :param answer_seconds: how long each part of the answer may take after that.
        :returns: ``HistoryGone`` also if the changes are too long for one answer, as
            those of an outage can be: each has its whole value, so that the present
            values are much shorter.
        """
        query = {
            "prefix": prefix,
            "after": str(revision),
            "wait_ms": str(int(wait_seconds * 1000)),
        }
        limit = wait_seconds + answer_seconds
        answer = self._call(WATCH_CALL, query, limit, _events)
        if isinstance(answer, ValueTooLong):
            return HistoryGone()
        if not isinstance(answer, _Answer):
            return answer
        changes = tuple(_change(item) for item in answer.body.events)
        return Changes(answer.body.store_revision, changes, answer.era)

    def _call(
        self,
        path: str,
        query: dict[str, str],
        seconds: float,
        decoder: msgspec.json.Decoder,
    ) -> _Answer | HistoryGone | PlatformUnreachable:
        target = f"{path}?{urlencode(query, safe='/')}"
        answer = get_value(self.address, target, seconds)
        if isinstance(answer, PlatformUnreachable):
            return answer
        if answer.status == GONE_STATUS:
            return HistoryGone()
        if answer.status != 200:
            return PlatformUnreachable(self.address + path, f"status {answer.status}")
        try:
            era = read_era(answer.headers, ERA_HEADER)
            return _Answer(decoder.decode(answer.value), era)
        except (msgspec.DecodeError, RecursionError) as error:
            return PlatformUnreachable(self.address + path, repr(error))


def _unreachable(failure: object, address: str) -> PlatformUnreachable:
    if isinstance(failure, PlatformUnreachable):
        return failure
    return PlatformUnreachable(address, repr(failure))


def _value(item: _Item) -> bytes:
    """Return an item's value; empty, and so malformed to its reader, if unreadable."""
    try:
        return base64.b64decode(item.value, validate=True)
    except ValueError:
        return b""


def _change(item: _Item) -> Change:
    return Change(item.key, item.rev, None if item.tombstone else _value(item))
