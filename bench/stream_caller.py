"""A caller that holds many streams open at once and times their tokens.

Usage: python -m bench.stream_caller SPEC

SPEC is JSON: address, port, path, headers, body, streams, begin and end (monotonic
seconds between which tokens count) and whole (what closes a whole stream). It prints
one line of JSON: tokens and streams in that time, streams that were cut, and the
delays of the tokens in milliseconds, read from the time that each token carries.
"""

import asyncio
import json
import re
import sys
import time

TEXT = re.compile(rb'"text":\s?"(\d+) "')
END_TOKENS = re.compile(rb'"tokens":(\d+)')
READ_BYTES = 65536


class Counts:
    """What one process of callers has seen."""

    def __init__(self, begin, end):
        self.begin = begin
        self.end = end
        self.tokens = 0
        self.whole = 0
        self.cut = 0
        self.delays = []
        self.gaps = []

    def take(self, now, stamps, last):
        """Count tokens that came at once; ``last`` is when the ones before came."""
        if self.begin <= now < self.end:
            self.tokens += len(stamps)
            self.delays.extend(now * 1e3 - int(s) / 1e6 for s in stamps)
            if last is not None:
                self.gaps.append((now - last) * 1e3)
                self.gaps.extend([0.0] * (len(stamps) - 1))


async def one_stream(spec, counts):
    """Read one stream to its end and check that it is whole."""
    reader, writer = await asyncio.open_connection(spec["address"], spec["port"])
    lines = [f"POST {spec['path']} HTTP/1.1", "Host: bench"]
    lines += [f"{k}: {v}" for k, v in spec["headers"].items()]
    lines += [f"Content-Length: {len(spec['body'])}", "", spec["body"]]
    writer.write("\r\n".join(lines).encode())
    rest = b""
    tokens = 0
    last = None
    while not rest.endswith(b"\r\n0\r\n\r\n"):
        data = await reader.read(READ_BYTES)
        if not data:
            break
        now = time.monotonic()
        whole, mark, rest = (rest + data).rpartition(b"\n\n")
        stamps = TEXT.findall(whole)
        tokens += len(stamps)
        if stamps:
            counts.take(now, stamps, last)
            last = now
        if spec["whole"].encode() in whole:
            said = END_TOKENS.search(whole)
            good = tokens == (int(said[1]) if said else spec["tokens"])
            counts.whole += good
            counts.cut += not good
            break
    else:
        counts.cut += 1
    writer.close()


async def keep_streaming(spec, counts, delay):
    """Open one stream after the other until the end."""
    await asyncio.sleep(delay)
    while time.monotonic() < counts.end:
        began = time.monotonic()
        before = counts.whole
        try:
            await one_stream(spec, counts)
        except OSError:
            counts.cut += 1
        if counts.whole == before and time.monotonic() - began < 0.1:
            await asyncio.sleep(0.1)


async def main(spec):
    """Run the streams, spread their starts, and print what was seen."""
    counts = Counts(spec["begin"], spec["end"])
    spread = max(0.0, spec["begin"] - time.monotonic()) * 0.8
    streams = spec["streams"]
    tasks = [
        asyncio.create_task(keep_streaming(spec, counts, spread * i / streams))
        for i in range(streams)
    ]
    await asyncio.sleep(spec["end"] - time.monotonic())
    for task in tasks:
        task.cancel()
    seen = {
        "tokens": counts.tokens,
        "whole": counts.whole,
        "cut": counts.cut,
        "delays": [round(d, 3) for d in counts.delays],
        "gaps": [round(g, 3) for g in counts.gaps],
    }
    print(json.dumps(seen))


if __name__ == "__main__":
    asyncio.run(main(json.loads(sys.argv[1])))
