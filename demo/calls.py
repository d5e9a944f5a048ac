"""Makes the demo's requests, as callers of the cooperative would."""

import random
import time
from dataclasses import dataclass

from boragestream.operator.client import CallReply, Client, EntryUnreachable
from boragestream.operator.tickets import call_once
from tests.standins.answers import expected_text, fingerprint

TOKENS = 8
STREAMED_SHARE = 0.7
LONGEST_NOTE = 20


@dataclass(frozen=True)
class Sample:
    """One request as its caller saw it.

    :ivar once: whether it was made under a ticket.
    :ivar crossed: whether it was answered with another request's answer.
    """

    account: str
    pipeline: str
    stream: bool
    once: bool
    reply: CallReply | EntryUnreachable
    crossed: bool
    seconds: float
    deadline_seconds: float

    @property
    def outcome(self):
        """The outcome, ``lost`` where no whole reply came."""
        return self.reply.outcome if isinstance(self.reply, CallReply) else "lost"


def call_one(number, document, clients):
    """Make one request and check that the answer is its own.

    :param number: chooses pipeline and client account, and seeds the rest.
    :param clients: by client account.
    """
    rng = random.Random(number)
    pipeline = document["pipelines"][number % len(document["pipelines"])]
    account = sorted(clients)[number % len(clients)]
    once = not all(stage.get("repeatable", True) for stage in pipeline["stages"])
    stream = not once and rng.random() < STREAMED_SHARE
    body = {"number": number, "note": "scan " * rng.randint(1, LONGEST_NOTE)}
    began = time.monotonic()
    reply = _call(clients[account], pipeline, body, stream, once)
    seconds = time.monotonic() - began
    answered = isinstance(reply, CallReply) and reply.outcome == "answered"
    crossed = answered and not is_own(reply, body, stream)
    deadline = pipeline["deadline_ms"] / 1000
    return Sample(
        account, pipeline["name"], stream, once, reply, crossed, seconds, deadline
    )


def _call(client: Client, pipeline, body, stream, once):
    if once:
        return call_once(client, pipeline["name"], body, pipeline["deadline_ms"])
    return client.call(pipeline["name"], body, stream=stream)


def is_own(reply, body, stream):
    """Tell whether an answer was made from this input."""
    if stream:
        return reply.result == expected_text(body, TOKENS)
    return reply.result["mark"] == fingerprint(body)
