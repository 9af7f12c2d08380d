"""Tests of TLS between running nodes, with certificates made by openssl."""

import ssl
import subprocess
from collections.abc import Iterator
from pathlib import Path

import aiohttp
import pytest
import yaml

from gentianmill import control_pb2
from gentianmill.clock import MonotonicClock
from gentianmill.errors import GentianmillError
from gentianmill_node.control_client import ControlClient
from process_deployments import (
    SHEET_FILE,
    upstream_specs,
    new_session,
    run_with_timeout,
)
from standins.processes import HOST, PEER_KEY, Deployment, Pair, wait_for

SERVICES = ('tesoreria', 'catalogo')
CALL_PATH = '/catalogo/articulos/1'
PING_MS = 5000


def _openssl(*arguments: object) -> None:
    command = ['openssl', *map(str, arguments)]
    subprocess.run(command, check=True, capture_output=True)


def _make_authority(folder: Path, name: str) -> Path:
    path = folder / f'{name}.pem'
    key = path.with_suffix('.key')
    options = (
        '-x509',
        '-nodes',
        '-newkey',
        'ec',
        '-pkeyopt',
        'ec_paramgen_curve:P-256',
    )
    _openssl('req', *options, '-subj', f'/CN={name}', '-keyout', key, '-out', path)
    return path


def _make_certificate(folder: Path, name: str, authority: Path) -> Path:
    path = folder / f'{name}.pem'
    key = path.with_suffix('.key')
    request = path.with_suffix('.csr')
    options = ('-nodes', '-newkey', 'ec', '-pkeyopt', 'ec_paramgen_curve:P-256')
    _openssl('req', *options, '-subj', f'/CN={name}', '-keyout', key, '-out', request)
    signer = ('-CA', authority, '-CAkey', authority.with_suffix('.key'))
    _openssl('x509', '-req', '-in', request, *signer, '-CAcreateserial', '-out', path)
    return path


def _use_certificate(pair: Pair, certificate: Path, authority: Path) -> None:
    settings = yaml.safe_load(pair.settings_file.read_text())
    settings['listeners'] |= {
        'certificate_file': str(certificate),
        'certificate_key_file': str(certificate.with_suffix('.key')),
        'authority_file': str(authority),
    }
    pair.settings_file.write_text(yaml.safe_dump(settings))


@pytest.fixture(scope='module')
def authority(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """Create the certificate authority of the nodes."""
    return _make_authority(tmp_path_factory.mktemp('authority'), 'nodes')


@pytest.fixture(scope='module')
def deployment(
    tmp_path_factory: pytest.TempPathFactory, authority: Path
) -> Iterator[Deployment]:
    """Run two nodes with certificates of one authority."""
    folder = tmp_path_factory.mktemp('tls')
    started = Deployment(folder, SHEET_FILE, upstream_specs(SERVICES))
    for pair in started.pairs:
        certificate = _make_certificate(folder, pair.spec.endpoint, authority)
        _use_certificate(pair, certificate, authority)
    try:
        started.start_platform()
        started.submit_sheet(SHEET_FILE, 0)
        for pair in started.pairs:
            started.start_upstream(pair)
            started.start_node(pair)
        yield started
    finally:
        started.close()


def _status(url: str, context: ssl.SSLContext, key: str = '') -> int:
    async def exchange() -> int:
        headers = {'Authorization': f'Bearer {key}'}
        async with new_session() as session:
            async with session.get(url, ssl=context, headers=headers) as response:
                return response.status

    try:
        return run_with_timeout(exchange())
    except (aiohttp.ClientError, OSError):
        return 0


def _client(authority: Path) -> ssl.SSLContext:
    context = ssl.create_default_context(cafile=authority)
    context.check_hostname = False
    context.set_alpn_protocols(['h2', 'http/1.1'])
    return context


def test_a_call_between_nodes_with_certificates(
    deployment: Deployment, authority: Path
):
    """Guards against TLS settings under which nodes cannot call each other."""
    ports = deployment.pairs[0].ports
    client = _client(authority)
    url = f'https://{HOST}:{ports["caller"]}{CALL_PATH}'
    wait_for(lambda: _status(url, client) == 200, 'a call between nodes over TLS')


def _usable_listeners(pair: Pair, client: ssl.SSLContext) -> set[str]:
    """Return the internal listeners that a client with the peer key can use."""

    async def ping() -> bool:
        control = ControlClient(MonotonicClock(), PEER_KEY, client)
        request = control_pb2.PingRequest(sender_id='x')
        try:
            await control.ping((HOST, pair.ports['control']), request, PING_MS)
        except GentianmillError:
            return False
        finally:
            control.close()
        return True

    status = _status(f'https://{HOST}:{pair.ports["peer"]}/calls', client, PEER_KEY)
    usable_by_name = {'peer': status == 400, 'control': run_with_timeout(ping())}
    return {listener for listener, usable in usable_by_name.items() if usable}


def _add_certificate(client: ssl.SSLContext, certificate: Path) -> None:
    client.load_cert_chain(certificate, certificate.with_suffix('.key'))


@pytest.mark.parametrize('signer', ['nobody', 'stranger'])
def test_a_node_without_the_right_certificate_cannot_connect(
    deployment: Deployment, authority: Path, tmp_path: Path, signer: str
):
    """Guards against a client that needs only the peer key to read or send calls."""
    trusted = _client(authority)
    _add_certificate(trusted, deployment.folder / 'tesoreria-0.pem')
    untrusted = _client(authority)
    if signer == 'stranger':
        _add_certificate(
            untrusted,
            _make_certificate(tmp_path, 'x', _make_authority(tmp_path, signer)),
        )
    node = deployment.pairs[0]
    wait_for(
        lambda: _usable_listeners(node, trusted) == {'peer', 'control'}, 'the node'
    )
    assert not _usable_listeners(node, untrusted)
