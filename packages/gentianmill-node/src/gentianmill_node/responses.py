"""HTTP responses for call results and errors."""

import math
import types
from collections.abc import Mapping

from aiohttp import web
from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.outcome import Outcome

from gentianmill_node.call import CallResult
from gentianmill_node.headers import (
    ERROR_CODE,
    ERROR_PEER,
    ERROR_STEP,
    OUTCOME,
    REQUEST_ID,
    RETRY_AFTER,
)

MS_PER_S = 1000
RETRY_AFTER_MS = 1000

_STATUS: Mapping[ErrorCode, int] = types.MappingProxyType(
    {
        ErrorCode.bad_request: 400,
        ErrorCode.key_missing: 400,
        ErrorCode.unauthorised: 401,
        ErrorCode.unknown_service: 404,
        ErrorCode.unknown_operation: 404,
        ErrorCode.body_too_large: 413,
        ErrorCode.key_reused: 422,
        ErrorCode.key_expired: 422,
        ErrorCode.settled_not_run: 422,
        ErrorCode.crash_suspect: 422,
        ErrorCode.deadline: 504,
        ErrorCode.in_progress: 504,
    }
)
_STATUS_NOT_RUN = 503
_STATUS_UNKNOWN = 502


def to_response(result: CallResult, request_id: str, own_id: str) -> web.Response:
    """Return the HTTP response for a call result.

    Args:
        result: How the call ended.
        request_id: Id of the request, returned to the caller.
        own_id: Node id of this node, for errors that occurred here.
    """
    if result.error:
        return error_response(result.error, request_id, own_id)
    headers = dict(result.headers)
    headers[OUTCOME] = result.outcome.value
    headers[REQUEST_ID] = request_id
    return web.Response(status=result.status, headers=headers, body=result.body)


def internal_error() -> GentianmillError:
    """Return the error for an internal error of the node; the work may have run."""
    message = 'the node failed; see its log'
    return GentianmillError(ErrorCode.internal, 'node', '', message, Outcome.unknown)


def error_response(
    error: GentianmillError, request_id: str, own_id: str
) -> web.Response:
    """Return the HTTP response for an error.

    Args:
        error: What failed, with the outcome of the call.
        request_id: Id of the request; empty if none was given.
        own_id: Node id of this node, given as the peer if the error names none.
    """
    is_unknown = error.outcome is Outcome.unknown
    outcome = Outcome.unknown if is_unknown else Outcome.not_run
    fallback = _STATUS_UNKNOWN if is_unknown else _STATUS_NOT_RUN
    peer = error.peer or own_id
    headers = {
        OUTCOME: outcome.value,
        REQUEST_ID: request_id,
        ERROR_CODE: error.code.value,
        ERROR_STEP: error.step,
        ERROR_PEER: peer,
    }
    status = _STATUS.get(error.code, fallback)
    if status == _STATUS_NOT_RUN:
        pause_ms = error.retry_after_ms or RETRY_AFTER_MS
        headers[RETRY_AFTER] = str(math.ceil(pause_ms / MS_PER_S))
    body = {
        'code': error.code.value,
        'step': error.step,
        'peer': peer,
        'message': error.message,
    }
    return web.json_response(body, status=status, headers=headers)
