"""Creation of TLS contexts from the settings."""

import ssl
from collections.abc import Sequence

from gentianmill.settings_models import ListenersModel


def server_context(
    settings: ListenersModel, protocols: Sequence[str] = ()
) -> ssl.SSLContext | None:
    """Return the context of the listeners, or None if TLS is off.

    Args:
        settings: Names the certificate files.
        protocols: Protocols to offer by ALPN, such as ``h2`` for gRPC.
    """
    if not settings.certificate_file:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(settings.certificate_file, settings.certificate_key_file)
    return _with_protocols(context, protocols)


def node_server_context(
    settings: ListenersModel, protocols: Sequence[str] = ()
) -> ssl.SSLContext | None:
    """Return the context of the listeners for other nodes, or None if TLS is off.

    If the settings name an authority file, clients must present a certificate
    signed by that authority.

    Args:
        settings: Names the certificate files.
        protocols: Protocols to offer by ALPN, such as ``h2`` for gRPC.
    """
    context = server_context(settings, protocols)
    if context and settings.authority_file:
        context.load_verify_locations(settings.authority_file)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def client_context(
    settings: ListenersModel, protocols: Sequence[str] = ()
) -> ssl.SSLContext | None:
    """Return the context for connections to other nodes, or None if TLS is off.

    The node presents its own certificate. Nodes are addressed by IP address, so the
    certificate of the other node is verified against the authority file of the
    settings, but not against a host name.

    Args:
        settings: Names the certificate files.
        protocols: Protocols to offer by ALPN, such as ``h2`` for gRPC.
    """
    if not settings.certificate_file:
        return None
    context = ssl.create_default_context(cafile=settings.authority_file)
    context.load_cert_chain(settings.certificate_file, settings.certificate_key_file)
    context.check_hostname = False
    return _with_protocols(context, protocols)


def _with_protocols(
    context: ssl.SSLContext, protocols: Sequence[str]
) -> ssl.SSLContext:
    if protocols:
        context.set_alpn_protocols(list(protocols))
    return context
