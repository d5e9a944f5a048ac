"""Names why a request was not served, for the metric that counts these by cause."""

from boragestream.backend.failures import AnswerCut, ConnectFailed
from boragestream.base.failures import CallerGone, DeadlinePassed
from boragestream.base.outcomes import Failure
from boragestream.serving.piece_failures import StageSaturated

__all__ = ["unserved_cause"]

SERVER_ERROR = 500


def unserved_cause(status: int, failure: Failure | None) -> str:
    """Return the cause; empty if the request was served or its caller has left.

    :param status: the status of the answer.
    :param failure: why there is no answer of a server; None if there is one.
    """
    if failure is None:
        return "server failed" if status >= SERVER_ERROR else ""
    if isinstance(failure, CallerGone):
        return ""
    if isinstance(failure, DeadlinePassed):
        return "deadline"
    if isinstance(failure, AnswerCut | ConnectFailed):
        return "connection lost"
    if isinstance(failure, StageSaturated) and failure.returning:
        return "refused again"
    return "refused"
