"""Tests of quota frames and nodes of older protocols."""

import pytest
from gentianmill.relay_messages import QuotaRequest, RulesRequest
from gentianmill_mesh.relay_connection import RelayConnection
from gentianmill_mesh.relay_handshake import PARTS_PROTOCOL, QUOTA_PROTOCOL
from test_overdue_resends import _link
from gentianmill.clock import ManualClock


class _Channel:
    """An open connection that records messages."""

    closed = False

    def __init__(self) -> None:
        self.sent: list[bytes] = []

    def send(self, message: bytes) -> None:
        """Record a message."""
        self.sent.append(message)


@pytest.mark.parametrize(
    ('protocol', 'is_sent'),
    [(1, False), (PARTS_PROTOCOL, False), (QUOTA_PROTOCOL, True)],
)
def test_quota_frames_go_to_nodes_that_know_them(protocol: int, is_sent: bool):
    """Guards against frames for which an older node closes the link with its calls."""
    link, _ = _link(ManualClock(0))
    connection = RelayConnection(link.record, link._context, link)
    channel = _Channel()
    connection._channel = channel
    connection._protocol = protocol
    assert connection.send(QuotaRequest(1, 't', 1, 0)) is is_sent
    assert len(channel.sent) == int(is_sent)
    assert connection.send(RulesRequest(1))
    assert connection.takes_parts is (protocol >= PARTS_PROTOCOL)
