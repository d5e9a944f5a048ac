"""Callers of the soak, which keep connections open and note what they were told."""

import contextlib
import http.client
import itertools
import random
import re
import threading
import time
from collections.abc import Mapping
from dataclasses import dataclass, field

from tests.standins.route_server import EVENTS
from tests.standins.route_site import HOST, KEY, RouteSite

CALL_SECONDS = 3.0
# An entry that is not paused ends each request by its deadline; the slack is for the
# relays and for a machine with other work.
HANG_SECONDS = CALL_SECONDS + 6.0
PATHS = {
    "safe": ("ok", "ok", "slow", "cut", "error", "refuse", "extra", "late-extra")
    + ("garbage", "unframed", "unframed-reset", "silent", "crossed", "unsealed"),
    "unsafe": ("ok", "ok", "slow", "cut", "error", "refuse", "extra", "garbage")
    + ("unframed-reset", "silent", "crossed"),
    "chat": ("ok", "cut", "half", "before", "slow"),
    "draft": ("ok", "cut", "before"),
    "staged": ("ok", "ok", "cut"),
}
# The same with servers that cut their answers before the first byte of the body. A cut
# inside a body without framing is left out: a server that dies then ends its connection
# like one that is done.
SPOILED_PATHS = {
    "safe": (*PATHS["safe"], "cut-head", "cut-head"),
    "unsafe": (*PATHS["unsafe"], "cut-head", "cut-head"),
    "chat": (*PATHS["chat"], "cut-head", "unframed-empty"),
    "draft": (*PATHS["draft"], "cut-head", "unframed-empty"),
    "staged": PATHS["staged"],
}
# The kinds of streams that callers take up again.
RESUMABLE = ("chat", "staged")
# A whole event: its number, and the version of the server that wrote it.
EVENT = re.compile(rb"id: (\d+)\ndata: \d+ (\S+) w+\n\n")
PART_EVENTS = 2
LEAVES_SHARE = 0.05
PROBES_SHARE = 0.15


@dataclass(frozen=True, slots=True)
class CallerHabit:
    """How callers call.

    :ivar paths: the last parts of paths to choose from, by kind.
    :ivar gap_seconds: the shortest time between the starts of two calls.
    :ivar leaves: how many of them go away before the answer.
    :ivar probes: how many of the calls show a version.
    :ivar parts: how many of the resumable streams they leave after ``PART_EVENTS``, to
        take them up elsewhere.
    :ivar everywhere: whether they call all entries, also those that no entry names.
    """

    key: str = KEY
    paths: Mapping[str, tuple[str, ...]] = field(default_factory=lambda: PATHS)
    gap_seconds: float = 0.0
    leaves: float = LEAVES_SHARE
    probes: float = PROBES_SHARE
    parts: float = 0.0
    everywhere: bool = False


USUAL = CallerHabit()
SPOILING = CallerHabit(paths=SPOILED_PATHS)


@dataclass(frozen=True, slots=True)
class Told:
    """What a caller was told of one request.

    :ivar kind: the route's name; ``probe`` for one that shows a version.
    :ivar version: of a probe, the version that brought its route.
    :ivar life: which entry, in which of its lives, as far as the caller knows.
    :ivar status: 0 where the connection ended without a head.
    :ivar left: the caller went away on purpose.
    :ivar silenced: bytes were lost on its own connection, so that only its own time
        limit can end it.
    :ivar resumes: the request that brought the first event of a stream that this one
        takes up; empty for none.
    :ivar last_event: the number of the last event that its caller had.
    """

    request_id: str
    kind: str
    fault: str
    version: int
    life: tuple[str, int]
    sent_at: float
    ended_at: float
    status: int
    sealed: bool
    body: bytes
    whole: bool
    left: bool
    silenced: bool = False
    resumes: str = ""
    last_event: int = 0

    @property
    def events(self):
        """The numbers of the whole events of a stream, each with its version."""
        return [(int(n), v.decode()) for n, v in EVENT.findall(self.body)]

    @property
    def may_go_on(self):
        """Whether its caller may take the stream up again."""
        return self.kind in RESUMABLE and not self.whole and bool(self.events)


def read_part(response):
    """Return the first events of a stream, as far as they came."""
    body, found = b"", []
    with contextlib.suppress(http.client.HTTPException, OSError):
        while len(found) < PART_EVENTS and (data := response.read1(65536)):
            body += data
            found = list(EVENT.finditer(body))
    return body[: found[:PART_EVENTS][-1].end()] if found else body


