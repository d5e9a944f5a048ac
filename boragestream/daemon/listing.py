"""The entries of the published list, and what callers and peers are told of them."""

from boragestream.daemon.demand import live_entries
from boragestream.daemon.parts import EntryParts
from boragestream.daemon.peers import listed_states
from boragestream.daemon.shutdown import KeptAnswers
from boragestream.daemon.tasks import to_listed
from boragestream.document import ClientAccount
from boragestream.platform.instances import Instance
from boragestream.policy.configuration import DocumentInForce

__all__ = ["EntryListing"]


class EntryListing:
    """The entries as listed, each with what is believed of it.

    :param parts: the parts of this entry.
    :param kept_answers: told of each answer that callers may keep.
    """

    def __init__(self, parts: EntryParts, kept_answers: KeptAnswers) -> None:
        self._parts = parts
        self._kept_answers = kept_answers
        self._listed: tuple[Instance, ...] = ()

    @property
    def entries(self) -> tuple[Instance, ...]:
        """The listed entries."""
        return listed_states(self._listed, self._parts.peers.members.entries)

    def take(self, entries: tuple[Instance, ...]) -> None:
        """Take the entries of a new list."""
        self._listed = entries
        self._parts.demand.table.expect(live_entries(entries))
        self._parts.peers.members.take_entries(map(to_listed, entries))

    def peer_address(self, name: str) -> str | None:
        """Return where an entry listens to other entries; None where not known."""
        named = (e for e in self.entries if e.name == name and e.peer_port)
        entry = next(named, None)
        return f"{entry.address}:{entry.peer_port}" if entry else None

    def entries_for(self, account: ClientAccount, in_force: DocumentInForce) -> object:
        """Return the answer to which entries an account shall use."""
        order = self._parts.demand.order(
            account,
            in_force.document,
            self.entries,
            self._parts.admission.load,
            self._parts.settings.entry.data_centre,
            self._parts.rng,
        )
        usable = [
            {"name": e.name, "address": e.host, "data_centre": e.data_centre}
            for e in order
        ]
        keep = in_force.document.policies.answer_keep_seconds
        self._kept_answers.give(keep)
        return {"entries": usable, "keep_seconds": keep}
