"""An answer whose bytes are there already, as http.client reads them."""

import http.client
import io


class _Bytes:
    """A socket that has received all it ever will."""

    def __init__(self, data):
        """Take the bytes."""
        self._data = data

    def makefile(self, *_, **__):
        """Return the bytes as a file."""
        return io.BytesIO(self._data)


def answered(data):
    """Return the response that begins with some bytes, its head read."""
    response = http.client.HTTPResponse(_Bytes(data))
    response.begin()
    return response
