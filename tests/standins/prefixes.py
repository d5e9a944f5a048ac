"""What an engine stand-in keeps of prompts: a prefix that it knows costs less."""

import json
import threading
from collections import OrderedDict

PREFIX_CHARACTERS = 256
KNOWN_SHARE = 0.1


class PrefixCache:
    """The prefixes used last, in limited memory."""

    def __init__(self, kept=32):
        """Take how many prefixes are kept."""
        self.hits = 0
        self.misses = 0
        self._kept = kept
        self._known = OrderedDict()
        self._lock = threading.Lock()

    def milliseconds(self, prompt, whole):
        """Return the time for a prompt that takes so long where it is not known."""
        prefix = json.dumps(prompt)[:PREFIX_CHARACTERS]
        with self._lock:
            known = prefix in self._known
            self._known[prefix] = True
            self._known.move_to_end(prefix)
            if len(self._known) > self._kept:
                self._known.popitem(last=False)
            self.hits += known
            self.misses += not known
        return whole * KNOWN_SHARE if known else whole
