"""A clock that tests set."""


class SetClock:
    """Stands still until a test moves it."""

    def __init__(self, seconds=1000.0):
        """Take the first reading."""
        self.seconds = seconds

    def now(self):
        """Return the seconds that were set."""
        return self.seconds
