"""Seeds of the seeded histories; ``scripts/soak`` asks for more of them."""

import os

SEEDS_VARIABLE = 'GENTIANMILL_SEEDS'


def seeds(default: int) -> range:
    """Return the seeds to run.

    Args:
        default: Number of seeds in CI.
    """
    return range(int(os.environ.get(SEEDS_VARIABLE, default)))
