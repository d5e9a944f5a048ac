"""Callers of streams, who take up a stream that broke in a new request."""

import contextlib
import http.client
import re
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from tests.standins.route_server import EVENTS
from tests.standins.route_site import HOST, KEY

EVENT = re.compile(rb"id: (\d+)\ndata: \d+ (\S+) w+\n\n")
STAGED = {"Pieces": "2,1", "Piece-Key": "k"}


@dataclass
class Tries:
    """What a caller got of one stream, over all its tries."""

    events: list = field(default_factory=list)
    statuses: list = field(default_factory=list)
    seconds: list = field(default_factory=list)
    began: str = ""
    entry: str = ""
    request_id: str = ""
    # The number of the last event, and what each try sends besides.
    length: int = EVENTS
    headers: dict = field(default_factory=dict)

    @property
    def versions(self):
        """The versions of the servers that wrote its events."""
        return {version for _, version in self.events}

    @property
    def whole(self):
        """Whether each event came once and in order."""
        return [number for number, _ in self.events] == list(range(1, self.length + 1))


def read_stream(
    site, tries, entry, path, most=None, seen=lambda events: None, **headers
):
    """Read events of a stream as the caller's next try; close after ``most`` events.

    ``seen`` is called with the events of the try after each read.
    """
    most = most or tries.length
    tries.request_id = request_id = f"s-{next(site.numbers)}"
    sent = {
        "Host": HOST,
        "Request-Id": request_id,
        "Deadline-Ms": "6000",
        "Authorization": f"Bearer {KEY}",
        **(STAGED if path.startswith("/staged/") else {}),
        **tries.headers,
    }
    if tries.events:
        sent["Last-Event-Id"] = str(tries.events[-1][0])
        sent["Resumes"] = tries.began
    sent.update(headers)
    address = site.fields[entry]["listen"]["front"]
    connection = http.client.HTTPConnection(address, timeout=8)
    began, data, got = time.monotonic(), b"", []
    with contextlib.closing(connection):
        try:
            connection.request("POST", path, request_id.encode(), sent)
            response = connection.getresponse()
            tries.statuses.append(response.status)
            while len(got) < most and (chunk := response.read1(4096)):
                data += chunk
                got = EVENT.findall(data)
                seen([(int(n), version.decode()) for n, version in got])
        except (http.client.HTTPException, OSError):
            tries.statuses.append(0)
    tries.seconds.append(time.monotonic() - began)
    if got and not tries.events:
        tries.began, tries.entry = request_id, entry
    tries.events += [(int(n), version.decode()) for n, version in got[:most]]
    return tries


def run_all(context, count, work):
    """Do some work for a number of streams at once; keep what callers got."""
    with ThreadPoolExecutor(count) as pool:
        context.tries = list(pool.map(work, range(count)))
