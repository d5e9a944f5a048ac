"""Builds what keeps streams at the software version that began them."""

from collections.abc import Callable
from dataclasses import dataclass

from boragestream.backend.cancellation import Watchdog
from boragestream.backend.forwarded_call import CallLine
from boragestream.base.clock import Clock
from boragestream.base.outcomes import Failure
from boragestream.daemon.list_confirmation import ListConfirmation
from boragestream.daemon.past_servers import PastServers
from boragestream.daemon.publications import Publications
from boragestream.entry.links import Handler, PeerLinks
from boragestream.entry.peers import EntryPeers
from boragestream.entry.stream_messages import OriginAsk, OriginsNote
from boragestream.entry.stream_records import StreamRecords
from boragestream.platform.prompt_cache import PromptCacheFormat
from boragestream.policy.servers import Server
from boragestream.policy.stream_origins import StreamOrigins
from boragestream.policy.version_history import VersionHistory
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


@dataclass(frozen=True, slots=True)
class _FollowedList:
    """The server list that this entry follows; see ``ServerListSource``."""

    age: Callable[[], float]
    confirm: Callable[[], bool]
    read_past: Callable[[], None]


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

    def refresh(answer_seconds: float) -> Failure | None:
        return publications().servers.refresh(answer_seconds)

    past = PastServers(lambda: publications().servers, add_past, clock)
    server_list = _FollowedList(
        lambda: publications().confirming.age(),
        ListConfirmation(refresh, clock).confirm,
        past.read,
    )
    records = StreamRecords(
        own,
        clock,
        StreamOrigins(clock),
        history,
        members.entries.usable,
        links,
        server_list,
    )
    return StreamParts(history, records)


def make_prompt_caches(
    line: CallLine, watchdog: Watchdog, clock: Clock, gate: GateParts
) -> CachedPrompts:
    """Build what asks engines for the prompts that they have cached."""
    return CachedPrompts(line, watchdog, clock, gate, PromptCacheFormat())
