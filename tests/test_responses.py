"""Tests of the error responses to callers."""

from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill_node.call import CallResult
from gentianmill_node.responses import error_response


def test_a_refusal_of_the_entry_names_the_entry():
    """Guards against an error response that does not name the node to look at."""
    error = GentianmillError(ErrorCode.overloaded, 'route', '', 'too much work')
    response = error_response(error, 'r1', 'entry-1')
    assert response.headers['X-Error-Peer'] == 'entry-1'
    assert '"peer": "entry-1"' in response.text


def test_a_refusal_of_another_node_names_that_node():
    """Guards against an error that names the entry for a refusal of another node."""
    error = GentianmillError(ErrorCode.draining, 'guard', '', 'leaving')
    frame = CallResult.from_error(error).to_frame(1)
    received = CallResult.from_frame(frame, 'guard-7')
    response = error_response(received.error, 'r1', 'entry-1')
    assert response.headers['X-Error-Peer'] == 'guard-7'
