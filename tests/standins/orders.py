"""A stand-in for a backend server that takes orders, within the test's own process."""

import threading

from tests.standins.fleet import ADDRESS
from tests.standins.http import Handler, Server


class OrderServer:
    """Takes orders; checks fencing numbers or ignores them.

    :ivar orders: the fencing numbers of the orders that it took.
    """

    def __init__(self, honours):
        """Listen on a free port."""
        self.honours = honours
        self.models = []
        self.orders = []
        self.when_read = lambda: None
        handler = type("OrderHandler", (_OrderHandler,), {"state": self})
        self.server = Server((ADDRESS, 0), handler)
        self.host = f"{ADDRESS}:{self.server.server_address[1]}"
        serve = self.server.serve_forever
        threading.Thread(target=serve, args=(0.05,), daemon=True).start()

    def close(self):
        """Stop listening."""
        self.server.shutdown()
        self.server.server_close()


class _OrderHandler(Handler):
    def get(self, path, query):
        """Tell what is held; a test can have something happen just before."""
        self.state.when_read()
        self.reply({"models": self.state.models})

    def post(self, path, body):
        """Take an order, or refuse one that is outranked."""
        number = body["fencing_number"]
        if self.state.honours and number < max(self.state.orders, default=0):
            return self.reply({}, 409)
        self.state.models = body["models"]
        self.state.orders.append(number)
        return self.reply({})
