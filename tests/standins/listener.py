"""Accepts connections, each in a thread of its own."""

import contextlib
import socket
import threading


class Listener:
    """Listens at a free port; ``serve`` is called with each connection."""

    def __init__(self, serve):
        """Start to accept."""
        self.serve = serve
        self.accepted = []
        self.socket = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.socket.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        """Accept until the socket is closed."""
        while True:
            try:
                sock, _ = self.socket.accept()
            except OSError:
                return
            self.accepted.append(sock)
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def close(self):
        """Stop listening; the connections stay."""
        # A close alone leaves the port open for as long as a thread waits in accept.
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()
