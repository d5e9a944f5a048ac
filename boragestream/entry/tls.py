"""TLS for the connections between entries, in addition to message authentication.

Both sides present a certificate that the deployment's own authority has issued for the
deployment's name. Host names are not checked, since peers are addressed by IP address
and the addresses change. The operators issue the certificates.
"""

from dataclasses import dataclass
from pathlib import Path

import pynng

from boragestream.base.settings import PeerTlsSettings
from boragestream.base.shapes import Fault

__all__ = ["PeerTls", "load_peer_tls"]


@dataclass(frozen=True, slots=True)
class PeerTls:
    """The TLS configurations of dialling and listening sockets of an entry."""

    dialling: pynng.TLSConfig
    listening: pynng.TLSConfig


def load_peer_tls(settings: PeerTlsSettings, deployment: str) -> PeerTls | Fault:
    """Read the certificate files.

    :param deployment: the name that a peer's certificate must contain.
    """
    try:
        files = {
            "own_cert_string": Path(settings.certificate).read_text(),
            "own_key_string": Path(settings.private_key).read_text(),
            "ca_string": Path(settings.authority).read_text(),
        }
        client, server = pynng.TLSConfig.MODE_CLIENT, pynng.TLSConfig.MODE_SERVER
        required = pynng.TLSConfig.AUTH_MODE_REQUIRED
        return PeerTls(
            pynng.TLSConfig(
                client, server_name=deployment, auth_mode=required, **files
            ),
            pynng.TLSConfig(server, auth_mode=required, **files),
        )
    except (OSError, UnicodeDecodeError, pynng.NNGException) as error:
        # The error's text is left out, since it could quote the content of a file.
        return Fault("peer.tls", type(error).__name__)
