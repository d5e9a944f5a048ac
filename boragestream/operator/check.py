"""``boragestream check``: checks a document or a settings file, or prints a schema."""

import contextlib
import tomllib
from dataclasses import dataclass
from pathlib import Path

from boragestream.base.route_settings import RouteSettings
from boragestream.base.settings import Settings, read_settings
from boragestream.base.shapes import Fault, build, json_schema
from boragestream.document import Document, parse_document
from boragestream.operator.exits import ExitCode
from boragestream.operator.output import print_json

__all__ = ["check_file", "print_schema"]

SETTINGS_SUFFIX = ".toml"


@dataclass(frozen=True, slots=True)
class CheckResult:
    """What a check found.

    :ivar valid: whether there is no fault.
    :ivar kind: ``document``, ``settings`` or ``route settings``.
    """

    valid: bool
    kind: str
    faults: list[Fault]


def check_file(path: Path, as_json: bool) -> ExitCode:
    """Check a file and print every fault with its place.

    :param path: a settings file where it ends with ``.toml``, else a document.
    """
    try:
        result = _check(path)
    except OSError as error:
        result = CheckResult(False, "file", [Fault(str(path), str(error.strerror))])
        _print(result, as_json)
        return ExitCode.USAGE
    _print(result, as_json)
    return ExitCode.OK if result.valid else ExitCode.FAULTS


def print_schema(of_settings: bool) -> ExitCode:
    """Print the JSON schema of the document, or of the settings."""
    print_json(json_schema(Settings if of_settings else Document))
    return ExitCode.OK


def _check(path: Path) -> CheckResult:
    text = path.read_bytes()
    if path.suffix == SETTINGS_SUFFIX:
        return _check_settings(path, text)
    document, faults = parse_document(text)
    return CheckResult(document is not None, "document", faults)


def _check_settings(path: Path, text: bytes) -> CheckResult:
    """Check settings of either daemon; those with a store are for published routes."""
    with contextlib.suppress(ValueError):
        data = tomllib.loads(text.decode())
        if "store" in data:
            routes, faults = build(data, RouteSettings)
            return CheckResult(routes is not None, "route settings", faults)
    settings, faults = read_settings(path)
    return CheckResult(settings is not None, "settings", faults)


def _print(result: CheckResult, as_json: bool) -> None:
    if as_json:
        print_json(result)
        return
    for fault in result.faults:
        print(f"{fault.place or '(whole)'}: {fault.reason}")
    verdict = "valid" if result.valid else f"{len(result.faults)} faults"
    print(f"{result.kind}: {verdict}")
