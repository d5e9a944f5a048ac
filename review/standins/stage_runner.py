"""A runner of a stage service: it makes pieces in calls and keeps their results.

While it garbles, a share of its answers to calls is followed by an extra answer with
the same bytes, which arrives late: where the next answer on that channel is expected.
"""

import json
import random
import sys
import time
from collections import defaultdict

from review.standins.results import RESULT_PATH, are_held
from review.standins.runner import Runner
from review.standins.schedule import Windows

STAGE_CALL = "/boragestream/stage-run"
FREE_CALL = "/boragestream/stage-free"
REPORT_CALL = "/boragestream/report"
JSON = [("Content-Type", "application/json")]


class StageRunner(Runner):
    """One runner.

    :param spec: also ``extra`` (the windows of extra answers), ``extra_share``,
        ``call_seconds``, ``piece_seconds``, ``room_mb``, ``result_bytes``,
        ``handle_seconds`` and ``seed``.
    """

    def __init__(self, spec):
        super().__init__(spec)
        self._spec = spec
        self._windows = Windows(**spec["extra"])
        self._random = random.Random(spec["seed"])
        # The extra answers that are still to come, by the connection.
        self._extras = defaultdict(list)
        self._held = {}
        self._numbers = 0

    def before_answer(self, sock):
        """Send the extra answer that is due on a channel."""
        for extra, request_ids in self._extras.pop(sock, []):
            self.record.note("extra-answer", requests=request_ids)
            sock.sendall(extra)

    def closed(self, sock):
        """Forget the extra answers that were due on a channel."""
        self._extras.pop(sock, None)

    def serve_call(self, call):
        """Answer a call."""
        if call.target == STAGE_CALL:
            with self.place() as free:
                if not free:
                    call.answer(503, more=[("Not-Run", "1")])
                    return True
                self._make(call)
            return True
        if call.target == FREE_CALL:
            for handle in json.loads(call.body)["handles"]:
                self._held.pop(handle, None)
            call.answer(200, b"{}", JSON)
            return True
        if call.target == REPORT_CALL:
            report = {
                "queued": self.waiting,
                "busy": int(self.working),
                "free_mb": self._free_mb(),
            }
            call.answer(200, json.dumps(report).encode(), JSON)
            return True
        if call.target.startswith(RESULT_PATH):
            handle = f"{self._spec['address']}/{call.target.removeprefix(RESULT_PATH)}"
            self._drop_expired()
            call.answer(200 if handle in self._held else 404)
            return True
        call.answer(404)
        return True

    def _free_mb(self):
        return (
            self._spec["room_mb"] - len(self._held) * self._spec["result_bytes"] / 1e6
        )

    def _make(self, call):
        items = json.loads(call.body)["items"]
        work = self._spec["call_seconds"] + len(items) * self._spec["piece_seconds"]
        time.sleep(work)
        results = [self._result(item) for item in items]
        body = json.dumps({"items": results}).encode()
        head = call.head(200, JSON, len(body))
        call.sock.sendall(head + body)
        if self._windows.open() and self._random.random() < self._spec["extra_share"]:
            request_ids = sorted({item["id"] for item in items})
            self._extras[call.sock].append((head + body, request_ids))

    def _drop_expired(self):
        now = time.monotonic()
        for handle in [h for h, until in list(self._held.items()) if now >= until]:
            self._held.pop(handle, None)

    def _result(self, item):
        self._drop_expired()
        if not are_held(item.get("inputs", [])):
            return {"reason": "gone"}
        if self._free_mb() < self._spec["result_bytes"] / 1e6:
            return {"reason": "room"}
        self._numbers += 1
        handle = f"{self._spec['address']}/{self._random.getrandbits(44):011x}"
        self._held[handle] = time.monotonic() + self._spec["handle_seconds"]
        self.record.note(
            "piece",
            request=item["id"],
            stage=item["stage"],
            piece=item["piece"],
            key=item.get("key", ""),
            inputs=item.get("inputs", []),
            handle=handle,
        )
        return {"handle": handle}


if __name__ == "__main__":
    StageRunner(json.loads(sys.argv[1])).run()
