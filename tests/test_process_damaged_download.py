"""Test of a download that is damaged between two nodes."""

from pathlib import Path

import aiohttp

from process_places import SHEET_FILE, group_places, new_session, run_with_session
from relayed_deployment import relayed
from standins.processes import Pair
from standins.relay import PEER, Chunk
from standins.upstream import Behaviour, file_content

NAME = 'g1'
BODY_BYTES = 10_000
"""Smallest chunk that certainly holds a part of the body."""


def _download(entry: Pair) -> bytes | None:
    """Return the body that a caller takes for whole, or None."""

    async def exchange() -> bytes | None:
        url = f'{entry.caller_url}/biblioteca/guias/{NAME}/archivo'
        async with new_session() as session:
            try:
                async with session.get(url) as response:
                    body = await response.read()
            except aiohttp.ClientError:
                return None
            return body if response.status == 200 else None

    return run_with_session(exchange())


def test_a_damaged_download_is_not_passed_on(tmp_path: Path):
    """Guards against a changed byte in a download that the caller takes for whole."""
    places = group_places(('catalogo', 'biblioteca'))
    whole = file_content(NAME, Behaviour().file_bytes)
    damaged: list[Chunk] = []

    def damage(chunk: Chunk) -> bytes:
        content = chunk.content
        is_body = chunk.listener == PEER and chunk.way[1] == places[0].endpoint
        if damaged or not is_body or len(content) < BODY_BYTES:
            return content
        damaged.append(chunk)
        return b'%b%c' % (content[:-1], content[-1] ^ 1)

    with relayed(tmp_path, SHEET_FILE, places) as (deployment, relay):
        entry = deployment.pairs[0]
        assert _download(entry) == whole
        relay.alter = damage
        assert _download(entry) in {None, whole}
        assert damaged
