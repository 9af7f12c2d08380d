"""Requests to the own upstream, without the defaults of aiohttp's client."""

from collections.abc import Iterable

import aiohttp
from multidict import CIMultiDict


class UpstreamRequest(aiohttp.ClientRequest):
    """A request that carries exactly the headers that it is given.

    aiohttp copies the headers of each request three times to add defaults that
    an upstream must not see, because the caller did not send them.
    """

    def update_headers(self, headers: CIMultiDict[str] | None) -> None:
        """Take the headers over; the session made them for this request alone.

        Args:
            headers: All headers but those on the body.
        """
        self.headers = CIMultiDict() if headers is None else headers
        self.headers[aiohttp.hdrs.HOST] = self.url.host_port_subcomponent

    def update_auto_headers(self, skip_auto_headers: Iterable[str] | None) -> None:
        """Add no default headers."""
        self._skip_auto_headers = None
