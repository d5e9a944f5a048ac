"""A document as operators may see it: whole but for its key digests.

A digest is shortened to its first characters, enough to tell which keys are in force
and too little to search for a key.
"""

from dataclasses import replace

from boragestream.document.records import ClientAccount, Document

__all__ = ["shown_document"]

SHOWN_DIGITS = 6


def shown_document(document: Document) -> Document:
    """Return the document with shortened key digests; it is for display only."""
    accounts = tuple(_shown_account(a) for a in document.client_accounts)
    return replace(document, client_accounts=accounts)


def _shown_account(account: ClientAccount) -> ClientAccount:
    shortened = tuple(f"{d[:SHOWN_DIGITS]}..." for d in account.key_digests)
    return replace(account, key_digests=shortened)
