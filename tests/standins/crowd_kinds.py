"""The crowds of callers outside the limits, each by what it sends and reads.

A head is as long as the published limits allow at the most, and so is a body.
"""

from itertools import product
from string import ascii_lowercase

from tests.standins.crowd_site import BODY_BYTES, EVENT_BYTES, LONG_BYTES
from tests.standins.crowds import LARGE_BUFFER_BYTES, Manners
from tests.standins.route_site import KEY

# The deadlines of crowds that give their requests little or much time.
SHORT_MS, LONG_MS = 1_500, 50_000
LARGE_PART = LONG_BYTES * 9 // 10
TRICKLE_BYTES = 50
SMALL_BODY_BYTES = 60_000
HEAD_BYTES = 16_000
TINY_REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
# As many as the kernel takes in one call.
AT_ONCE = 2_000
PIECES = 2_048
CONTROL_BYTES = 1_024
CLOSED_BYTES = 100_000
STEPS_TO_LEAVE = 25


def long_answers(site, wait_ms, **reading):
    """Return callers that ask for long answers."""

    def sends(number):
        return site.request("/safe/long", number, 0, wait_ms=wait_ms)

    return Manners(sends, **reading)


def long_streams(site, wait_ms, **reading):
    """Return callers that ask for long streams."""

    def sends(number):
        return site.request("/chat/long", number, 0, wait_ms=wait_ms)

    return Manners(sends, **reading)


def staged_streams(site):
    """Return callers that ask for long streams behind stages and read nothing."""

    def sends(number):
        more = ("Pieces: 1,1", f"Piece-Key: key-{number}")
        return site.request("/staged/long", number, 0, more=more, wait_ms=LONG_MS)

    return Manners(sends)


def left_answers(site):
    """Return callers that leave answers unread, each with its connection."""

    def sends(number):
        return site.request("/safe/long", number, 0, more=("Connection: close",))

    return Manners(sends, leaves_after=STEPS_TO_LEAVE)


def tiny_requests(site):
    """Return callers that send requests without end and read nothing."""
    return Manners(lambda number: TINY_REQUEST * AT_ONCE, endless=True)


def refused_requests(site):
    """Return callers whose requests are refused, and that read nothing."""

    def sends(number):
        return site.request("/nowhere/ok", number, 0) * AT_ONCE

    return Manners(sends, endless=True)


def answered_requests(site):
    """Return callers whose requests are answered, and that read nothing."""

    def sends(number):
        return site.request("/safe/ok", number, 0) * AT_ONCE

    return Manners(sends, endless=True)


def many_headers(site):
    """Return callers whose heads have as many headers as fit, and that do not end."""
    names = ("".join(letters) for letters in product(ascii_lowercase, repeat=3))
    lines = []
    while sum(map(len, lines)) + 2 * len(lines) < HEAD_BYTES:
        lines.append(f"{next(names)}:")
    more = tuple(lines)

    def sends(number):
        return site.request("/safe/ok", number, 10, more=more) + b"x"

    return Manners(sends)


def unfinished_bodies(site, size=SMALL_BODY_BYTES):
    """Return callers that send the first byte of a body alone."""
    return Manners(lambda number: site.request("/safe/ok", number, size) + b"x")


def slow_bodies(site):
    """Return callers that send a body byte by byte."""

    def sends(number):
        head = site.request("/safe/ok", number, SMALL_BODY_BYTES)
        return head + b"x" * SMALL_BODY_BYTES

    return Manners(sends, sends_in_step=2)


def unfinished_heads(site):
    """Return callers that send a part of a head."""
    return Manners(lambda number: site.request("/safe/ok", number)[:-4])


def silent_callers(site):
    """Return callers that send nothing."""
    return Manners(lambda number: b"")


def endless_chunk_lines(site):
    """Return callers that send the first line of a chunk without its end."""

    def sends(number):
        more = ("Transfer-Encoding: chunked",)
        head = site.request("/safe/ok", number, more=more)
        return head + b"1;" + b"x" * (BODY_BYTES - 1_000)

    return Manners(sends, sends_in_step=CONTROL_BYTES * 16)


def many_pieces(site):
    """Return callers that ask for as many results of stages as may be."""

    def sends(number):
        more = (f"Pieces: {PIECES},{PIECES}", f"Piece-Key: key-{number}")
        return site.request("/staged/ok", number, 0, more=more, wait_ms=SHORT_MS)

    return Manners(sends, reads_at_most=None)


