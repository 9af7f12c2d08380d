"""Make the helpers of the tests importable."""

import sys
from pathlib import Path

TESTS = Path(__file__).parent.parent / 'tests'

sys.path.insert(0, str(TESTS))
