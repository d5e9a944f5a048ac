"""Steps on the attempts of requests that other entries serve."""

import re
import socket

from behave import then, when

from boragestream.base.answer_reader import AnswerReader
from boragestream.platform.wire import read_entry_answer_head
from boragestream.serving.run_reports import split_run_reports
from tests.standins.fleet import wait_until
from tests.standins.route_site import STAGED

# The one that is cut off.
ENTRY = "entry-0"
CALLS, ROUNDS = 8, 3
# Of all routes of the site that may be repeated.
MOST_RUNS = 2
WHOLE_SHARE = 0.9
EVENT = re.compile(rb"id: \d+\ndata: \d+ v1 w+\n\n")


def call(site, path, request_id):
    """Make one call; return the answer, or None if there was none."""
    more = STAGED if path.startswith("/staged/") else {}
    try:
        return site.call(path, entry=ENTRY, request_id=request_id, **more)
    except OSError:
        return None


def call_several(context, path):
    """Make several calls at a time, again and again; keep the answers by request."""
    site, context.answers = context.site, {}
    for _ in range(ROUNDS):
        ids = [f"d-{next(site.numbers)}" for _ in range(CALLS)]
        answers = site.at_once(CALLS, lambda i, ids=ids: call(site, path, ids[i]))
        context.answers.update(zip(ids, answers, strict=True))


@when('"{path}" is called there, several at a time')
def step(context, path):
    call_several(context, path)


@when('an entry is cut off from all servers and "{path}" is called there at once')
def step(context, path):
    site = context.site
    site.cut_off([ENTRY], "refused")
    call_several(context, path)


@then("each request ran at most twice, and some ran twice")
def step(context):
    site = context.site
    runs = {each: site.runs(each) for each in context.answers}

    def delegated():
        events = site.events(ENTRY, "request_delegated")
        return {event["request"] for event in events} & set(runs)

    wait_until(delegated, what="a delegated request")
    assert max(runs.values()) == MOST_RUNS, sorted(runs.values())


@then("no caller was given a header of the entries")
def step(context):
    answers = [answer for answer in context.answers.values() if answer is not None]
    names = {name for answer in answers for name in answer.headers}
    assert names and not any(n.startswith("Boragestream") for n in names), names


@then("nine of ten are whole streams of their server's events alone")
def step(context):
    answers = context.answers.values()
    whole = [
        answer
        for answer in answers
        if answer is not None and answer.whole and answer.status == 200
    ]
    assert len(whole) >= WHOLE_SHARE * len(answers), f"{len(whole)} whole"
    for answer in whole:
        assert answer.events == list(range(1, len(answer.events) + 1)), answer.body
        assert EVENT.sub(b"", answer.body) == b"", answer.body


@then('an entry\'s answer that states "{runs}" attempts counts as {counted:d}')
@then('an entry\'s answer that states "" attempts counts as {counted:d}')
def step(context, counted, runs=""):
    ours, theirs = socket.socketpair()
    with ours, theirs:
        head = f"Boragestream-Runs: {runs}\r\n" if runs else ""
        answer = f"HTTP/1.1 502 Bad Gateway\r\n{head}Content-Length: 0\r\n\r\n"
        theirs.sendall(answer.encode())
        response = AnswerReader(ours, method="POST")
        response.begin()
        read = read_entry_answer_head(response)
    assert read.runs == counted, read.runs
    assert "boragestream-runs" not in {name.lower() for name, _ in read.headers}


def events_of(text):
    """Return the events that a row of a table names."""
    return [f"{each}\n\n".encode() for each in text.split(", ") if each]


@then('of the events "{events}" those "{kept}" are kept, with {runs:d} attempts')
@then('of the events "{events}" those "" are kept, with {runs:d} attempts')
def step(context, events, runs, kept=""):
    split = split_run_reports(events_of(events))
    assert split == (events_of(kept), runs), split
