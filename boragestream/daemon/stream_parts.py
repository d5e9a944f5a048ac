"""Builds what keeps streams at the software version that began them."""

from collections.abc import Callable
from dataclasses import dataclass

from boragestream.backend.cancellation import Watchdog
from boragestream.backend.forwarded_call import CallLine
from boragestream.base.clock import Clock
from boragestream.daemon.past_servers import PastServers
from boragestream.daemon.publications import Publications
from boragestream.entry.links import Handler, PeerLinks
from boragestream.entry.peers import EntryPeers
from boragestream.entry.stream_messages import OriginAsk, OriginsNote
from boragestream.entry.stream_records import StreamRecords
from boragestream.platform.prompt_cache import PromptCacheFormat
from boragestream.policy.servers import Server
from boragestream.policy.stream_origins import StreamOrigins, VersionHistory
from boragestream.serving.cached_prompts import CachedPrompts
from boragestream.serving.call_gate import GateParts

__all__ = ["StreamParts", "make_prompt_caches", "make_stream_parts"]


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
    publications: Callable[[], Publications],
    longest_stream: Callable[[], float],
) -> StreamParts:
    """Build the objects of an entry.

    :param own: this entry's name.
    :param publications: returns what the entry follows of the platform's store.
    :param longest_stream: returns the seconds that the longest stream lasts.
    """
    history = VersionHistory(clock, longest_stream)

    def add_past(servers: list[Server], requested_at: float) -> None:
        records.note_several(history.add_past(servers, requested_at))

    past = PastServers(lambda: publications().servers, add_past, clock)
    records = StreamRecords(
        own,
        StreamOrigins(clock),
        history,
        members.entries.usable,
        links,
        lambda: publications().confirming.age(),
        past.read,
    )
    return StreamParts(history, records)


def make_prompt_caches(
    line: CallLine, watchdog: Watchdog, clock: Clock, gate: GateParts
) -> CachedPrompts:
    """Build what asks engines for the prompts that they have cached."""
    return CachedPrompts(line, watchdog, clock, gate, PromptCacheFormat())
