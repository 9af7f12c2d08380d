"""Read response bodies up to a size limit."""

import aiohttp


async def read_body(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return the complete body, or raise as soon as it exceeds the limit.

    Args:
        response: The response, whose body was not read yet.
        max_bytes: Maximum size of the body.

    Raises:
        ValueError: If the body exceeds the limit; the rest is not read.
    """
    if (response.content_length or 0) > max_bytes:
        response.close()
        raise ValueError('the response body is larger than the limit')
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > max_bytes:
            response.close()
            raise ValueError('the response body is larger than the limit')
    return bytes(body)
