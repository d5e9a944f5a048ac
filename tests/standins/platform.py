"""A stand-in for the platform: the configuration service and the instance list.

Usage: python -m tests.standins.platform ADDRESS PORT

``POST /standin/publish`` sets a value by its path; ``POST /standin/mode`` makes the
service refuse, go silent, lag or lose questions; ``GET /standin/calls`` counts the
calls by path, a waiting watch as one. Tests drive it through these; the system never
does.
"""

import sys
import threading
import time
from collections import Counter

from tests.standins.http import Handler, serve

MAX_WAIT_SECONDS = 60


class State:
    """The published values; index 0 means that nothing was published."""

    def __init__(self):
        self.changed = threading.Condition()
        self.values = {}
        self.calls = Counter()
        self.waiting = Counter()
        # Questions to a path that is ``lost`` are never answered, also not later; those
        # that wait already are.
        # The era rises as the service comes back from a copy; 0 names none.
        self.mode = {"down": [], "lag_seconds": 0.0, "lost": [], "era": 0}


STATE = State()


class PlatformHandler(Handler):
    """Serves reads, watches and the controls of the stand-in."""

    def get(self, path, query):
        """Serve a read, a watch or the call count."""
        if path == "/standin/calls":
            with STATE.changed:
                return self.reply(
                    {"calls": dict(STATE.calls), "waiting": dict(STATE.waiting)}
                )
        with STATE.changed:
            STATE.calls[path] += 1
        if path in STATE.mode["lost"]:
            time.sleep(MAX_WAIT_SECONDS)
            return self.reset()
        if path in STATE.mode["down"]:
            return self.reset()
        wait = min(float(query.get("wait", 0)), MAX_WAIT_SECONDS)
        index, value = self._wait(path, int(query.get("index", 0)), wait)
        if value is None:
            return self.reply({"error": "nothing is published"}, 404)
        time.sleep(STATE.mode["lag_seconds"])
        if path in STATE.mode["down"]:
            return self.reset()
        known = [("X-Platform-Index", str(index))]
        if STATE.mode["era"]:
            known.append(("X-Platform-Era", str(STATE.mode["era"])))
        if self.headers.get("If-None-Match") == f'"{index}"':
            return self.not_modified(known)
        return self.reply(value, headers=known)

    def post(self, path, body):
        """Publish a value or set a mode."""
        with STATE.changed:
            if path == "/standin/publish":
                known = STATE.values.get(body["path"], (0, None))[0]
                index = body.get("index") or known + 1
                STATE.values[body["path"]] = (index, body["value"])
            else:
                STATE.mode.update(body)
            STATE.changed.notify_all()
        self.reply({})

    def _wait(self, path, index, wait):
        with STATE.changed:
            STATE.waiting[path] += 1
            STATE.changed.wait_for(
                lambda: (
                    STATE.values.get(path, (index,))[0] != index
                    or path in STATE.mode["down"]
                ),
                wait,
            )
            STATE.waiting[path] -= 1
            return STATE.values.get(path, (0, None))


if __name__ == "__main__":
    serve(sys.argv[1], int(sys.argv[2]), PlatformHandler)
