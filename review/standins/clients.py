"""Clients: each sends one request after the other on kept channels.

A client takes the daemons' addresses from the directory and keeps them for a second. A
channel on which a request failed is not used again.
"""

import http.client
import random
import threading
import time

from review.standins.records import Recorder
from review.standins.site import HOST, KEY

__all__ = ["Answer", "Clients"]

KEEP_SECONDS = 1.0
# A client that is refused comes back after what the daemon says, or after this.
RETRY_SECONDS = 0.05


class Answer:
    """What a client got.

    :ivar status: the status; None if there was none.
    :ivar headers: the headers; empty if there were none.
    :ivar body: the bytes of the body, as far as they came.
    :ivar whole: whether the answer ended as its head says that it ends.
    """

    def __init__(self, status=None, headers=None, body=b"", whole=False):
        self.status, self.headers = status, headers or {}
        self.body, self.whole = body, whole


class Clients:
    """Some clients, each in a thread of its own.

    :param site: the deployment.
    :param count: how many there are.
    :param make: returns method, path, headers and body of a request, given its id.
    :param take: called with the id, what ``make`` returned and the answer.
    """

    def __init__(self, site, count, make, take, pause=lambda: 0.0, seed=1):
        self._site, self._make, self._take, self._pause = site, make, take, pause
        self._record = Recorder(site.logs / "clients.jsonl", "client")
        self._stop = threading.Event()
        self._seed = seed
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(count)
        ]

    @property
    def record(self):
        """The recorder of what clients sent and got."""
        return self._record

    def start(self):
        """Start all."""
        for thread in self._threads:
            thread.start()

    def stop(self, seconds):
        """Let each finish its request, and wait at most some seconds."""
        self._stop.set()
        until = time.monotonic() + seconds
        for thread in self._threads:
            thread.join(max(0.0, until - time.monotonic()))

    def _run(self, number):
        rng = random.Random(f"{self._seed}/{number}")
        addresses, known_until, connection = [], 0.0, None
        while not self._stop.is_set():
            if time.monotonic() >= known_until:
                addresses = self._site.resolve() or addresses
                known_until = time.monotonic() + KEEP_SECONDS
            if not addresses:
                time.sleep(RETRY_SECONDS)
                continue
            if connection is None:
                connection = http.client.HTTPConnection(rng.choice(addresses))
            request_id = f"{rng.getrandbits(64):016x}"
            made = self._make(request_id, rng)
            answer = self._send(connection, request_id, made)
            self._take(request_id, made, answer)
            closing = answer.headers.get("Connection", "").lower() == "close"
            if not answer.whole or closing or rng.random() < 0.05:
                connection.close()
                connection = None
            if answer.status == 503:
                time.sleep(float(answer.headers.get("Retry-After", RETRY_SECONDS)))
            else:
                time.sleep(self._pause())

    def _send(self, connection, request_id, made):
        method, path, headers, body = made
        wait = int(headers["Deadline-Ms"]) / 1000
        connection.timeout = wait
        if connection.sock is not None:
            connection.sock.settimeout(wait)
        sent = {
            "Host": HOST,
            "Request-Id": request_id,
            "Authorization": f"Bearer {KEY}",
            **headers,
        }
        self._record.note("request", request=request_id, path=path)
        answer = Answer()
        try:
            connection.request(method, path, body, sent)
            response = connection.getresponse()
            answer.status, answer.headers = response.status, response.headers
            answer.body = response.read()
            answer.whole = True
        except http.client.IncompleteRead as error:
            answer.body = error.partial
        except (OSError, http.client.HTTPException):
            pass
        self._record.note(
            "answer",
            request=request_id,
            status=answer.status,
            whole=answer.whole,
            bytes=len(answer.body),
            seal=answer.headers.get("Server-Seal"),
        )
        return answer
