"""HTTP headers exchanged with callers and upstreams."""

from collections.abc import Mapping

IDEMPOTENCY_KEY = 'Idempotency-Key'
REQUEST_ID = 'X-Request-Id'
TENANT = 'X-Tenant'
DEADLINE_MS = 'X-Deadline-Ms'
CALL_CONTEXT = 'X-Call-Context'
OUTCOME = 'X-Outcome'
ERROR_CODE = 'X-Error-Code'
ERROR_STEP = 'X-Error-Step'
ERROR_PEER = 'X-Error-Peer'
RETRY_AFTER = 'Retry-After'

_NOT_FORWARDED = frozenset(
    name.lower()
    for name in (
        # Hop-by-hop headers of RFC 9110 and those that the client library sets.
        'Connection',
        'Keep-Alive',
        'Proxy-Authenticate',
        'Proxy-Authorization',
        'TE',
        'Trailer',
        'Transfer-Encoding',
        'Upgrade',
        'Host',
        'Content-Length',
        'Date',
        'Server',
        # Headers that only nodes may set.
        IDEMPOTENCY_KEY,
        REQUEST_ID,
        TENANT,
        DEADLINE_MS,
        CALL_CONTEXT,
        OUTCOME,
        ERROR_CODE,
        ERROR_STEP,
        ERROR_PEER,
    )
)


def end_to_end(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the end-to-end headers, which are forwarded unchanged."""
    return {
        name: text
        for name, text in headers.items()
        if name.lower() not in _NOT_FORWARDED
    }
