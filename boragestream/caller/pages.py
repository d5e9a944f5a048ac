"""The pages that an entry serves from its own state: entries, status and document.

They bypass admission and never wait, so that they answer under any load.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from boragestream.base.failures import NoConfiguration
from boragestream.base.outcomes import Failure
from boragestream.caller.failures import MethodNotAllowed, PathUnknown
from boragestream.caller.reading import check_operator, find_account
from boragestream.caller.refusals import Refusals
from boragestream.caller.replies import StartResponse, json_reply
from boragestream.document import ClientAccount
from boragestream.document.shown import shown_document
from boragestream.policy.configuration import ConfigurationInForce, DocumentInForce

__all__ = ["Pages"]

Environ = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Pages:
    """The pages.

    :ivar entries_for: returns the list of entries that an account should use.
    :ivar status: returns the entry's status page.
    :ivar operator_digests: digests of the keys that may read the status and the
        document.
    """

    configuration: ConfigurationInForce
    refusals: Refusals
    entries_for: Callable[[ClientAccount, DocumentInForce], object]
    status: Callable[[], object]
    operator_digests: tuple[str, ...] = ()

    def answer(
        self, environ: Environ, start_response: StartResponse, request_id: str
    ) -> list[bytes]:
        """Answer the request for a page."""
        page = self._page(environ)
        if isinstance(page, Failure):
            return self.refusals.reply(start_response, request_id, page)
        return json_reply(start_response, page)

    def _page(self, environ: Environ) -> object | Failure:
        pages = {
            "/v1/document": self._document,
            "/v1/entries": self._entries,
            "/v1/status": self._status,
        }
        page = pages.get(environ["PATH_INFO"])
        if page is None:
            return PathUnknown()
        if environ["REQUEST_METHOD"] != "GET":
            return MethodNotAllowed()
        return page(environ)

    def _entries(self, environ: Environ) -> object | Failure:
        in_force = self.configuration.current
        if in_force is None:
            return NoConfiguration()
        account = find_account(environ, in_force)
        if isinstance(account, Failure):
            return account
        return self.entries_for(account, in_force)

    def _status(self, environ: Environ) -> object | Failure:
        return check_operator(environ, self.operator_digests) or self.status()

    def _document(self, environ: Environ) -> object | Failure:
        refused = check_operator(environ, self.operator_digests)
        if refused is not None:
            return refused
        in_force = self.configuration.current
        if in_force is None:
            return NoConfiguration()
        return shown_document(in_force.document)
