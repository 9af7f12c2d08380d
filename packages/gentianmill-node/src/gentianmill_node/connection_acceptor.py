"""Accepts connections while there is room for them.

The servers of the event loop accept everything. Without a descriptor they drop
connections whose callers may already have sent requests.
"""

import asyncio
import socket
from collections.abc import Callable

from gentianmill_node.background import spawn
from gentianmill_node.logs import component

__all__ = ('ConnectionAcceptor',)

BATCH = 32
"""Connections that are accepted before other events are handled."""

RETRY_S = 0.2
"""Pause after a failure to accept, such as a lack of descriptors."""

log = component('server')


class ConnectionAcceptor:
    """Accept connections on a listening socket, which it owns.

    What is not accepted waits in the queue of the kernel.
    """

    def __init__(
        self,
        listening: socket.socket,
        new_protocol: Callable[[], asyncio.BaseProtocol],
        has_room: Callable[[], bool],
    ) -> None:
        """Create an acceptor that does not accept yet.

        Args:
            listening: Listening socket.
            new_protocol: Creates the protocol of a connection.
            has_room: Returns whether another connection may be accepted; when it does
                again, call ``resume``.
        """
        self._socket = listening
        self._socket.setblocking(False)
        self._new_protocol = new_protocol
        self._has_room = has_room
        self._opening = 0
        self._is_reading = False
        self._is_closed = False

    @property
    def listening_socket(self) -> socket.socket:
        """Return the listening socket."""
        return self._socket

    @property
    def opening(self) -> int:
        """Return the number of connections that are accepted but have no protocol."""
        return self._opening

    def resume(self) -> None:
        """Accept connections while there is room."""
        if self._is_closed or self._is_reading or not self._has_room():
            return
        asyncio.get_running_loop().add_reader(self._socket.fileno(), self._accept)
        self._is_reading = True

    def close(self) -> None:
        """Accept nothing more, and close the listening socket."""
        if self._is_closed:
            return
        self._pause()
        self._is_closed = True
        self._socket.close()

    def _accept(self) -> None:
        for _ in range(BATCH):
            if not self._has_room():
                self._pause()
                return
            try:
                accepted, _address = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                # The queue is empty, or its first caller has left; the loop calls again.
                return
            except OSError as error:
                log.warning('Connection not accepted.', error=repr(error))
                self._pause()
                asyncio.get_running_loop().call_later(RETRY_S, self.resume)
                return
            self._opening += 1
            spawn(self._open(accepted), 'open connection')

    async def _open(self, accepted: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await loop.connect_accepted_socket(self._new_protocol, accepted)
        except OSError as error:
            # The caller has closed it again.
            log.debug('Connection lost before it was used.', error=repr(error))
            accepted.close()
        finally:
            self._opening -= 1

    def _pause(self) -> None:
        if self._is_reading:
            asyncio.get_running_loop().remove_reader(self._socket.fileno())
            self._is_reading = False
