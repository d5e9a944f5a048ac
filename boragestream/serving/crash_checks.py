"""Checks whether a server crashed when it cut the answer of a forwarded request.

``serving.request_guard`` counts the crash against the request; this module also records
what was outstanding at the server.
"""

from boragestream.backend.failures import AnswerCut, Ran
from boragestream.base.events import Event, emit
from boragestream.base.outcomes import Failure
from boragestream.policy.servers import Server
from boragestream.serving.forward_attempt import ForwardParts
from boragestream.serving.forwarded_run import ForwardedRun
from boragestream.serving.prompt_guard import PromptGuard
from boragestream.serving.request_guard import RequestGuard

__all__ = ["CrashChecks", "make_guard"]


def make_guard(parts: ForwardParts, run: ForwardedRun) -> RequestGuard:
    """Return the guard of one request."""
    request_id = run.request.request_id
    prompt = PromptGuard(
        parts.part_crashes, run.service, run.shared_parts, request_id, parts.clock
    )
    return RequestGuard(
        parts.quarantine,
        parts.line.connections,
        request_id,
        run.fingerprint,
        parts.other_servers,
        was_cut=run.earlier_runs > 0,
        prompt=prompt,
    )


class CrashChecks:
    """The checks for one request.

    :param guard: counts the crashes under the request.
    """

    def __init__(
        self, parts: ForwardParts, run: ForwardedRun, guard: RequestGuard
    ) -> None:
        self._parts = parts
        self._run = run
        self._guard = guard

    def check(self, server: Server, failure: Failure) -> None:
        """Check for a crash of the server if its answer was cut."""
        seated = self._parts.seated
        if seated is not None and seated.is_brittle(server.service):
            # Rejections of other calls may have made the server crash.
            return
        if isinstance(failure, AnswerCut) and failure.ran is Ran.MAY_HAVE_RUN:
            crashed = self._guard.check_for_crash(server)
            if crashed and self._parts.outstanding is not None:
                self._note_outstanding(server)

    def _note_outstanding(self, server: Server) -> None:
        bound = self._parts.outstanding.note_crash(server)
        if bound is not None:
            emit(
                Event.SERVER_BOUNDED,
                request=self._run.request.request_id,
                server=server.name,
                service=server.service,
                bytes=bound.size,
                tokens=bound.tokens,
            )
