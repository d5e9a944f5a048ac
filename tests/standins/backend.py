"""A stand-in for one backend server: an engine, a pool server or a plain service.

Usage: python -m tests.standins.backend SPEC

SPEC is JSON: name, kind, address, port, and optionally slots, queue, service_ms,
token_ms, tokens, and prefill_ms, which an engine needs for a prompt whose prefix it
does not know. Results are derived from the input, so that a caller can tell its own.

``POST /standin/faults`` queues faults, one taken by each call; the folder ``faults``
holds faults for the calls of one input. A fault strikes at a position of its call:
arrive, ran, head, middle, end or after. ``GET /standin/runs`` tells how often each
request id, attempt id and input was run, ``GET /standin/work`` what each call cost,
and ``POST /standin/slowdown`` makes a straggler of the server.
"""

import hashlib
import json
import os
import signal
import sys
import threading
import time
from collections import Counter, deque
from pathlib import Path

from tests.standins.capacity import Capacity, QueueFullError, Slot
from tests.standins.http import Handler, serve
from tests.standins.prefixes import PrefixCache

SPEC = {
    "slots": 8,
    "queue": None,
    "prefill_ms": 0.0,
    "service_ms": 2.0,
    "token_ms": 1.0,
    "tokens": 8,
    "incarnation": "1",
    "service": "",
    "faults": "",
    "journal": "",
}
# Where a fault strikes that does not name a position.
DEFAULT_POSITIONS = {
    "slow": "ran",
    "late": "ran",
    "silent": "ran",
    "reset": "arrive",
    "cut": "middle",
    "stream-cut": "middle",
    "stream-stall": "middle",
}
WRONG_LENGTHS = {"short-length": -2, "long-length": 2, "long-length-closed": 2}
SIGNALS = {"kill": signal.SIGKILL, "freeze": signal.SIGSTOP}
GARBAGE = b"\x00\xffgarbage\r\n"
OVERSIZE_BYTES = 9 * 1_048_576
# Deeper than a JSON decoder goes, and so deep that what decodes can't be encoded.
DEPTHS = {"deep": 5000, "nested": 960}


class State:
    """What the stand-in has run, and the faults that are still to come."""

    def __init__(self):
        self.lock = threading.Lock()
        self.prefixes = PrefixCache()
        self.requests = Counter()
        self.attempts = Counter()
        self.inputs = Counter()
        self.offered = 0
        self.finished = Counter()
        self.cancelled = 0
        self.faults = deque()
        self.leaving = False
        self.in_progress = 0
        self.capacity = Capacity(8)


STATE = State()


def fingerprint(value):
    """Return a short digest of an input; every result carries it."""
    text = json.dumps(value, sort_keys=True).encode()
    return hashlib.sha256(text).hexdigest()[:12]


def claim(folder, mark):
    """Take one fault that waits in a folder for an input; one server alone gets it.

    The servers of a service share the folder, so that a fault strikes whichever of
    them is called.
    """
    waiting = sorted(Path(folder).glob(f"{mark}-*.json")) if folder else []
    for path in waiting:
        try:
            fault = json.loads(path.read_text())
            path.unlink()
        except FileNotFoundError:
            continue
        return fault
    return {}


def swollen(content, kind):
    """Return a JSON object with a field that is far too long or nested too deep."""
    if kind == "oversize":
        return content[:-1] + b', "padding": "' + b"x" * OVERSIZE_BYTES + b'"}'
    depth = DEPTHS.get(kind, 0)
    if depth:
        return content[:-1] + b', "deep": ' + b"[" * depth + b"]" * depth + b"}"
    return content


def expected_text(value, tokens):
    """Return the text that an engine generates for an input."""
    return "".join(token_texts(value, tokens))


def token_texts(value, tokens):
    """Return the tokens that an engine generates for an input."""
    mark = fingerprint(value)
    return [f"{mark}-{i} " for i in range(tokens)]


