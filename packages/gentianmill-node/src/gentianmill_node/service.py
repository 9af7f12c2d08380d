"""The node as an aiomisc service, with signal handling."""

import asyncio
import os
import signal
from typing import Any

from aiomisc import Service
from gentianmill.settings_models import NodeSettingsModel

from gentianmill_node.background import spawn
from gentianmill_node.heap import freeze_heap
from gentianmill_node.logs import component
from gentianmill_node.node import Node

EXIT_SECOND_SIGNAL = 143
"""128 + SIGTERM, the exit status that shells report for a process ended by SIGTERM."""

log = component('node')


class NodeService(Service):
    """Start the node, drain it on a signal and stop it."""

    settings: NodeSettingsModel

    async def start(self) -> None:
        """Start the node and install the signal handlers."""
        self._finished = asyncio.Event()
        self._draining: asyncio.Task[None] | None = None
        self._node = Node(self.settings, on_drained=self._finished.set)
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._on_signal)
        await self._node.start()
        freeze_heap()

    async def stop(self, exception: Exception | None = None) -> Any:
        """Close the node."""
        await self._node.close()

    async def finished(self) -> None:
        """Wait until a drain has ended."""
        await self._finished.wait()

    def _on_signal(self) -> None:
        if self._draining:
            log.warning('Second signal received, exiting immediately.')
            os._exit(EXIT_SECOND_SIGNAL)
        log.info('Signal received, draining.')
        self._draining = spawn(self._drain(), 'drain')

    async def _drain(self) -> None:
        try:
            await self._node.drain()
        finally:
            self._finished.set()
