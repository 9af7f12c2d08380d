"""Asks a node where a request would go now."""

from collections.abc import Iterator, Mapping
from typing import Any

import aiohttp
import msgspec

from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill_ctl.result import Result, table_lines

__all__ = ('RouteQuestion', 'route_report')

EXPLAIN_PATH = '/explain'
STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503
STEP = 'explain_route'

CANDIDATE_COLUMNS = (
    'node',
    'zone',
    'calls_ahead',
    'limit',
    'latency_ms',
    'distance_ms',
    'failure_share',
    'paused_ms',
    'report_age_ms',
)
_DETAILS = frozenset(('destinations', 'admission'))


class RouteQuestion(msgspec.Struct, frozen=True):
    """A request as far as its route depends on it."""

    host: str
    path: str
    team: str = ''
    """Name of the team whose key it would carry."""

    @property
    def parameters(self) -> dict[str, str]:
        """Return the parameters of the question."""
        return {
            name: text for name, text in msgspec.structs.asdict(self).items() if text
        }


async def route_report(
    node: str, session: aiohttp.ClientSession, question: RouteQuestion
) -> Result:
    """Return where a request would go, and why.

    Args:
        node: host:port of the node's metrics listener.
        session: Session with a timeout.
        question: The request, which is not sent.

    Raises:
        GentianmillError: If the node does not answer, or has no configuration, route,
            team or upstream for the request.
    """
    status, fields = await _ask(node, session, question)
    if status != STATUS_OK:
        raise GentianmillError(
            _code(status), STEP, node, str(fields.get('error', f'status {status}'))
        )
    destinations = fields.get('destinations', [])
    if not any(destination.get('chosen') for destination in destinations):
        names = ', '.join(str(each.get('service')) for each in destinations)
        raise GentianmillError(
            ErrorCode.no_member, STEP, node, f'no upstream of {names} is available'
        )
    return Result(fields, list(_lines(fields)))


async def _ask(
    node: str, session: aiohttp.ClientSession, question: RouteQuestion
) -> tuple[int, Mapping[str, Any]]:
    try:
        async with session.get(
            f'http://{node}{EXPLAIN_PATH}', params=question.parameters
        ) as response:
            fields = msgspec.json.decode(await response.read())
            status = response.status
    except (aiohttp.ClientError, TimeoutError) as error:
        raise GentianmillError(
            ErrorCode.upstream_unreachable, STEP, node, f'no answer: {error!r}'
        ) from error
    except msgspec.DecodeError as error:
        raise GentianmillError(
            ErrorCode.protocol, STEP, node, 'the node does not explain routes'
        ) from error
    return status, fields if isinstance(fields, dict) else {}


def _code(status: int) -> ErrorCode:
    if status == STATUS_NOT_FOUND:
        return ErrorCode.unknown_operation
    if status == STATUS_UNAVAILABLE:
        return ErrorCode.no_sheet
    return ErrorCode.bad_request


def _lines(fields: Mapping[str, Any]) -> Iterator[str]:
    for name, content in fields.items():
        if name not in _DETAILS:
            yield f'{name}: {content}'
    for name, content in fields.get('admission', {}).items():
        yield f'{name}: {content}'
    for destination in fields.get('destinations', []):
        chosen = destination.get('chosen') or 'none'
        yield ''
        yield f'{destination.get("service")} (weight {destination.get("weight")})'
        yield f'goes to {chosen}: {destination.get("reason")}'
        yield from table_lines(destination.get('candidates', []), CANDIDATE_COLUMNS)
