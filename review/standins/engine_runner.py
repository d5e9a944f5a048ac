"""A model runner: it fetches the results that a request names and streams events."""

import json
import sys
import time

from review.standins.results import are_held
from review.standins.runner import Runner

EVENTS = 6


class EngineRunner(Runner):
    """One runner.

    :param spec: also ``first_seconds`` (until the first event) and ``event_seconds``.
    """

    def __init__(self, spec):
        super().__init__(spec)
        self._first = spec["first_seconds"]
        self._pause = spec["event_seconds"]

    def serve_call(self, call):
        """Run a request."""
        inputs = [i for i in call.headers.get("Inputs", "").split(",") if i]
        if not inputs:
            call.answer(400, more=[("Not-Run", "1")])
            return True
        with self.place() as free:
            if not free:
                call.answer(503, more=[("Not-Run", "1")])
                return True
            if not are_held(inputs):
                call.answer(409, more=[("Not-Run", "1")])
                return True
            return self._stream(call, inputs)

    def _stream(self, call, inputs):
        self.record.note("run", request=call.request_id, inputs=inputs)
        time.sleep(self._first)
        lines = [
            "HTTP/1.1 200 OK",
            f"Request-Id: {call.request_id}",
            f"Server-Seal: seal-{call.request_id}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        call.sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())
        after = int(call.headers.get("Last-Event-Id", 0))
        for number in range(after + 1, EVENTS + 1):
            event = f"id: {number}\ndata: {call.request_id} {number}\n\n".encode()
            call.sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(self._pause)
        call.sock.sendall(b"0\r\n\r\n")
        return True


if __name__ == "__main__":
    EngineRunner(json.loads(sys.argv[1])).run()
