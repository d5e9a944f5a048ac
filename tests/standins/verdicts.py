"""Holds what callers saw against what backend servers ran.

Every call of the fault matrix has an input of its own, so that runs can be told apart
also where the caller never learned its request id.
"""

import itertools
import threading
import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from boragestream.operator.client import CallReply, Client
from tests.standins.answers import expected_text, fingerprint
from tests.standins.sites import example_key

OUTCOMES = ("answered", "refused", "failed", "unknown")
TOKENS = 8
LATE_SLACK_SECONDS = 1.5
# After these an answer may still be whole and the attempt's own.
HARMLESS = ("slow", "duplicated", "beyond-end", "no-last-chunk", "freeze", "signal")


@dataclass
class Call:
    """One call, the faults that struck it and what its caller saw.

    ``entry_struck`` says that the entry itself was killed or frozen, so that its
    caller may see a cut or a late answer.
    """

    pipeline: str
    text: str
    stream: bool = False
    deadline_ms: int = 3000
    entry_struck: bool = False
    reply: object = None
    seconds: float = 0.0
    faults: tuple = field(default_factory=tuple)

    @property
    def outcome(self):
        """The outcome, or the name of the client's failure."""
        return getattr(self.reply, "outcome", type(self.reply).__name__)

    def make(self, address, account="patan-counter"):
        """Make the call and keep what came back."""
        client = Client(example_key(account), (address,))
        began = time.monotonic()
        self.reply = client.call(
            self.pipeline,
            self.text,
            deadline_ms=self.deadline_ms,
            stream=self.stream,
            address=address,
        )
        self.seconds = time.monotonic() - began
        return self


class Injected:
    """Every scenario and every step with a fault that really struck there."""

    def __init__(self):
        """Begin with none."""
        self.scenarios = set()
        self.combinations = Counter()
        self.marks = itertools.count()
        self.lock = threading.Lock()

    def note(self, scenario, *combination):
        """Note a fault that struck."""
        with self.lock:
            self.scenarios.add(scenario)
            self.combinations[(scenario, *combination)] += 1

    def text(self):
        """Return an input that no other call has."""
        return f"input {next(self.marks)}"

    def summary(self):
        """Return one line for the end of the suite."""
        return (
            f"fault matrix: {len(self.scenarios)} scenarios, "
            f"{len(self.combinations)} injected faults"
        )


def read_journal(path):
    """Return the lines (what, service, server, request, attempt, mark) by mark."""
    by_mark = defaultdict(list)
    lines = path.read_text().splitlines() if path.exists() else []
    for line in lines:
        parts = tuple(line.split(" "))
        by_mark[parts[-1]].append(parts)
    return by_mark


def struck_marks(path):
    """Return the marks of the inputs of calls that a fault has struck."""
    journal = read_journal(path)
    return {m for m, lines in journal.items() if any(x[0] == "struck" for x in lines)}


def violations(document, journal, call):
    """Return every promise that a call's end breaks."""
    lines = journal.get(fingerprint(call.text), [])
    ran = [line for line in lines if line[0] == "ran"]
    unrepeatable = {
        stage["service"]
        for pipeline in document["pipelines"]
        for stage in pipeline["stages"]
        if not stage.get("repeatable", True)
    }
    once = [line for line in ran if line[1] in unrepeatable]
    found = []
    if call.outcome not in OUTCOMES and not call.entry_struck:
        found.append("lost: no typed outcome")
    if len(once) > 1:
        found.append(f"doubled: {once}")
    if max(Counter(line[4] for line in ran).values(), default=0) > 1:
        found.append("doubled: one attempt ran twice")
    if call.outcome == "refused" and ran:
        found.append(f"untruthfully refused: {ran}")
    if call.outcome == "failed" and once:
        found.append(f"untruthfully failed, repeating is not safe: {once}")
    if call.seconds > call.deadline_ms / 1000 + LATE_SLACK_SECONDS:
        found.append("" if call.entry_struck else "held back past the deadline")
    if call.outcome == "answered":
        found.extend(_answer_violations(call, lines))
        found.extend(_unusable_violations(call, lines))
    return [f"{violation}: {call}" for violation in found if violation]


def _answer_violations(call, lines):
    own = isinstance(call.reply, CallReply) and (
        call.reply.result == expected_text(call.text, TOKENS)
        if call.stream
        else call.reply.result.get("mark") == fingerprint(call.text)
    )
    if not own:
        yield "crossed or not whole"
    if not any(line[0] == "finished" for line in lines):
        yield "answered without a run"
    if call.seconds > call.deadline_ms / 1000 + LATE_SLACK_SECONDS:
        yield "answered late"


def _unusable_violations(call, lines):
    """Find answers that a fault had spoilt and that were used all the same."""
    _, *faults = call.faults or ("",)
    spoilt = [
        f for f in faults if f["fault"] not in HARMLESS and f.get("at") != "after"
    ]
    struck = {line[4] for line in lines if line[0] == "struck"}
    services = {line[1] for line in lines if line[0] == "struck"}
    others = [
        line
        for line in lines
        if line[0] == "finished" and line[1] in services and line[4] not in struck
    ]
    if spoilt and struck and not others:
        yield "a spoilt answer was used"
