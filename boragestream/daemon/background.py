"""The background tasks that watch the platform's document and instance list."""

import threading
from functools import partial

from boragestream.base.events import Event
from boragestream.daemon.parts import DOCUMENT, INSTANCES, EntryParts
from boragestream.daemon.tasks import apply_instances, apply_published, watch_platform

__all__ = ["watch_configuration", "watch_instances", "watch_silent_calls"]

SILENCE_CHECK_SECONDS = 0.25


def watch_configuration(
    parts: EntryParts, stopping: threading.Event, ended: threading.Event
) -> None:
    """Apply published documents until the entry has ended.

    :param stopping: set once the entry begins to stop.
    """
    initial_sync = partial(parts.peers.initial_sync.wait, parts.clock, stopping)
    platform = parts.settings.platform

    def take(value: bytes) -> None:
        apply_published(value, parts.configuration, before_first=initial_sync)
        parts.first.note_known(DOCUMENT)

    watch_platform(
        platform.configuration,
        "/v1/document",
        platform.watch_seconds,
        take,
        Event.CONFIGURATION_UNREACHABLE,
        ended,
        parts.rng,
        parts.peers.duty,
        parts.first.note_unreachable,
    )


def watch_silent_calls(parts: EntryParts, ended: threading.Event) -> None:
    """Look for calls that no server answers until the entry has ended."""
    while not ended.wait(SILENCE_CHECK_SECONDS):
        parts.reach.checks.check_silence()


def watch_instances(parts: EntryParts, ended: threading.Event) -> None:
    """Apply published instance lists until the entry has ended."""
    platform = parts.settings.platform

    def take(value: bytes) -> None:
        apply_instances(
            value,
            servers=parts.servers,
            loads=parts.loads,
            limits=parts.limits.limits,
            take_entries=parts.listing.take,
            take_servers=parts.peers.members.set_listed_servers,
        )
        parts.first.note_known(INSTANCES)

    watch_platform(
        platform.instances,
        "/v1/instances",
        platform.watch_seconds,
        take,
        Event.INSTANCES_UNREACHABLE,
        ended,
        parts.rng,
        on_unreachable=parts.first.note_unreachable,
    )
