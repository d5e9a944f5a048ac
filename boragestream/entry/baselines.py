"""Baselines of stage times on the exchange between entries.

An entry that starts under load measures stage times that include queueing. From the
other entries it learns how long a stage takes without a queue. Each message carries as
many baselines as fit, in rotation. ``policy.service_window`` uses the baselines.
"""

import msgspec

from boragestream.base.events import Event, emit
from boragestream.policy.stage_times import StageTimes

__all__ = ["BaselinePart"]

MAX_BASELINES = 64

# Pipeline, stage, whether the answers are streamed, and microseconds.
PackedBaseline = tuple[str, str, bool, int]

_encoder = msgspec.msgpack.Encoder()
_baselines_decoder = msgspec.msgpack.Decoder(tuple[PackedBaseline, ...])


class BaselinePart:
    """The part of the exchange that carries baselines.

    :param times: the measured stage times of this entry.
    """

    name = "b"

    def __init__(self, times: StageTimes) -> None:
        self._times = times
        self._next_offset = 0

    def offer(self, budget: int) -> bytes:
        """Return some baselines, in at most a quarter of the budget."""
        baselines = sorted(self._times.baselines().items())
        if not baselines:
            return b""
        start = self._next_offset % len(baselines)
        packed: list[PackedBaseline] = []
        remaining_bytes = budget // 4
        for (pipeline, stage, streamed), seconds in [
            *baselines[start:],
            *baselines[:start],
        ]:
            baseline = (pipeline, stage, streamed, round(seconds * 1_000_000))
            remaining_bytes -= len(_encoder.encode(baseline))
            if remaining_bytes < 0:
                break
            packed.append(baseline)
        self._next_offset = start + max(1, len(packed))
        return _encoder.encode(packed) if packed else b""

    def take(self, sender: str, data: bytes) -> None:
        """Add the baselines that a peer offered."""
        try:
            baselines = _baselines_decoder.decode(data)
        except msgspec.DecodeError as error:
            emit(Event.PEER_FRAME_REFUSED, peer=sender, reason=repr(error))
            return
        for pipeline, stage, streamed, microseconds in baselines[:MAX_BASELINES]:
            if microseconds > 0:
                seconds = microseconds / 1_000_000
                self._times.adopt_baseline(pipeline, stage, seconds, streamed)
