"""The record of a case: what was sent, answered and run, one JSON object a line.

Times are seconds of the machine's steady clock, which all processes share.
"""

import json
import threading
import time
from pathlib import Path

__all__ = ["Recorder", "merge", "read"]


class Recorder:
    """Appends events to a file; thread-safe.

    :param path: the file.
    :param source: names the writer in each event.
    """

    def __init__(self, path, source):
        self._path = Path(path)
        self._source = source
        self._lock = threading.Lock()

    def note(self, event, **fields):
        """Append an event."""
        line = {"at": round(time.monotonic(), 4), "by": self._source, "event": event}
        text = json.dumps({**line, **fields}) + "\n"
        with self._lock, self._path.open("a", encoding="utf-8") as file:
            file.write(text)


def read(path):
    """Return the events of a file; a last line that was cut off is left out."""
    events = []
    for line in Path(path).read_text(encoding="utf-8").splitlines():
        try:
            events.append(json.loads(line))
        except ValueError:
            continue
    return events


def merge(folder, target, began, verdict):
    """Write the events of all files in a folder to one, in the order of their times.

    :param began: the time that is written as 0.
    :param verdict: the lines that open the record.
    :returns: the events.
    """
    events = [event for path in Path(folder).glob("*.jsonl") for event in read(path)]
    events.sort(key=lambda event: event["at"])
    lines = list(verdict(events))
    for event in events:
        event = {**event, "at": round(event["at"] - began, 4)}
        lines.append(json.dumps(event))
    Path(target).write_text("\n".join(lines) + "\n", encoding="utf-8")
    return events
