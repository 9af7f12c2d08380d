"""Reads bodies of answers up to a limit."""

import aiohttp


async def read_body(response: aiohttp.ClientResponse, most_bytes: int) -> bytes:
    """Return the whole body, or raise as soon as it is too long.

    Args:
        response: The answer, whose body was not read yet.
        most_bytes: Longest body.

    Raises:
        ValueError: If it is longer than the limit; the rest is not read.
    """
    if (response.content_length or 0) > most_bytes:
        response.close()
        raise ValueError('the response body is larger than the limit')
    body = bytearray()
    async for part in response.content.iter_any():
        body += part
        if len(body) > most_bytes:
            response.close()
            raise ValueError('the response body is larger than the limit')
    return bytes(body)
