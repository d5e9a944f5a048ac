"""A runner of an application service, which sends its answer as it makes it.

An answer has a length, or it has none and ends with its channel.
"""

import hashlib
import json
import random
import sys
import time

from review.standins.runner import Runner
from review.standins.schedule import Windows

__all__ = ["answer_body"]

BODY_LINES = 12


def answer_body(request_id):
    """Return the whole body of the answer to a request."""
    lines = [
        hashlib.sha256(f"{request_id}/{number}".encode()).hexdigest()
        for number in range(BODY_LINES)
    ]
    return ("\n".join(lines) + "\n").encode()


class AppRunner(Runner):
    """One runner.

    :param spec: also ``unframed`` (the windows of answers without a length),
        ``unframed_share``, ``work_seconds`` (the least and the most) and ``seed``.
    """

    def __init__(self, spec):
        super().__init__(spec)
        self._windows = Windows(**spec["unframed"])
        self._share = spec["unframed_share"]
        self._work = spec["work_seconds"]
        self._random = random.Random(spec["seed"])

    def serve_call(self, call):
        """Run a request."""
        with self.place() as free:
            if not free:
                call.answer(503, more=[("Not-Run", "1")])
                return True
            return self._work_on(call)

    def _work_on(self, call):
        draw = self._random.random()
        unframed = self._windows.open() and draw < self._share
        seconds = self._random.uniform(*self._work)
        body = answer_body(call.request_id)
        self.record.note("run", request=call.request_id, unframed=unframed)
        length = None if unframed else len(body)
        part = call.head(200, [("Server-Seal", f"seal-{call.request_id}")], length)
        for line in body.splitlines(keepends=True):
            time.sleep(seconds / BODY_LINES)
            call.sock.sendall(part + line)
            part = b""
        self.record.note("sent", request=call.request_id, bytes=len(body))
        return not unframed


if __name__ == "__main__":
    AppRunner(json.loads(sys.argv[1])).run()
