"""Steps that trace failures from ids to causes."""

import contextlib
import http.client
import io
import json
import logging
import os
import re
import select
import tempfile
import threading

from behave import given, then, when

from boragestream.base.line_writer import MAX_LINES, LineWriter
from boragestream.base.route_metrics import RouteMetrics
from boragestream.operator.command import main
from boragestream.operator.exits import ExitCode
from tests.standins.fleet import wait_until
from tests.standins.route_site import HOST, KEY

LOG = """\
{"at":1.0,"event":1001,"name":"entry_started","entry":"entry-a"}
{"at":1.1,"event":2001,"name":"configuration_in_force","version":7}
{"at":2.0,"event":3012,"name":"server_chosen","request":"r-1","server":"i-1"}
{"at":2.0,"event":3012,"name":"server_
{"at":2.1,"event":3001,"name":"request_ended","request":"r-2","status":200}
{"at":2.2,"event":3001,"name":"request_ended","request":"r-1","status":200}
"""


def crashed(request, fingerprint, server, crashes):
    """Return the line of a crash."""
    fields = {"request": request, "server": server, "crashes": crashes}
    return {"name": "server_crashed", "fingerprint": fingerprint, **fields}


CRASHED = (
    {"name": "entry_started", "entry": "entry-a"},
    crashed("r-3", "f1", "i-1", 1),
    crashed("r-3", "f1", "i-2", 2),
    crashed("r-4", "f2", "i-2", 1),
)
QUARANTINED = (
    {"name": "entry_started", "entry": "entry-b"},
    {"name": "crashes_heard", "fingerprint": "f1", "crashes": 2, "peer": "entry-a"},
    {
        "name": "request_ended",
        "request": "r-5",
        "fingerprint": "f1",
        "status": 502,
        "failure": "request-quarantined crashes=2 left_seconds=23.5",
    },
)
MEMORY_REFUSED = (
    {"name": "entry_started", "entry": "entry-c"},
    {"name": "memory_refused", "request": "r-6", "bytes": 4_000_000, "budget": 3000},
)


# A stream that began at one entry, went on at another one and was refused by a third.
STREAM_LOGS = (
    (
        {"name": "entry_started", "entry": "entry-a"},
        {"name": "server_chosen", "request": "r-8", "server": "i-1", "software": "v1"},
        {"name": "request_ended", "request": "r-8", "status": 200, "failure": "gone"},
        {"name": "server_chosen", "request": "r-11", "server": "i-2"},
    ),
    (
        {"name": "entry_started", "entry": "entry-b"},
        {"name": "stream_resumed", "request": "r-9", "resumes": "r-8"},
        {"name": "server_chosen", "request": "r-9", "resumes": "r-8", "server": "i-3"},
        {"name": "request_ended", "request": "r-9", "status": 200},
    ),
    (
        {"name": "entry_started", "entry": "entry-c"},
        {"name": "stream_not_resumed", "request": "r-10", "resumes": "r-8"},
        {"name": "request_ended", "request": "r-10", "status": 503},
    ),
)


def explain(context, request_id):
    """Run the command on the logs of a site; return its JSON and exit code."""
    files = [str(process.log) for process in context.site.entries.values()]
    return run(["explain", request_id, *files, "--json"])


def run(arguments):
    """Run the command line; return its JSON and exit code."""
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        code = main(arguments)
    return json.loads(output.getvalue()), code


def story_of(context, request_id, count=1):
    """Return the story once the log holds the end of the request."""

    def told():
        story, _ = explain(context, request_id)
        names = [line["name"] for line in story["lines"]]
        return story if names.count("request_ended") >= count else None

    return wait_until(told, what=f"the end of {request_id} is logged")


@when("a calm request and a calm staged one are sent")
def step(context):
    plain = context.site.call("/safe/ok", "GET", None)
    staged = context.site.call("/staged/ok", Pieces="2,3", Piece_Key="k")
    context.calm = [plain, staged]


