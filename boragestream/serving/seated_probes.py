"""Probes brittle servers only with a seat.

A probe takes a place at its server like a call. All entries probe at once when the
servers pause, and a server without room for the probes would crash.
"""

from dataclasses import replace

from boragestream.policy.load import LoadTable
from boragestream.policy.servers import Server
from boragestream.serving.reach_checks import Probe, ProbeResult
from boragestream.serving.seated_servers import SeatedServers

__all__ = ["SeatedProbe"]


class SeatedProbe:
    """Obtains a seat before it probes a brittle server.

    :param probe: sends the probe.
    """

    def __init__(self, probe: Probe, seated: SeatedServers, loads: LoadTable) -> None:
        self._probe = probe
        self._seated = seated
        self._loads = loads

    def __call__(self, server: Server, seconds: float) -> ProbeResult:
        """Return what a probe showed; one that was not sent if there is no seat."""
        if not self._seated.is_brittle(server.service):
            return self._probe(server, seconds)
        report = self._loads.get(server).report
        slots = server.slots or (int(report.slots) if report is not None else 0)
        seat = self._seated.acquire_now(replace(server, slots=slots), seconds)
        if seat is None:
            return ProbeResult(answered=False, sent=False)
        cut = True
        try:
            result = self._probe(server, seconds)
            cut = result.hung
            return result
        finally:
            self._seated.seats.release(seat, cut=cut)
