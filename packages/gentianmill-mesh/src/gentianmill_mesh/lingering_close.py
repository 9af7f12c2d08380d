"""Closes a connection without destroying what was sent last."""

import asyncio

from gentianmill_mesh.connection_reset import reset_on_close

__all__ = ('LingeringClose', 'is_sending')

LINGER_MS = 1000.0
"""Time for which bytes are read and dropped after the sending side was closed: closing a
connection with unread bytes resets it, which may destroy the last response."""

MS_PER_S = 1000


class LingeringClose:
    """Close the sending side at once, and the rest when the peer has read everything."""

    def __init__(self, transport: asyncio.Transport) -> None:
        """Create a close that has not begun.

        Args:
            transport: The connection; its protocol drops what it still receives.
        """
        self._transport = transport
        self._timer: asyncio.TimerHandle | None = None

    def begin(self) -> None:
        """Close the sending side, once."""
        if self._timer is None and not self._transport.is_closing():
            self._transport.write_eof()
            self._wait()

    def cancel(self) -> None:
        """Stop waiting, as the connection is closed."""
        if self._timer is not None:
            self._timer.cancel()

    def _wait(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(LINGER_MS / MS_PER_S, self._end)

    def _end(self) -> None:
        if is_sending(self._transport):
            self._wait()
        else:
            # The kernel has the last response; it must still be delivered.
            reset_on_close(self._transport, enabled=False)
            self._transport.abort()


def is_sending(transport: asyncio.Transport | None) -> bool:
    """Return whether a peer has not read all that was sent."""
    return transport is not None and transport.get_write_buffer_size() > 0
