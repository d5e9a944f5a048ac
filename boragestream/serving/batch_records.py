"""Records what a call of a stage server shows of its server and of its requests.

That is the load and the failures of the server, and the requests under which servers
crash (``policy.quarantine``). ``serving.piece_batches`` makes the calls.
"""

from dataclasses import dataclass

from boragestream.backend.failures import (
    AnswerCut,
    AttemptFailure,
    ConnectFailed,
    ServerBackedOff,
    ServerCold,
    ServerLeft,
    ServerLimited,
)
from boragestream.document.calls import PieceResult
from boragestream.policy.load import CallEnd
from boragestream.policy.piece_queue import PieceOrder
from boragestream.policy.prompt_parts import CRASHES_TO_BLOCK, part_fingerprint
from boragestream.policy.quarantine import CrashRecord
from boragestream.policy.service_queue import Batch
from boragestream.serving.ejections import log_ejection
from boragestream.serving.piece_calls import BatchParts
from boragestream.serving.prompt_guard import PromptGuard
from boragestream.serving.request_guard import count_crash, has_crashed

__all__ = ["BatchRecords", "BegunCall"]

# The failures of calls that were abandoned before anything was sent.
NOT_CALLED = ServerBackedOff | ServerCold | ServerLeft | ServerLimited


@dataclass(frozen=True, slots=True)
class BegunCall:
    """A call of a batch that has begun.

    :ivar began: when, in the clock's seconds.
    :ivar number: of the call in the load table.
    :ivar crash_records: of the requests that the batch has pieces of.
    :ivar keys: guards the piece keys of the batch; None if it has none.
    """

    batch: Batch
    began: float
    number: int
    crash_records: list[CrashRecord]
    keys: PromptGuard | None


class BatchRecords:
    """Records the calls of batches that this entry makes."""

    def __init__(self, parts: BatchParts) -> None:
        self._parts = parts

    def begin(self, batch: Batch) -> BegunCall:
        """Record that the call of a batch begins."""
        parts = self._parts
        began = parts.clock.now()
        number = parts.loads.begin(batch.server)
        keys = self._guard_keys(batch)
        return BegunCall(batch, began, number, self._crash_records(batch), keys)

    def end(
        self, call: BegunCall, service: str, result: list[PieceResult] | AttemptFailure
    ) -> None:
        """Record how a call ended."""
        parts, batch = self._parts, call.batch
        end = CallEnd.ANSWERED if isinstance(result, list) else CallEnd.CUT
        if isinstance(result, ConnectFailed):
            end = CallEnd.UNREACHED
        if isinstance(result, NOT_CALLED):
            end = CallEnd.CANCELLED
        seconds = parts.clock.now() - call.began
        kind = str(len(batch.pieces))
        parts.loads.end(batch.server, call.number, end, seconds, kind)
        name = end.name.lower()
        parts.metrics.batch_ended(service, name, len(batch.pieces))
        if end not in (CallEnd.ANSWERED, CallEnd.CANCELLED):
            log_ejection(parts.loads, batch.server, parts.clock.now())
        if isinstance(result, AnswerCut):
            self._count_crashes(call)

    def note_answered(self, call: BegunCall, results: list[PieceResult] | None) -> None:
        """Record the requests whose pieces a server made without crashing."""
        if results is None:
            return
        if call.keys is not None:
            call.keys.note_answered()
        quarantine = self._parts.quarantine
        if quarantine.empty:
            return
        made = zip(call.batch.pieces, results, strict=True)
        for fingerprint in {
            q.order.fingerprint for (q, _), done in made if done.handle
        }:
            quarantine.note_answered(fingerprint)

    def crashes(self, order: PieceOrder) -> int:
        """Return the consecutive crashes under an order's request, or its piece key."""
        parts = self._parts
        crashes = parts.quarantine.record_for(order.fingerprint).crashes
        return max(crashes, self._key_crashes(order))

    def is_blocked(self, order: PieceOrder) -> bool:
        """Return whether an order's request or its piece key is sent to no server."""
        if self._parts.quarantine.record_for(order.fingerprint).quarantined:
            return True
        return self._key_crashes(order) >= CRASHES_TO_BLOCK

    def _key_crashes(self, order: PieceOrder) -> int:
        """Return the consecutive crashes under the piece key of an order."""
        part_crashes = self._parts.part_crashes
        key = order.pieces[0].key if order.pieces else ""
        if not key or part_crashes is None:
            return 0
        return part_crashes.crashes(part_fingerprint(order.service, key))

    def _crash_records(self, batch: Batch) -> list[CrashRecord]:
        """Return the crash record of each request that a batch has pieces of."""
        fingerprints = {queued.order.fingerprint for queued, _ in batch.pieces}
        return [
            self._parts.quarantine.record_for(fingerprint)
            for fingerprint in fingerprints
            if fingerprint
        ]

    def _guard_keys(self, batch: Batch) -> PromptGuard | None:
        """Return the guard of a batch's piece keys, as they are when it is sent."""
        keys = {piece.key for _, piece in batch.pieces if piece.key}
        if not keys or self._parts.part_crashes is None:
            return None
        service = batch.server.service
        guard = PromptGuard(
            self._parts.part_crashes, service, sorted(keys), "", self._parts.clock
        )
        guard.note_sending()
        return guard

    def _count_crashes(self, call: BegunCall) -> None:
        """Count a crash against what a batch has if its server has crashed."""
        parts, server = self._parts, call.batch.server
        if not call.crash_records or parts.is_brittle(server.service):
            return
        if not has_crashed(parts.line.connections, server, parts.other_servers):
            return
        for record in call.crash_records:
            count_crash(self._parts.quarantine, record, server, request_id="")
        if call.keys is not None:
            call.keys.note_crash(server)
