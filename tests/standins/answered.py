"""An answer whose bytes are there already, as an entry reads them."""

import io

from boragestream.base.answer_reader import AnswerReader


class _Bytes:
    """A socket that has received all it ever will."""

    def __init__(self, data):
        """Take the bytes."""
        self._file = io.BytesIO(data)

    def makefile(self, *_, **__):
        """Return a file that holds nothing open."""
        return io.BytesIO()

    def recv(self, size):
        """Return the next bytes."""
        return self._file.read(size)


def answered(data):
    """Return the response that begins with some bytes, its head read."""
    response = AnswerReader(_Bytes(data))
    response.begin()
    return response
