"""Numbered events, logged as JSON lines through absl.logging.

The catalogue in docs/EVENTS.md explains each number and what to do about it; a test
holds the two together. A field never holds a key or a request's content.
"""

import enum
import traceback

import msgspec
from absl import logging

__all__ = ["Event", "describe_error", "emit"]


class Event(enum.Enum):
    """Every event that the system logs: its number and its level."""

    ENTRY_STARTED = (1001, logging.INFO)
    ENTRY_LEAVING = (1002, logging.INFO)
    ENTRY_STOPPED = (1003, logging.INFO)
    STOP_LIMIT_REACHED = (1004, logging.ERROR)
    TASK_FAILED = (1005, logging.ERROR)
    STOP_FORCED = (1006, logging.ERROR)
    SETTINGS_RELOADED = (1007, logging.INFO)
    SETTINGS_REFUSED = (1008, logging.ERROR)
    CONFIGURATION_IN_FORCE = (2001, logging.INFO)
    CONFIGURATION_INVALID = (2002, logging.ERROR)
    CONFIGURATION_OLDER = (2003, logging.WARNING)
    CONFIGURATION_CONFLICT = (2004, logging.ERROR)
    CONFIGURATION_UNREACHABLE = (2005, logging.WARNING)
    INSTANCES_CHANGED = (2101, logging.INFO)
    INSTANCES_INVALID = (2102, logging.ERROR)
    INSTANCES_UNREACHABLE = (2103, logging.WARNING)
    STORE_REGAINED = (2104, logging.INFO)
    WATCH_LOST = (2105, logging.WARNING)
    DATA_CENTRES_DRAINED = (2106, logging.WARNING)
    SERVER_SAID_LEAVING = (2107, logging.INFO)
    STORE_RETURNED = (2108, logging.WARNING)
    VALUES_HELD = (2109, logging.WARNING)
    VALUES_RELEASED = (2110, logging.INFO)
    VALUES_LAPSED = (2111, logging.WARNING)
    PAST_READ = (2112, logging.INFO)
    PAST_UNKNOWN = (2113, logging.WARNING)
    LIST_UNCONFIRMED = (2114, logging.WARNING)
    PEER_FRAME_REFUSED = (2201, logging.WARNING)
    ENTRY_SUSPECTED = (2202, logging.WARNING)
    OWNER_SILENT = (2203, logging.WARNING)
    PIECE_MESSAGE_LOST = (2204, logging.WARNING)
    REGION_UNREACHABLE = (2211, logging.WARNING)
    REGION_REACHABLE = (2212, logging.INFO)
    REGION_SLOW = (2213, logging.WARNING)
    CUT_OFF_FROM_SERVERS = (2221, logging.WARNING)
    SERVERS_REACHED_AGAIN = (2222, logging.INFO)
    ENTRY_REACH_CHANGED = (2223, logging.WARNING)
    REQUEST_ENDED = (3001, logging.INFO)
    STAGES_DONE = (3011, logging.INFO)
    SERVER_CHOSEN = (3012, logging.INFO)
    SERVED_IN_OTHER_REGION = (3013, logging.INFO)
    STREAM_RESUMED = (3014, logging.INFO)
    STREAM_NOT_RESUMED = (3015, logging.WARNING)
    CHAIN_BORROWED = (3021, logging.INFO)
    CHAIN_NOT_BORROWED = (3022, logging.INFO)
    REQUEST_DELEGATED = (3031, logging.INFO)
    REQUEST_TAKEN_OVER = (3032, logging.INFO)
    ATTEMPT_FAILED = (3101, logging.WARNING)
    ANSWER_DISCARDED = (3102, logging.ERROR)
    BATCH_FAILED = (3103, logging.WARNING)
    RELEASE_FAILED = (3104, logging.WARNING)
    SERVER_EJECTED = (3105, logging.WARNING)
    QUEUE_OWNED = (3106, logging.INFO)
    SERVER_CRASHED = (3107, logging.WARNING)
    CRASHES_HEARD = (3108, logging.INFO)
    SERVER_BACKED_OFF = (3109, logging.INFO)
    SERVER_LIMIT_CHANGED = (3110, logging.WARNING)
    SERVICE_BRITTLE = (3112, logging.WARNING)
    SURPLUS_REFUSED = (3111, logging.INFO)
    PART_CRASHED = (3113, logging.WARNING)
    PART_REFUSED = (3114, logging.INFO)
    CACHE_UNKNOWN = (3115, logging.WARNING)
    ANSWER_OVERSIZED = (3116, logging.WARNING)
    BATCH_SENT = (3119, logging.INFO)
    SERVER_BOUNDED = (3120, logging.WARNING)
    MEMORY_REFUSED = (3201, logging.WARNING)
    SLOW_READER_ABANDONED = (3202, logging.WARNING)
    SLOW_SENDER_ABANDONED = (3203, logging.WARNING)
    IDLE_CONNECTIONS_CLOSED = (3204, logging.WARNING)
    DESCRIPTORS_EXHAUSTED = (3205, logging.ERROR)
    REQUEST_BROKEN = (3901, logging.ERROR)
    HTTP_COMPLAINT = (3902, logging.WARNING)

    @property
    def number(self) -> int:
        """The number that the catalogue lists."""
        return self.value[0]

    @property
    def level(self) -> int:
        """The absl logging level."""
        return self.value[1]


def emit(event: Event, **details: object) -> None:
    """Log one event.

    :param event: which event.
    :param details: JSON-like values; other values are logged as their text.
    """
    record = {"event": event.number, "name": event.name.lower(), **details}
    line = msgspec.json.encode(record, enc_hook=str).decode()
    logging.log(event.level, "%s", line)


def describe_error(error: BaseException) -> str:
    """Return an unexpected error's type and place.

    Its text is left out, because it can quote what a caller sent.
    """
    frames = traceback.extract_tb(error.__traceback__)
    place = f" at {frames[-1].filename}:{frames[-1].lineno}" if frames else ""
    return type(error).__name__ + place
