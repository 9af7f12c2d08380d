"""When a refused caller should come back.

The pattern that it answers: callers refused at the crest of a burst who return
within a second meet the same crest, are refused again and give up. A later
return, spread out, is served; a caller is told no later time than it honours.
"""

import random

LEAST_MS = 300.0
SPREAD_MS = 600.0
"""A refusal without overload, such as during a restart, passes within a second."""

OVERLOAD_MS = 3000.0
"""Added pause at a share of zero; demand swings within some seconds."""

HONOURED_PART = 3
"""Callers honour a pause up to this part of the time that they have left."""


def return_after_ms(
    share: float, time_left_ms: float | None, rng: random.Random
) -> float:
    """Return the pause to tell a refused caller, in ms.

    Args:
        share: Share of new requests that can be served now.
        time_left_ms: Time for which the caller still waits, or None.
        rng: Spreads the callers that are refused together.
    """
    longest_ms = LEAST_MS + SPREAD_MS + OVERLOAD_MS * (1 - share)
    if time_left_ms is not None:
        longest_ms = min(longest_ms, time_left_ms / HONOURED_PART)
    shortest_ms = min(LEAST_MS + (1 - share) * longest_ms / 2, longest_ms)
    return rng.uniform(shortest_ms, longest_ms)
