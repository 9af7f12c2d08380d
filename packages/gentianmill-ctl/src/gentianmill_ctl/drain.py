"""Drain a node."""

from gentianmill_ctl.operator_client import OperatorClient
from gentianmill_ctl.result import Result


async def start_drain(client: OperatorClient) -> Result:
    """Ask a node to drain; it responds before the drain is complete."""
    fields = await client.post('/v1/drain')
    return Result(fields, [f'drain accepted, state {fields.get("state")}'])
