"""Run the tail model with the decision modules of an earlier revision."""

import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).parent.parent
SOURCE = 'packages/gentianmill/src'
REVISION = 'c97e32a'
TIMEOUT_S = 45


def measure_previous(seeds: tuple[int, ...]) -> dict | None:
    """Return the figures of the earlier revision, or None if the repository lacks it.

    Args:
        seeds: Seeds of the runs.
    """
    with tempfile.TemporaryDirectory() as folder:
        archive = subprocess.run(
            ['git', 'archive', REVISION, SOURCE],
            cwd=ROOT,
            capture_output=True,
            check=False,
        )
        if archive.returncode != 0:
            return None
        subprocess.run(['tar', '-x', '-C', folder], input=archive.stdout, check=True)
        finished = subprocess.run(
            [
                sys.executable,
                str(ROOT / 'bench' / 'tail.py'),
                'current',
                *map(str, seeds),
            ],
            env={**os.environ, 'PYTHONPATH': str(Path(folder) / SOURCE)},
            capture_output=True,
            check=True,
            timeout=TIMEOUT_S,
        )
    return json.loads(finished.stdout)['current']
