"""Derives the latest starts of the stages of a forwarded request.

A stage must begin so early that the stages after it and the engine still answer within
the objective. ``policy.stage_delays`` has the recent waits, the published limits have
the time on an idle server.
"""

from boragestream.policy.stage_delays import StageDelays
from boragestream.serving.forwarded_run import ForwardedRun

__all__ = ["lead_seconds", "usual_seconds"]

# The share of a batch's places that is assumed to be filled when the usual time of a
# stage is estimated.
EXPECTED_FILL = 0.6


def lead_seconds(
    run: ForwardedRun, delays: StageDelays, engine_seconds: float
) -> dict[int, float]:
    """Return how many seconds before the objective each stage must begin.

    For the stage itself only its usual time counts; for the stages after it their
    expected waits count as well.

    :param engine_seconds: the time reserved for the engine after the last stage.
    """
    stages = run.route.stages
    leads: dict[int, float] = {}
    # The same, measured from the beginning of the stage's wait in the queue.
    leads_with_wait: dict[int, float] = {}
    for number in reversed(range(len(stages))):
        followers = [
            n
            for n, s in enumerate(stages)
            if number in s.after and n in leads_with_wait
        ]
        rest = max((leads_with_wait[n] for n in followers), default=engine_seconds)
        service = stages[number].service
        usual = usual_seconds(run, service)
        leads[number] = rest + usual
        leads_with_wait[number] = rest + delays.expected(service, usual)
    return leads


def usual_seconds(run: ForwardedRun, service: str) -> float:
    """Return the usual seconds of a stage on an idle server; 0 if unknown."""
    published = run.table.services.get(service)
    limits = published.pieces if published is not None else None
    if limits is None:
        return 0.0
    return limits.call_seconds + EXPECTED_FILL * limits.batch * limits.piece_seconds
