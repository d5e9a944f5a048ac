"""Metrics of forwarded requests, served as text.

Labels hold what the published routes name: client accounts, routes, services. Their
number is bounded, and what comes beyond it is counted together, so that neither memory
nor the time of a scrape can grow without end. Nothing is decided by them.
"""

import threading
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from functools import partial

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

from boragestream.base.memory_budget import MemoryBudget, MemoryKind

__all__ = ["RegionFigures", "RouteMetrics"]

# 730 client accounts and 8 pipelines of up to two dozen routes are the planned size.
MOST_ACCOUNTS = 800
MOST_ROUTES = 256
MOST_SERVICES = 64
OTHER = "other"
# From a plain call on an idle server to the longest timeout of a stream.
SECONDS = (0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0)
AGE_SECONDS = (0.1, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 60.0)


class _Bounded:
    """Label values, up to so many different ones."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._known: set[str] = set()
        self._lock = threading.Lock()

    def __call__(self, value: str) -> str:
        """Return the value, or the one for all others."""
        if value in self._known:
            return value
        with self._lock:
            if len(self._known) >= self._most:
                return OTHER
            self._known.add(value)
        return value


@dataclass(frozen=True, slots=True)
class RegionFigures:
    """The figures of the link to one other region.

    :ivar round_trip_seconds: the recent round trip; 0 if unknown.
    :ivar window: the optional bytes a second that may be exchanged with the region.
    :ivar bytes_by_kind: the bytes that this entry exchanged with the region.
    """

    region: str
    round_trip_seconds: float
    window: float
    bytes_by_kind: dict[str, int]


class _RegionCollector:
    """Reads the figures of the links with each scrape."""

    def __init__(self, read: Callable[[], Sequence[RegionFigures]]) -> None:
        self._read = read

    def collect(self) -> Iterator[Metric]:
        """Return the metrics of all links."""
        sizes = CounterMetricFamily(
            "boragestream_region_bytes",
            "Bytes exchanged with another region, by what they are for.",
            labels=["region", "kind"],
        )
        delays = GaugeMetricFamily(
            "boragestream_region_round_trip_seconds",
            "Recent round trip to another region; 0 if unknown.",
            labels=["region"],
        )
        windows = GaugeMetricFamily(
            "boragestream_region_window",
            "Optional bytes a second that may be exchanged with another region.",
            labels=["region"],
        )
        for figures in self._read():
            delays.add_metric([figures.region], figures.round_trip_seconds)
            windows.add_metric([figures.region], figures.window)
            for kind, size in figures.bytes_by_kind.items():
                sizes.add_metric([figures.region, kind], size)
        yield from (sizes, delays, windows)

    def describe(self) -> Iterable[Metric]:
        """Return nothing, so that registering reads no figures."""
        return ()


class RouteMetrics:
    """The metrics of one entry."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._read_regions: Callable[[], Sequence[RegionFigures]] = tuple
        self._registry.register(_RegionCollector(lambda: self._read_regions()))
        self._account = _Bounded(MOST_ACCOUNTS)
        self._route = _Bounded(MOST_ROUTES)
        self._service = _Bounded(MOST_SERVICES)
        registry = self._registry
        self._requests = Counter(
            "boragestream_requests",
            "Requests that ended, by outcome and reason.",
            ["route", "outcome", "reason"],
            registry=registry,
        )
        self._unserved = Counter(
            "boragestream_unserved",
            "Requests that were not served, by cause.",
            ["route", "cause"],
            registry=registry,
        )
        self._accounts = Histogram(
            "boragestream_account_seconds",
            "Time of a request from its first byte to its end, by client account.",
            ["account"],
            buckets=SECONDS,
            registry=registry,
        )
        self._routes = Histogram(
            "boragestream_route_seconds",
            "Time of a request from its first byte to its end, by route.",
            ["route"],
            buckets=SECONDS,
            registry=registry,
        )
        self._attempts = Counter(
            "boragestream_attempts",
            "Attempts at servers, by how they ended.",
            ["service", "end"],
            registry=registry,
        )
        self._oversized = Counter(
            "boragestream_oversized_answers",
            "Answers that went beyond a bound, by bound.",
            ["bound"],
            registry=registry,
        )
        self._first = Histogram(
            "boragestream_first_seconds",
            "Time of an attempt to its whole answer or first event, by service.",
            ["service"],
            buckets=SECONDS,
            registry=registry,
        )
        self._stages = Histogram(
            "boragestream_stage_seconds",
            "Time of a stage from its order to its results, by service.",
            ["service"],
            buckets=SECONDS,
            registry=registry,
        )
        self._batches = Counter(
            "boragestream_batches",
            "Calls of stage servers made as the owner of a queue.",
            ["service", "end"],
            registry=registry,
        )
        self._pieces = Counter(
            "boragestream_pieces",
            "Pieces in these calls.",
            ["service"],
            registry=registry,
        )
        self._returns = Histogram(
            "boragestream_return_seconds",
            "Time after which refused callers should return, as the owner of a queue.",
            ["service"],
            buckets=SECONDS,
            registry=registry,
        )
        self._permits = Counter(
            "boragestream_permits",
            "Permits asked for to call servers with a limit.",
            ["service", "end"],
            registry=registry,
        )
        self._delegations = Counter(
            "boragestream_delegated",
            "Requests that another entry was asked to serve, by reason and end.",
            ["reason", "end"],
            registry=registry,
        )
        self._taken_over = Counter(
            "boragestream_taken_over",
            "Requests that other entries asked this one to serve.",
            registry=registry,
        )
        self._chains = Counter(
            "boragestream_borrowed_chains",
            "Requests whose stages were offered to another region.",
            ["region", "end"],
            registry=registry,
        )
        self._crossings = Counter(
            "boragestream_other_region_attempts",
            "Attempts at servers of another region, by region and reason.",
            ["region", "reason"],
            registry=registry,
        )
        self._list_age = Histogram(
            "boragestream_server_list_age_seconds",
            "Age of the server list when a server was chosen.",
            buckets=AGE_SECONDS,
            registry=registry,
        )
        self._memory = Gauge(
            "boragestream_memory_bytes",
            "Bytes held for others, by kind.",
            ["kind"],
            registry=registry,
        )
        self._memory_limit = Gauge(
            "boragestream_memory_limit_bytes",
            "Bytes that may be held for others; 0 for no limit.",
            registry=registry,
        )
        self._memory_refused = Counter(
            "boragestream_memory_refused",
            "Requests refused for memory.",
            registry=registry,
        )
        self._abandoned = Counter(
            "boragestream_slow_readers_abandoned",
            "Connections closed because their callers did not read.",
            registry=registry,
        )
        self._senders_abandoned = Counter(
            "boragestream_slow_senders_abandoned",
            "Connections closed because their callers sent too slowly or nothing.",
            registry=registry,
        )

        self._shares = Gauge(
            "boragestream_account_share",
            "Share of an account at its last refused surplus, by place.",
            ["place", "account"],
            registry=registry,
        )
        self._demands = Gauge(
            "boragestream_account_demand",
            "Demand of an account at its last refused surplus, by place.",
            ["place", "account"],
            registry=registry,
        )
        self._surplus = Counter(
            "boragestream_account_surplus_refused",
            "Requests refused as surplus of their account, by place.",
            ["place", "account"],
            registry=registry,
        )

    def gauge(self, name: str, meaning: str, read: Callable[[], float]) -> None:
        """Add a gauge that is read with each scrape."""
        gauge = Gauge(f"boragestream_{name}", meaning, registry=self._registry)
        gauge.set_function(read)

    def region_figures(self, read: Callable[[], Sequence[RegionFigures]]) -> None:
        """Set what returns the figures of the links to other regions."""
        self._read_regions = read

    def set_memory(self, budget: MemoryBudget) -> None:
        """Set the budget whose bytes are served."""
        for kind in MemoryKind:
            labelled = self._memory.labels(kind.value)
            labelled.set_function(partial(budget.charged, kind))
        self._memory_limit.set(budget.limit)

    def memory_refused(self) -> None:
        """Count a request that was refused for memory."""
        self._memory_refused.inc()

    def caller_abandoned(self, unread: bool) -> None:
        """Count a connection that was closed because its caller was slow.

        :param unread: whether it had not read its answer, or else not sent its request.
        """
        (self._abandoned if unread else self._senders_abandoned).inc()

    def request_ended(
        self, account: str, route: str, outcome: str, reason: str, seconds: float
    ) -> None:
        """Count a request.

        :param reason: the code of its failure; empty for none.
        """
        route = self._route(route)
        self._requests.labels(route, outcome, reason).inc()
        self._accounts.labels(self._account(account)).observe(seconds)
        self._routes.labels(route).observe(seconds)

    def request_unserved(self, route: str, cause: str) -> None:
        """Count a request that was not served.

        :param cause: one of the causes of ``serving.unserved``.
        """
        self._unserved.labels(self._route(route), cause).inc()

    def server_chosen(self, list_age: float) -> None:
        """Count a choice of a server.

        :param list_age: the seconds since the server list was last confirmed.
        """
        self._list_age.observe(list_age)

    def region_crossed(self, region: str, reason: str) -> None:
        """Count an attempt at a server of another region."""
        self._crossings.labels(region, reason).inc()

    def attempt_ended(self, service: str, end: str, first: float | None) -> None:
        """Count an attempt.

        :param first: seconds to its whole answer or first event; None for neither.
        """
        service = self._service(service)
        self._attempts.labels(service, end).inc()
        if first is not None:
            self._first.labels(service).observe(first)

    def answer_oversized(self, bound: str) -> None:
        """Count an answer that went beyond a bound."""
        self._oversized.labels(bound).inc()

    def stage_ended(self, service: str, seconds: float) -> None:
        """Count a stage whose results are there."""
        self._stages.labels(self._service(service)).observe(seconds)

    def batch_ended(self, service: str, end: str, pieces: int) -> None:
        """Count a call of a stage server."""
        service = self._service(service)
        self._batches.labels(service, end).inc()
        self._pieces.labels(service).inc(pieces)

    def return_planned(self, service: str, seconds: float) -> None:
        """Count a refused caller by the time after which it should return."""
        self._returns.labels(self._service(service)).observe(seconds)

    def permit_ended(self, service: str, granted: bool) -> None:
        """Count a permit that was asked for."""
        end = "granted" if granted else "refused"
        self._permits.labels(self._service(service), end).inc()

    def delegation_ended(self, reason: str, end: str) -> None:
        """Count a request that another entry was asked to serve."""
        self._delegations.labels(reason, end).inc()

    def delegation_taken(self) -> None:
        """Count a request that another entry asked this one to serve."""
        self._taken_over.inc()

    def chain_offered(self, region: str, accepted: bool) -> None:
        """Count a chain of stages that was offered to another region."""
        self._chains.labels(region, "accepted" if accepted else "refused").inc()

    def surplus_refused(
        self, place: str, account: str, share: float, demand: float
    ) -> None:
        """Count a request that was refused as surplus of its account.

        :param place: the service, or a name for the threads of the entry.
        """
        labels = self._service(place), self._account(account)
        self._surplus.labels(*labels).inc()
        self._shares.labels(*labels).set(share)
        self._demands.labels(*labels).set(demand)

    def text(self) -> str:
        """Return all metrics as text."""
        return generate_latest(self._registry).decode()
