"""The client accounts and kinds of request that the steps on shares play.

Sixteen accounts of two sizes send requests of three urgencies to one service.
"""

from boragestream.document.routes import PieceLimits
from boragestream.policy.servers import Server
from tests.standins.account_load import AccountKind

__all__ = [
    "CALM_SECONDS",
    "FORWARD_SERVERS",
    "KINDS",
    "LIMITS",
    "PIECES",
    "SIZES",
    "account_kinds",
]

LIMITS = PieceLimits(1, 12, 0.2, 0.01, 100.0, 4.0)
# Four large accounts and twelve small ones.
SIZES = {f"a{n}": 4.0 if n < 4 else 1.0 for n in range(16)}
# Urgency, seconds to the latest start, part of an account's requests.
KINDS = ((0, 0.9, 0.3), (1, 0.9, 0.4), (2, 1.5, 0.3))
PIECES = 4
CALM_SECONDS = 30.0
FORWARD_SERVERS = [Server("s-1", "service", "10.0.0.1:80", "hall", "1")]


def account_kinds(servers, load, growth):
    """Return all kinds; ``growth`` returns an account's multiple in the surge."""
    call = LIMITS.call_seconds + LIMITS.batch * LIMITS.piece_seconds
    unit = load * servers * LIMITS.batch / call / sum(SIZES.values()) / PIECES
    return [
        AccountKind(
            f"{account}/{urgency}",
            urgency,
            PIECES,
            unit * size * part,
            slack,
            account=account,
            surge=growth(account),
        )
        for account, size in SIZES.items()
        for urgency, slack, part in KINDS
    ]
