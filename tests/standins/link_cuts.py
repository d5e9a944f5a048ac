"""How the links between a server and some addresses are cut."""

import threading

# What is sent over the link is lost without a sign, until the cut ends.
LOSING = ("silent", "dark")


class LinkCuts:
    """The cuts of one server's links, by the other end's address.

    Connections that wait for the end of a cut take no processor time.
    """

    def __init__(self):
        """Cut no link."""
        self.modes = {}
        self.changed = threading.Condition()

    def begin(self, address, mode):
        """Cut the link to an address."""
        with self.changed:
            self.modes[address] = mode
            self.changed.notify_all()

    def end(self, address):
        """End the cut of the link to an address, if there is one."""
        with self.changed:
            self.modes.pop(address, None)
            self.changed.notify_all()

    def mode(self, address):
        """Return how the link to an address is cut; None if it is not."""
        return self.modes.get(address)

    def wait(self, address):
        """Wait while what an address sends or is sent is lost."""
        if self.modes.get(address) not in LOSING:
            return
        with self.changed:
            self.changed.wait_for(lambda: self.modes.get(address) not in LOSING)