@then("they logged {plain:d} lines and {staged:d} lines")
def step(context, plain, staged):
    for answer, count in zip(context.calm, (plain, staged), strict=True):
        assert answer.status == 200 and answer.whole
        story = story_of(context, answer.request_id)
        assert len(story["lines"]) == count, story["lines"]
        assert story["cause"] == ""


@when("an unsafe request is sent whose server breaks its answer off")
def step(context):
    context.answer = context.site.call("/unsafe/cut")
    assert context.answer.status == 502


@then('explaining it names the server and "{code}", and that it may have run')
def step(context, code):
    story = story_of(context, context.answer.request_id)
    ran = [s for s in context.site.servers if s.runs[context.answer.request_id]]
    assert code in story["cause"] and ran[0].identity in story["cause"], story
    assert "MAY_HAVE_RUN" in story["cause"], story["cause"]
    beliefs = [line["name"] for line in story["beliefs"]]
    assert {"configuration_in_force", "instances_changed"} <= set(beliefs), beliefs


@when("a staged request is sent that no stage server can make in time")
def step(context):
    site = context.site
    for server in site.of_kind("stage"):
        site.store.put(f"servers/{server.identity}", None)
    owners = list(site.entries)
    for name in owners:
        wait_until(
            lambda n=name: '"instances":4' in site.log(n), what="the servers are gone"
        )
    context.answer = site.call("/staged/ok", Pieces="2,3", Piece_Key="k")
    assert context.answer.status == 503, context.answer.body


@then('explaining it names the service and "{code}"')
def step(context, code):
    story = story_of(context, context.answer.request_id)
    assert story["cause"].startswith(code), story["cause"]
    assert "service='stage'" in story["cause"]
    assert story["lines"][0]["name"] == "stages_done"


@when("a stream is cut because its entry is killed")
def step(context):
    site = context.site
    address = site.fields["entry-1"]["listen"]["front"]
    connection = http.client.HTTPConnection(address, timeout=10)
    headers = {
        "Host": HOST,
        "Request-Id": "cut-by-kill",
        "Authorization": f"Bearer {KEY}",
    }
    connection.request("POST", "/chat/slow", b"hello", headers)
    response = connection.getresponse()
    response.read1(1)
    wait_until(lambda: "cut-by-kill" in site.log("entry-1"), what="its line")
    site.kill("entry-1")
    with contextlib.suppress(OSError, http.client.HTTPException):
        response.read()
    connection.close()


@then("explaining it says that no line tells of its end")
def step(context):
    story, code = explain(context, "cut-by-kill")
    assert code == ExitCode.OK
    assert "no line of its end" in story["cause"], story["cause"]
    assert story["lines"][0]["source"] == "entry-1"


def metrics(context):
    """Return an entry's metrics as text."""
    address = f"{context.site.fields['entry-0']['ip']}:9464"
    connection = http.client.HTTPConnection(address, timeout=5)
    try:
        connection.request("GET", "/metrics")
        return connection.getresponse().read().decode()
    finally:
        connection.close()


@then(
    "the metrics count the requests by outcome and reason, the attempts and the stages"
)
def step(context):
    text = metrics(context)
    for wanted in (
        'outcome="unknown",reason="answer-cut",route="unsafe"} 1.0',
        'outcome="refused",reason="stage-saturated",route="staged"} 1.0',
        'boragestream_attempts_total{end="cut",service="plain"} 1.0',
        "boragestream_account_seconds_bucket",
        "boragestream_route_seconds_bucket",
    ):
        assert wanted in text, (wanted, text)


@then("the metrics tell the version in force and the age of the server list")
def step(context):
    text = metrics(context)
    assert re.search(r"^boragestream_version 1\.0$", text, re.MULTILINE)
    assert re.search(r"^boragestream_server_list_age [0-9.]+$", text, re.MULTILINE)


