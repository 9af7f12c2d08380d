"""Keys and TLS contexts of the control listener and its clients."""

import hmac
import pathlib
import ssl
from collections.abc import Mapping

from gentianmill.settings_models import ListenersModel

PEER_KEY_HEADER = 'x-peer-key'
_ALPN = ('h2',)


def read_key(path: str) -> str:
    """Read a key file.

    Args:
        path: File with one line of ASCII text.

    Raises:
        OSError: If the file cannot be read.
        ValueError: If the key is empty or not ASCII.
    """
    key = pathlib.Path(path).read_text(encoding='utf-8').strip()
    if not key or not key.isascii():
        raise ValueError(f'the key in {path} is empty or not ASCII')
    return key


def key_matches(metadata: Mapping[str, object], peer_key: str) -> bool:
    """Compare the key of a request with the own key in constant time."""
    offered = str(metadata.get(PEER_KEY_HEADER, ''))
    return hmac.compare_digest(offered.encode(), peer_key.encode())


def server_context(listeners: ListenersModel) -> ssl.SSLContext | None:
    """Return the TLS context of the listener, or None if TLS is off."""
    if listeners.certificate_file is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(listeners.certificate_file, listeners.certificate_key_file)
    context.set_alpn_protocols(list(_ALPN))
    return context


def client_context(listeners: ListenersModel) -> ssl.SSLContext | None:
    """Return the TLS context towards other nodes, or None if TLS is off.

    The certificate must come from the deployment's authority. Its host name is
    not checked, since nodes are reached by the addresses of short-lived VMs.
    """
    if listeners.certificate_file is None:
        return None
    context = ssl.create_default_context(cafile=listeners.authority_file)
    context.check_hostname = False
    context.set_alpn_protocols(list(_ALPN))
    return context
