"""Sends without a task and without a turn of the event loop."""

from collections.abc import Coroutine


def start_sending(sending: Coroutine[object, object, None]) -> None:
    """Write a message, but do not wait for a peer that reads slowly.

    aiohttp hands a whole message to the transport before it waits for the peer.
    That wait is given up; the silence of a peer is noticed by the pings.

    Args:
        sending: A send of an aiohttp WebSocket that has not started.

    Raises:
        ConnectionError: If the connection is closed.
    """
    try:
        sending.send(None)
    except StopIteration:
        return
    sending.close()
