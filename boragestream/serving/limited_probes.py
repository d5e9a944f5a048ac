"""Probes servers that limit their requests only with a permit.

The limit of a server counts each request, also those without work. All entries suspect
their links at once when the servers pause, so their probes come together.

Which servers are probed and what the results show is left to ``serving.reach_checks``.
"""

from boragestream.policy.servers import Server
from boragestream.serving.limited_servers import LimitedServers
from boragestream.serving.reach_checks import Probe, ProbeResult

__all__ = ["LimitedProbe"]


class LimitedProbe:
    """Obtains a permit before it probes a server that has a limit.

    :param probe: sends the probe.
    """

    def __init__(self, probe: Probe, limited: LimitedServers) -> None:
        self._probe = probe
        self._limited = limited

    def __call__(self, server: Server, seconds: float) -> ProbeResult:
        """Return what a probe showed; one that was not sent if there is no permit."""
        if (
            self._limited.limits.limit(server) is not None
            and self._limited.acquire_now(server) is None
        ):
            return ProbeResult(answered=False, sent=False)
        return self._probe(server, seconds)
