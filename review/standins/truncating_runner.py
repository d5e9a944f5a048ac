"""A runner of an application service that now and then truncates an answer.

A truncated answer ends with its channel after some of its bytes, each number of them
being as likely as another.
"""

import json
import random
import sys
import time

from review.standins.app_runner import answer_body
from review.standins.runner import Runner
from review.standins.schedule import Windows


class TruncatingRunner(Runner):
    """One runner.

    :param spec: also ``truncating`` (the windows of truncated answers),
        ``truncated_share``, ``work_seconds`` (the least and the most) and ``seed``.
    """

    def __init__(self, spec):
        super().__init__(spec)
        self._windows = Windows(**spec["truncating"])
        self._share = spec["truncated_share"]
        self._work = spec["work_seconds"]
        self._random = random.Random(spec["seed"])

    def serve_call(self, call):
        """Run a request."""
        with self.place() as free:
            if not free:
                call.answer(503, more=[("Not-Run", "1")])
                return True
            self.record.note("run", request=call.request_id)
            time.sleep(self._random.uniform(*self._work))
        body = answer_body(call.request_id)
        seal = [("Server-Seal", f"seal-{call.request_id}")]
        whole = call.head(200, seal, len(body)) + body
        if self._windows.open() and self._random.random() < self._share:
            size = self._random.randrange(1, len(whole))
            self.record.note("truncated", request=call.request_id, bytes=size)
            call.sock.sendall(whole[:size])
            return False
        call.sock.sendall(whole)
        self.record.note("sent", request=call.request_id, bytes=len(whole))
        return True


if __name__ == "__main__":
    TruncatingRunner(json.loads(sys.argv[1])).run()
