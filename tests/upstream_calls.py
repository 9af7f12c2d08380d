"""Builds calls for tests of the upstream client."""

from gentianmill_node.call import Call


def upstream_call() -> Call:
    """Return a call with a request id and otherwise minimal fields."""
    return Call(
        service='s',
        method='GET',
        path='/',
        headers={},
        body=b'',
        operation=None,
        tenant='t',
        request_id='1',
        identity='',
        home='',
        depth=0,
        rank=0,
        deadline_ms=0,
        digest=b'',
    )
