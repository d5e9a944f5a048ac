"""Weighted fair queueing between client accounts, earliest deadline first within one.

Start-time fair queueing: an account's virtual time grows by the cost of what was taken
from it over its weight, and the account that is furthest behind is served next. An
account that was idle joins at the queue's own virtual time, so that idleness earns no
credit. Items of a pipeline that cannot begin now are passed over without losing their
place. How long a queue may become is left to ``policy.admission``.
"""

import heapq
import itertools
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

__all__ = ["FairQueue", "account_weight"]

Item = TypeVar("Item")

# Three steps of priority double an account's share; a strict order would starve the
# lower priorities.
PRIORITY_STEPS_PER_DOUBLING = 3


def account_weight(weight: float, priority: int) -> float:
    """Return the share of an account with a priority, relative to the others."""
    return weight * 2 ** (priority / PRIORITY_STEPS_PER_DOUBLING)


@dataclass(slots=True)
class AccountQueue(Generic[Item]):
    """What waits for one account, by pipeline, earliest deadline first."""

    weight: float
    virtual_time: float = 0.0
    heaps: dict[str, list[tuple[float, int, Item]]] = field(default_factory=dict)

    @property
    def size(self) -> int:
        """How many items wait."""
        return sum(len(heap) for heap in self.heaps.values())

    def length(self, pipelines: Iterable[str]) -> int:
        """Return how many items of some pipelines wait."""
        return sum(len(self.heaps.get(name, ())) for name in pipelines)


class FairQueue(Generic[Item]):
    """The queue; not safe without its owner's lock."""

    def __init__(self) -> None:
        self._accounts: dict[str, AccountQueue[Item]] = {}
        self._virtual_time = 0.0
        self._sequence = itertools.count()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def push(
        self, account: str, weight: float, pipeline: str, deadline: float, item: Item
    ) -> None:
        """Add an item; a weight that has changed counts from now on."""
        queue = self._accounts.get(account)
        if queue is None:
            queue = AccountQueue(weight, self._virtual_time)
            self._accounts[account] = queue
        if queue.size == 0:
            queue.virtual_time = max(queue.virtual_time, self._virtual_time)
        queue.weight = weight
        heap = queue.heaps.setdefault(pipeline, [])
        heapq.heappush(heap, (deadline, next(self._sequence), item))
        self._size += 1

    def pop(
        self,
        can_begin: Callable[[str], bool],
        cost: Callable[[str], float],
    ) -> Item | None:
        """Take the next item whose pipeline can begin, None where none can.

        :param can_begin: whether an item of a pipeline can begin now.
        :param cost: what an item of a pipeline costs, in any one unit.
        """
        waiting = [q for q in self._accounts.values() if q.size]
        for queue in sorted(waiting, key=lambda q: q.virtual_time):
            usable = [p for p, heap in queue.heaps.items() if heap and can_begin(p)]
            if not usable:
                continue
            pipeline = min(usable, key=lambda p: queue.heaps[p][0][:2])
            item = heapq.heappop(queue.heaps[pipeline])[2]
            self._virtual_time = max(self._virtual_time, queue.virtual_time)
            queue.virtual_time += cost(pipeline) / queue.weight
            self._size -= 1
            self._forget_idle()
            return item
        return None

    def remove(self, account: str, pipeline: str, item: Item) -> bool:
        """Remove an item that has not been taken; tell whether it was there."""
        queue = self._accounts.get(account)
        heap = queue.heaps.get(pipeline, []) if queue else []
        for index, entry in enumerate(heap):
            if entry[2] is item:
                heap[index] = heap[-1]
                heap.pop()
                heapq.heapify(heap)
                self._size -= 1
                return True
        return False

    def queued(self, account: str, pipelines: Iterable[str]) -> int:
        """Return how many items of some pipelines wait for an account."""
        queue = self._accounts.get(account)
        return queue.length(pipelines) if queue else 0

    def length(self, pipeline: str) -> int:
        """Return how many items of a pipeline wait for all accounts."""
        return sum(queue.length((pipeline,)) for queue in self._accounts.values())

    def rivals(self, account: str, pipelines: Collection[str]) -> list[float]:
        """Return the weights of the other accounts with items of some pipelines."""
        return [
            queue.weight
            for name, queue in self._accounts.items()
            if name != account and queue.length(pipelines)
        ]

    def heaviest(self) -> tuple[str, float]:
        """Return the account with the most items for its weight, and that number."""
        loads = ((q.size / q.weight, name) for name, q in self._accounts.items())
        load, name = max(loads, default=(0.0, ""))
        return name, load

    def take_latest(self, account: str) -> Item | None:
        """Take an account's item with the latest deadline, None where none waits."""
        queue = self._accounts.get(account)
        if queue is None or not queue.size:
            return None
        entries = ((max(heap)[:2], p) for p, heap in queue.heaps.items() if heap)
        (place, pipeline) = max(entries)
        heap = queue.heaps[pipeline]
        entry = next(e for e in heap if e[:2] == place)
        self.remove(account, pipeline, entry[2])
        return entry[2]

    def _forget_idle(self) -> None:
        idle = [
            name
            for name, queue in self._accounts.items()
            if not queue.size and queue.virtual_time <= self._virtual_time
        ]
        for name in idle:
            del self._accounts[name]
