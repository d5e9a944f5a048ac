"""What the stand-ins share: a threading HTTP server that speaks JSON."""

import json
import socket
import sys
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit


class Handler(BaseHTTPRequestHandler):
    """Reads JSON, answers JSON; a subclass defines ``get`` and ``post``."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def do_GET(self):
        """Answer a GET."""
        url = urlsplit(self.path)
        query = {k: v[-1] for k, v in parse_qs(url.query).items()}
        self.get(url.path, query)

    def do_POST(self):
        """Answer a POST."""
        length = int(self.headers.get("Content-Length", 0))
        body = self.rfile.read(length)
        self.post(self.path, json.loads(body) if body else None)

    def reply(self, body, status=200, headers=()):
        """Answer with JSON."""
        self.reply_bytes(json.dumps(body).encode(), status, headers)

    def reply_bytes(self, content, status=200, headers=()):
        """Answer with a body as it is."""
        self.send_response_only(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(content)))
        self.end_headers()
        self.wfile.write(content)
        self.wfile.flush()

    def not_modified(self, headers=()):
        """Answer that what the caller knows is still so."""
        self.send_response_only(304)
        for name, value in headers:
            self.send_header(name, value)
        self.end_headers()
        self.wfile.flush()

    def reset(self):
        """Close the connection with a reset."""
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.cut()

    def cut(self):
        """Close the connection without answering further."""
        self.close_connection = True
        self.wfile.flush()
        if self.connection.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER):
            self.connection.close()
            return
        self.connection.shutdown(socket.SHUT_RDWR)

    def log_message(self, *_):
        """Keep quiet."""


class Server(ThreadingHTTPServer):
    """A server that many may connect to at once."""

    daemon_threads = True
    request_queue_size = 512
    allow_reuse_address = True

    def handle_error(self, *_):
        """Say nothing of callers that closed their connection."""
        if not isinstance(sys.exc_info()[1], OSError):
            super().handle_error(*_)


def serve(address, port, handler):
    """Serve until the process is ended."""
    Server((address, port), handler).serve_forever(poll_interval=0.05)
