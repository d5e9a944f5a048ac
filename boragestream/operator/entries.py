"""``boragestream entries``: which entries a client account is told to use."""

from boragestream.operator.client import Client, EntryUnreachable
from boragestream.operator.exits import ExitCode
from boragestream.operator.output import print_failure, print_json, print_table

__all__ = ["print_entries"]


def print_entries(client: Client, as_json: bool) -> ExitCode:
    """Ask which entries to use and print them in order."""
    reply = client.ask_entries()
    if isinstance(reply, EntryUnreachable):
        print_failure(reply, as_json)
        return ExitCode.UNREACHABLE
    if as_json:
        print_json(reply)
        return ExitCode.OK
    rows = [(e.name, e.address, e.data_centre) for e in reply.entries]
    print_table(("entry", "address", "data centre"), rows)
    print(f"keep for {reply.keep_seconds:g} s")
    return ExitCode.OK
