"""Exchanges the accounts' demand, the entries' load and stage times with peers."""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from boragestream.base.clock import Clock
from boragestream.document import ClientAccount, Document
from boragestream.entry.baselines import BaselinePart
from boragestream.entry.demand import DemandPart
from boragestream.entry.exchange import PeerExchange
from boragestream.platform.instances import Instance
from boragestream.policy.account_limits import AccountLimits
from boragestream.policy.admission import Admission
from boragestream.policy.demand import DemandTable
from boragestream.policy.entry_choice import ChoosableEntry, entry_order

__all__ = ["Demand", "live_entries"]


@dataclass(frozen=True, slots=True)
class Demand:
    """Holds the reported load of other entries and the accounts' demand.

    :ivar own: this entry's name.
    :ivar table: the latest report of each entry.
    :ivar limits: the accounts' limits at this entry.
    """

    own: str
    table: DemandTable
    limits: AccountLimits

    @classmethod
    def create(cls, own: str, clock: Clock) -> "Demand":
        """Return the state of an entry at its start, without any reports."""
        table = DemandTable(own, clock)
        return cls(own, table, AccountLimits(own, table, clock))

    def join(
        self, exchange: PeerExchange, incarnation: str, admission: Admission
    ) -> None:
        """Add the parts that carry the reports to the exchange."""
        demands = self.limits.demands

        def load() -> float:
            return admission.load

        part = DemandPart(self.own, incarnation, self.table, demands, load)
        exchange.add_part(part)
        exchange.add_part(BaselinePart(admission.times))

    def recommended_entries(
        self,
        account: ClientAccount,
        document: Document,
        entries: Iterable[Instance],
        own_load: float,
        data_centre: str,
        rng: random.Random,
    ) -> list[Instance]:
        """Return the entries recommended to an account, in order of preference."""
        live_by_name = {entry.name: entry for entry in entries if entry.state == "live"}
        reports = self.table.unexpired_reports()
        loads = {name: report.load for name, (_, report) in reports.items()}
        loads[self.own] = own_load
        total_weight = sum(other.weight for other in document.client_accounts)
        choosable = [
            ChoosableEntry(e.name, e.data_centre) for e in live_by_name.values()
        ]
        share = account.weight / total_weight
        order = entry_order(account.name, share, choosable, loads, data_centre, rng)
        return [live_by_name[name] for name in order]


def live_entries(entries: Iterable[Instance]) -> list[str]:
    """Return the names of the entries whose state is live."""
    return [entry.name for entry in entries if entry.state == "live"]
