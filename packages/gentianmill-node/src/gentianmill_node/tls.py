"""TLS contexts from the settings."""

import ssl

from gentianmill.settings_models import ListenersModel


def server_context(settings: ListenersModel) -> ssl.SSLContext | None:
    """Return the context of the listeners, or None if TLS is off."""
    if not settings.certificate_file:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(settings.certificate_file, settings.certificate_key_file)
    return context


def client_context(settings: ListenersModel) -> ssl.SSLContext | None:
    """Return the context for connections to other nodes, or None if TLS is off.

    Nodes are addressed by IP number, so the certificate is checked against the
    authority of the settings and not against a host name.
    """
    if not settings.certificate_file:
        return None
    context = ssl.create_default_context(cafile=settings.authority_file)
    context.check_hostname = False
    return context
