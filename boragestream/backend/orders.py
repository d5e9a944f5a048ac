"""Orders to backend servers: read what a server holds, tell it what to hold.

``GET /v1/held`` answers the models that it holds; ``POST /v1/held`` carries the whole
wanted state and the fencing number, and is answered with 409 where the server has seen
a higher one. Whether to give an order is left to ``serving.orders``.
"""

import http.client
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from boragestream.base.outcomes import Failure
from boragestream.policy.orders import HeldModel

__all__ = ["OrderFailed", "OrderOutranked", "OrderWithdrawn", "give_order", "read_held"]

PATH = "/v1/held"
ORDER_SECONDS = 5.0
MAX_HELD_BYTES = 1_048_576


@dataclass(frozen=True, slots=True)
class OrderFailed(Failure):
    """The server could not be read, or may not have taken the order."""

    server: str
    reason: str


@dataclass(frozen=True, slots=True)
class OrderOutranked(Failure):
    """The server has taken an order of a higher fencing number.

    :ivar fencing_number: that of the refused order.
    """

    server: str
    fencing_number: int


@dataclass(frozen=True, slots=True)
class OrderWithdrawn(Failure):
    """The right to order ended before the first byte was sent."""

    server: str


class Held(msgspec.Struct, frozen=True):
    """What a server holds."""

    models: tuple[HeldModel, ...]


class Order(msgspec.Struct, frozen=True):
    """What a server shall hold."""

    models: tuple[HeldModel, ...]
    fencing_number: int


def read_held(server: str, host: str) -> tuple[HeldModel, ...] | OrderFailed:
    """Return what a server holds, in order of the names.

    :param host: the server's ``address:port``.
    """
    connection = http.client.HTTPConnection(host, timeout=ORDER_SECONDS)
    try:
        connection.request("GET", PATH)
        response = connection.getresponse()
        body = response.read(MAX_HELD_BYTES)
        if response.status != http.HTTPStatus.OK:
            return OrderFailed(server, f"status {response.status}")
        held = msgspec.json.decode(body, type=Held)
    except (OSError, http.client.HTTPException, msgspec.DecodeError) as error:
        return OrderFailed(server, repr(error))
    finally:
        connection.close()
    return tuple(sorted(held.models))


def give_order(
    server: str,
    host: str,
    models: tuple[HeldModel, ...],
    fencing_number: int,
    may_send: Callable[[], bool],
) -> OrderFailed | OrderOutranked | OrderWithdrawn | None:
    """Tell a server what to hold; None where it took the order.

    :param may_send: asked after the connect and directly before the first byte.
    """
    body = msgspec.json.encode(Order(models, fencing_number))
    connection = http.client.HTTPConnection(host, timeout=ORDER_SECONDS)
    try:
        connection.connect()
        if not may_send():
            return OrderWithdrawn(server)
        connection.request("POST", PATH, body, {"Content-Type": "application/json"})
        response = connection.getresponse()
        response.read(MAX_HELD_BYTES)
    except (OSError, http.client.HTTPException) as error:
        return OrderFailed(server, repr(error))
    finally:
        connection.close()
    if response.status == http.HTTPStatus.CONFLICT:
        return OrderOutranked(server, fencing_number)
    if response.status != http.HTTPStatus.OK:
        return OrderFailed(server, f"status {response.status}")
    return None
