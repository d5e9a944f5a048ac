"""Builds what divides a shortage between client accounts, where settings require it."""

from dataclasses import dataclass

from boragestream.base.clock import Clock
from boragestream.base.route_settings import RouteSettings
from boragestream.entry.demand import DemandPart
from boragestream.entry.peers import EntryPeers
from boragestream.platform.contracts import accounts_compete
from boragestream.policy.demand import DemandTable
from boragestream.policy.queue_shares import QueueShares
from boragestream.policy.service_shares import ServiceShares
from boragestream.policy.thread_shares import ThreadShares

__all__ = ["AccountParts", "make_account_parts", "shares_fairly"]


@dataclass(frozen=True, slots=True)
class AccountParts:
    """The shares of client accounts at one entry.

    :ivar services: the shares of engines and plain services; None if shortages are not
        divided between accounts.
    """

    clock: Clock
    services: ServiceShares | None = None

    @property
    def active(self) -> bool:
        """Whether shortages are divided between accounts."""
        return self.services is not None

    def new_queue(self) -> QueueShares | None:
        """Return the shares of a stage service's queue that this entry owns now."""
        return QueueShares() if self.active else None

    def threads(self, limit: int) -> ThreadShares | None:
        """Return the shares of the entry's threads.

        :param limit: the number of requests that it serves at once.
        """
        return ThreadShares(limit, self.clock) if self.active else None


def shares_fairly(settings: RouteSettings) -> bool:
    """Return whether shortages are divided between client accounts."""
    required = settings.accounts.fair_shares
    if required is None:
        return accounts_compete(settings.platform.contracts)
    return required


def make_account_parts(
    settings: RouteSettings,
    own: str,
    incarnation: str,
    members: EntryPeers,
    clock: Clock,
) -> AccountParts:
    """Build the shares, and report this entry's demand in the exchange."""
    if not shares_fairly(settings):
        return AccountParts(clock)

    def entries() -> int:
        return sum(1 for entry in members.entries.usable() if entry.host)

    table = DemandTable(own, clock)
    services = ServiceShares(table, entries, clock)
    # The load of the entry is not used by entries that forward calls.
    part = DemandPart(own, incarnation, table, services.demands, lambda: 0.0)
    # Reports fill the space of a message. Entries that don't get the age of published
    # values from their peers read the store themselves.
    members.exchange.add_last_part(part)
    return AccountParts(clock, services)
