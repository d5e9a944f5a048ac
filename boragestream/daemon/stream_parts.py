"""Builds what keeps streams at the software version that began them."""

from collections.abc import Callable
from dataclasses import dataclass

from boragestream.base.clock import Clock
from boragestream.entry.links import Handler, PeerLinks
from boragestream.entry.peers import EntryPeers
from boragestream.entry.stream_messages import OriginAsk, OriginsNote
from boragestream.entry.stream_records import StreamRecords
from boragestream.policy.stream_origins import StreamOrigins, VersionHistory

__all__ = ["StreamParts", "make_stream_parts"]


@dataclass(frozen=True, slots=True)
class StreamParts:
    """The objects of one entry.

    :ivar history: the software versions that were listed recently.
    :ivar records: where recent streams began.
    """

    history: VersionHistory
    records: StreamRecords

    @property
    def handlers(self) -> dict[type, Handler]:
        """The handlers of peer messages, by message type."""
        return {
            OriginsNote: self.records.answer_note,
            OriginAsk: self.records.answer_ask,
        }


def make_stream_parts(
    own: str,
    members: EntryPeers,
    links: PeerLinks,
    clock: Clock,
    list_age: Callable[[], float],
) -> StreamParts:
    """Build the objects of an entry.

    :param own: this entry's name.
    :param list_age: returns the seconds since the server list was last confirmed.
    """
    history = VersionHistory(clock)
    records = StreamRecords(
        own, StreamOrigins(clock), history, members.entries.usable, links, list_age
    )
    return StreamParts(history, records)
