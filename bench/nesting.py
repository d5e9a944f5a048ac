"""What bounding the nesting of answers costs, as a ratio to decoding alone.

Usage: python -m bench.nesting

Decodes typical answers with and without the bound, in turn, and writes the ratios to
bench/results/nesting.json.
"""

import json
import os
import statistics
import time
from pathlib import Path

from boragestream.base.nesting import ANYTHING, decode_bounded

RESULT = Path(__file__).parent / "results" / "nesting.json"
ROUNDS = 15
SECONDS = 0.1

ANSWERS = {
    "part of a stream": {"id": "a-1", "choices": [{"text": "word "}]},
    "embedding of 768": {"embedding": [0.123456] * 768, "mark": "m"},
    "20 documents": {"documents": [{"id": f"d-{i}", "score": 0.5} for i in range(20)]},
    "100 documents": {"documents": [{"id": f"d-{i}", "tags": []} for i in range(100)]},
    "1 MB of text": {"text": "word " * 200_000},
}


def rate(decode, text):
    """Return decodings a second of processor time."""
    count = 0
    began = time.process_time()
    while time.process_time() - began < SECONDS:
        decode(text)
        count += 1
    return count / (time.process_time() - began)


def measure(text):
    """Return the ratio of time with the bound to time without, over the rounds."""
    ratios = [
        rate(ANYTHING.decode, text) / rate(decode_bounded, text) for _ in range(ROUNDS)
    ]
    return {
        "median": round(statistics.median(ratios), 2),
        "lowest": round(min(ratios), 2),
        "highest": round(max(ratios), 2),
    }


def main():
    """Measure every answer and write the result."""
    result = {
        "what": "processor time of decoding with the bound over without",
        "rounds": ROUNDS,
        "cores": os.cpu_count(),
        "note": "the machine was shared with other work",
        "ratios": {
            name: measure(json.dumps(answer).encode())
            for name, answer in ANSWERS.items()
        },
    }
    RESULT.write_text(json.dumps(result, indent=2) + "\n")
    print(json.dumps(result["ratios"]))


if __name__ == "__main__":
    main()
