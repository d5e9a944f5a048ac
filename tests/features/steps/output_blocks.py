"""Steps on the output that a connection holds for its caller."""

from behave import given, then, when

from boragestream.base.clock import SystemClock
from boragestream.base.memory_budget import MemoryBudget, MemoryCharge, MemoryKind
from boragestream.caller.forwarded_stream import ForwardedBody
from boragestream.caller.output_blocks import OutputBlocks

LIMIT = 100_000_000


@given("output of {count:d} pieces of {size:d} bytes")
def step(context, count, size):
    context.blocks, context.sent = OutputBlocks(), b""
    pieces = [bytes([number % 251]) * size for number in range(count)]
    context.output = b"".join(pieces)
    for piece in pieces:
        context.blocks.append(piece)


@when("{sent:d} bytes of it are sent")
def step(context, sent):
    while len(context.sent) < sent:
        data = bytes(context.blocks.get(sent - len(context.sent)))
        context.blocks.skip(len(data))
        context.sent += data


@then("{left:d} bytes are left, and {held:d} are held")
def step(context, left, held):
    assert len(context.blocks) == left, len(context.blocks)
    assert context.blocks.held == held, context.blocks.held


@then("what is sent and left is the output in its order")
def step(context):
    while data := bytes(context.blocks.get(LIMIT)):
        context.sent += data
        context.blocks.skip(len(data))
    assert context.sent == context.output


@given(
    "a budget and an answer of {count:d} blocks of {size:d} bytes that is charged to it"
)
def step(context, count, size):
    context.budget = MemoryBudget(LIMIT, SystemClock())
    context.size, context.count = size, count
    held = MemoryCharge(context.budget, MemoryKind.ANSWER)
    assert held.reserve(count * size)
    blocks = [b"x" * size for _ in range(count)]
    context.body = ForwardedBody(blocks, held)


@when("its blocks are handed over one by one")
def step(context):
    output = MemoryCharge(context.budget, MemoryKind.OUTPUT)
    context.totals = []
    for number, block in enumerate(context.body, 1):
        context.totals.append(context.budget.total)
        output.set(number * len(block))
        context.totals.append(context.budget.total)
    context.body.close()
    context.totals.append(context.budget.total)


@then("the budget never held less than the blocks that exist, and at most one twice")
def step(context):
    exists = context.count * context.size
    assert min(context.totals) == exists, context.totals
    assert max(context.totals) == exists + context.size, context.totals
