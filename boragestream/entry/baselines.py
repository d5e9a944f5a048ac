"""Baselines of stage times on the exchange between entries.

An entry that starts under load sees its servers only with a queue; it learns from the
others how long a stage takes without one. Each message carries as many as there is
room for, in turn. What a baseline is used for is left to ``policy.service_window``.
"""

import msgspec

from boragestream.base.events import Event, emit
from boragestream.policy.stage_times import StageTimes

__all__ = ["BaselinePart"]

MAX_BASELINES = 64

# Pipeline, stage, whether the answers are streamed, and microseconds.
PackedBaseline = tuple[str, str, bool, int]

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(tuple[PackedBaseline, ...])


class BaselinePart:
    """The part of the exchange that carries baselines.

    :param times: the measured times of this entry.
    """

    name = "b"

    def __init__(self, times: StageTimes) -> None:
        self._times = times
        self._turn = 0

    def offer(self, budget: int) -> bytes:
        """Return some baselines; a quarter of the room is enough for them."""
        known = sorted(self._times.baselines().items())
        if not known:
            return b""
        shift = self._turn % len(known)
        packed: list[PackedBaseline] = []
        left = budget // 4
        for (pipeline, stage, streamed), seconds in [*known[shift:], *known[:shift]]:
            one = (pipeline, stage, streamed, round(seconds * 1_000_000))
            left -= len(_encoder.encode(one))
            if left < 0:
                break
            packed.append(one)
        self._turn = shift + max(1, len(packed))
        return _encoder.encode(packed) if packed else b""

    def take(self, sender: str, data: bytes) -> None:
        """Take the baselines that a peer offered."""
        try:
            baselines = _decoder.decode(data)
        except msgspec.DecodeError as error:
            emit(Event.PEER_FRAME_REFUSED, peer=sender, reason=repr(error))
            return
        for pipeline, stage, streamed, micros in baselines[:MAX_BASELINES]:
            if micros > 0:
                seconds = micros / 1_000_000
                self._times.take_baseline(pipeline, stage, seconds, streamed)
