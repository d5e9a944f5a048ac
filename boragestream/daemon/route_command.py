"""Runs one Boragestream entry that forwards calls by published routes.

Usage:
  boragestream-route-entry [SETTINGS]
  boragestream-route-entry --help

SETTINGS is a TOML file; without it the environment variable BORAGESTREAM_CONFIG names
it. SIGHUP has it read again. SIGTERM begins a graceful shutdown; a second one ends the
process at once. Exit codes: 0 everything was answered, 2 the settings are invalid,
3 ended by a second signal, 4 the time to stop was over, 5 an address can't be listened
on, 6 the entry itself failed.
"""

import gc
import os
import signal
import sys
from pathlib import Path

from docopt import docopt

from boragestream.base.bounded_output import complain, open_standard_streams
from boragestream.base.route_settings import SettingsInvalid, read_route_settings
from boragestream.daemon.exit_codes import ExitCode
from boragestream.daemon.listening import open_listening_sockets

__all__ = ["main"]

SETTINGS_VARIABLE = "BORAGESTREAM_CONFIG"
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def main(argv: list[str] | None = None) -> int:
    """Run an entry until a stop signal arrives; return the exit code."""
    arguments = docopt(__doc__, argv)
    open_standard_streams()
    path = Path(arguments["SETTINGS"] or os.environ.get(SETTINGS_VARIABLE, ""))
    settings = read_route_settings(path)
    if isinstance(settings, SettingsInvalid):
        complain(settings.describe())
        return ExitCode.SETTINGS
    # The signals are blocked before any thread starts, so that all threads inherit
    # the mask.
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    try:
        sockets = open_listening_sockets(settings.listen)
    except OSError as error:
        complain(f"can't listen: {error}")
        return ExitCode.ADDRESS
    # Imported modules are not garbage; collections would take a tenth of the load time.
    gc.disable()
    # During this import, connections of callers wait in the backlog.
    from boragestream.daemon.route_process import run_route_entry

    gc.freeze()
    gc.enable()
    return run_route_entry(path, settings, sockets, HANDLED_SIGNALS)


if __name__ == "__main__":
    sys.exit(main())
