"""The HTTP listeners for callers and for calls from this node's upstream."""

import abc
import dataclasses

from aiohttp import web
from gentianmill.clock import Clock
from gentianmill.errors import ErrorCode, GentianmillError

from gentianmill_node.bulk import BulkEntry
from gentianmill_node.call import Call, CallResult
from gentianmill_node.call_builder import CallBuilder
from gentianmill_node.call_report import CallReport
from gentianmill_node.direct_server import direct_server
from gentianmill_node.dispatch import Dispatcher
from gentianmill_node.headers import CALL_CONTEXT, REQUEST_ID
from gentianmill_node.logs import component
from gentianmill_node.responses import error_response, internal_error, to_response
from gentianmill_node.running_calls import RunningCalls

log = component('entry')


@dataclasses.dataclass(frozen=True, slots=True)
class ListenerParts:
    """Collaborators of the listeners."""

    builder: CallBuilder
    dispatcher: Dispatcher
    bulk: BulkEntry
    report: CallReport
    clock: Clock
    own_id: str


class CallListener(abc.ABC):
    """Accept HTTP calls and respond to them."""

    def __init__(self, parts: ListenerParts) -> None:
        """Create a listener.

        Args:
            parts: Collaborators of the listener.
        """
        self._parts = parts
        self._active = 0
        self._closes_connections = False

    @property
    def active(self) -> int:
        """Return the number of calls still in progress."""
        return self._active

    def server(self, max_body_bytes: int) -> web.Server:
        """Return the HTTP server of the listener; call it from the running event loop.

        Args:
            max_body_bytes: Maximum size of a request body.
        """
        return direct_server(self._handle, max_body_bytes)

    def end_connections(self) -> None:
        """Close each connection after its next response."""
        self._closes_connections = True

    @abc.abstractmethod
    async def build(self, request: web.BaseRequest) -> Call:
        """Return the call that a request describes."""

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self._active += 1
        try:
            response = await self._handle_or_refuse(request)
        except Exception:
            log.exception('Call failed with an internal error.')
            failure = internal_error()
            return self._refusal(request, failure)
        finally:
            self._active -= 1
        if self._closes_connections:
            response.force_close()
        return response

    async def _handle_or_refuse(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            return await self._handle_call(request)
        except GentianmillError as error:
            return self._refusal(request, error)
        except web.HTTPRequestEntityTooLarge as error:
            refusal = GentianmillError(
                ErrorCode.body_too_large, 'request', '', error.text or 'body too large'
            )
            return self._refusal(request, refusal)

    async def _handle_call(self, request: web.BaseRequest) -> web.StreamResponse:
        start_ms = self._parts.clock.now_ms()
        call = await self.build(request)
        if call.operation.is_bulk:
            return await self._parts.bulk.serve(request, call)
        result = await self._parts.dispatcher.dispatch(call)
        self._report_done(call, result, start_ms)
        return to_response(result, call.request_id, self._parts.own_id)

    def _refusal(self, request: web.Request, error: GentianmillError) -> web.Response:
        self._parts.report.refused(error)
        request_id = request.headers.get(REQUEST_ID, '')
        return error_response(error, request_id, self._parts.own_id)

    def _report_done(self, call: Call, result: CallResult, start_ms: float) -> None:
        self._parts.report.done(call, result, self._parts.clock.now_ms() - start_ms)


class CallerListener(CallListener):
    """Accept calls from callers; each starts a new request."""

    async def build(self, request: web.BaseRequest) -> Call:
        """Return the first call of a new request."""
        return await self._parts.builder.new_request(request)


class EgressListener(CallListener):
    """Accept the calls that this node's upstream makes to other services."""

    def __init__(self, parts: ListenerParts, running: RunningCalls) -> None:
        """Create a listener.

        Args:
            parts: Collaborators of the listener.
            running: Calls that are running on the upstream.
        """
        super().__init__(parts)
        self._running = running

    async def build(self, request: web.BaseRequest) -> Call:
        """Return the call; it inherits the context of the call that it belongs to."""
        token = request.headers.get(CALL_CONTEXT, '')
        parent = self._running.find(token)
        if parent is None:
            return await self._parts.builder.orphan_call(request)
        return await self._parts.builder.sub_call(request, parent)
