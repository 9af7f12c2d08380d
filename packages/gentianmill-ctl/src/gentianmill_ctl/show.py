"""Show the reports of a node."""

from gentianmill_ctl.operator_client import OperatorClient
from gentianmill_ctl.result import Result, table_lines

MEMBER_COLUMNS = (
    'node_id',
    'service',
    'endpoint',
    'status',
    'region',
    'zone',
    'host',
    'slots',
)
DRAIN_COLUMNS = ('node_id', 'service', 'in_flight')


async def sheet_report(client: OperatorClient) -> Result:
    """Return the sheet in force at a node."""
    fields = await client.get('/v1/sheet')
    origin = f'accepted by {fields.get("accepted_by")}'
    heading = f'# version {fields.get("version")}, {origin}'
    text = str(fields.get('text', ''))
    return Result(fields, [heading, *text.splitlines()])


async def member_report(client: OperatorClient) -> Result:
    """Return the members that a node knows."""
    fields = await client.get('/v1/members')
    return Result(fields, table_lines(fields.get('members', []), MEMBER_COLUMNS))


async def drain_report(client: OperatorClient) -> Result:
    """Return the draining members that a node knows."""
    fields = await client.get('/v1/drains')
    return Result(fields, table_lines(fields.get('drains', []), DRAIN_COLUMNS))


async def limit_report(client: OperatorClient) -> Result:
    """Return the load and the limits of a node."""
    fields = await client.get('/v1/limits')
    return Result(fields, [f'{name}: {value}' for name, value in fields.items()])
