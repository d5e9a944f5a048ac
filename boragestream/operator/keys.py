"""Reads keys for the command line: from a file or an environment variable.

A key is no argument, because arguments are seen by everybody on the machine. No
failure here carries a key.
"""

import os
import tomllib
from dataclasses import dataclass
from pathlib import Path

from boragestream.base.outcomes import Failure

__all__ = [
    "ACCOUNT_KEY_VARIABLE",
    "OPERATOR_KEY_VARIABLE",
    "KeyUnusable",
    "read_account_keys",
    "read_key",
]

ACCOUNT_KEY_VARIABLE = "BORAGESTREAM_KEY"
OPERATOR_KEY_VARIABLE = "BORAGESTREAM_OPERATOR_KEY"


@dataclass(frozen=True, slots=True)
class KeyUnusable(Failure):
    """There is no key, or it can't stand in a header.

    :ivar source: the file or variable that was looked at.
    """

    source: str
    reason: str


def read_key(path: str | None, variable: str) -> str | KeyUnusable:
    """Return the key in a file, or else in an environment variable.

    :param path: the file; None for the variable.
    :param variable: the variable's name.
    """
    source = path or f"${variable}"
    try:
        found = Path(path).read_text() if path else os.environ.get(variable, "")
    except (OSError, UnicodeDecodeError) as error:
        return KeyUnusable(source, type(error).__name__)
    return _usable(found.strip(), source)


def read_account_keys(path: str) -> dict[str, str] | KeyUnusable:
    """Return keys by client account from a TOML file with one table ``keys``."""
    try:
        keys = tomllib.loads(Path(path).read_text()).get("keys", {})
    except (OSError, ValueError) as error:
        # The text of a decoding error can quote the file.
        return KeyUnusable(path, type(error).__name__)
    if not isinstance(keys, dict):
        return KeyUnusable(path, "keys is no table")
    for account, key in keys.items():
        checked = _usable(key if isinstance(key, str) else "", f"{path}: {account}")
        if isinstance(checked, KeyUnusable):
            return checked
    return keys


def _usable(key: str, source: str) -> str | KeyUnusable:
    if not key:
        return KeyUnusable(source, "no key")
    if not key.isprintable():
        return KeyUnusable(source, "a character that a header can't hold")
    return key
