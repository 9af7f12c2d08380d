"""Build calls from the HTTP requests of callers and of this node's upstream."""

import dataclasses
import secrets

from aiohttp import web
from gentianmill.clock import Clock
from gentianmill.digest import call_digest
from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.level import rank_of
from gentianmill.sheet import Operation

from gentianmill_node.call import Call
from gentianmill_node.headers import (
    DEADLINE_MS,
    IDEMPOTENCY_KEY,
    REQUEST_ID,
    TENANT,
    end_to_end,
)
from gentianmill_node.policy import Policy
from gentianmill_node.sheet_source import SheetSource

STEP = 'request'
DEFAULT_TENANT = 'default'
MAX_HEADER_VALUE_CHARS = 255
REQUEST_ID_BYTES = 12


@dataclasses.dataclass(frozen=True, slots=True)
class _Target:
    service: str
    path: str
    operation: Operation


class CallBuilder:
    """Turn HTTP requests into calls."""

    def __init__(
        self, region: str, clock: Clock, sheets: SheetSource, policy: Policy
    ) -> None:
        """Create a builder.

        Args:
            region: Region of this node.
            clock: Clock of the node.
            sheets: Provides the sheet in force.
            policy: Selects the home node that counts a request's retries.
        """
        self._region = region
        self._clock = clock
        self._sheets = sheets
        self._policy = policy

    async def new_request(self, request: web.BaseRequest) -> Call:
        """Return the first call of a new request.

        Args:
            request: Request from a caller; its context headers are ignored.

        Raises:
            GentianmillError: If the request is not allowed; nothing ran.
        """
        target = self._target(request)
        tenant = _header_value(request, TENANT) or DEFAULT_TENANT
        request_id = _header_value(request, REQUEST_ID)
        key = _idempotency_key(request, target.operation)
        identity = _identity(tenant, target.service, key or request_id)
        request_id = request_id or secrets.token_hex(REQUEST_ID_BYTES)
        home = self._policy.homes.home(identity, self._region, self._clock.now_ms())
        body = await request.read()
        return Call(
            service=target.service,
            method=request.method,
            path=target.path,
            headers=end_to_end(request.headers),
            body=body,
            operation=target.operation,
            tenant=tenant,
            request_id=request_id,
            identity=identity,
            home=home or '' if identity else '',
            depth=0,
            rank=rank_of(target.operation.work_class, identity or request_id),
            deadline_ms=self._deadline(request, target.operation),
            digest=call_digest(target.service, request.method, target.path, body),
            idempotency_key=key,
            at_most_once=target.operation.at_most_once,
        )

    async def sub_call(self, request: web.BaseRequest, parent: Call) -> Call:
        """Return a call that this node's upstream makes while it runs another call.

        It inherits the rank, tenant and retry budget of the original request, and
        its deadline is no later than that of the parent.

        Args:
            request: Request from this node's upstream.
            parent: The call that the upstream is running.
        """
        call = await self.new_request(request)
        call.tenant = parent.tenant
        call.request_id = parent.request_id
        call.identity = parent.identity
        call.home = parent.home
        call.depth = parent.depth + 1
        call.rank = parent.rank
        call.deadline_ms = min(call.deadline_ms, parent.deadline_ms)
        return call

    async def orphan_call(self, request: web.BaseRequest) -> Call:
        """Return a call from this node's upstream without a valid context.

        It gets no retries.
        """
        call = await self.new_request(request)
        call.identity = ''
        call.home = ''
        return call

    def _target(self, request: web.BaseRequest) -> _Target:
        sheet = self._sheets.required()
        service, slash, rest = request.raw_path.lstrip('/').partition('/')
        path = slash + rest
        if not sheet.has_service(service):
            raise _refusal(ErrorCode.unknown_service, f'no service {service!r}')
        operation = sheet.find_operation(service, request.method, path)
        if operation is None:
            message = f'service {service!r} has no operation {request.method} {path!r}'
            raise _refusal(ErrorCode.unknown_operation, message)
        return _Target(service, path, operation)

    def _deadline(self, request: web.BaseRequest, operation: Operation) -> float:
        limit_ms = operation.deadline_ms
        text = request.headers.get(DEADLINE_MS)
        if text is not None:
            limit_ms = min(limit_ms, _parse_milliseconds(text))
        return self._clock.now_ms() + limit_ms


def _idempotency_key(request: web.BaseRequest, operation: Operation) -> str:
    key = _header_value(request, IDEMPOTENCY_KEY)
    if operation.at_most_once and not key:
        message = f'operation {operation.name!r} needs the header {IDEMPOTENCY_KEY}'
        raise _refusal(ErrorCode.key_missing, message)
    return key


def _identity(tenant: str, service: str, name: str) -> str:
    return f'{tenant}/{service}/{name}' if name else ''


def _header_value(request: web.BaseRequest, name: str) -> str:
    text = request.headers.get(name, '')
    if len(text) > MAX_HEADER_VALUE_CHARS or not text.isprintable():
        message = (
            f'header {name} is longer than {MAX_HEADER_VALUE_CHARS} or not printable'
        )
        raise _refusal(ErrorCode.bad_request, message)
    return text


def _parse_milliseconds(text: str) -> int:
    if not (text.isascii() and text.isdigit()) or len(text) > MAX_HEADER_VALUE_CHARS:
        message = f'header {DEADLINE_MS} must be a whole number of ms, not {text!r}'
        raise _refusal(ErrorCode.bad_request, message)
    return int(text)


def _refusal(code: ErrorCode, message: str) -> GentianmillError:
    return GentianmillError(code, STEP, '', message)
