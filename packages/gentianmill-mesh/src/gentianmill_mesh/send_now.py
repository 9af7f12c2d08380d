"""Sends WebSocket messages without a task or an iteration of the event loop."""

from collections.abc import Coroutine


def start_sending(sending: Coroutine[object, object, None]) -> None:
    """Write a message without waiting for a peer that reads slowly.

    aiohttp passes the complete message to the transport before it waits for the
    peer. That wait is skipped; pings detect an unresponsive peer.

    Args:
        sending: A send coroutine of an aiohttp WebSocket that has not started.

    Raises:
        ConnectionError: If the connection is closed.
    """
    try:
        sending.send(None)
    except StopIteration:
        return
    sending.close()
