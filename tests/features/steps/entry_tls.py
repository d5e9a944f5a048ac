"""Steps that issue certificates and replace keys."""

import copy
import hashlib
import tempfile
import threading
from pathlib import Path

import trustme
from behave import given, then, when

from boragestream.base.settings import PeerTlsSettings
from boragestream.base.shapes import Fault
from boragestream.entry.links import PeerLinks, PeerListener
from boragestream.entry.messages import (
    MessageRefused,
    Probe,
    ProbeReply,
    Sender,
    open_envelope,
    seal,
)
from boragestream.entry.tls import load_peer_tls
from boragestream.operator.client import Client
from tests.standins.fleet import ADDRESS, PEER_KEY, free_ports
from tests.standins.sites import example_key

SENDER = Sender("cooperative", "entry-1", "1", PEER_KEY.encode())
REPLY_TIMEOUT_SECONDS = 10
NO_REPLY_TIMEOUT_SECONDS = 1


def write_certificate(authority, issuer, name):
    """Issue a certificate, write its files and return the settings that name them."""
    folder = Path(tempfile.mkdtemp(prefix="boragestream-tls-"))
    certificate = issuer.issue_cert(name)
    chain = b"".join(pem.bytes() for pem in certificate.cert_chain_pems)
    (folder / "certificate").write_bytes(chain)
    certificate.private_key_pem.write_to_path(folder / "key")
    authority.cert_pem.write_to_path(folder / "authority")
    paths = (str(folder / name) for name in ("certificate", "key", "authority"))
    return PeerTlsSettings(*paths)


@given('an authority and a listening entry with its certificate for "{name}"')
def step(context, name):
    context.authority = trustme.CA()
    tls = load_peer_tls(
        write_certificate(context.authority, context.authority, name), name
    )
    context.peer_address = f"{ADDRESS}:{free_ports(1)[0]}"
    handlers = {Probe: lambda envelope, message: ProbeReply(1)}
    listener = PeerListener(SENDER, context.peer_address, handlers, tls)
    context.add_cleanup(listener.close)
    threading.Thread(target=listener.run, daemon=True).start()


@when('a peer with a certificate of {issuer} for "{name}" probes it {how}')
def step(context, issuer, name, how):
    issuing_authority = context.authority if issuer == "the authority" else trustme.CA()
    tls = load_peer_tls(
        write_certificate(context.authority, issuing_authority, name), name
    )
    links = PeerLinks(SENDER, tls if how == "under TLS" else None)
    accepted = how == "under TLS" and issuer == "the authority"
    seconds = REPLY_TIMEOUT_SECONDS if accepted else NO_REPLY_TIMEOUT_SECONDS
    context.answer = links.ask(context.peer_address, Probe(), seconds)
    links.close()


@then("the probe is answered")
def step(context):
    assert context.answer == ProbeReply(1), context.answer


@then("the probe is unanswered")
def step(context):
    assert not isinstance(context.answer, ProbeReply), context.answer


@given('certificate files that hold "{text}"')
def step(context, text):
    path = Path(tempfile.mkdtemp(prefix="boragestream-tls-")) / "file"
    path.write_text(text)
    context.secret = text
    context.tls_settings = PeerTlsSettings(*[str(path)] * 3)


@then('loading them is a fault at "{place}" without that text')
def step(context, place):
    fault = load_peer_tls(context.tls_settings, "cooperative")
    assert isinstance(fault, Fault), fault
    assert fault.place == place
    assert context.secret not in fault.describe()


@given('an entry with the key "{key}" that accepts "{other}"')
def step(context, key, other):
    sender = Sender("cooperative", key, "1", key.encode(), (other.encode(),))
    context.senders = [*getattr(context, "senders", []), sender]


@then("each opens what the other seals")
def step(context):
    first, second = context.senders
    for sender, receiver in ((first, second), (second, first)):
        opened = open_envelope(receiver, seal(sender, Probe()))
        assert not isinstance(opened, MessageRefused), opened


@then('an entry with the key "{key}" alone refuses the old one')
def step(context, key):
    receiver = Sender("cooperative", "entry-3", "1", key.encode())
    opened = open_envelope(receiver, seal(context.senders[0], Probe()))
    assert opened == MessageRefused("another key"), opened


def publish_keys(context, account, keys):
    """Publish a document with the given keys and wait until every entry uses it."""
    document = copy.deepcopy(context.fleet.document)
    document["version"] += 1
    record = next(a for a in document["client_accounts"] if a["name"] == account)
    record["key_digests"] = [hashlib.sha256(key.encode()).hexdigest() for key in keys]
    context.fleet.document = document
    context.fleet.publish(document)
    context.fleet.wait_for_version(document["version"])


@when('the document gives "{account}" a second key "{key}"')
def step(context, account, key):
    context.old_key = example_key(account)
    publish_keys(context, account, [context.old_key, key])


@when('the document gives "{account}" only the key "{key}"')
def step(context, account, key):
    publish_keys(context, account, [key])


@then('its old key and its key "{key}" are answered')
def step(context, key):
    for used_key in (context.old_key, key):
        reply = Client(used_key, context.fleet.addresses()).call("caption", "x")
        assert reply.outcome == "answered", reply


@then('its old key is refused and its key "{key}" is answered')
def step(context, key):
    addresses = context.fleet.addresses()
    for address in addresses:
        old = Client(context.old_key, ()).call("caption", "x", address=address)
        new = Client(key, ()).call("caption", "x", address=address)
        assert (old.outcome, new.outcome) == ("refused", "answered"), (old, new)
