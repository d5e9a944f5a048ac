"""The windows of an entry for all services.

A request is counted in the window of each service of its pipeline until it does not
need that service any more. ``policy.service_window`` adapts each window.
"""

from collections.abc import Callable

from boragestream.document import Pipeline
from boragestream.policy.admitted import Admitted, StageEnd
from boragestream.policy.service_window import ServiceWindow
from boragestream.policy.stage_times import StageTimes

__all__ = ["ServiceWindows"]


class ServiceWindows:
    """The windows by service; the owner must hold a lock.

    :param times: the measured durations of the stages.
    :param share: returns this entry's share of a service's slots; 0 if unknown.
    """

    def __init__(
        self, times: StageTimes, share: Callable[[str], float] = lambda service: 0.0
    ) -> None:
        self._times = times
        self._share = share
        self._windows: dict[str, ServiceWindow] = {}
        self._pipelines: dict[str, Pipeline] = {}

    def open_for(self, pipeline: Pipeline, now: float) -> bool:
        """Return whether a request of the pipeline may begin."""
        return all(self._requested_window(s.service, now).open for s in pipeline.stages)

    def take(self, admitted: Admitted, now: float) -> None:
        """Record that a request begins."""
        pipeline = admitted.candidate.pipeline
        self._pipelines[pipeline.name] = pipeline
        for service in admitted.services:
            self._window(service, now).take()

    def release_all(self, admitted: Admitted) -> None:
        """Record that a request has ended."""
        for service in admitted.release_services():
            self._windows[service].release()

    def end_stage(self, admitted: Admitted, end: StageEnd, now: float) -> None:
        """Adapt the service's window to an ended stage, and release its place."""
        window = self._windows[end.service]
        # A window that is not enforced must not adapt. Its cuts would have no effect,
        # so that durations under overload would become the baselines.
        if admitted.candidate.uses("admission"):
            self._adapt(admitted, end, now)
        if end.passed:
            window.release()

    def used(self) -> dict[str, tuple[int, int]]:
        """Return limit and usage of each window."""
        return {name: (w.limit, w.in_use) for name, w in self._windows.items()}

    def _requested_window(self, service: str, now: float) -> ServiceWindow:
        window = self._window(service, now)
        window.request_room(self._share(service), now)
        return window

    def _window(self, service: str, now: float) -> ServiceWindow:
        window = self._windows.get(service)
        if window is None:
            window = ServiceWindow(now)
            self._windows[service] = window
        return window

    def _adapt(self, admitted: Admitted, end: StageEnd, now: float) -> None:
        window = self._windows[end.service]
        if end.saturated:
            window.overflow(admitted.began, now)
        elif end.timed:
            name = admitted.candidate.pipeline.name
            seconds = now - end.began
            multiple = self._times.multiple(name, end.stage, seconds, end.streamed)
            correction = window.observe(multiple, admitted.began, now)
            if correction is not None:
                self._raise_baselines(end.service, correction)

    def _raise_baselines(self, service: str, factor: float) -> None:
        for pipeline in self._pipelines.values():
            for stage in pipeline.stages:
                if stage.service == service:
                    self._times.raise_baseline(pipeline.name, stage.name, factor)
