"""Authentication keys of nodes and operators, read from files."""

import hmac
from pathlib import Path

from gentianmill.errors import ErrorCode, GentianmillError

MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 4096


def read_key(file_name: str) -> bytes:
    """Read a key from a file and strip leading and trailing white space.

    Args:
        file_name: Path of the key file, as given in the settings.

    Returns:
        The key, 16 to 4096 bytes.

    Raises:
        GentianmillError: With code ``bad_settings`` if the file cannot be read
            or the key is too short, too long or not one line of printable ASCII.
    """
    try:
        key = Path(file_name).read_bytes().strip()
    except OSError as error:
        raise _bad_key(file_name, f'cannot be read: {error.strerror}') from error
    if len(key) < MIN_KEY_BYTES:
        raise _bad_key(file_name, f'has fewer than {MIN_KEY_BYTES} bytes')
    if len(key) > MAX_KEY_BYTES:
        raise _bad_key(file_name, f'has more than {MAX_KEY_BYTES} bytes')
    # A key is sent as an HTTP header value, in which other bytes are invalid.
    if not all(0x21 <= byte <= 0x7E for byte in key):
        raise _bad_key(file_name, 'is not one line of printable ASCII')
    return key


def same_key(given: bytes, expected: bytes) -> bool:
    """Return whether two keys are equal, in constant time."""
    return hmac.compare_digest(given, expected)


def _bad_key(file_name: str, reason: str) -> GentianmillError:
    return GentianmillError(
        ErrorCode.bad_settings, 'read_key', file_name, f'the key file {reason}'
    )
