"""How an entry states the attempts of a request that another entry delegated to it.

The delegating entry counts them towards the bound of the route. The head of each answer
states those made so far. A stream whose servers change afterwards carries comments with
the new number, which the delegating entry removes.
"""

import re

__all__ = ["encode_run_report", "split_run_reports"]

PREFIX = b": boragestream-runs "
REPORT = re.compile(re.escape(PREFIX) + rb"([0-9]{1,9})\r?\n\r?\n")


def encode_run_report(runs: int) -> bytes:
    """Return the comment in a stream.

    :param runs: the attempts of this entry that may have run.
    """
    return PREFIX + b"%d\n\n" % runs


def split_run_reports(events: list[bytes]) -> tuple[list[bytes], int]:
    """Return the events without the reports, and the highest number; 0 if none.

    :param events: complete events, each with its end.
    """
    if not any(event.startswith(PREFIX) for event in events):
        return events, 0
    reports = [REPORT.fullmatch(event) for event in events]
    kept = [e for e, report in zip(events, reports, strict=True) if report is None]
    return kept, max((int(r.group(1)) for r in reports if r is not None), default=0)
