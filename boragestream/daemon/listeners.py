"""Creates the HTTP application of an entry and its listener for peers."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from functools import partial

from boragestream.backend.connections import ConnectionKeeper
from boragestream.base.line_writer import LineWriter
from boragestream.caller.application import Application
from boragestream.caller.delegated_calls import DelegatedCalls
from boragestream.caller.pages import Pages
from boragestream.caller.refusals import Refusals
from boragestream.caller.tickets import ticket_calls
from boragestream.daemon.memory import charged_handlers
from boragestream.daemon.parts import ATTEMPT_THREADS, EntryParts
from boragestream.daemon.shutdown import KeptAnswers
from boragestream.daemon.status import status_page
from boragestream.document import ClientAccount
from boragestream.entry.forwarding import Forwarder
from boragestream.entry.links import PeerListener
from boragestream.entry.messages import (
    Envelope,
    Probe,
    ProbeReply,
    RequestAsk,
    TicketAsk,
    TicketPost,
)
from boragestream.entry.tls import PeerTls
from boragestream.policy.configuration import DocumentInForce
from boragestream.policy.delegates import Delegates
from boragestream.serving.pipeline import PipelineRunner
from boragestream.serving.stage import StageRunner

__all__ = ["make_application", "open_peer_listener"]


def make_application(
    parts: EntryParts,
    kept_answers: KeptAnswers,
    is_leaving: Callable[[], bool],
    writer: LineWriter,
) -> Application:
    """Return the HTTP application that serves callers.

    :param kept_answers: records until when callers may use entry lists and tickets.
    :param is_leaving: returns whether the entry is stopping.
    :param writer: writes the log, whose losses the status page states.
    """
    settings = parts.settings
    forwarder = Forwarder(parts.links, parts.listing.peer_address, parts.clock)
    refusals = Refusals(parts.admission)
    tickets = ticket_calls(
        settings,
        parts.incarnation,
        parts.clock,
        parts.configuration,
        refusals,
        forwarder,
        parts.memory,
        is_leaving,
        kept_answers.extend,
    )
    pages = Pages(
        configuration=parts.configuration,
        refusals=refusals,
        entries_for=partial(_entries_for, parts, kept_answers),
        status=lambda: status_page(parts, writer, is_leaving()),
        operator_digests=settings.operator.key_digests,
    )
    # Parallel stages block while their attempts run. Separate pools keep the stages
    # from occupying the threads that those attempts need.
    stage_pool = ThreadPoolExecutor(ATTEMPT_THREADS, "stage")
    return Application(
        configuration=parts.configuration,
        first=parts.first,
        quarantine=parts.peers.quarantine,
        admission=parts.admission,
        pipelines=PipelineRunner(StageRunner(parts.serving), stage_pool),
        watchdog=parts.watchdog,
        clock=parts.clock,
        max_body_bytes=settings.caller.max_body_bytes,
        refusals=refusals,
        pages=pages,
        tickets=tickets,
        observations=parts.observations,
        delegated=_delegated_calls(parts),
        peer_keys=tuple(
            key.encode() for key in (settings.peer.key, *settings.peer.also_accepted)
        ),
        memory=parts.memory,
    )


def _delegated_calls(parts: EntryParts) -> DelegatedCalls:
    entry = parts.settings.entry
    delegates = Delegates(
        entry.name,
        parts.peers.members.entries.usable,
        parts.reach.cut_entries,
        entry.data_centre,
        parts.loads.region_of,
        parts.clock,
    )
    return DelegatedCalls(
        entry.name,
        parts.settings.peer.key.encode(),
        delegates,
        parts.reach.reach,
        ConnectionKeeper(),
        parts.clock,
    )


def open_peer_listener(
    parts: EntryParts, application: Application, peer_tls: PeerTls | None
) -> PeerListener:
    """Listen for peers; their messages are queued until a listener task runs.

    :raises pynng.NNGException: if the address can't be listened on.
    """
    runs = application.tickets.runs

    def answer_probe(envelope: Envelope, message: Probe) -> ProbeReply:
        current = parts.configuration.current
        return ProbeReply(current.version if current else 0)

    handlers = {
        Probe: answer_probe,
        **parts.peers.handlers,
        **parts.limits.handlers,
        **parts.reach.handlers,
        TicketPost: partial(runs.answer_post, run=application.run_ticketed),
        TicketAsk: runs.answer_ask,
        RequestAsk: runs.answer_request_ask,
    }
    peer = parts.settings.peer
    address = f"{peer.address}:{peer.port}"
    charged = charged_handlers(handlers, parts.memory)
    return PeerListener(parts.sender, address, charged, peer_tls)


def _entries_for(
    parts: EntryParts,
    kept_answers: KeptAnswers,
    account: ClientAccount,
    in_force: DocumentInForce,
) -> object:
    """Return the list of entries for a client account, as a JSON object."""
    reaching = parts.reach.cut_entries.reaching(
        parts.listing.entries, lambda entry: entry.name
    )
    order = parts.demand.recommended_entries(
        account,
        in_force.document,
        reaching,
        parts.admission.load,
        parts.settings.entry.data_centre,
        parts.rng,
    )
    usable = [
        {"name": e.name, "address": e.host, "data_centre": e.data_centre} for e in order
    ]
    keep = in_force.document.policies.answer_keep_seconds
    kept_answers.extend(keep)
    return {"entries": usable, "keep_seconds": keep}