class BackendHandler(Handler):
    """Serves calls, a load page and the controls of the stand-in."""

    def get(self, path, query):
        """Serve the load page or the run counts."""
        with STATE.lock:
            if path == "/standin/runs":
                body = {
                    "requests": dict(STATE.requests),
                    "attempts": dict(STATE.attempts),
                    "inputs": dict(STATE.inputs),
                    "offered": STATE.offered,
                    "finished": dict(STATE.finished),
                    "cancelled": STATE.cancelled,
                    "busy_seconds": STATE.capacity.busy_seconds,
                    "prefix_misses": STATE.prefixes.misses,
                }
            elif path == "/standin/work":
                body = STATE.capacity.report()
            else:
                body = {
                    "in_progress": STATE.in_progress,
                    "slots": SPEC["slots"],
                    "queued": STATE.capacity.queued,
                }
        self.reply(body)

    def post(self, path, body):
        """Serve a call, or take a control."""
        if path == "/standin/faults":
            with STATE.lock:
                for fault in body:
                    STATE.faults.extend([fault] * fault.get("times", 1))
            return self.reply({})
        if path == "/standin/leaving":
            STATE.leaving = body["leaving"]
            return self.reply({})
        if path == "/standin/slowdown":
            STATE.capacity.slowdown = body["factor"]
            return self.reply({})
        with STATE.lock:
            STATE.offered += 1
        if STATE.leaving and STATE.leaving != "silently":
            return self._refuse("leaving")
        fault = self._take_fault(body)
        if fault:
            self._record("struck", body)
        kind = fault.get("fault")
        if kind == "refuse":
            return self._refuse(fault.get("reason", "busy"))
        self._strike("arrive", fault)
        if kind == "crossed-refusal":
            headers = [*self._echo("r-other", "a-other"), ("X-Not-Run", "busy")]
            self._run_counted(body)
            return self.reply({"error": "busy"}, 503, headers)
        return self._run(body, fault, kind)

    def _take_fault(self, body):
        with STATE.lock:
            if STATE.faults:
                return STATE.faults.popleft()
        return claim(SPEC["faults"], fingerprint(body["input"]))

    def _strike(self, position, fault):
        """Bring a fault about where this is its position."""
        kind = fault.get("fault")
        if fault.get("at", DEFAULT_POSITIONS.get(kind)) != position:
            return
        if kind in ("slow", "late", "silent", "stream-stall"):
            self.wfile.flush()
            time.sleep(fault.get("seconds", 30 if kind == "silent" else 0))
        if kind in ("kill", "freeze"):
            self.wfile.flush()
            os.kill(os.getpid(), SIGNALS[kind])
        if kind == "signal":
            self.wfile.flush()
            os.kill(fault["pid"], fault["number"])
            if fault.get("then"):
                self._strike(position, {"fault": fault["then"], "at": position})
            time.sleep(fault.get("seconds", 0))
        if kind == "garbage":
            self.wfile.write(GARBAGE)
        if kind in ("cut", "silent", "stream-cut", "garbage"):
            self.cut()
            raise ConnectionAbortedError
        if kind == "reset":
            self.reset()
            raise ConnectionAbortedError

    def _refuse(self, reason):
        headers = [*self._echo(), ("X-Not-Run", reason)]
        self.reply({"error": reason}, 503, headers)

    def _run_counted(self, body):
        with STATE.lock:
            STATE.requests[self.headers["X-Request-Id"]] += 1
            STATE.attempts[self.headers["X-Attempt-Id"]] += 1
            STATE.inputs[fingerprint(body["input"])] += 1
        self._record("ran", body)

    def _record(self, what, body):
        """Write a line to the fleet's journal, which outlives a killed server."""
        if not SPEC["journal"]:
            return
        ids = self.headers["X-Request-Id"], self.headers["X-Attempt-Id"]
        line = [what, SPEC["service"], SPEC["name"], *ids, fingerprint(body["input"])]
        with open(SPEC["journal"], "ab", buffering=0) as journal:
            journal.write(" ".join(line).encode() + b"\n")

    def _run(self, body, fault, kind):
        priority = int(self.headers.get("X-Priority", 0))
        ids = (self.headers["X-Request-Id"], self.headers["X-Attempt-Id"])
        with STATE.lock:
            STATE.in_progress += 1
        self.slot = Slot(STATE.capacity, self.connection, *ids, priority)
        try:
            with self.slot:
                self._run_counted(body)
                self._answer(body, fault, kind)
        except QueueFullError:
            return self._refuse("busy")
        except OSError:
            STATE.cancelled += 1
            raise
        finally:
            with STATE.lock:
                STATE.in_progress -= 1

    def _answer(self, body, fault, kind):
        self.slot.spend(SPEC["service_ms"])
        if SPEC["kind"] == "engine":
            whole = SPEC["prefill_ms"]
            self.slot.spend(STATE.prefixes.milliseconds(body["prompt"], whole))
        self._strike("ran", fault)
        if kind == "error":
            return self.reply({"error": "broken"}, 500, self._echo())
        stream = bool(body.get("stream"))
        parts = self._stream_parts(body, kind) if stream else self._parts(body, kind)
        pause_ms = SPEC["token_ms"] if stream else 0
        self.wfile.write(self._head(stream, kind, sum(map(len, parts))))
        self._strike("head", fault)
        for i, part in enumerate(parts):
            if i == len(parts) // 2:
                self._strike("middle", fault)
            if i == len(parts) - 1:
                self._strike("end", fault)
            # The end mark of a stream is no token and takes no time.
            self.slot.spend(pause_ms if i < self._tokens(body) else 0)
            self.wfile.write(part)
            self.wfile.flush()
        self._finished()
        self._record("finished", body)
        if kind == "duplicated":
            self.wfile.write(self._head(False, kind, 2) + b"{}")
        if kind in ("no-length", "long-length-closed"):
            self.close_connection = True
        self._strike("after", fault)

    def _head(self, stream, kind, length):
        crossed = kind == "crossed"
        headers = self._echo("r-other", "a-other") if crossed else self._echo()
        if stream:
            headers.append(("Content-Type", "text/event-stream"))
            headers.append(("Transfer-Encoding", "chunked"))
        elif kind != "no-length":
            wrong = WRONG_LENGTHS.get(kind, 0)
            headers.append(("Content-Length", str(length + wrong)))
        status = "HTTP/1.1 200 OK" if kind != "garbage-status" else "\x00\xff 200 ?"
        lines = [status, *(f"{name}: {value}" for name, value in headers), "", ""]
        return "\r\n".join(lines).encode("latin-1")

    def _parts(self, body, kind):
        """Return a whole answer in three parts, the last of one byte."""
        content = swollen(json.dumps(self._result(body)).encode(), kind)
        if kind == "truncated":
            content = content[: len(content) // 2]
        half = len(content) // 2
        return [content[:half], content[half:-1], content[-1:]]

    def _result(self, body):
        mark = fingerprint(body["input"])
        kind = SPEC["kind"]
        if kind == "engine":
            self.slot.spend(SPEC["token_ms"] * self._tokens(body))
            text = expected_text(body["input"], self._tokens(body))
            return {"text": text, "tokens": self._tokens(body), "mark": mark}
        if kind == "encoder":
            return {"embedding": [0.1, 0.2, 0.3], "mark": mark}
        if kind == "retriever":
            return {"documents": [f"{mark}-{i}" for i in range(4)], "mark": mark}
        if kind == "reranker":
            return {"order": [2, 0, 1, 3], "mark": mark}
        return {"done": True, "mark": mark, "server": SPEC["name"]}

    def _tokens(self, body):
        return min(SPEC["tokens"], body.get("max_tokens", SPEC["tokens"]))

    def _stream_parts(self, body, kind):
        """Return the chunks of a streamed answer; the last is the end mark's."""
        texts = token_texts(body["input"], self._tokens(body))
        attempt = self.headers["X-Attempt-Id"]
        events = []
        for i, text in enumerate(texts):
            last = i == len(texts) - 1
            part = {
                "id": "a-other" if kind == "stream-crossed" and i else attempt,
                "choices": [{"text": text, "finish_reason": "stop" if last else None}],
            }
            if kind == "no-choices" and i:
                part["choices"] = []
            content = swollen(json.dumps(part).encode(), kind if i else None)
            events.append(b"data: " + content + b"\n\n")
        if kind == "truncated":
            events[-1] = events[-1][:20]
        if kind not in ("stream-unended", "truncated"):
            events.append(b"data: [DONE]\n\n")
        if kind == "beyond-end":
            events.append(events[0])
        chunks = [b"%x\r\n%b\r\n" % (len(event), event) for event in events]
        chunks[-1] += b"" if kind == "no-last-chunk" else b"0\r\n\r\n"
        return chunks

    def _finished(self):
        with STATE.lock:
            STATE.finished[self.headers["X-Request-Id"]] += 1
        self.slot.work.finished = True

    def _echo(self, request=None, attempt=None):
        return [
            ("X-Request-Id", request or self.headers["X-Request-Id"]),
            ("X-Attempt-Id", attempt or self.headers["X-Attempt-Id"]),
            ("X-Load", f"{STATE.in_progress}/{SPEC['slots']}"),
        ]


if __name__ == "__main__":
    SPEC.update(json.loads(sys.argv[1]))
    STATE.capacity = Capacity(SPEC["slots"], SPEC["queue"])
    serve(SPEC["address"], SPEC["port"], BackendHandler)
