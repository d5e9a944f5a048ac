"""Steps on the entries that an answer of the directory lists."""

import json
import random
from collections import Counter

from behave import given, then, when

from boragestream.caller.directory import DirectoryApplication
from boragestream.platform.directory import PlatformDirectory
from boragestream.policy.directory_choice import RandomEntries, RankedEntries
from boragestream.policy.peers import ListedEntry

CALLERS = [f"10.{n // 250}.{n % 250}.7" for n in range(2000)]


def entries_of(count, capacity, prefix="entry", centre="hall"):
    """Return listed entries of one capacity."""
    return [
        ListedEntry(
            f"{prefix}-{n}",
            f"{prefix}-{n}:80",
            f"{prefix}-{n}",
            centre,
            False,
            capacity,
        )
        for n in range(count)
    ]


def names(entries):
    """Return the names of entries."""
    return [entry.name for entry in entries]


@given("{count:d} entries of equal capacity")
def step(context, count):
    context.entries = entries_of(count, 1.0)


@given("{small:d} entries of capacity {less:g} and {large:d} of capacity {more:g}")
def step(context, small, less, large, more):
    context.entries = entries_of(small, less, "small")
    context.entries += entries_of(large, more, "large")


@given('{count:d} entries of equal capacity and one of "{capacity}"')
def step(context, count, capacity):
    context.entries = entries_of(count, 1.0) + entries_of(1, float(capacity), "odd")


@then("without regions an answer is what a random sample of {count:d} gives")
def step(context, count):
    choice = RandomEntries(random.Random(5))
    rng = random.Random(5)
    for caller in CALLERS[:50]:
        expected = rng.sample([e.host for e in context.entries], count)
        chosen = choice.choose(context.entries, caller)
        assert [entry.host for entry in chosen] == expected


@then("every caller is named all {count:d}")
@then("every caller is named {count:d} entries")
def step(context, count):
    for caller in CALLERS[:50]:
        chosen = names(RankedEntries().choose(context.entries, caller))
        assert len(set(chosen)) == len(chosen) == count, len(chosen)


@then("a caller is named the same {count:d} entries however the entries are ordered")
def step(context, count):
    first = names(RankedEntries().choose(context.entries, CALLERS[0]))
    assert len(first) == count
    rng = random.Random(1)
    for _ in range(20):
        shuffled = rng.sample(context.entries, len(context.entries))
        assert names(RankedEntries().choose(shuffled, CALLERS[0])) == first


@then("{count:d} callers are named almost all entries together")
def step(context, count):
    seen = set()
    for caller in CALLERS[:count]:
        seen |= set(names(RankedEntries().choose(context.entries, caller)))
    assert len(seen) >= 0.95 * len(context.entries), len(seen)


@then("without one of its entries a caller is named {count:d} of the same and one more")
def step(context, count):
    before = names(RankedEntries().choose(context.entries, CALLERS[0]))
    left = [e for e in context.entries if e.name != before[10]]
    after = names(RankedEntries().choose(left, CALLERS[0]))
    assert len(set(before) & set(after)) == count
    assert len(after) == count + 1


@then(
    "over {count:d} callers the larger are named first {low:g} to {high:g} times as "
    "often"
)
def step(context, count, low, high):
    first = Counter(
        RankedEntries().choose(context.entries, caller)[0].name.partition("-")[0]
        for caller in CALLERS[:count]
    )
    assert low <= first["large"] / first["small"] <= high, first


@then("the larger stand in more answers")
def step(context):
    listed = Counter(
        name.partition("-")[0]
        for caller in CALLERS[:200]
        for name in names(RankedEntries().choose(context.entries, caller))
    )
    assert listed["large"] > 2 * listed["small"], listed


@given("a directory of an entry in several regions with {count:d} entries in each")
def step(context, count):
    context.by_region = {
        region: entries_of(count, 1.0, region) for region in ("near", "far")
    }

    def entries(region):
        everyone = [e for group in context.by_region.values() for e in group]
        return context.by_region.get(region) or everyone

    context.directory = DirectoryApplication(
        format=PlatformDirectory(),
        ready=lambda: True,
        entries=entries,
        choice=RankedEntries(),
        keep_seconds=1.0,
    )


def addresses(context, caller, region):
    """Return the addresses that a caller is named."""
    environ = {
        "PATH_INFO": PlatformDirectory.directory_path,
        "QUERY_STRING": f"region={region}",
        "REMOTE_ADDR": caller,
    }
    body = b"".join(context.directory(environ, lambda status, headers: None))
    return json.loads(body)["addrs"]


@then(
    'a caller from "{caller}" in "{region}" is named {count:d} entries of "{named}" '
    "each time"
)
def step(context, caller, region, count, named):
    context.named = addresses(context, caller, region)
    assert len(context.named) == count
    assert all(a.startswith(named) for a in context.named)
    assert addresses(context, caller, region) == context.named


@then('a caller from "{caller}" in "{region}" is named others')
def step(context, caller, region):
    assert set(addresses(context, caller, region)) != set(context.named)


@when('the entries of "{region}" are gone')
def step(context, region):
    context.by_region[region] = []
