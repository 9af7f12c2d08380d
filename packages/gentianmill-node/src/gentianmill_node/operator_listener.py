"""The operator listener: health, metrics, members, limits, sheet and drain."""

import dataclasses
from typing import Any

from aiohttp import web
from aiohttp.typedefs import Handler

from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.member import Member
from gentianmill_node.auth_keys import same_key
from gentianmill_node.logs import component
from gentianmill_node.node_view import NodeView

MAX_REQUEST_BYTES = 1024
_BEARER_PREFIX = 'Bearer '
_KEY = web.AppKey('key', bytes)
_PUBLIC_PATHS = frozenset(('/health', '/metrics'))

_log = component('operator')


def operator_app(view: NodeView, key: bytes) -> web.Application:
    """Create the application of the operator listener.

    Args:
        view: Gives access to the state of the node.
        key: Operator key that ``Authorization: Bearer`` must carry.

    Returns:
        An application; ``/health`` and ``/metrics`` need no key.
    """
    routes = _Routes(view)
    app = web.Application(
        middlewares=[_errors_as_json, _check_key],
        client_max_size=MAX_REQUEST_BYTES,
    )
    app[_KEY] = key
    app.router.add_get('/health', routes.health)
    app.router.add_get('/metrics', routes.metrics)
    app.router.add_get('/v1/members', routes.members)
    app.router.add_get('/v1/limits', routes.limits)
    app.router.add_get('/v1/drains', routes.drains)
    app.router.add_get('/v1/sheet', routes.sheet)
    app.router.add_post('/v1/drain', routes.drain)
    return app


class _Routes:
    def __init__(self, view: NodeView) -> None:
        self._view = view

    async def health(self, _request: web.Request) -> web.Response:
        report = self._view.health()
        status = 200 if report.ready else 503
        return web.json_response(dataclasses.asdict(report), status=status)

    async def metrics(self, _request: web.Request) -> web.Response:
        text, content_type = self._view.metrics()
        return web.Response(body=text, headers={'Content-Type': content_type})

    async def members(self, _request: web.Request) -> web.Response:
        members = [_member_fields(member) for member in self._view.members()]
        return web.json_response({'members': members})

    async def limits(self, _request: web.Request) -> web.Response:
        return web.json_response(dataclasses.asdict(self._view.limits()))

    async def drains(self, _request: web.Request) -> web.Response:
        drains = [dataclasses.asdict(report) for report in self._view.drains()]
        return web.json_response({'drains': drains})

    async def sheet(self, _request: web.Request) -> web.Response:
        return web.json_response(dataclasses.asdict(self._view.sheet()))

    async def drain(self, request: web.Request) -> web.Response:
        await request.read()
        await self._view.drain()
        _log.info('Drain requested.', peer=request.remote)
        return web.json_response(dataclasses.asdict(self._view.health()), status=202)


def _member_fields(member: Member) -> dict[str, Any]:
    return {**dataclasses.asdict(member), 'status': member.status.name}


@web.middleware
async def _check_key(request: web.Request, handler: Handler) -> web.StreamResponse:
    if request.path in _PUBLIC_PATHS or _has_key(request, request.app[_KEY]):
        return await handler(request)
    peer = request.remote or ''
    _log.warning('Request without the operator key refused.', peer=peer)
    error = GentianmillError(
        ErrorCode.unauthorised,
        'authorise',
        peer,
        'the operator key is missing or wrong',
    )
    response = _error_response(error, web.HTTPUnauthorized.status_code)
    response.headers['WWW-Authenticate'] = 'Bearer'
    return response


def _has_key(request: web.Request, key: bytes) -> bool:
    header = request.headers.get('Authorization', '')
    presented_key = header.removeprefix(_BEARER_PREFIX).encode(errors='surrogateescape')
    return header.startswith(_BEARER_PREFIX) and same_key(presented_key, key)


@web.middleware
async def _errors_as_json(request: web.Request, handler: Handler) -> web.StreamResponse:
    peer = request.remote or ''
    try:
        return await handler(request)
    except web.HTTPException as refusal:
        code, message = _describe(request, refusal)
        error = GentianmillError(code, 'read_request', peer, message)
        response = _error_response(error, refusal.status)
        allowed = refusal.headers.getall('Allow', [])
        response.headers.extend([('Allow', method) for method in allowed])
        return response
    except GentianmillError as error:
        return _error_response(error, web.HTTPServiceUnavailable.status_code)
    except Exception:
        _log.exception('Request failed.', path=request.path)
        error = GentianmillError(
            ErrorCode.internal, 'operator', peer, 'the node failed; see its log'
        )
        return _error_response(error, web.HTTPInternalServerError.status_code)


def _describe(
    request: web.Request, refusal: web.HTTPException
) -> tuple[ErrorCode, str]:
    if isinstance(refusal, web.HTTPRequestEntityTooLarge):
        message = f'the body is longer than {MAX_REQUEST_BYTES} bytes'
        return ErrorCode.body_too_large, message
    message = f'{request.method} {request.path}: {refusal.reason}'
    return ErrorCode.bad_request, message


def _error_response(error: GentianmillError, status: int) -> web.Response:
    fields = {
        'code': error.code.value,
        'step': error.step,
        'peer': error.peer,
        'message': error.message,
    }
    return web.json_response(fields, status=status)
