"""The memory of a server for callers that a test runs by itself."""

from boragestream.base.memory_budget import MemoryBudget
from boragestream.caller.caller_memory import CallerMemory
from boragestream.caller.replies import JsonRefusals


def caller_memory(clock, size, excess_requests=lambda: 0):
    """Return the part of a budget of so many bytes that callers' connections use."""
    budget = MemoryBudget(size, clock)
    return CallerMemory(budget, JsonRefusals(), clock, excess_requests=excess_requests)
