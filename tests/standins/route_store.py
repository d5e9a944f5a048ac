"""A stand-in for the platform's store: read, watched, and made to fail.

It runs in a thread of the test. ``down`` turns all callers away as the platform can:
with a status, with a reset, with silence, or by losing questions: new ones are never
answered, also not later. Those that wait already are answered, at once (``LOST``) or as
soon as the store is back (``MUTE``). ``return_from`` has it come back from a copy: what
was published since is lost, revisions are given out again, and the era rises.
"""

import base64
import contextlib
import threading
import time
from dataclasses import dataclass

from tests.standins.http import Handler, Server

WATCH_SECONDS = 0.02
LOST = "lost"
MUTE = "mute"
ERA_HEADER = "Store-Era"


@dataclass(frozen=True)
class StoreCopy:
    """What the store held at one moment."""

    items: dict
    history: tuple
    revision: int


class RouteStore:
    """The store and what is published in it."""

    def __init__(self, address):
        """Listen; ``address`` is where."""
        self.lock = threading.Condition()
        self.items = {}
        self.history = []
        self.revision = 0
        self.oldest = 0
        # Named in all answers; None for a store that names none.
        self.era = 1
        # Whether each watch is told that its history is gone.
        self.refuses_watches = False
        # Whether it comes back anew in the middle of each read.
        self.changes_era = False
        self.down = None
        # What it answers in place of what it holds, as bytes; None for proper answers.
        self.odd_body = None
        # A head and what it sends without end behind it; None for proper answers.
        self.endless = None
        # How many answers without end it began.
        self.endless_answers = 0
        self.calls = 0
        self.lost = 0
        # How often it came back from a copy.
        self.returns = 0
        self.closing = threading.Event()
        store = self

        class StoreHandler(Handler):
            """Answers reads and watches."""

            def get(self, path, query):
                """Answer a read or a watch."""
                store.answer(self, path, query)

        self.server = Server((address, 0), StoreHandler)
        self.address = f"{address}:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def close(self):
        """Stop answering."""
        self.closing.set()
        self.server.shutdown()
        self.server.server_close()

    def put(self, key, value):
        """Publish a value; None removes the key."""
        with self.lock:
            self.revision += 1
            before = self.items.pop(key, None)
            created = None
            if value is not None:
                created = before[2] if before else self.revision
                self.items[key] = (value, self.revision, created)
            self.history.append((self.revision, key, value, created))
            self.lock.notify_all()

    def drop_history(self):
        """Forget all changes so far."""
        with self.lock:
            self.oldest = self.revision
            self.history.clear()

    def copy(self):
        """Return what the store holds now."""
        with self.lock:
            return StoreCopy(dict(self.items), tuple(self.history), self.revision)

    def return_from(self, copy):
        """Come back from a copy; watches that wait are cut."""
        with self.lock:
            self.items = dict(copy.items)
            self.history = list(copy.history)
            self.revision = copy.revision
            if self.era is not None:
                self.era += 1
            self.returns += 1
            self.down = None
            self.lock.notify_all()

    def reply(self, handler, body, status=200):
        """Answer with the era."""
        if self.changes_era:
            self.era += 1
        headers = () if self.era is None else ((ERA_HEADER, str(self.era)),)
        handler.reply(body, status, headers)

    def answer(self, handler, path, query):
        """Answer a call."""
        self.calls += 1
        if self.down in (LOST, MUTE):
            self.lost += 1
            self.closing.wait()
            handler.reset()
            return
        if self.down == "reset":
            handler.reset()
            return
        if self.down == "silent":
            time.sleep(5)
            handler.reset()
            return
        if self.down is not None:
            self.reply(handler, {"error": self.down}, int(self.down))
            return
        if self.endless is not None:
            self.send_endless(handler)
        elif self.odd_body is not None:
            handler.reply_bytes(self.odd_body)
        elif path.endswith("kv-range"):
            self.reply(handler, self.range(query))
        else:
            self.watch(handler, query)

    def send_endless(self, handler):
        """Send a head, and then the same bytes until the other end closes."""
        head, repeated = self.endless
        self.endless_answers += 1
        with contextlib.suppress(OSError):
            handler.wfile.write(head)
            while not self.closing.is_set():
                handler.wfile.write(repeated)
        handler.close_connection = True

    def range(self, query):
        """Return the items under a prefix, a few a page."""
        with self.lock:
            after = query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]))
            keys = [key for key in keys if key > after]
            page = [self.item(key, *self.items[key]) for key in keys[:3]]
            return {
                "items": page,
                "truncated": len(keys) > len(page),
                "store_revision": self.revision,
            }

    def watch(self, handler, query):
        """Wait for changes under a prefix."""
        after = int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        with self.lock:
            returns = self.returns
            while True:
                gone = after < self.oldest or after > self.revision
                if gone or self.refuses_watches or returns != self.returns:
                    break
                found = [
                    self.item(key, value, revision, created)
                    for revision, key, value, created in self.history
                    if revision > after and key.startswith(query["prefix"])
                ]
                left = until - time.monotonic()
                ended = found or left <= 0 or self.down not in (None, LOST)
                if ended and self.down != MUTE:
                    break
                self.lock.wait(WATCH_SECONDS)
            revision = self.revision
        if self.down not in (None, LOST) or returns != self.returns:
            handler.reset()
        elif gone or self.refuses_watches:
            self.reply(handler, {"error": "history"}, 410)
        else:
            self.reply(handler, {"events": found, "store_revision": revision})

    @staticmethod
    def item(key, value, revision, created):
        """Return an item as the store tells it."""
        if value is None:
            return {"key": key, "rev": revision, "tombstone": True}
        text = base64.b64encode(value).decode()
        return {
            "key": key,
            "value": text,
            "rev": revision,
            "created": created,
            "lease": 0,
        }
