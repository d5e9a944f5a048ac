"""Weighted fair queueing between client accounts, earliest deadline first within one.

Start-time fair queueing: each item taken from an account advances the account's virtual
time by the item's cost divided by the account's weight, and the account with the lowest
virtual time is served next. An account that was idle joins at the queue's virtual time,
so that it gains no credit while idle. Items of a pipeline that can't begin now are
skipped and keep their order. ``policy.admission`` bounds the queue's length.
"""

import heapq
import itertools
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

__all__ = ["FairQueue", "account_weight"]

Item = TypeVar("Item")

# Three steps of priority double an account's share. A strict order by priority would
# starve the lower priorities.
PRIORITY_STEPS_PER_DOUBLING = 3


def account_weight(weight: float, priority: int) -> float:
    """Return the relative share of an account with a weight and a priority."""
    return weight * 2 ** (priority / PRIORITY_STEPS_PER_DOUBLING)


@dataclass(slots=True)
class AccountQueue(Generic[Item]):
    """The waiting items of one account, by pipeline, earliest deadline first."""

    weight: float
    virtual_time: float = 0.0
    heaps: dict[str, list[tuple[float, int, Item]]] = field(default_factory=dict)

    @property
    def size(self) -> int:
        """The number of items that wait."""
        return sum(len(heap) for heap in self.heaps.values())

    def length(self, pipelines: Iterable[str]) -> int:
        """Return the number of waiting items of the given pipelines."""
        return sum(len(self.heaps.get(name, ())) for name in pipelines)


class FairQueue(Generic[Item]):
    """The queue; the owner must hold a lock."""

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
        """Add an item; a changed weight applies from now on."""
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
        """Remove and return the next item that can begin; None if there is none.

        :param can_begin: returns whether an item of a pipeline can begin now.
        :param cost: returns the cost of an item of a pipeline, in any consistent unit.
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
            self._drop_idle()
            return item
        return None

    def remove(self, account: str, pipeline: str, item: Item) -> bool:
        """Remove a waiting item; return whether it was found."""
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
        """Return the number of an account's waiting items of the given pipelines."""
        queue = self._accounts.get(account)
        return queue.length(pipelines) if queue else 0

    def length(self, pipeline: str) -> int:
        """Return the number of waiting items of a pipeline, over all accounts."""
        return sum(queue.length((pipeline,)) for queue in self._accounts.values())

    def competing_weights(
        self, account: str, pipelines: Collection[str]
    ) -> list[float]:
        """Return the weights of the other accounts with items of the pipelines."""
        return [
            queue.weight
            for name, queue in self._accounts.items()
            if name != account and queue.length(pipelines)
        ]

    def heaviest(self) -> tuple[str, float]:
        """Return the account with the most items for its weight, and that ratio."""
        loads = ((q.size / q.weight, name) for name, q in self._accounts.items())
        load, name = max(loads, default=(0.0, ""))
        return name, load

    def pop_latest(self, account: str) -> Item | None:
        """Remove and return an account's item with the latest deadline.

        :returns: None if no item waits.
        """
        queue = self._accounts.get(account)
        if queue is None or not queue.size:
            return None
        entries = ((max(heap)[:2], p) for p, heap in queue.heaps.items() if heap)
        (place, pipeline) = max(entries)
        heap = queue.heaps[pipeline]
        entry = next(e for e in heap if e[:2] == place)
        self.remove(account, pipeline, entry[2])
        return entry[2]

    def _drop_idle(self) -> None:
        idle = [
            name
            for name, queue in self._accounts.items()
            if not queue.size and queue.virtual_time <= self._virtual_time
        ]
        for name in idle:
            del self._accounts[name]
