"""The settings in force, read at the start and again when the file has changed.

Settings that a process can't change while it runs, such as its addresses, take effect
at the next start. A file that is invalid changes nothing.
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

    :param path: the path of the TOML file.
    :param settings: the settings that were read at the start.
    """

    def __init__(self, path: Path, settings: RouteSettings) -> None:
        self._path = path
        self._current = settings
        self._refused: SettingsInvalid | None = None
        self._listeners: list[Callable[[RouteSettings], None]] = []
        self._lock = threading.Lock()

    @property
    def current(self) -> RouteSettings:
        """The settings in force."""
        return self._current

    def on_change(self, listener: Callable[[RouteSettings], None]) -> None:
        """Register a function to call with the new settings after each change."""
        self._listeners.append(listener)

    def reload(self) -> None:
        """Read the file again and apply the settings that can change at run time."""
        with self._lock:
            read = read_route_settings(self._path)
            if isinstance(read, SettingsInvalid):
                self._log_refused(read)
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
        for listener in self._listeners:
            listener(new)

    def _log_refused(self, read: SettingsInvalid) -> None:
        if read != self._refused:
            emit(Event.SETTINGS_REFUSED, failure=read.describe())
        self._refused = read
