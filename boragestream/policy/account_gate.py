"""What admission asks of the client accounts' own limits.

How much of a limit is this entry's share is told by ``policy.account_limits``.
"""

from typing import Protocol

from boragestream.base.failures import AccountLimitReached
from boragestream.document import ClientAccount

__all__ = ["AccountGate", "OpenGate"]


class AccountGate(Protocol):
    """Holds the client accounts' own limits."""

    def enter(self, account: ClientAccount) -> tuple[AccountLimitReached, float] | None:
        """Count a request in, or say why not and after how many seconds to return."""

    def leave(self, account: ClientAccount) -> None:
        """Count a request out."""


class OpenGate:
    """Holds no limits."""

    def enter(self, account: ClientAccount) -> tuple[AccountLimitReached, float] | None:
        """Let every request in."""
        return None

    def leave(self, account: ClientAccount) -> None:
        """Count nothing."""