class Callers:
    """Threads that call until they are told to stop."""

    numbers = itertools.count(1)

    def __init__(self, site, seed, count, habit=USUAL):
        """Take the site; ``start`` begins."""
        self.site = site
        self.habit = habit
        self.told = []
        self.lock = threading.Lock()
        self.ending = threading.Event()
        self.threads = [
            threading.Thread(
                target=self._run, args=(random.Random((seed, i).__hash__()),)
            )
            for i in range(count)
        ]

    def start(self):
        """Begin to call."""
        for thread in self.threads:
            thread.start()

    def end(self):
        """Call no more; ``stop`` waits for it."""
        self.ending.set()

    def stop(self):
        """Call no more and wait for the last answers.

        :returns: whether all callers ended in time.
        """
        self.end()
        until = time.monotonic() + HANG_SECONDS + CALL_SECONDS
        for thread in self.threads:
            thread.join(max(0.0, until - time.monotonic()))
        return not any(thread.is_alive() for thread in self.threads)

    def _run(self, rng):
        connection, entry, broken = None, "", None
        # Callers with a gap would otherwise all call at once.
        if self.habit.gap_seconds:
            self.ending.wait(rng.uniform(0.0, self.habit.gap_seconds))
        while not self.ending.is_set():
            if connection is None:
                told_entries = [] if self.habit.everywhere else self.site.told_entries()
                entry = rng.choice(told_entries or list(self.site.entries))
                connection = http.client.HTTPConnection(
                    self.site.caller_address(entry), timeout=HANG_SECONDS
                )
            told, kept = self._call(rng, connection, entry, broken)
            broken = told if told.may_go_on else None
            with self.lock:
                self.told.append(told)
            if not kept or rng.random() < 0.02:
                connection.close()
                connection = None
            if told.status in (0, 503):
                time.sleep(0.1)
            gap = told.sent_at + self.habit.gap_seconds - time.monotonic()
            self.ending.wait(max(gap, rng.uniform(0.0, 0.08)))

    def _call(self, rng, connection, entry, broken):
        kind, fault, version = self._pick(rng)
        resumes, last_event = "", 0
        if broken is not None:
            kind, fault, version = broken.kind, "ok", 0
            resumes = broken.resumes or broken.request_id
            last_event = broken.events[-1][0]
        request_id = f"s-{next(self.numbers)}"
        headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Deadline-Ms": str(int(CALL_SECONDS * 1000)),
            "Authorization": f"Bearer {self.habit.key}",
        }
        if kind == "staged":
            headers |= {"Pieces": "2,1", "Piece-Key": f"key-{request_id}"}
        if resumes:
            headers |= {"Resumes": resumes, "Last-Event-Id": str(last_event)}
        prefix = f"/v{version}/" if kind == "probe" else f"/{kind}/"
        life = (entry, self.site.lives[entry])
        status, sealed, body, whole, kept, left = 0, False, b"", False, False, False
        sent_at = time.monotonic()
        port = 0
        with contextlib.suppress(http.client.HTTPException, OSError):
            if connection.sock is None:
                connection.connect()
            port = connection.sock.getsockname()[1]
            connection.request("POST", f"{prefix}{fault}", b"hello", headers)
            if rng.random() < self.habit.leaves:
                left = True
            else:
                response = connection.getresponse()
                status = response.status
                sealed = response.headers.get("Server-Seal") is not None
                goes_on = kind in RESUMABLE and last_event + PART_EVENTS < EVENTS
                if goes_on and rng.random() < self.habit.parts:
                    body = read_part(response)
                else:
                    body, whole = RouteSite.read(response)
                # Else the connection would take no further request.
                response.close()
                kept = whole and not response.will_close
        ended_at = time.monotonic()
        told = Told(
            request_id,
            kind,
            fault,
            version,
            life,
            sent_at,
            ended_at,
            status,
            sealed,
            body,
            whole,
            left,
            self.site.caller_relays[entry].lost(port),
            resumes,
            last_event,
        )
        return told, kept

    def _pick(self, rng):
        version = self.site.route_version
        if version and rng.random() < self.habit.probes:
            return "probe", "ok", version
        kind = rng.choice(list(self.habit.paths))
        return kind, rng.choice(self.habit.paths[kind]), 0
