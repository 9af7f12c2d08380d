"""Tests of the headers that are passed between callers and upstreams."""

from gentianmill_mesh.wire_names import compact_headers, restore_headers
from mesh_upstream import NAMES

RESPONSE_HEADERS = [[b'X-Attempt', b'7'], [b'X-Signature', b's'], [b'Date', b'now']]
REQUEST_HEADERS = [[b'Host', b'h'], [b'x-attempt', b'7']]


def test_headers_of_one_connection_are_dropped():
    """Guards against forwarding a header that the Connection header names."""
    headers = [
        [b'Connection', b'close, X-Hop'],
        [b'X-Hop', b'1'],
        [b'Transfer-Encoding', b'chunked'],
        [b'Cookie', b'a=b'],
    ]
    assert NAMES.forwarded_request(headers) == [[b'Cookie', b'a=b']]


def test_headers_set_by_the_node_cannot_be_forged():
    """Guards against a caller that chooses its time left, service or upstream."""
    headers = [[b'X-Time-Left', b'9'], [b'X-Caller', b'x'], [b'X-Expected', b'u']]
    assert NAMES.forwarded_request(headers) == []


def test_echoed_id_is_restored():
    """Guards against a response without the id by which the caller matches it."""
    compacted = compact_headers(RESPONSE_HEADERS, REQUEST_HEADERS, NAMES.request_id)
    assert compacted == [[b'X-Signature', b's']]
    expanded = restore_headers(compacted, REQUEST_HEADERS, NAMES.request_id)
    assert [NAMES.request_id, b'7'] in expanded


def test_other_id_is_kept():
    """Guards against replacing the id of another request by the expected one."""
    other = [[b'X-Attempt', b'8']]
    compacted = compact_headers(other, REQUEST_HEADERS, NAMES.request_id)
    assert restore_headers(compacted, REQUEST_HEADERS, NAMES.request_id) == other
