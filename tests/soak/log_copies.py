"""Logs that reach their files through readers, which go, stall and come back."""

import threading

from tests.standins.log_readers import ReturningReader

PAUSE_SECONDS = 0.02


class LogCopy:
    """Copies what an entry logs to its file, unless it is struck."""

    def __init__(self, process, folder):
        """Take the place of the entry's log.

        :param folder: a folder for the pipe.
        """
        folder.mkdir()
        self.reader = ReturningReader(process, folder)
        self.path = process.log
        self.stalled = False
        self.ended = threading.Event()
        self.lock = threading.Lock()
        self.thread = threading.Thread(target=self._copy, daemon=True)
        self.thread.start()

    def strike(self, how):
        """Have the reader go or stall; return what brings it back."""
        with self.lock:
            if how == "gone":
                self.reader.leave()
            self.stalled = True
        return self.heal

    def heal(self):
        """Have the reader read, whether or not it was struck."""
        with self.lock:
            if self.reader.reader is None:
                self.reader.come()
            self.stalled = False

    def close(self):
        """End the copying."""
        self.ended.set()
        self.thread.join()
        self.reader.close()

    def _copy(self):
        while not self.ended.wait(PAUSE_SECONDS):
            with self.lock:
                data = b"" if self.stalled else self.reader.read()
            if data:
                with self.path.open("ab") as log:
                    log.write(data)
