"""Reads a server's load off the headers of its answers."""

import re

from boragestream.base.answer_head import AnswerHeaders
from boragestream.policy.reports import LoadReport

__all__ = ["LOAD_HEADER", "read_load"]

LOAD_HEADER = "X-Load"
_FORM = re.compile(r"(\d{1,6})/(\d{1,6})", re.ASCII)


def read_load(headers: AnswerHeaders) -> LoadReport | None:
    """Return the load that an answer reports, ``in_progress/slots``; None for none."""
    found = _FORM.fullmatch(headers.get(LOAD_HEADER, ""))
    if found is None or int(found[2]) == 0:
        return None
    return LoadReport(in_progress=int(found[1]), slots=int(found[2]))
