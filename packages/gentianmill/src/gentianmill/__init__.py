"""Decision logic and message types of gentianmill.

The planning sheet is left out here, as its models bring in pydantic, which costs a
third of the start of a node that takes its rules from elsewhere.
"""

from gentianmill.clock import Clock, ManualClock, MonotonicClock
from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.outcome import Outcome

__all__ = [
    'Clock',
    'ErrorCode',
    'GentianmillError',
    'ManualClock',
    'MonotonicClock',
    'Outcome',
]
