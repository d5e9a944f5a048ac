"""Steps on servers and the store whose answers have odd numbers and deep nesting."""

import json
import re
import time

from behave import given, then, when

from tests.standins.fleet import wait_until
from tests.standins.route_site import STAGED, configuration

PATHS = {"plain": "/unsafe/ok", "engine": "/draft/ok", "stage": "/staged/ok"}
ODD_FIELDS = (
    ("other", "[ x 100000"),
    ("slots", "[ x 100000"),
    ("slots", "9 x 400"),
    ("slots", "9 x 5000"),
    ("slots", "-1"),
    ("seq", "9 x 400"),
    ("born", "9 x 400"),
    ("cold_left_ms", "1e308"),
    ("cold_left_ms", "NaN"),
    ("addr", '"127.0.0.1:0"'),
    ("addr", '"127.0.0.1:65536"'),
    ("addr", '"127.0.0.1:9 x 5000"'),
)
RELAY_SECONDS = 1.0
REPEATED = re.compile(r'([^\s"]) x (\d+)')


def spell_out(text):
    """Return a text with "9 x 3" spelled out as "999"."""
    return REPEATED.sub(lambda match: match[1] * int(match[2]), text)


@given('all "{kind}" servers say "{header}: {value}" in each answer')
def step(context, kind, header, value):
    for server in context.site.of_kind(kind):
        server.added_headers = {header: spell_out(value)}
        context.add_cleanup(setattr, server, "added_headers", {})


@when('the path of "{kind}" servers is called at all entries')
def step(context, kind):
    headers = STAGED if kind == "stage" else {}
    context.answers = [
        context.site.call(PATHS[kind], entry=name, **headers)
        for name in context.site.entries
        for _ in range(3)
    ]


@then("every answer is whole and from a server")
def step(context):
    for answer in context.answers:
        got = (answer.status, answer.whole, answer.body)
        assert answer.status == 200 and answer.whole, got
        assert "Server-Seal" in answer.headers
        assert context.site.runs(answer.request_id) == 1


@when("version {version:d} is published with {number} as {field}")
def step(context, version, number, field):
    published = configuration(version)
    *path, last = field.split(".")
    part = published
    for name in path:
        part = part[int(name)] if name.isdigit() else part[name]
    part[last] = "@"
    text = json.dumps(published).replace('"@"', spell_out(number))
    context.site.store.put("op/config", text.encode())


@then("an entry that follows the store refuses it, and none has it in force")
def step(context):
    site = context.site

    def names(kind):
        return [name for name in site.entries if site.events(name, kind)]

    wait_until(lambda: names("configuration_invalid"), seconds=5, what="a refusal")
    # What one entry has in force is with the others within this time.
    time.sleep(RELAY_SECONDS)
    for name in site.entries:
        taken = site.events(name, "configuration_in_force")
        assert {event["version"] for event in taken} == {1}, taken


@then('all entries serve "{one}", "{two}" and "{three}"')
def step(context, one, two, three):
    for name in context.site.entries:
        for path in (one, two, three):
            headers = {}
            if path.startswith("/staged"):
                headers = STAGED
            answer = context.site.call(path, entry=name, **headers)
            assert answer.status == 200 and answer.whole, (path, answer.body)


@given("the next results of all stage servers have the handle {handle}")
def step(context, handle):
    for server in context.site.of_kind("stage"):
        server.odd_handle = json.loads(spell_out(handle))


@then("no engine was given an odd handle")
def step(context):
    made = {h for s in context.site.of_kind("stage") for h in s.made}
    for engine in context.site.of_kind("engine"):
        for handles in engine.inputs.values():
            assert made.issuperset(handles), handles
        assert set(engine.accounts) <= {"account"}, engine.accounts


@when('odd server entries are listed, and "{name}" starts anew')
def step(context, name):
    site = context.site
    for number, kind in enumerate(("plain", "engine", "stage")):
        known = json.loads(site.of_kind(kind)[0].entry())
        for field, value in ODD_FIELDS:
            text = json.dumps({**known, field: "@"}).replace('"@"', spell_out(value))
            key = f"servers/odd-{number}-{field}-{len(text)}"
            site.store.put(key, text.encode())
    site.kill(name)
    site.entries[name].start()
    site.wait_ready(name)


@when('a new server of "{kind}" is listed')
def step(context, kind):
    context.site.add_server(kind)


@then("all entries list {count:d} servers, and no task has failed")
def step(context, count):
    site = context.site
    for name in site.entries:
        wait_until(
            lambda n=name: (
                site.events(n, "instances_changed")[-1]["instances"] == count
            ),
            what=f"{name} lists {count} servers",
        )
        failed = [
            *site.events(name, "task_failed"),
            *site.events(name, "request_broken"),
        ]
        assert not failed, failed
