"""Calls to stage servers, translated to and from the platform's form."""

import re

import msgspec

from boragestream.document.calls import Piece, PieceFault, PieceResult, StageReport
from boragestream.policy.servers import Server

__all__ = [
    "PieceCallFormat",
    "encode_piece_call",
    "encode_probe",
    "encode_release",
    "encode_report_call",
    "read_piece_results",
    "read_stage_report",
]

RUN_CALL = "/boragestream/stage-run"
FREE_CALL = "/boragestream/stage-free"
REPORT_CALL = "/boragestream/report"
SERVER_ID = "Expect-Instance"
# Handles are listed, with commas between them, in a header of the call that needs them.
HANDLE = re.compile(r"[!-+\--~]{1,200}", re.ASCII)
FAULTS = {
    "late": PieceFault.LATE,
    "gone": PieceFault.INPUT_GONE,
    "room": PieceFault.NO_ROOM,
    "error": PieceFault.ERROR,
}


class _Item(msgspec.Struct, omit_defaults=True):
    # The id of the request, not of the piece.
    id: str
    stage: int
    piece: int
    remaining_ms: int
    key: str = ""
    inputs: tuple[str, ...] = ()


class _Run(msgspec.Struct):
    items: tuple[_Item, ...]


class _Result(msgspec.Struct):
    handle: str = ""
    reason: str = ""


class _Results(msgspec.Struct):
    items: tuple[_Result, ...]


class _Free(msgspec.Struct):
    handles: tuple[str, ...]


class _Report(msgspec.Struct):
    queued: int = 0
    # How many calls it works on, or whether it works on one.
    busy: int | bool = 0


_results = msgspec.json.Decoder(_Results)
_reports = msgspec.json.Decoder(_Report)


def encode_piece_call(server: Server, pieces: list[tuple[Piece, float]]) -> bytes:
    """Return the bytes of a call.

    :param pieces: each with the seconds that are left for it.
    """
    items = tuple(
        _Item(
            piece.request_id,
            piece.stage,
            piece.number,
            max(1, int(left * 1000)),
            "" if piece.inputs else piece.key,
            piece.inputs,
        )
        for piece, left in pieces
    )
    return _post(server, RUN_CALL, msgspec.json.encode(_Run(items)))


def encode_release(server: Server, handles: tuple[str, ...]) -> bytes:
    """Return the bytes of a call that gives results up."""
    return _post(server, FREE_CALL, msgspec.json.encode(_Free(handles)))


def encode_report_call(server: Server) -> bytes:
    """Return the bytes of a question for a server's report."""
    return encode_probe(server, "")


def encode_probe(server: Server, health_path: str) -> bytes:
    """Return the bytes of a question that makes no work.

    :param health_path: the health path of plain services; empty for a server that has
        a report.
    """
    path = health_path or REPORT_CALL
    head = f"GET {path} HTTP/1.1\r\nHost: {server.host}\r\n"
    return f"{head}{SERVER_ID}: {server.name}\r\n\r\n".encode("latin-1")


def read_stage_report(body: bytes) -> StageReport | None:
    """Decode a server's report; None if unreadable."""
    try:
        report = _reports.decode(body)
    except (msgspec.DecodeError, RecursionError):
        return None
    return StageReport(report.queued, bool(report.busy))


def read_piece_results(body: bytes) -> list[PieceResult] | None:
    """Decode the answer to a call, in the order of its pieces; None if unreadable."""
    try:
        items = _results.decode(body).items
    except (msgspec.DecodeError, RecursionError):
        return None
    return [_piece_result(item) for item in items]


def _piece_result(item: _Result) -> PieceResult:
    if HANDLE.fullmatch(item.handle):
        return PieceResult(item.handle, None)
    return PieceResult("", PieceFault.ERROR if item.handle else _fault(item.reason))


def _fault(reason: str) -> PieceFault:
    return FAULTS.get(reason, PieceFault.ERROR)


def _post(server: Server, path: str, body: bytes) -> bytes:
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {server.host}\r\n"
        f"Content-Type: application/json\r\n{SERVER_ID}: {server.name}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode("latin-1") + body


class PieceCallFormat:
    """Calls of stage servers in the platform's form."""

    encode_piece_call = staticmethod(encode_piece_call)
    encode_release = staticmethod(encode_release)
    encode_report_call = staticmethod(encode_report_call)
    read_piece_results = staticmethod(read_piece_results)
    read_stage_report = staticmethod(read_stage_report)
