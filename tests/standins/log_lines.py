"""Keeps the log lines of the project while a scenario runs."""

import json
import logging

from absl import logging as absl_logging
from behave.fixture import fixture


class LogLines(logging.Handler):
    """The lines in their order.

    ``texts`` holds them as they were written, ``told`` decoded.
    """

    def __init__(self):
        """Begin with none."""
        super().__init__()
        self.texts = []
        self.told = []

    def emit(self, record):
        """Keep a line."""
        text = record.getMessage()
        self.texts.append(text)
        if text.startswith("{"):
            self.told.append(json.loads(text))

    def of(self, number):
        """Return the lines of one event."""
        return [line for line in self.told if line["event"] == number]


@fixture
def log_lines(context):
    """Keep the log as ``context.lines`` while a scenario runs, as daemons log it."""
    context.lines = LogLines()
    logger = absl_logging.get_absl_logger()
    logger.addHandler(context.lines)
    verbosity = absl_logging.get_verbosity()
    absl_logging.set_verbosity(absl_logging.INFO)
    yield
    absl_logging.set_verbosity(verbosity)
    logger.removeHandler(context.lines)