def long_identifiers(site):
    """Return callers whose requests have identifiers as long as a head may be."""

    def sends(number):
        identifier = f"{number:x}" * HEAD_BYTES
        return site.request("/safe/ok", identifier[:HEAD_BYTES], 0)

    return Manners(sends, endless=True, reads_at_most=None)


def large_bodies(site):
    """Return callers that send the page addresses large bodies."""

    def sends(number):
        length = 10 * BODY_BYTES
        head = f"POST /boragestream/ready HTTP/1.1\r\nContent-Length: {length}\r\n\r\n"
        return head.encode() + b"x" * (length // 4)

    return Manners(sends)


def half_closed(site):
    """Return callers that close their sending direction and read nothing."""

    def sends(number):
        return site.request("/safe/long", number, 0, wait_ms=LONG_MS)

    return Manners(sends, half_closes=True)


def resetting(site):
    """Return callers that reset their connections amid long answers and streams."""

    def sends(number):
        path = ("/safe/long", "/chat/long")[number % 2]
        return site.request(path, number, 0, wait_ms=LONG_MS)

    return Manners(sends, reads_in_step=EVENT_BYTES, resets_after=STEPS_TO_LEAVE)


def expecting_callers(site):
    """Return callers that ask whether to send a body, and send none."""

    def sends(number):
        more = ("Expect: 100-continue",)
        return site.request("/safe/ok", number, SMALL_BODY_BYTES, more=more)

    return Manners(sends)


def unknown_callers(site):
    """Return callers without a known key, which send much and read nothing."""

    def sends(number):
        head = site.request("/safe/ok", number, 0)
        return head.replace(KEY.encode(), b"key-%d" % number) * AT_ONCE

    return Manners(sends, endless=True)


def page_requests(path):
    """Return callers that ask for a page without end and read nothing."""
    request = f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode()
    return Manners(lambda number: request * AT_ONCE, endless=True)


# By name: the address, the number of callers, and their manners.
CROWDS = {
    "answers, read in large part": (
        "callers",
        60,
        lambda site: long_answers(
            site,
            SHORT_MS,
            reads_at_most=LARGE_PART,
            buffer_bytes=LARGE_BUFFER_BYTES,
        ),
    ),
    "answers, not read": ("callers", 60, lambda site: long_answers(site, SHORT_MS)),
    "answers, not read before a late deadline": (
        "callers",
        60,
        lambda site: long_answers(site, LONG_MS),
    ),
    "answers, read slowly without end": (
        "callers",
        60,
        lambda site: long_answers(
            site, SHORT_MS, reads_in_step=TRICKLE_BYTES, reads_at_most=None
        ),
    ),
    "streams, not read": ("callers", 120, lambda site: long_streams(site, SHORT_MS)),
    "streams, not read before a late deadline": (
        "callers",
        120,
        lambda site: long_streams(site, LONG_MS),
    ),
    "streams, read slowly without end": (
        "callers",
        120,
        lambda site: long_streams(
            site, LONG_MS, reads_in_step=TRICKLE_BYTES, reads_at_most=None
        ),
    ),
    "streams behind stages, not read": ("callers", 120, staged_streams),
    "answers left unread": ("callers", 60, left_answers),
    "requests without a pause": ("callers", 40, tiny_requests),
    "refused requests without a pause": ("callers", 40, refused_requests),
    "answered requests without a pause": ("callers", 40, answered_requests),
    "heads with thousands of headers": ("callers", 400, many_headers),
    "bodies that never end": ("callers", 400, unfinished_bodies),
    "bodies byte by byte": ("callers", 400, slow_bodies),
    "heads that never end": ("callers", 400, unfinished_heads),
    "nothing": ("callers", 400, silent_callers),
    "chunks whose first lines never end": ("callers", 40, endless_chunk_lines),
    "requests with thousands of pieces": ("callers", 20, many_pieces),
    "long identifiers": ("callers", 40, long_identifiers),
    "answers to half-closed connections": ("callers", 60, half_closed),
    "resets amid answers and streams": ("callers", 60, resetting),
    "expectations without a body": ("callers", 400, expecting_callers),
    "unknown keys without a pause": ("callers", 40, unknown_callers),
}
PAGE_CROWDS = {
    "nothing to the directory": ("directory", 400, silent_callers),
    "nothing to the readiness check": ("ready", 400, silent_callers),
    "bodies to the readiness check": ("ready", 30, large_bodies),
    "requests without a pause to the metrics": (
        "metrics",
        40,
        lambda site: page_requests("/metrics"),
    ),
    "requests without a pause to the directory": (
        "directory",
        40,
        lambda site: page_requests("/boragestream/resolve?name=site.example"),
    ),
}
