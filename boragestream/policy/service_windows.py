"""The windows of an entry towards all services.

A request holds a place in the window of each service of its pipeline until it has
passed that service. How one window adapts is left to ``policy.service_window``.
"""

from collections.abc import Callable

from boragestream.document import Pipeline
from boragestream.policy.admitted import Admitted, StageEnd
from boragestream.policy.service_window import ServiceWindow
from boragestream.policy.stage_times import StageTimes

__all__ = ["ServiceWindows"]


class ServiceWindows:
    """The windows by service; not safe without its owner's lock.

    :param times: the measured times of the stages.
    :param share: returns this entry's share of a service's slots; 0 for not known.
    """

    def __init__(
        self, times: StageTimes, share: Callable[[str], float] = lambda service: 0.0
    ) -> None:
        self._times = times
        self._share = share
        self._windows: dict[str, ServiceWindow] = {}
        self._pipelines: dict[str, Pipeline] = {}

    def open_for(self, pipeline: Pipeline, now: float) -> bool:
        """Tell whether a request may begin."""
        return all(self._asked(s.service, now).open for s in pipeline.stages)

    def take(self, admitted: Admitted, now: float) -> None:
        """Count a request that begins."""
        pipeline = admitted.candidate.pipeline
        self._pipelines[pipeline.name] = pipeline
        for service in admitted.services:
            self._window(service, now).take()

    def give_up(self, admitted: Admitted) -> None:
        """Count a request that has ended."""
        for service in admitted.give_up():
            self._windows[service].release()

    def end_stage(self, admitted: Admitted, end: StageEnd, now: float) -> None:
        """Take the end of a stage: its time, and the place that it held."""
        window = self._windows[end.service]
        # A window to which nothing is held would learn that no cut helps, and take
        # the times of an overload for the servers' own.
        if admitted.candidate.uses("admission"):
            self._learn(admitted, end, now)
        if end.passed:
            window.release()

    def used(self) -> dict[str, tuple[int, int]]:
        """Return the limit and the use of each window."""
        return {name: (w.limit, w.in_use) for name, w in self._windows.items()}

    def _asked(self, service: str, now: float) -> ServiceWindow:
        window = self._window(service, now)
        window.ask(self._share(service), now)
        return window

    def _window(self, service: str, now: float) -> ServiceWindow:
        window = self._windows.get(service)
        if window is None:
            window = ServiceWindow(now)
            self._windows[service] = window
        return window

    def _learn(self, admitted: Admitted, end: StageEnd, now: float) -> None:
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
