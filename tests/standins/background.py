"""Runs a function of a test beside its steps."""

import threading


def in_background(context, run, stop):
    """Run a function in a thread until the end of the scenario.

    ``stop`` makes it end.
    """
    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    context.add_cleanup(thread.join)
    context.add_cleanup(stop)
