"""One client process of the load tool.

Usage: python -m bench.load.client

It reads a line of JSON with addresses and arrivals, prints ``ready``, reads the
monotonic time at which to start, makes each request at its time, and prints one line
of JSON with the samples. Each caller asks the system which entries to use and goes on
to the next only where its connection was refused, as a caller may. With ``spread`` a
caller takes the named entries in an order of its own.
"""

import json
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass

from bench.load.deployment import DEADLINE_SECONDS, TOKENS, account_key
from boragestream.operator.client import CallReply, Client
from tests.standins.answers import expected_text, fingerprint

__all__ = ["Sample", "main"]

THREADS = 320
ENTRY_TRIES = 2
PREFIX_WORDS = 60


@dataclass(frozen=True, slots=True)
class Sample:
    """One request as its caller saw it.

    :ivar at: seconds after the start at which it was due.
    :ivar lag: seconds by which the tool was late.
    :ivar seconds: from sending to the last byte.
    :ivar first: seconds to the first token of a streamed answer.
    :ivar outcome: one of the four outcomes, ``lost`` where none came, ``unreached``
        where no entry accepted the connection.
    :ivar crossed: whether the answer was made from another input.
    """

    number: int
    at: float
    lag: float
    account: str
    pipeline: str
    entry: str
    seconds: float
    first: float | None
    outcome: str
    failure: str
    request_id: str
    crossed: bool


def request_body(arrival: dict) -> dict:
    """Return the input of a request; some share a long beginning."""
    words = [f"prefix-{arrival['prefix']}"] * PREFIX_WORDS
    return {"prompt": " ".join(words), "number": arrival["number"]}


def make_request(arrival: dict, client: Client, began: float, spread: bool) -> Sample:
    """Make one request and describe it."""
    body = request_body(arrival)
    addresses = client.addresses()
    if spread:
        turn = arrival["number"] % len(addresses)
        addresses = (*addresses[turn:], *addresses[:turn])
    lag = time.monotonic() - began - arrival["at"]
    sending = time.monotonic()
    for address in addresses[:ENTRY_TRIES]:
        reply = client.call(
            arrival["pipeline"],
            body,
            deadline_ms=int(DEADLINE_SECONDS * 1000),
            stream=arrival["stream"],
            address=address,
        )
        if isinstance(reply, CallReply) or reply.sent:
            break
    seconds = time.monotonic() - sending
    whole = isinstance(reply, CallReply)
    answered = whole and reply.outcome == "answered"
    return Sample(
        number=arrival["number"],
        at=arrival["at"],
        lag=lag,
        account=arrival["account"],
        pipeline=arrival["pipeline"],
        entry=address,
        seconds=seconds,
        first=reply.first_seconds if whole else None,
        outcome=reply.outcome if whole else ("lost" if reply.sent else "unreached"),
        failure=reply.problem.get("type", "") if whole else reply.reason,
        request_id=reply.request_id if whole else "",
        crossed=answered and not is_own(reply, body, arrival["stream"]),
    )


def is_own(reply: CallReply, body: dict, stream: bool) -> bool:
    """Tell whether an answer was made from this input."""
    if stream:
        return reply.result == expected_text(body, TOKENS)
    return reply.result["mark"] == fingerprint(body)


def main() -> int:
    """Make the requests; return the exit code."""
    job = json.loads(sys.stdin.readline())
    clients: dict[tuple[str, int], Client] = {}
    for arrival in job["arrivals"]:
        who = (arrival["account"], arrival["caller"])
        if who not in clients:
            # Each caller knows some entries from before, not all in one order.
            turn = arrival["caller"] % len(job["addresses"])
            seeds = (*job["addresses"][turn:], *job["addresses"][:turn])
            clients[who] = Client(account_key(who[0]), seeds)
    print("ready", flush=True)
    began = float(sys.stdin.readline())
    spread = job["spread"]
    with ThreadPoolExecutor(THREADS) as pool:
        futures = []
        for arrival in job["arrivals"]:
            time.sleep(max(0.0, began + arrival["at"] - time.monotonic()))
            client = clients[arrival["account"], arrival["caller"]]
            futures.append(pool.submit(make_request, arrival, client, began, spread))
        samples = [asdict(future.result()) for future in futures]
    print(json.dumps(samples))
    return 0


if __name__ == "__main__":
    sys.exit(main())
