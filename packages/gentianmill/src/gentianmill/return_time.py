"""How long a refused caller should wait before it retries.

Callers that are refused at the peak of a burst and retry within a second hit the
same peak, are refused again and abandon the request. Retries that are sent later
and spread out are served. A caller is never asked for a longer pause than it honours.
"""

import random

MIN_PAUSE_MS = 300.0
SPREAD_MS = 600.0
"""Pauses without overload: from the minimum up to minimum plus spread.

The cause of such a refusal, for example a restart, passes within a second.
"""

OVERLOAD_PAUSE_MS = 3000.0
"""Additional pause at a share of zero; demand swings within a few seconds."""

HONOURED_DIVISOR = 3
"""Callers honour a pause up to their remaining time divided by this."""


def return_after_ms(
    share: float, time_left_ms: float | None, rng: random.Random
) -> float:
    """Return the pause that a refused caller should make, in ms.

    Args:
        share: Share of new requests that can be served now.
        time_left_ms: Time for which the caller still waits, or None if unknown.
        rng: Random numbers that spread the callers refused at the same time.
    """
    longest_ms = MIN_PAUSE_MS + SPREAD_MS + OVERLOAD_PAUSE_MS * (1 - share)
    if time_left_ms is not None:
        longest_ms = min(longest_ms, time_left_ms / HONOURED_DIVISOR)
    shortest_ms = min(MIN_PAUSE_MS + (1 - share) * longest_ms / 2, longest_ms)
    return rng.uniform(shortest_ms, longest_ms)
