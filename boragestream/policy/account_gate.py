"""The interface through which admission enforces the client accounts' limits.

``policy.account_limits`` determines this entry's share of each limit.
"""

from typing import Protocol

from boragestream.base.failures import AccountLimitReached
from boragestream.document import ClientAccount

__all__ = ["AccountGate", "OpenGate"]


class AccountGate(Protocol):
    """Enforces the client accounts' limits."""

    def enter(self, account: ClientAccount) -> tuple[AccountLimitReached, float] | None:
        """Admit and count a request, or return the limit that refuses it.

        :returns: None if admitted; otherwise the limit and the seconds to wait before
            a retry.
        """

    def leave(self, account: ClientAccount) -> None:
        """Stop counting a request that was admitted."""


class OpenGate:
    """Enforces no limits."""

    def enter(self, account: ClientAccount) -> tuple[AccountLimitReached, float] | None:
        """Admit every request."""
        return None

    def leave(self, account: ClientAccount) -> None:
        """Do nothing, because requests are not counted."""
