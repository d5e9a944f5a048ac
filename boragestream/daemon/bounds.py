"""Bounds that follow the settings in force and the published routes."""

from collections.abc import Callable

from boragestream.base.clock import Clock
from boragestream.daemon.settings_in_force import SettingsInForce
from boragestream.document.routes import RouteService
from boragestream.entry.address_sync import AddressSync
from boragestream.entry.addresses import AddressBook
from boragestream.policy.cold_servers import ColdBound
from boragestream.policy.retry_window import RetryBounds, RetryWindows

__all__ = ["cold_bound", "make_retries"]


def cold_bound(
    in_force: SettingsInForce, definition: Callable[[str], RouteService | None]
) -> Callable[[str], ColdBound | None]:
    """Return a function that returns the bound on requests to cold servers.

    :param definition: returns the published definition of a service.
    """

    def bound(service: str) -> ColdBound | None:
        published, cold = definition(service), in_force.current.cold
        if published is None or cold is None or published.cold_rate <= 0:
            return None
        most = published.cold_rate * cold.factor + cold.slack
        return ColdBound(published.cold_rate, most, published.cold_seconds)

    return bound


def make_retries(
    in_force: SettingsInForce, book: AddressBook, sync: AddressSync, clock: Clock
) -> RetryWindows:
    """Return the bound on the repeats of an entry that starts now.

    :param book: the entries that share the bound.
    :param sync: knows whether the other entries know the same entries.
    """

    def bounds() -> RetryBounds:
        retries = in_force.current.retries
        return RetryBounds(retries.share, retries.window_seconds, retries.slack)

    return RetryWindows(
        clock.now,
        bounds,
        lambda: len(book.entries),
        clock.now(),
        lambda: sync.has_converged,
    )
