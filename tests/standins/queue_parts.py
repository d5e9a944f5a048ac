"""What the owner of a stage service's queue needs, without a process or a socket."""

from types import SimpleNamespace

from boragestream.policy.late_service import refuse_late
from boragestream.policy.load import LoadTable
from boragestream.policy.quarantine import Quarantine
from boragestream.policy.server_backoffs import ServerBackoffs
from tests.standins.limits import lone_limits


class UncountedRetries:
    """Counts nothing."""

    def note_request(self, service, count=1):
        """Take a request."""


def queue_parts(clock, servers, cold, limits, **more):
    """Return the parts; ``limits`` are those of every service."""
    parts = {
        "note_use": lambda: None,
        "clock": clock,
        "servers": servers,
        "cold": cold,
        "piece_limits": lambda service: limits,
        "loads": LoadTable(clock, None),
        "backoffs": ServerBackoffs(clock),
        "limited": lone_limits(clock),
        "quarantine": Quarantine("entry", lambda: ["entry"], clock),
        "retries": UncountedRetries(),
        "metrics": None,
        "late": refuse_late,
        "note_server_answer": lambda server: None,
        "shares": lambda: None,
        "returns": lambda: None,
        "other_servers": lambda server: (),
        "is_cut_off": lambda service: False,
        "is_brittle": lambda service: False,
        "part_crashes": None,
    }
    return SimpleNamespace(**{**parts, **more})
