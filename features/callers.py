"""Requests of callers and their responses, with the checks that each must pass."""

import dataclasses
import hashlib
import itertools
import json
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from http import client as http_client
from urllib.parse import urlsplit

from standins.processes import Deployment, wait_for

TIMEOUT_S = 60
THREADS = 64
_numbers = itertools.count()


@dataclasses.dataclass(frozen=True)
class Work:
    """One piece of work, the same in each resend."""

    method: str
    path: str
    body: bytes = b''
    headers: dict[str, str] = dataclasses.field(default_factory=dict)

    @property
    def request_id(self) -> str:
        """Return the id by which the upstreams' log names the work."""
        return self.headers['X-Request-Id']


@dataclasses.dataclass(frozen=True)
class Reply:
    """The response that a caller received."""

    work: Work
    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def outcome(self) -> str:
        """Return the outcome; ``interrupted`` if no complete response came."""
        return self.headers.get('X-Outcome', 'missing')

    @property
    def code(self) -> str:
        """Return the error code, or an empty text."""
        return self.headers.get('X-Error-Code', '')

    def is_own(self) -> bool:
        """Return whether this is the upstream's complete response to this work."""
        echoed = json.loads(self.body)
        body_sha256 = hashlib.sha256(self.work.body).hexdigest()
        return (
            self.work.path.endswith(echoed['path'])
            and echoed['body_sha256'] == body_sha256
            and echoed['request_id'] == self.work.request_id
        )


def payment(path: str, body: bytes = b'', **headers: str) -> Work:
    """Return work with a new key that may run at most once."""
    key = f'key-{next(_numbers)}'
    body = body or f'amount of {key}'.encode()
    identity = {'X-Request-Id': key, 'Idempotency-Key': key}
    return Work('POST', path, body, {**identity, **_header_names(headers)})


def lookup(path: str, **headers: str) -> Work:
    """Return a read with a new request id."""
    identity = {'X-Request-Id': f'read-{next(_numbers)}'}
    return Work('GET', path, b'', {**identity, **_header_names(headers)})


def send(entry: str, work: Work) -> Reply:
    """Send work to an entry once, over a new connection."""
    parts = urlsplit(entry)
    connection = http_client.HTTPConnection(
        parts.hostname, parts.port, timeout=TIMEOUT_S
    )
    try:
        connection.request(work.method, work.path, work.body, work.headers)
    except ConnectionRefusedError:
        return Reply(work, 0, {'X-Outcome': 'closed'}, b'')
    try:
        response = connection.getresponse()
        return Reply(work, response.status, dict(response.headers), response.read())
    except (http_client.HTTPException, OSError):
        return Reply(work, 0, {'X-Outcome': 'interrupted'}, b'')
    finally:
        connection.close()


def send_until_accepted(entry: str, work: Work) -> Reply:
    """Resend work until the outcome is no longer ``not_run``."""
    resends = _Resends(entry, work)
    try:
        wait_for(resends.are_settled, f'a response to {work.request_id}')
    except TimeoutError as error:
        raise AssertionError(f'refused until the timeout: {resends.last}') from error
    return resends.last


def send_all(pairs: Iterable[tuple[str, Work]]) -> list[Reply]:
    """Send work to entries at the same time and wait for all replies."""
    with ThreadPoolExecutor(THREADS) as pool:
        return list(pool.map(lambda pair: send(*pair), pairs))


def runs(deployment: Deployment, work: Work) -> list[dict[str, str]]:
    """Return the runs of a piece of work in the upstreams' log."""
    log = deployment.executions()
    return [run for run in log if run['request_id'] == work.request_id]


class _Resends:
    def __init__(self, entry: str, work: Work) -> None:
        self.last = Reply(work, 0, {}, b'')
        self._entry = entry
        self._work = work

    def are_settled(self) -> bool:
        """Send the work once more and return whether it was not refused."""
        self.last = send(self._entry, self._work)
        return self.last.outcome != 'not_run'


def _header_names(headers: dict[str, str]) -> dict[str, str]:
    return {name.replace('_', '-'): text for name, text in headers.items()}
