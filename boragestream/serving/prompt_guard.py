"""Checks whether a request may be sent with the parts of its prompt.

It counts the crashes of servers against these parts, and clears them once a server has
begun to answer. ``policy.prompt_parts`` decides what is blocked. The keys of pieces at
stage servers are treated like parts of a prompt.
"""

from collections.abc import Sequence

from boragestream.base.clock import Clock
from boragestream.base.events import Event, emit
from boragestream.policy.prompt_parts import (
    PartCrashes,
    PartQuarantined,
    PartsAtSend,
    part_fingerprint,
)
from boragestream.policy.servers import Server

__all__ = ["PromptGuard"]

# A server may write a first event and crash right after it.
BEGAN_SECONDS = 0.25
# Parts that one crash puts under suspicion and that are logged.
LOGGED_PARTS = 16


class PromptGuard:
    """Checks and updates the records of the parts of one request's prompt.

    :param crashes: the records; None if none are kept.
    :param parts: the identities of all parts but the last, or the keys of pieces.
    :param request_id: identifies the request in the log; empty for several requests.
    """

    def __init__(
        self,
        crashes: PartCrashes | None,
        service: str,
        parts: Sequence[str],
        request_id: str,
        clock: Clock,
    ) -> None:
        self._crashes = crashes if parts else None
        self._service = service
        self._names = {part_fingerprint(service, part): part for part in parts}
        self._request_id = request_id
        self._clock = clock
        self._admitted: dict[bytes, tuple[int, int, int]] = {}
        self._turns: dict[bytes, int] = {}
        self._at_send = PartsAtSend()
        self._first_event_at: float | None = None
        self._began = False

    @property
    def parts(self) -> tuple[str, ...]:
        """The identities of all parts but the last."""
        return tuple(self._names.values())

    def refusal(self) -> PartQuarantined | None:
        """Return why the request may not be sent now; None if it may."""
        if self._crashes is None:
            return None
        refused = self._crashes.refused(tuple(self._names))
        if refused is None:
            self._admitted = self._crashes.ranks(tuple(self._names))
            self._turns = self._crashes.turns(tuple(self._names))
            return None
        part, crashes, left = refused
        emit(
            Event.PART_REFUSED,
            request=self._request_id,
            service=self._service,
            part=self._names[part],
            fingerprint=part.hex(),
            crashes=crashes,
            left_ms=int(left * 1000),
        )
        return PartQuarantined(self._service, self._names[part], crashes, left)

    def check_before_send(self) -> PartQuarantined | None:
        """Repeat the check right before the first byte is sent.

        A peer may have reported a crash since the request was admitted, and the turn in
        which it was admitted may have ended.
        """
        if self._crashes is None:
            return None
        parts = tuple(self._names)
        changed = self._crashes.ranks(parts) != self._admitted
        if changed or self._crashes.has_ended(self._turns):
            refused = self.refusal()
            if refused is not None:
                return refused
        self.note_sending()
        return None

    def note_sending(self) -> None:
        """Record that the request is sent now."""
        if self._crashes is not None:
            self._at_send = self._crashes.at_send(tuple(self._names))
        self._first_event_at, self._began = None, False

    def note_crash(self, server: Server) -> None:
        """Count a crash of the server that ran the request."""
        if self._crashes is None or self._began:
            return
        changed = self._crashes.note_crash(tuple(self._names), self._at_send)
        for record in changed[:LOGGED_PARTS]:
            emit(
                Event.PART_CRASHED,
                request=self._request_id,
                service=self._service,
                server=server.name,
                part=self._names[record.fingerprint],
                fingerprint=record.fingerprint.hex(),
                crashes=record.crashes,
                suspects=len(changed),
                blocked=record.quarantined,
            )

    def note_events(self) -> None:
        """Record that the server has sent events of its answer."""
        if self._crashes is None or self._began:
            return
        now = self._clock.now()
        if self._first_event_at is None:
            self._first_event_at = now
        elif now - self._first_event_at >= BEGAN_SECONDS:
            self.note_answered()

    def note_answered(self) -> None:
        """Record that a server has answered the request, or has long begun to."""
        if self._crashes is not None and not self._began:
            self._began = True
            self._crashes.note_began(self._names)