@given('a log with the request "{request}", a damaged line and another request')
def step(context, request):
    with tempfile.NamedTemporaryFile("w", suffix=".log", delete=False) as log:
        log.write(LOG)
    context.log_path = log.name


@then(
    'the story of "{request}" has {lines:d} lines, the version {version:d} in force '
    "and {damaged:d} damaged line"
)
def step(context, request, lines, version, damaged):
    story, code = run(["explain", request, context.log_path, "--json"])
    assert code == ExitCode.OK
    assert len(story["lines"]) == lines and story["damaged"] == damaged, story
    assert story["beliefs"][0]["fields"]["version"] == version
    assert story["lines"][0]["source"] == "entry-a"
    assert story["cause"] == ""


@given("a log of an entry that refused a request for memory before its body was read")
def step(context):
    with tempfile.NamedTemporaryFile("w", suffix=".log", delete=False) as log:
        log.writelines(json.dumps(line) + "\n" for line in MEMORY_REFUSED)
    context.add_cleanup(os.unlink, log.name)
    context.log_path = log.name


@then('the story of "{request}" has the cause "{cause}"')
def step(context, request, cause):
    story, code = run(["explain", request, context.log_path, "--json"])
    assert code == ExitCode.OK
    assert story["cause"] == cause, story


@then('the story of "{request}" is empty and the command says so')
def step(context, request):
    story, code = run(["explain", request, context.log_path, "--json"])
    assert code == ExitCode.FAULTS and not story["lines"]
    os.unlink(context.log_path)


@given("a log writer whose pipe nobody reads")
def step(context):
    context.reader, writer = os.pipe()
    context.stream = os.fdopen(writer, "w")
    context.writer = LineWriter(context.stream.fileno())
    context.thread = threading.Thread(target=context.writer.run, daemon=True)
    context.thread.start()


