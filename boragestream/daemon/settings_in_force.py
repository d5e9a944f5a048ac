"""The settings in force: read at the start, and again when the file has changed.

What is bound to a process for its life, such as its addresses, changes with the next
start alone; a file that can't be used changes nothing.
"""

import threading
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

from boragestream.base.events import Event, emit
from boragestream.base.route_settings import (
    RouteSettings,
    SettingsInvalid,
    read_route_settings,
)

__all__ = ["SettingsInForce"]


class SettingsInForce:
    """Holds the settings in force.

    :param path: the TOML file.
    :param settings: as read at the start.
    """

    def __init__(self, path: Path, settings: RouteSettings) -> None:
        self._path = path
        self._current = settings
        self._refused: SettingsInvalid | None = None
        self._changed: list[Callable[[RouteSettings], None]] = []
        self._lock = threading.Lock()

    @property
    def current(self) -> RouteSettings:
        """The settings in force."""
        return self._current

    def when_changed(self, changed: Callable[[RouteSettings], None]) -> None:
        """Have a function called with each change of what can change."""
        self._changed.append(changed)

    def reload(self) -> None:
        """Read the file again and take what can change."""
        with self._lock:
            read = read_route_settings(self._path)
            if isinstance(read, SettingsInvalid):
                self._refuse(read)
                return
            self._refused = None
            new = replace(
                self._current,
                peers=replace(self._current.peers, seeds=read.peers.seeds),
                retries=read.retries,
                stop=read.stop,
            )
            if new == self._current:
                return
            needs_restart = replace(new, resources=read.resources) != read
            self._current = new
        emit(Event.SETTINGS_RELOADED, needs_restart=needs_restart)
        for changed in self._changed:
            changed(new)

    def _refuse(self, read: SettingsInvalid) -> None:
        if read != self._refused:
            emit(Event.SETTINGS_REFUSED, failure=read.describe())
        self._refused = read
