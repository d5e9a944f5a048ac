"""A stand-in for one backend server: an engine, a pool server or a plain service.

Usage: python -m tests.standins.backend SPEC

SPEC is JSON: name, kind, address, port, and optionally slots, service_ms, token_ms,
tokens. Results are derived from the input, so that a caller can tell its own.

``POST /standin/faults`` queues faults, one taken by each call; ``GET /standin/runs``
tells how often each request id and attempt id was run.
"""

import hashlib
import json
import sys
import threading
import time
from collections import Counter, deque

from tests.standins.http import Handler, serve

SPEC = {
    "slots": 8,
    "service_ms": 2.0,
    "token_ms": 1.0,
    "tokens": 8,
    "incarnation": "1",
}


class State:
    """What the stand-in has run, and the faults that are still to come."""

    def __init__(self):
        self.lock = threading.Lock()
        self.requests = Counter()
        self.attempts = Counter()
        self.finished = Counter()
        self.cancelled = 0
        self.faults = deque()
        self.leaving = False
        self.in_progress = 0
        self.busy_seconds = 0.0
        self.slots = threading.Semaphore(8)


STATE = State()


def fingerprint(value):
    """Return a short digest of an input; every result carries it."""
    text = json.dumps(value, sort_keys=True).encode()
    return hashlib.sha256(text).hexdigest()[:12]


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
                    "finished": dict(STATE.finished),
                    "cancelled": STATE.cancelled,
                    "busy_seconds": STATE.busy_seconds,
                }
            else:
                body = {"in_progress": STATE.in_progress, "slots": SPEC["slots"]}
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
        fault = self._take_fault()
        kind = fault.get("fault")
        if STATE.leaving:
            return self._refuse("leaving")
        if kind == "refuse":
            return self._refuse("busy")
        if kind == "reset":
            return self.reset()
        if kind == "crossed-refusal":
            headers = [*self._echo("r-other", "a-other"), ("X-Not-Run", "busy")]
            self._run_counted()
            return self.reply({"error": "busy"}, 503, headers)
        return self._run(body, fault, kind)

    def _take_fault(self):
        with STATE.lock:
            return STATE.faults.popleft() if STATE.faults else {}

    def _refuse(self, reason):
        headers = [*self._echo(), ("X-Not-Run", reason)]
        self.reply({"error": reason}, 503, headers)

    def _run_counted(self):
        with STATE.lock:
            STATE.requests[self.headers["X-Request-Id"]] += 1
            STATE.attempts[self.headers["X-Attempt-Id"]] += 1

    def _run(self, body, fault, kind):
        self._run_counted()
        with STATE.lock:
            STATE.in_progress += 1
        try:
            with STATE.slots:
                began = time.monotonic()
                try:
                    self._answer(body, fault, kind)
                finally:
                    STATE.busy_seconds += time.monotonic() - began
        except OSError:
            STATE.cancelled += 1
            raise
        finally:
            with STATE.lock:
                STATE.in_progress -= 1

    def _answer(self, body, fault, kind):
        time.sleep(SPEC["service_ms"] / 1000)
        if kind in ("slow", "late"):
            time.sleep(fault["seconds"])
        if kind == "silent":
            time.sleep(fault.get("seconds", 30))
            return self.cut()
        if kind == "error":
            return self.reply({"error": "broken"}, 500, self._echo())
        if body.get("stream"):
            return self._stream(body, fault, kind)
        echo = self._echo("r-other", "a-other") if kind == "crossed" else self._echo()
        content = json.dumps(self._result(body)).encode()
        self.send_response_only(200)
        for name, value in echo:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(content)))
        self.end_headers()
        if kind == "cut":
            self.wfile.write(content[: fault.get("bytes", len(content) // 2)])
            return self.cut()
        self.wfile.write(content)
        if kind == "duplicated":
            self.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
        self._finished()
        self.wfile.flush()

    def _result(self, body):
        mark = fingerprint(body["input"])
        kind = SPEC["kind"]
        if kind == "engine":
            time.sleep(SPEC["token_ms"] * self._tokens(body) / 1000)
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

    def _stream(self, body, fault, kind):
        texts = token_texts(body["input"], self._tokens(body))
        attempt = self.headers["X-Attempt-Id"]
        self.send_response_only(200)
        for name, value in self._echo():
            self.send_header(name, value)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for i, text in enumerate(texts):
            if kind == "stream-cut" and i == len(texts) // 2:
                return self.cut()
            if kind == "stream-stall" and i == len(texts) // 2:
                time.sleep(fault["seconds"])
            time.sleep(SPEC["token_ms"] / 1000)
            last = i == len(texts) - 1
            part = {
                "id": "a-other" if kind == "stream-crossed" and i else attempt,
                "choices": [{"text": text, "finish_reason": "stop" if last else None}],
            }
            self._chunk(b"data: " + json.dumps(part).encode() + b"\n\n")
        if kind != "stream-unended":
            self._chunk(b"data: [DONE]\n\n")
        self._chunk(b"")
        self._finished()

    def _chunk(self, data):
        self.wfile.write(b"%x\r\n%b\r\n" % (len(data), data))
        self.wfile.flush()

    def _finished(self):
        with STATE.lock:
            STATE.finished[self.headers["X-Request-Id"]] += 1

    def _echo(self, request=None, attempt=None):
        return [
            ("X-Request-Id", request or self.headers["X-Request-Id"]),
            ("X-Attempt-Id", attempt or self.headers["X-Attempt-Id"]),
            ("X-Load", f"{STATE.in_progress}/{SPEC['slots']}"),
        ]


if __name__ == "__main__":
    SPEC.update(json.loads(sys.argv[1]))
    STATE.slots = threading.Semaphore(SPEC["slots"])
    serve(SPEC["address"], SPEC["port"], BackendHandler)
