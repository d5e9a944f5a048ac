"""Builds what bounds the memory of an entry that forwards calls."""

import ctypes
from collections.abc import Mapping
from typing import Any

import msgspec

from boragestream.base.clock import Clock
from boragestream.base.machine import machine_memory_mb
from boragestream.base.memory_budget import MemoryBudget, MemoryKind, budget_bytes
from boragestream.base.route_settings import ResourceSettings
from boragestream.entry.links import Handler
from boragestream.policy.outstanding import OutstandingWork

__all__ = [
    "charged_handlers",
    "make_budget",
    "make_outstanding",
    "return_freed_memory",
]

# Without a setting, an entry shares its machine with others.
DEFAULT_MEMORY_MB = 1024
# The share of the threads that may wait for memory; the others serve requests that need
# little.
WAITING_SHARE = 0.5
# Options of glibc's mallopt.
MMAP_THRESHOLD = -3
ARENA_MAX = -8
# Larger blocks are mapped one by one and returned when they are freed. Without a fixed
# value glibc raises its threshold, and an entry kept 70 MB of freed bodies and answers.
# Buffers of 64 KB, into which connections are read, stay below it, since each mapping
# costs system calls.
MAPPED_BYTES = 262_144
ARENAS = 2


def make_budget(memory_mb: int | None, threads: int, clock: Clock) -> MemoryBudget:
    """Return the entry's budget.

    :param threads: how many requests can be in hand at once.
    :param memory_mb: the memory above which the process is ended, if the settings name
        it; by default what its machine has, up to ``DEFAULT_MEMORY_MB``.
    """
    if memory_mb is None:
        memory_mb = min(DEFAULT_MEMORY_MB, machine_memory_mb())
    waiting = max(1, int(threads * WAITING_SHARE))
    return MemoryBudget(budget_bytes(memory_mb), clock, waiting)


def make_outstanding(
    resources: ResourceSettings, clock: Clock
) -> OutstandingWork | None:
    """Return the bounds on work at servers; None if the settings name no memory."""
    return OutstandingWork(clock) if resources.memory_mb is not None else None


def charged_handlers(
    handlers: Mapping[type, Handler], budget: MemoryBudget
) -> Mapping[type, Handler]:
    """Return handlers that charge each message of a peer while it is handled."""
    return {kind: _charged(handler, budget) for kind, handler in handlers.items()}


def _charged(handler: Handler, budget: MemoryBudget) -> Handler:
    def handle(envelope: Any, message: Any) -> Any:
        size = len(msgspec.msgpack.encode(message))
        budget.charge(MemoryKind.PEER, size)
        try:
            return handler(envelope, message)
        finally:
            budget.release(MemoryKind.PEER, size)

    return handle


def return_freed_memory() -> None:
    """Have the allocator return large blocks to the system when they are freed."""
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(MMAP_THRESHOLD, MAPPED_BYTES)
        mallopt(ARENA_MAX, ARENAS)
