"""Proves to another entry that a request was delegated to it by an entry.

A delegated request is not delegated again, so that no request travels in circles. The
proof holds for one request id only; without it a request is a caller's own. It also
states how many attempts may have run, which count towards the bound of the route.
"""

import hashlib
import hmac
from dataclasses import dataclass

__all__ = ["DelegatedBy", "prove_delegation", "verify_delegation"]

MAC_BYTES = 16


@dataclass(frozen=True, slots=True)
class DelegatedBy:
    """Who delegated a request.

    :ivar entry: the name of the entry; empty if a caller sent the request.
    :ivar earlier_runs: the attempts of that entry that may have run.
    """

    entry: str = ""
    earlier_runs: int = 0


def prove_delegation(
    key: bytes, sender: str, request_id: str, earlier_runs: int = 0
) -> str:
    """Return the proof of a delegated request.

    :param key: the deployment's peer key.
    :param sender: the name of the entry that delegates the request.
    :param earlier_runs: the attempts that may have run.
    """
    runs = str(earlier_runs)
    return f"{sender} {runs} {_mac(key, sender, runs, request_id)}"


def verify_delegation(key: bytes, proof: str, request_id: str) -> DelegatedBy:
    """Return which entry delegated a request, if any did."""
    parts = proof.split(" ")
    if len(parts) != 3 or not parts[1].isdecimal():
        return DelegatedBy()
    sender, runs, mac = parts
    # The comparison accepts ASCII text only.
    given = mac.encode("utf-8", "replace")
    expected = _mac(key, sender, runs, request_id).encode()
    if not sender or not hmac.compare_digest(given, expected):
        return DelegatedBy()
    return DelegatedBy(sender, int(runs))


def _mac(key: bytes, sender: str, runs: str, request_id: str) -> str:
    mac = hashlib.blake2b(key=key, digest_size=MAC_BYTES)
    for part in (
        b"delegation",
        sender.encode(),
        runs.encode(),
        request_id.encode(),
    ):
        mac.update(len(part).to_bytes(4, "big"))
        mac.update(part)
    return mac.hexdigest()
