"""Steps on entries among crowds of callers that stay outside the limits.

Each scenario guards against an entry that ends, hangs or grows beyond its memory since
its callers send, read or wait as none of the deployment's callers do.
"""

import json
import os
import resource
import signal
import subprocess

from behave import given, then, when

from tests.standins import crowd_fleet
from tests.standins.crowd_fleet import PIPELINE_CROWDS, CrowdFleet
from tests.standins.crowd_kinds import CROWDS, PAGE_CROWDS
from tests.standins.crowd_site import DESCRIPTORS, MEGABYTE, MEMORY_MB, CrowdSite
from tests.standins.crowds import Crowd
from tests.standins.fleet import wait_until
from tests.standins.route_site import route

# The steps for which a crowd presses before anything is checked.
PRESSING_STEPS = 400
PRESSING_SECONDS = 60
FEW_DESCRIPTORS = 160
NEW_VERSION = 2
END_SECONDS = 60


def start(context, site):
    """Start a site, which ends with the scenario."""
    context.site = site
    context.add_cleanup(site.close)
    site.start()


@given("an entry with little memory")
def step(context):
    start(context, CrowdSite())


@given("an entry with little memory, which its settings do not name")
def step(context):
    start(context, CrowdSite(names_memory=False))


@given("an entry with little memory, and fewer descriptors than its settings name")
def step(context):
    start(context, CrowdSite(descriptors=FEW_DESCRIPTORS))


@given("two entries with little memory, the first of which reaches no server")
def step(context):
    start(context, CrowdSite(2, cuts=True))
    context.site.cut_off(["entry-0"], "refused")
    wait_until(lambda: context.site.serve_ordinary(), what="requests are passed on")


@given("an entry with little memory, whose log nobody reads")
def step(context):
    site = CrowdSite()
    site.entries["entry-0"].streams = {"stdout": subprocess.PIPE}
    start(context, site)


@given("the system lets it open only {count:d} more descriptors")
def step(context, count):
    context.site.serve_ordinary()
    process = context.site.entries["entry-0"].popen
    open_now = len(os.listdir(f"/proc/{process.pid}/fd"))
    _, most = resource.prlimit(process.pid, resource.RLIMIT_NOFILE)
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (open_now + count, most))


@when("a crowd comes: {name}")
def step(context, name):
    kind, count, manners = {**CROWDS, **PAGE_CROWDS}[name]
    site = context.site
    press(context, site.address(kind), count, manners(site))


def press(context, address, count, manners):
    """Have a crowd come and press, which goes on until it is told to go."""
    context.crowd = Crowd(address, count, manners)
    context.add_cleanup(context.crowd.close)
    wait_until(
        lambda: context.crowd.steps >= PRESSING_STEPS,
        PRESSING_SECONDS,
        "the crowd has pressed",
    )


@when("the crowd has gone")
def step(context):
    context.crowd.close()


def assert_within(context, name):
    """Check that an entry lives, and what it has held up to now."""
    held = context.site.followed[name]
    code = context.site.entries[name].popen.poll()
    assert code is None, f"{name} ended with {code}; it held {held.describe()}"
    assert_held(held)


def assert_held(held, memory_mb=MEMORY_MB, descriptors=DESCRIPTORS):
    """Check what a process has held."""
    assert held.most.total <= memory_mb * MEGABYTE, held.describe()
    assert held.most_descriptors <= descriptors, held.describe()


@then("the entry lives, within its memory and its descriptors")
def step(context):
    assert_within(context, "entry-0")


@then("the entry lives, and has logged at most {count:d} lines")
def step(context, count):
    assert_within(context, "entry-0")
    lines = context.site.log("entry-0").splitlines()
    assert len(lines) <= count, (len(lines), lines[-3:])


@then("each entry lives, within its memory and its descriptors")
def step(context):
    for name in context.site.entries:
        assert_within(context, name)


@then("an ordinary request is answered")
def step(context):
    assert context.site.serve_ordinary(), "no ordinary request was answered"


@then("its directory, its readiness check and its metrics answer")
def step(context):
    site = context.site
    wait_until(lambda: site.ready("entry-0") == 200, what="the readiness check answers")
    wait_until(lambda: site.directory("entry-0"), what="the directory answers")
    wait_until(
        lambda: site.ask("entry-0", "ready", "/metrics")[0] == 200,
        what="the metrics answer",
    )


@then("nothing is charged for the crowd any more")
def step(context):
    def charged():
        text = context.site.ask("entry-0", "ready", "/metrics")[1].decode()
        lines = [line for line in text.splitlines() if "memory_bytes" in line]
        return [line for line in lines if not line.startswith("#")]

    wait_until(
        lambda: charged() and all(line.endswith(" 0.0") for line in charged()),
        PRESSING_SECONDS,
        "all bytes are returned",
    )


@when("the entry gets new settings and a new configuration")
def step(context):
    site = context.site
    site.write_settings("entry-0")
    site.signal("entry-0", signal.SIGHUP)
    published = json.loads(json.dumps(site.published))
    published["version"] = NEW_VERSION
    published["routes"].append(route("/new/", "safe", "plain"))
    site.publish(published)


@then("an ordinary request is answered by the new configuration")
def step(context):
    assert context.site.serve_ordinary(path="/new/ok"), "no request was answered"


@when("the entry is told to end")
def step(context):
    context.site.signal("entry-0", signal.SIGTERM)


@then("it ends by itself, and never held more than its memory and its descriptors")
def step(context):
    process = context.site.entries["entry-0"].popen
    try:
        code = process.wait(END_SECONDS)
    except subprocess.TimeoutExpired as error:
        raise AssertionError("the process did not end") from error
    assert code >= 0, f"ended by signal {-code}"
    assert_held(context.site.followed["entry-0"])


@given("an entry of JSON pipelines with little memory")
def step(context):
    context.fleet = CrowdFleet()
    context.add_cleanup(context.fleet.__exit__)
    context.fleet.__enter__()


@when("a crowd comes to the pipelines: {name}")
def step(context, name):
    count, manners = PIPELINE_CROWDS[name]
    fleet = context.fleet
    press(context, fleet.entries["entry-1"].address, count, manners(fleet))


@then("the entry of JSON pipelines lives, within its memory and its descriptors")
def step(context):
    held = context.fleet.followed["entry-1"]
    code = context.fleet.entries["entry-1"].popen.poll()
    assert code is None, f"the entry ended with {code}; it held {held.describe()}"
    assert_held(held, crowd_fleet.MEMORY_MB, crowd_fleet.DESCRIPTORS)


@then("an ordinary request to a pipeline is answered")
def step(context):
    assert context.fleet.serve_ordinary(), "no ordinary request was answered"
