"""Run one measurement and print its result as one JSON line."""

import importlib
import json
import types

import defopt

MEASUREMENTS = types.MappingProxyType(
    {
        'blocking': 'bench.blocking',
        'call_cpu': 'bench.call_cpu',
        'call_instructions': 'bench.call_instructions',
        'capacity': 'bench.capacity',
        'claim_sweep': 'bench.claim_sweep',
        'control': 'bench.control',
        'crest': 'bench.crest',
        'forwarding_cpu': 'bench.forwarding_cpu',
        'goodput': 'bench.goodput',
        'losses': 'bench.losses',
        'overhead': 'bench.overhead',
        'processes': 'bench.processes',
        'recovery': 'bench.recovery',
        'tail': 'bench.tail',
    }
)
"""Module of each measurement; it has ``run(seeds) -> dict``."""


def measure(name: str, *, seeds: int = 2) -> None:
    """Run a measurement.

    Args:
        name: One of the names in the registry of this module.
        seeds: Number of seeds, at least 1.

    Raises:
        ValueError: If the measurement is unknown or ``seeds`` is less than 1.
    """
    if name not in MEASUREMENTS:
        known = ', '.join(MEASUREMENTS)
        raise ValueError(
            f'no measurement is named {name!r}; known measurements: {known}'
        )
    if seeds < 1:
        raise ValueError(f'a measurement needs at least 1 seed, not {seeds}')
    module = importlib.import_module(MEASUREMENTS[name])
    print(json.dumps(module.run(seeds)))


if __name__ == '__main__':
    defopt.run(measure)
