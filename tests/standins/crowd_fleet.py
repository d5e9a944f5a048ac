"""One entry of JSON pipelines with little memory, before servers with long answers."""

import http.client
import json
import time

from tests.standins.crowd_site import PAUSE_SECONDS, RETURNS, run_on_small_machine
from tests.standins.crowds import LARGE_BUFFER_BYTES, Manners
from tests.standins.fleet import ADDRESS, Fleet
from tests.standins.held_memory import HeldMemory
from tests.standins.sites import example_document, example_key, example_servers

SITE = "cooperative"
MEMORY_MB = 192
DESCRIPTORS = 1024
# The last stage of the first pipeline can give long answers; the other one is ordinary.
LONG_PIPELINE, LONG_SERVICE = "order-status", "member-ledger"
ORDINARY_PIPELINE = "caption"
STREAM_PIPELINE, TOKENS = "name-chat", 20_000
LONG_ANSWERS = 1_000_000
LONG_BYTES = 4_000_000
DEADLINE_MS = 30_000
BODY_BYTES = 1_000_000
AT_ONCE = 500
TICKETS = 2_000
LEAVING_STEPS = 30
KEY = example_key("patan-counter")
# Enough for as many calls as an entry makes.
ROOM = {"slots": 256, "service_ms": 0.0, "token_ms": 0.0, "tokens": TOKENS}


class CrowdFleet(Fleet):
    """A deployment with one entry, which is told that its machine is small."""

    def __init__(self):
        """Make everything."""
        document = example_document(SITE)
        for pipeline in document["pipelines"]:
            pipeline["deadline_ms"] = DEADLINE_MS
            if pipeline["name"] == STREAM_PIPELINE:
                pipeline["stages"][-1]["max_tokens"] = TOKENS
        super().__init__(document, example_servers(SITE), entries=1, backend=ROOM)
        run_on_small_machine(self.entries["entry-1"], MEMORY_MB, DESCRIPTORS)
        self.followed = {}

    def __enter__(self):
        """Start everything, and follow what the entry holds."""
        super().__enter__()
        process = self.entries["entry-1"]
        ports = [server.port for server in self.servers.values()]
        pid, port = process.popen.pid, process.port
        self.followed["entry-1"] = HeldMemory(pid, [port], ports)
        return self

    def __exit__(self, *error):
        """End everything."""
        for name, followed in self.followed.items():
            followed.close()
            print(f"{name} held at the most: {followed.describe()}")
        super().__exit__(*error)

    def request(self, pipeline, content, more=()):
        """Return a request as bytes."""
        lines = [
            f"POST /v1/pipelines/{pipeline} HTTP/1.1",
            f"Host: {ADDRESS}",
            f"Authorization: Bearer {KEY}",
            "Content-Type: application/json",
            f"Content-Length: {len(content)}",
            *more,
        ]
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + content

    def lengthen_answers(self, fault):
        """Have the last stage of the first pipeline give long answers from now on."""
        for name, server in self.servers.items():
            if server.extra["service"] == LONG_SERVICE:
                self.inject(name, {"fault": fault, "times": LONG_ANSWERS})

    def serve_ordinary(self):
        """Return whether a caller is answered that comes back when it is told to."""
        port = self.entries["entry-1"].port
        headers = {"Authorization": f"Bearer {KEY}"}
        content = json.dumps({"input": "an ordinary request"})
        for _ in range(RETURNS):
            connection = http.client.HTTPConnection(ADDRESS, port, timeout=10)
            try:
                path = f"/v1/pipelines/{ORDINARY_PIPELINE}"
                connection.request("POST", path, content, headers)
                answer = connection.getresponse()
                body = json.loads(answer.read())
                wait = float(answer.headers.get("Retry-After", PAUSE_SECONDS))
            except TimeoutError:
                # It takes no more time than an ordinary caller has.
                return False
            except (OSError, http.client.HTTPException):
                wait = PAUSE_SECONDS
            else:
                if body["outcome"] == "answered":
                    return True
            finally:
                connection.close()
            time.sleep(wait)
        return False


def long_answers(fleet, **reading):
    """Return callers that ask for long answers."""
    fleet.lengthen_answers("long")

    def sends(number):
        content = json.dumps({"input": f"crowd {number}"}).encode()
        return fleet.request(LONG_PIPELINE, content)

    return Manners(sends, **reading)


def long_streams(fleet):
    """Return callers that ask for long streams and read nothing."""

    def sends(number):
        content = json.dumps({"input": f"crowd {number}"}).encode()
        more = ("Accept: text/event-stream",)
        return fleet.request(STREAM_PIPELINE, content, more)

    return Manners(sends)


def bodies_of_many_values(fleet):
    """Return callers whose bodies have as many values as they have room for."""

    def sends(number):
        content = b'{"input":[' + b"{}," * (BODY_BYTES // 3) + b"%d]}" % number
        return fleet.request(ORDINARY_PIPELINE, content)

    return Manners(sends, endless=True, reads_at_most=None)


def requests_without_pause(fleet):
    """Return callers that send requests without end and read nothing."""
    request = b"GET /v1/nothing HTTP/1.1\r\nHost: x\r\n\r\n"
    return Manners(lambda number: request * AT_ONCE, endless=True)


def tickets_without_pause(fleet):
    """Return callers that ask for tickets without end and read nothing."""
    lines = [
        "POST /v1/tickets HTTP/1.1",
        f"Host: {ADDRESS}",
        f"Authorization: Bearer {KEY}",
        "Content-Length: 0",
    ]
    request = "\r\n".join(lines).encode() + b"\r\n\r\n"
    return Manners(lambda number: request * AT_ONCE, endless=True)


def ticketed_answers(fleet):
    """Return callers that leave while their tickets' long answers are made."""
    fleet.lengthen_answers("half")
    address = fleet.entries["entry-1"].address
    connection = http.client.HTTPConnection(address, timeout=10)
    tickets = []
    for _ in range(TICKETS):
        connection.request(
            "POST", "/v1/tickets", headers={"Authorization": f"Bearer {KEY}"}
        )
        tickets.append(json.loads(connection.getresponse().read())["ticket"])
    connection.close()

    def sends(number):
        content = json.dumps({"input": f"crowd {number}"}).encode()
        more = (f"Idempotency-Key: {tickets[number % TICKETS]}",)
        return fleet.request(LONG_PIPELINE, content, more)

    return Manners(sends, resets_after=LEAVING_STEPS)


# By name: the number of callers and their manners.
PIPELINE_CROWDS = {
    "answers, read in large part": (
        60,
        lambda fleet: long_answers(
            fleet,
            reads_at_most=LONG_BYTES * 9 // 10,
            buffer_bytes=LARGE_BUFFER_BYTES,
        ),
    ),
    "answers, not read": (60, long_answers),
    "streams, not read": (120, long_streams),
    "streams of more callers than threads": (300, long_streams),
    "bodies of many values": (60, bodies_of_many_values),
    "requests without a pause": (40, requests_without_pause),
    "tickets without a pause": (40, tickets_without_pause),
    "tickets whose callers leave": (60, ticketed_answers),
    "nothing": (900, lambda fleet: Manners(lambda number: b"")),
}
