"""``boragestream show``: the document of a file, or the one in force at an entry."""

from pathlib import Path

from boragestream.base.shapes import Fault
from boragestream.document import parse_document
from boragestream.document.shown import shown_document
from boragestream.operator.client import Client, EntryUnreachable
from boragestream.operator.exits import ExitCode
from boragestream.operator.output import print_failure, print_json

__all__ = ["show_entry", "show_file"]


def show_file(path: Path) -> ExitCode:
    """Print the document of a file with every default filled in, keys never."""
    try:
        document, faults = parse_document(path.read_bytes())
    except OSError as error:
        print_failure(Fault(str(path), str(error.strerror)), as_json=False)
        return ExitCode.USAGE
    if document is None:
        for fault in faults:
            print_failure(fault, as_json=False)
        return ExitCode.FAULTS
    print_json(shown_document(document))
    return ExitCode.OK


def show_entry(client: Client) -> ExitCode:
    """Print the document in force at the first entry that answers."""
    reply = client.document()
    if isinstance(reply, EntryUnreachable):
        print_failure(reply, as_json=False)
        return ExitCode.UNREACHABLE
    print_json(reply)
    return ExitCode.OK
