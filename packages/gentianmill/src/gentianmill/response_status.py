"""Which status codes a response may have (RFC 9110, section 15)."""

__all__ = ('is_final_status', 'is_interim_status')

FIRST_INTERIM = 100
FIRST_FINAL = 200
LAST = 599
SWITCHING_PROTOCOLS = 101


def is_final_status(status: int) -> bool:
    """Return whether a response with a status ends its request."""
    return FIRST_FINAL <= status <= LAST


def is_interim_status(status: int) -> bool:
    """Return whether a final response follows one with a status.

    Nodes never ask for another protocol, so that 101 is not expected.
    """
    is_interim = FIRST_INTERIM <= status < FIRST_FINAL
    return is_interim and status != SWITCHING_PROTOCOLS
