"""Steps on parts of prompts that crash the servers that begin to answer them."""

import itertools
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from behave import given, then, when

from tests.standins.route_server import DEADLY_KEY
from tests.standins.route_site import STAGED, ZONES

CRASHING, OTHER_CRASHING = "dead", "beef"
SOUND = ("c0de", "cafe")
STABLE_SECONDS = 3.0
ALLOWED_CRASHES = 5
AT_ONCE_SECONDS = 0.5
NOT_RUN = 503
LISTED_SECONDS = 0.6
# Of sound requests, as a share of those that were served before.
SERVED_SHARE = 0.9
SOUND_RATE = 30.0
CALM_SECONDS = 2.0
MOST_STAGED = 12
NUMBERS = itertools.count(1)


@dataclass(frozen=True)
class Call:
    """What a caller got for one request."""

    at: float
    status: int
    whole: bool
    seconds: float

    @property
    def served(self):
        """Whether it was answered whole."""
        return self.status == 200 and self.whole


def prompt(count, place=0, part=CRASHING):
    """Return a prompt of so many parts, one of which crashes servers; 0 for none.

    The first parts are those of the sound prompts, the last is the request's own.
    """
    own = next(NUMBERS)
    names = [f"{SOUND[n]}" if n < len(SOUND) else f"a{n:x}" for n in range(count - 1)]
    # Each request has a part that no other one has, before its last.
    names[-1] = f"b{own:x}"
    if place:
        names[place - 1] = part
    return ",".join(f"{name}:8" for name in [*names, f"f{own:x}"])


def call(site, entry, text, path="/chat/ok", **headers):
    """Make one request; a connection without an answer has the status 0."""
    began = time.monotonic()
    sent = {"Prompt_Prefix": text, "Token_Counts": "100,8", "Deadline_Ms": "4000"}
    try:
        body = f"request {next(NUMBERS)}".encode()
        answer = site.call(path, body=body, entry=entry, **sent, **headers)
        status, whole = answer.status, answer.whole
    except OSError:
        status, whole = 0, False
    return Call(began, status, whole, time.monotonic() - began)


class Traffic:
    """Requests at a steady rate, spread over all entries."""

    def __init__(self, site, rate, make):
        """Take the rate a second, and what makes a prompt."""
        self.calls = []
        self.ended = threading.Event()
        entries = itertools.cycle(list(site.entries))

        def run():
            with ThreadPoolExecutor(120) as pool:
                due = time.monotonic()
                sent = []
                while not self.ended.wait(max(0.0, due - time.monotonic())):
                    sent.append(pool.submit(call, site, next(entries), make()))
                    due += 1.0 / rate
                self.calls = [each.result() for each in sent]

        self.thread = threading.Thread(target=run)
        self.thread.start()

    def end(self):
        """Send no more; wait for all answers, and return what callers got."""
        self.ended.set()
        self.thread.join()
        return self.calls


@given("{count:d} engines that crash under {what} and are back after {seconds:d} s")
def step(context, count, what, seconds):
    site = context.site
    engines = site.of_kind("engine")
    while len(engines) < count:
        server = site.make_server("engine", ZONES[len(engines) % 3])
        server.when_back = site.list_again
        site.servers.append(server)
        engines.append(server)
        site.list(server)
    parts = {CRASHING} if what == "a part" else {CRASHING, OTHER_CRASHING}
    for engine in engines:
        engine.crashing_parts, engine.back_seconds = parts, float(seconds)
        engine.crash_times = []
        engine.crash = crash_noting_time(engine, engine.crash)
    time.sleep(LISTED_SECONDS)


def crash_noting_time(engine, crash):
    """Return a crash of an engine that also notes when it was."""

    def crash_now(*arguments):
        engine.crash_times.append(time.monotonic())
        crash(*arguments)

    return crash_now


def crash_times(site):
    """Return when engines crashed, in order."""
    return sorted(t for e in site.of_kind("engine") for t in e.crash_times)


def run_beside_sound(context, rate, seconds, make):
    """Send crashing requests beside sound ones, after a calm time."""
    site = context.site
    sound = Traffic(site, SOUND_RATE, lambda: prompt(4))
    time.sleep(CALM_SECONDS)
    context.began = time.monotonic()
    crashing = Traffic(site, rate, make)
    time.sleep(seconds)
    context.crashing, context.sound = crashing.end(), sound.end()
    context.crash_times = crash_times(site)


@when(
    "requests with the part in place {place:d} of {count:d} come {rate:g} times a "
    "second at all entries for {seconds:d} s, beside 30 sound ones"
)
def step(context, place, count, rate, seconds):
    # A slow series needs more time for as many requests.
    seconds = max(seconds, 12 / rate)
    run_beside_sound(context, rate, seconds, lambda: prompt(count, place))


@when(
    "requests with either part come {rate:g} times a second at all entries for "
    "{seconds:d} s, beside 30 sound ones"
)
def step(context, rate, seconds):
    parts = itertools.cycle([CRASHING, OTHER_CRASHING])
    run_beside_sound(context, rate, seconds, lambda: prompt(4, 2, next(parts)))


