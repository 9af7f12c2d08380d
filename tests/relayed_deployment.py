"""Deployment whose nodes reach each other and the table through a relay."""

import contextlib
from collections.abc import Iterator
from pathlib import Path

import yaml

from standins.processes import Deployment, UpstreamSpec
from standins.relay import TABLE_HOST, Relay, relay_host


@contextlib.contextmanager
def relayed(
    folder: Path, sheet_file: Path, specs: list[UpstreamSpec]
) -> Iterator[tuple[Deployment, Relay]]:
    """Run a deployment and its relay while the context is open."""
    deployment = Deployment(folder, sheet_file, specs)
    _announce_relay(deployment)
    relay = Relay(deployment)
    relay.start()
    try:
        deployment.start()
        yield deployment, relay
    finally:
        deployment.close()
        relay.close()


def _announce_relay(deployment: Deployment) -> None:
    for number, pair in enumerate(deployment.pairs):
        settings = yaml.safe_load(pair.settings_file.read_text())
        settings['listeners']['advertised_host'] = relay_host(number)
        settings['table']['url'] = f'http://{TABLE_HOST}:{deployment.platform_port}'
        pair.settings_file.write_text(yaml.safe_dump(settings))
