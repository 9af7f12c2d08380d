"""A deployment of two services with one upstream each, for measurements of calls."""

import contextlib
import tempfile
from collections.abc import Iterator
from pathlib import Path

from standins.processes import Deployment, UpstreamSpec, running

SHEET = """
deployment: overhead
regions: [north]
classes: [{name: lookups}]
services:
  lookup:
    operations:
      - {name: read, method: GET, path: '/items/{id}', class: lookups}
  other:
    operations:
      - {name: read, method: GET, path: '/items/{id}', class: lookups}
"""


@contextlib.contextmanager
def two_services() -> Iterator[Deployment]:
    """Run the deployment while the context is open; ``lookup`` comes first."""
    with tempfile.TemporaryDirectory() as scratch:
        folder = Path(scratch)
        sheet_file = folder / 'sheet.yaml'
        sheet_file.write_text(SHEET)
        specs = [
            UpstreamSpec(service, f'{service}-1', 'north', 'a', latency_ms=0)
            for service in ('lookup', 'other')
        ]
        with running(folder, sheet_file, specs) as deployment:
            yield deployment
