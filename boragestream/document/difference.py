"""A document as a compressed difference from an earlier one.

The earlier text serves zstandard as the dictionary, so that what did not change costs
next to nothing. A difference names the digests of its base and of its result, and both
are checked. Without a base the same form carries a whole text.
"""

from dataclasses import dataclass

import zstandard

from boragestream.base.outcomes import Failure
from boragestream.document.check import MAX_DOCUMENT_BYTES
from boragestream.document.digest import text_digest

__all__ = [
    "Difference",
    "DifferenceDamaged",
    "WrongBase",
    "apply_difference",
    "encode_difference",
]

LEVEL = 3
# The window must span the base and the result, or far matches are not found.
WINDOW_LOG = 22
# Canonical JSON can be longer than what was published, by its escapes and numbers.
MAX_TEXT_BYTES = 2 * MAX_DOCUMENT_BYTES


@dataclass(frozen=True, slots=True)
class Difference:
    """One text in terms of another.

    :ivar base: the digest of the base; empty where the text is whole.
    :ivar result: the digest of the text.
    :ivar data: zstandard frame.
    """

    base: str
    result: str
    data: bytes


@dataclass(frozen=True, slots=True)
class WrongBase(Failure):
    """A difference was made from a text that is not at hand.

    :ivar base: the digest of the text that it needs.
    """

    base: str


@dataclass(frozen=True, slots=True)
class DifferenceDamaged(Failure):
    """A difference does not lead to the text that it names.

    :ivar reason: what is wrong with it.
    """

    reason: str


def encode_difference(base: bytes, text: bytes) -> Difference:
    """Return a text as a difference.

    :param base: the text to start from; empty for none.
    """
    parameters = zstandard.ZstdCompressionParameters.from_level(
        LEVEL,
        window_log=WINDOW_LOG,
        enable_ldm=bool(base),
        source_size=len(text),
        dict_size=len(base),
    )
    compressor = zstandard.ZstdCompressor(
        dict_data=_dictionary(base), compression_params=parameters
    )
    data = compressor.compress(text)
    return Difference(text_digest(base) if base else "", text_digest(text), data)


def apply_difference(
    difference: Difference, base: bytes
) -> bytes | WrongBase | DifferenceDamaged:
    """Return the text that a difference leads to.

    :param base: the text at hand; it is not used for a whole text.
    """
    if difference.base and text_digest(base) != difference.base:
        return WrongBase(difference.base)
    try:
        size = zstandard.get_frame_parameters(difference.data).content_size
        if not 0 < size <= MAX_TEXT_BYTES:
            return DifferenceDamaged(f"{size} bytes are announced")
        dictionary = _dictionary(base if difference.base else b"")
        decompressor = zstandard.ZstdDecompressor(
            dict_data=dictionary, max_window_size=1 << WINDOW_LOG
        )
        text = decompressor.decompress(difference.data, max_output_size=size)
    except zstandard.ZstdError as error:
        return DifferenceDamaged(repr(error))
    if text_digest(text) != difference.result:
        return DifferenceDamaged("another result than the one it names")
    return text


def _dictionary(base: bytes) -> zstandard.ZstdCompressionDict | None:
    if not base:
        return None
    return zstandard.ZstdCompressionDict(base, dict_type=zstandard.DICT_TYPE_RAWCONTENT)
