"""The memory of a server for callers that a test runs by itself."""

from boragestream.base.memory_budget import MemoryBudget
from boragestream.caller.caller_memory import CallerMemory
from boragestream.caller.replies import JsonRefusals


def caller_memory(clock, size):
    """Return the part of a budget of so many bytes that callers' connections use."""
    return CallerMemory(MemoryBudget(size, clock), JsonRefusals(), clock)
