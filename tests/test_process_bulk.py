"""Tests of downloads through real nodes whose upstreams break off."""

import itertools
from http import client as http_client
from urllib.parse import urlsplit

import pytest
from standins.processes import UpstreamSpec, running, wait_for
from standins.upstream import file_content

SIZE_BYTES = 3_000_000
CUT_AFTER_BYTES = 1_000_000
SHEET = """
deployment: bulk
regions: [north]
classes: [{name: downloads}]
services:
  library:
    operations:
      - {name: guide, method: GET, path: '/files/{name}', class: downloads,
         size: bulk, deadline_ms: 60000}
retry: {bound: 6, ratio: 1.0}
"""


@pytest.fixture(scope='module')
def deployment(tmp_path_factory):
    """Run two upstreams of one service."""
    folder = tmp_path_factory.mktemp('bulk')
    sheet_file = folder / 'sheet.yaml'
    sheet_file.write_text(SHEET)
    specs = [UpstreamSpec('library', f'library-{zone}', 'north', zone) for zone in 'ab']
    with running(folder, sheet_file, specs) as started:
        for pair in started.pairs:
            started.set_behaviour(pair, file_bytes=SIZE_BYTES)
        yield started


def _download(pair, name: str, request_id: str = '') -> tuple[int, bytes | None]:
    parts = urlsplit(pair.caller_url)
    connection = http_client.HTTPConnection(parts.hostname, parts.port, timeout=60)
    headers = {'X-Request-Id': request_id} if request_id else {}
    connection.request('GET', f'/library/files/{name}', headers=headers)
    try:
        response = connection.getresponse()
        return response.status, response.read()
    except (http_client.IncompleteRead, ConnectionError):
        return 0, None
    finally:
        connection.close()


def _cut_all(deployment) -> None:
    for pair in deployment.pairs:
        deployment.set_behaviour(pair, cut_after_bytes=CUT_AFTER_BYTES)


def test_a_complete_download_arrives_through_each_node(deployment):
    """Guards against downloads that lose or repeat chunks on the way."""
    for pair in deployment.pairs:
        status, body = _download(pair, 'whole')
        assert status == 200
        assert body == file_content('whole', SIZE_BYTES)


def test_a_truncated_download_without_identity_never_looks_complete(deployment):
    """Guards against a truncated file that is passed on as complete."""
    _cut_all(deployment)
    status, body = _download(deployment.pairs[0], 'cut')
    assert status != 200 or body == file_content('cut', SIZE_BYTES)
    assert body is None


def _is_resumed(deployment, name: str) -> bool:
    """Return whether a download needed a second upstream and arrived complete."""
    entry, other = deployment.pairs
    deployment.set_behaviour(entry, cut_after_bytes=CUT_AFTER_BYTES)
    deployment.set_behaviour(other, cut_after_bytes=0)
    before = len(deployment.executions())
    status, body = _download(entry, name, name)
    if status != 200 or body is None:
        return False
    assert body == file_content(name, SIZE_BYTES)
    return len(deployment.executions()) == before + 2


def test_an_interrupted_download_is_resumed(deployment):
    """Guards against a download that is lost, or restarted from its first byte."""
    numbers = itertools.count()
    wait_for(
        lambda: _is_resumed(deployment, f'resumed-{next(numbers)}'), 'a resumption'
    )
