"""Seeds of the randomized histories; ``scripts/soak`` runs more of them."""

import os

SEEDS_VARIABLE = 'GENTIANMILL_SEEDS'


def seeds(default: int) -> range:
    """Return the seeds to run.

    Args:
        default: Number of seeds if the environment variable is not set, as in CI.
    """
    return range(int(os.environ.get(SEEDS_VARIABLE, default)))