@when("{successes:d} lines of successes and {failures:d} of failures are logged")
def step(context, successes, failures):
    levels = [logging.INFO] * successes
    for number in range(failures):
        levels.insert(number * (successes // failures), logging.WARNING)
    context.logged = len(levels)
    for level in levels:
        text = json.dumps({"name": "event", "level": level, "pad": "x" * 60})
        record = logging.LogRecord("absl", level, "", 0, text, None, None)
        context.writer.handle(record)


@then("logging took no longer than its buffer, and what was dropped is counted")
def step(context):
    # The writer may have told a part of the drops already, on its way to the pipe: they
    # are counted where the pipe is read.
    assert len(context.writer._lines) <= MAX_LINES


@then("once the pipe is read every failure is there")
def step(context):
    text = ""

    def complete():
        nonlocal text
        if select.select([context.reader], [], [], 0)[0]:
            text += os.read(context.reader, 65536).decode()
        written = text.count('"level": ')
        dropped = sum(map(int, re.findall(r'"lines_dropped","count":(\d+)}', text)))
        failures = text.count('"level": 30')
        return failures == 100 and dropped > 0 and written + dropped == context.logged

    wait_until(complete, what="every failure, and every line written or counted")
    context.writer.close()
    os.close(context.reader)


@when("it is closed twice")
def step(context):
    context.errors = []
    hook, threading.excepthook = threading.excepthook, context.errors.append
    context.writer.close()
    context.writer.close()
    context.thread.join(5.0)
    threading.excepthook = hook
    os.close(context.reader)


@then("its task has ended without an error")
def step(context):
    assert not context.thread.is_alive()
    assert not context.errors, context.errors


@given("metrics that saw {accounts:d} client accounts and {routes:d} routes")
def step(context, accounts, routes):
    context.route_metrics = RouteMetrics()
    for number in range(accounts):
        route = f"r-{number % routes}"
        context.route_metrics.request_ended(f"a-{number}", route, "answered", "", 0.1)


@then("their text names at most {accounts:d} accounts and {routes:d} routes")
def step(context, accounts, routes):
    text = context.route_metrics.text()
    assert len(set(re.findall(r'account="([^"]+)"', text))) <= accounts
    assert len(set(re.findall(r'route="([^"]+)"', text))) <= routes


@then("one picture of both entries adds up what they ended, and names one that is gone")
def step(context):
    site = context.site
    gone = "127.0.0.1:1"
    # One of the two was killed a step before.
    addresses = [f"{fields['ip']}:9464" for fields in site.fields.values()]
    picture, code = run(
        ["status", f"--metrics={','.join([*addresses, gone])}", "--json"]
    )
    assert code == ExitCode.UNREACHABLE
    assert gone in [failure["address"] for failure in picture["unreachable"]]
    told = {entry["address"]: entry for entry in picture["entries"]}
    live = next(entry for entry in told.values() if entry["version"] == 1)
    assert live["servers"] == 4 and live["list_age"] >= 0.0, live
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        main(["status", f"--metrics={live['address']}"])
    assert "version 1 to 1" in output.getvalue()
    assert "route" in output.getvalue() and "engine" in output.getvalue()


@given("logs of two entries, at one of which servers crashed under an earlier return")
def step(context):
    context.files = []
    for lines in (CRASHED, QUARANTINED):
        with tempfile.NamedTemporaryFile("w", suffix=".log", delete=False) as log:
            for at, line in enumerate(lines):
                log.write(json.dumps({"at": float(at), **line}) + "\n")
        context.add_cleanup(os.unlink, log.name)
        context.files.append(log.name)


@then('the story of "{request}" at the other entry names both crashes and "{code}"')
def step(context, request, code):
    story, exit_code = run(["explain", request, *context.files, "--json"])
    assert exit_code is ExitCode.OK and story["cause"].startswith(code), story
    told = {(line["source"], line["fields"].get("server")) for line in story["crashes"]}
    assert told == {("entry-a", "i-1"), ("entry-a", "i-2"), ("entry-b", None)}, told


@then('the story of a refused one names the limits of both servers and "{code}"')
def step(context, code):
    refused = [answer for answer, _, _ in context.answers if answer.status == 503]
    story = story_of(context, refused[-1].request_id)
    assert story["cause"].startswith(code), story["cause"]
    beliefs = [b for b in story["beliefs"] if b["name"] == "server_limit_changed"]
    named = {belief["fields"]["server"] for belief in beliefs}
    assert named == {server.identity for server in context.limited}, named


@then("one picture of both entries tells that {count:d} servers are limited")
def step(context, count):
    addresses = [f"{fields['ip']}:9464" for fields in context.site.fields.values()]
    picture, _ = run(["status", f"--metrics={','.join(addresses)}", "--json"])
    assert [e["limited_servers"] for e in picture["entries"]] == [count, count], picture


@when('"{request_id}" is explained from the logs of the entries that served the stream')
def step(context, request_id):
    with tempfile.TemporaryDirectory() as folder:
        files = []
        for number, lines in enumerate(STREAM_LOGS):
            path = os.path.join(folder, f"log-{number}")
            with open(path, "w") as log:
                log.writelines(json.dumps({"at": 1.0, **line}) + "\n" for line in lines)
            files.append(path)
        context.story, code = run(["explain", request_id, *files, "--json"])
    assert code is ExitCode.OK


@then(
    'the request that began it and the server\'s version are told, with "{request_id}"'
)
def step(context, request_id):
    tries = context.story["tries"]
    began = [t["fields"] for t in tries if t["fields"]["request"] == request_id]
    assert [fields.get("software") for fields in began][:1] == ["v1"], tries
    assert "r-11" not in {t["fields"]["request"] for t in tries}


@then('the request that was refused is told, with "{request_id}"')
def step(context, request_id):
    tries = context.story["tries"]
    names = [t["name"] for t in tries if t["fields"]["request"] == request_id]
    assert names == ["stream_not_resumed", "request_ended"], tries
