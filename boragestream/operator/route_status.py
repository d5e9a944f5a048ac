"""``boragestream status --metrics``: one picture of entries that forward by routes.

It is read from the metrics that each entry serves as text, and adds up what can be
added. An entry tells nothing of the others, so that each has to be named.
"""

import http.client
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from prometheus_client.parser import text_string_to_metric_families

from boragestream.base.outcomes import Failure
from boragestream.operator.client import EntryUnreachable
from boragestream.operator.exits import ExitCode
from boragestream.operator.output import print_json, print_table

__all__ = ["RouteEntryStatus", "RouteFleetStatus", "print_route_status"]

METRICS_PATH = "/metrics"
ASK_SECONDS = 3.0
PREFIX = "boragestream_"


@dataclass(frozen=True, slots=True)
class RouteEntryStatus:
    """What one entry tells.

    :ivar address: of its metrics.
    :ivar version: of the routes in force; 0 for none.
    :ivar servers: backend servers that it lists.
    :ivar entries: entries that it believes to serve, itself included.
    :ivar list_age: seconds since the platform confirmed its list of servers.
    :ivar cold_servers: servers that it takes for cold.
    :ivar drained_centres: data centres whose servers it sends nothing.
    :ivar limited_servers: servers that take few requests from all entries together.
    :ivar list_era: of the store, as far as its list of servers is known.
    :ivar list_revision: of that era.
    :ivar held_values: values used against what a store says that came back from a copy.
    """

    address: str
    version: int
    in_hand: int
    servers: int
    entries: int
    list_age: float
    cold_servers: int = 0
    drained_centres: int = 0
    limited_servers: int = 0
    list_era: int = 0
    list_revision: int = 0
    held_values: int = 0


@dataclass(frozen=True, slots=True)
class RouteFleetStatus:
    """What all entries tell together.

    :ivar requests: by route and outcome, since each entry's start.
    :ivar attempts: at servers, by service and how they ended.
    """

    entries: tuple[RouteEntryStatus, ...]
    requests: dict[str, dict[str, int]]
    attempts: dict[str, dict[str, int]]
    unreachable: tuple[Failure, ...]


def print_route_status(addresses: Iterable[str], as_json: bool) -> ExitCode:
    """Ask every address and print the picture."""
    status = route_fleet_status(addresses)
    if as_json:
        print_json(status)
    else:
        _print(status)
    return ExitCode.UNREACHABLE if status.unreachable else ExitCode.OK


def route_fleet_status(addresses: Iterable[str]) -> RouteFleetStatus:
    """Ask every address; one that gives no whole answer is listed as unreachable."""
    entries: list[RouteEntryStatus] = []
    unreachable: list[Failure] = []
    requests: dict[str, Counter[str]] = {}
    attempts: dict[str, Counter[str]] = {}
    for address in addresses:
        samples = _samples(address)
        if isinstance(samples, EntryUnreachable):
            unreachable.append(samples)
            continue
        entries.append(_entry(address, samples))
        _add(requests, samples, "requests_total", "route", "outcome")
        _add(attempts, samples, "attempts_total", "service", "end")
    return RouteFleetStatus(
        tuple(entries),
        {name: dict(counts) for name, counts in sorted(requests.items())},
        {name: dict(counts) for name, counts in sorted(attempts.items())},
        tuple(unreachable),
    )


# The name, the labels and the value of each sample.
Samples = list[tuple[str, dict[str, str], float]]


def _samples(address: str) -> Samples | EntryUnreachable:
    connection = http.client.HTTPConnection(address, timeout=ASK_SECONDS)
    try:
        connection.request("GET", METRICS_PATH)
        response = connection.getresponse()
        text = response.read().decode()
        if response.status != http.HTTPStatus.OK:
            return EntryUnreachable(address, True, f"status {response.status}")
        return [
            (sample.name.removeprefix(PREFIX), dict(sample.labels), sample.value)
            for family in text_string_to_metric_families(text)
            for sample in family.samples
        ]
    except (OSError, ValueError, http.client.HTTPException) as error:
        return EntryUnreachable(address, connection.sock is not None, repr(error))
    finally:
        connection.close()


def _entry(address: str, samples: Samples) -> RouteEntryStatus:
    gauges = {name: value for name, labels, value in samples if not labels}
    return RouteEntryStatus(
        address=address,
        version=int(gauges.get("version", 0)),
        in_hand=int(gauges.get("in_hand", 0)),
        servers=int(gauges.get("servers", 0)),
        entries=int(gauges.get("entries", 0)),
        list_age=round(gauges.get("server_list_age", 0.0), 1),
        cold_servers=int(gauges.get("cold_servers", 0)),
        drained_centres=int(gauges.get("drained_centres", 0)),
        limited_servers=int(gauges.get("limited_servers", 0)),
        list_era=int(gauges.get("list_era", 0)),
        list_revision=int(gauges.get("list_revision", 0)),
        held_values=int(gauges.get("held_values", 0)),
    )


def _add(
    counts: dict[str, Counter[str]], samples: Samples, name: str, by: str, kind: str
) -> None:
    for sample, labels, value in samples:
        if sample == name:
            counts.setdefault(labels[by], Counter())[labels[kind]] += int(value)


def _print(status: RouteFleetStatus) -> None:
    versions = [entry.version for entry in status.entries]
    if versions:
        print(f"version {min(versions)} to {max(versions)}")
    print_table(
        (
            "entry",
            "version",
            "in hand",
            "servers",
            "cold",
            "limited",
            "drained centres",
            "entries",
            "list age s",
            "era",
            "revision",
            "held",
        ),
        [
            (
                e.address,
                e.version,
                e.in_hand,
                e.servers,
                e.cold_servers,
                e.limited_servers,
                e.drained_centres,
                e.entries,
                e.list_age,
                e.list_era,
                e.list_revision,
                e.held_values,
            )
            for e in status.entries
        ],
    )
    for failure in status.unreachable:
        print(f"unreachable: {failure.address}: {failure.reason}")
    for title, counts in (("route", status.requests), ("service", status.attempts)):
        print()
        rows = [
            (name, " ".join(f"{kind}={n}" for kind, n in sorted(by_kind.items())))
            for name, by_kind in counts.items()
        ]
        print_table((title, "ended"), rows)
