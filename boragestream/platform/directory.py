"""The questions that callers and the platform ask an entry about itself."""

from collections.abc import Sequence
from urllib.parse import parse_qs

__all__ = ["PlatformDirectory"]


class PlatformDirectory:
    """The paths of the questions, and the form of the answers."""

    ready_path = "/boragestream/ready"
    directory_path = "/boragestream/resolve"

    def caller_region(self, query: str) -> str:
        """Return the region that a question names; empty for none."""
        return parse_qs(query).get("region", [""])[0]

    def directory_body(self, addresses: Sequence[str], keep_seconds: float) -> object:
        """Return the answer to a caller, JSON data."""
        return {"addrs": list(addresses), "ttl_s": keep_seconds}
