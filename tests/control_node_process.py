"""A node in its own process, for tests that pause and resume it."""

import asyncio
import pathlib
import sys

from memory_table import MemoryTable
from node_builder import ControlNode


async def _run(key_file: str, node_id: str, port: str, seed: str) -> None:
    table = MemoryTable()
    table.is_down = True
    node = ControlNode(
        pathlib.Path(key_file), table, node_id, port=int(port), seeds=(seed,)
    )
    await node.start()
    # The test ends the process; the limit only ends one that was left behind.
    await asyncio.sleep(60)


if __name__ == '__main__':
    asyncio.run(_run(*sys.argv[1:]))