@then("at most {most:d} of them reach engines later than 3 s after the {nth} crash")
def step(context, most, nth):
    allowed = ALLOWED_CRASHES * (1 if nth == "fifth" else 2)
    times = context.crash_times
    # Fewer crashes than allowed: the last one counts.
    context.last_allowed = times[min(allowed, len(times)) - 1]
    if len(times) < allowed:
        return
    since = context.last_allowed + STABLE_SECONDS
    site = context.site
    later = [at for e in site.of_kind("engine") for at in e.part_arrivals if at > since]
    assert len(later) <= most, (len(later), len(times), times[0] - context.began)


@then("no more than {most:d} engines have crashed")
def step(context, most):
    times = [round(at - context.began, 2) for at in context.crash_times]
    assert len(times) <= most, times


def share(calls):
    """Return the share of calls that were served."""
    return sum(c.served for c in calls) / len(calls)


@then(
    "from 6 s after it on sound requests are served as often as before, "
    "or at least 9 in 10"
)
def step(context):
    before = [c for c in context.sound if c.at < context.began]
    since = context.last_allowed + 2 * STABLE_SECONDS
    after = [c for c in context.sound if c.at > since]
    assert len(after) >= 20, (len(after), len(context.crash_times))
    assert share(after) >= SERVED_SHARE * share(before), (share(before), share(after))


@then("requests with the part are refused at once as not run from then on")
def step(context):
    since = context.last_allowed + 2 * STABLE_SECONDS
    after = [c for c in context.crashing if c.at > since]
    assert after
    for each in after:
        assert each.status == NOT_RUN and each.seconds < AT_ONCE_SECONDS, each


@when("staged requests with the part come until they are refused")
def step(context):
    site = context.site
    entries = itertools.cycle(list(site.entries))
    for _ in range(MOST_STAGED):
        answer = call(site, next(entries), prompt(4, 2), "/staged/ok", **STAGED)
        if answer.status == NOT_RUN:
            break
        time.sleep(1.2)
    context.pieces_before = sum(site.piece_counts().values())
    time.sleep(LISTED_SECONDS)
    context.calls = [
        call(site, name, prompt(4, 2), "/staged/ok", **STAGED) for name in site.entries
    ]


@then("a further one is refused at once, and none of its pieces is made")
def step(context):
    for each in context.calls:
        assert each.status == NOT_RUN and each.seconds < AT_ONCE_SECONDS, each
    assert sum(context.site.piece_counts().values()) == context.pieces_before


@when(
    "30 sound requests a second come while engines are killed one after the other "
    "for {seconds:d} s"
)
def step(context, seconds):
    site = context.site
    sound = Traffic(site, SOUND_RATE, lambda: prompt(4))
    engines, ended = site.of_kind("engine"), time.monotonic() + seconds
    for engine in itertools.cycle(engines):
        if time.monotonic() > ended:
            break
        time.sleep(0.4)
        engine.crash(0.5)
    context.killed_until = time.monotonic()
    time.sleep(5.0)
    context.sound = sound.end()


@then("all sound requests of the last {seconds:d} s are served")
def step(context, seconds):
    after = [c for c in context.sound if c.at > context.killed_until + 1.0]
    assert len(after) >= seconds * SOUND_RATE * 0.9, len(after)
    unserved = [c for c in after if not c.served]
    assert not unserved, (len(unserved), len(after), unserved[:2])


@when(
    "staged requests with one piece key that crashes servers come {count:d} times, "
    "no two alike, each beside {beside:d} with other keys"
)
def step(context, count, beside):
    site = context.site
    entries = itertools.cycle(list(site.entries))

    def ask(entry, key):
        body = f"piece {next(NUMBERS)}".encode()
        began = time.monotonic()
        answer = site.call(
            "/staged/ok", body=body, entry=entry, Pieces="2,1", Piece_Key=key
        )
        return answer, time.monotonic() - began

    context.keyed, context.innocent = [], []
    with ThreadPoolExecutor(beside) as pool:
        for _ in range(count):
            entry = next(entries)
            keys = [f"key-{next(NUMBERS)}" for _ in range(beside)]
            others = [pool.submit(ask, entry, key) for key in keys]
            context.keyed.append(ask(entry, DEADLY_KEY))
            context.innocent += [each.result()[0] for each in others]
            time.sleep(LISTED_SECONDS)


@then("no more than {most:d} stage servers have crashed")
def step(context, most):
    crashes = sum(server.crashes for server in context.site.of_kind("stage"))
    assert crashes <= most, crashes


@then("the last {last:d} requests with the key are refused at once as not run")
def step(context, last):
    for answer, seconds in context.keyed[-last:]:
        assert answer.status == NOT_RUN, [a.status for a, _ in context.keyed]
        assert seconds < AT_ONCE_SECONDS, seconds
