"""Which headers pass from callers to upstreams and back."""

from gentianmill_mesh.wire_names import compact, restored
from mesh_upstream import NAMES

ECHO = [[b'X-Attempt', b'7'], [b'X-Signature', b's'], [b'Date', b'now']]
SENT = [[b'Host', b'h'], [b'x-attempt', b'7']]


def test_headers_of_one_connection_are_dropped():
    """A header that a Connection header names must not reach the next hop."""
    headers = [
        [b'Connection', b'close, X-Hop'],
        [b'X-Hop', b'1'],
        [b'Transfer-Encoding', b'chunked'],
        [b'Cookie', b'a=b'],
    ]
    assert NAMES.forwarded(headers) == [[b'Cookie', b'a=b']]


def test_headers_of_the_node_cannot_be_forged():
    """A caller must not choose its time, its service or the upstream."""
    headers = [[b'X-Time-Left', b'9'], [b'X-Caller', b'x'], [b'X-Expected', b'u']]
    assert NAMES.forwarded(headers) == []


def test_echoed_id_is_restored():
    """A caller matches answers by their id."""
    small = compact(ECHO, SENT, NAMES.request_id)
    assert small == [[b'X-Signature', b's']]
    back = restored(small, SENT, NAMES.request_id)
    assert [NAMES.request_id, b'7'] in back


def test_other_id_is_kept():
    """An answer with the id of another request must not be passed off as right."""
    other = [[b'X-Attempt', b'8']]
    small = compact(other, SENT, NAMES.request_id)
    assert restored(small, SENT, NAMES.request_id) == other
