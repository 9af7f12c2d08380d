"""Test of a download that is damaged between two nodes."""

from pathlib import Path

import aiohttp

from process_deployments import (
    SHEET_FILE,
    upstream_specs,
    new_session,
    run_with_timeout,
)
from relayed_deployment import relayed
from standins.processes import Pair
from standins.relay import PEER, Chunk
from standins.upstream import Behaviour, file_content

NAME = 'g1'
MIN_BODY_CHUNK_BYTES = 10_000
"""Chunks of at least this size certainly hold a part of the body."""


def _download(entry: Pair) -> bytes | None:
    """Return the body that a caller accepts as complete, or None."""

    async def exchange() -> bytes | None:
        url = f'{entry.caller_url}/biblioteca/guias/{NAME}/archivo'
        async with new_session() as session:
            try:
                async with session.get(url) as response:
                    body = await response.read()
            except aiohttp.ClientError:
                return None
            return body if response.status == 200 else None

    return run_with_timeout(exchange())


def test_a_damaged_download_is_not_passed_on(tmp_path: Path):
    """Guards against a changed byte in a download that looks intact to the caller."""
    specs = upstream_specs(('catalogo', 'biblioteca'))
    expected = file_content(NAME, Behaviour().file_bytes)
    damaged: list[Chunk] = []

    def damage(chunk: Chunk) -> bytes:
        content = chunk.content
        is_body = chunk.listener == PEER and chunk.direction[1] == specs[0].endpoint
        if damaged or not is_body or len(content) < MIN_BODY_CHUNK_BYTES:
            return content
        damaged.append(chunk)
        return b'%b%c' % (content[:-1], content[-1] ^ 1)

    with relayed(tmp_path, SHEET_FILE, specs) as (deployment, relay):
        entry = deployment.pairs[0]
        assert _download(entry) == expected
        relay.alter = damage
        assert _download(entry) in {None, expected}
        assert damaged
