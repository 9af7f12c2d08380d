"""Decision logic and message types of gentianmill.

The planning sheet is not imported here, since its models import pydantic, which takes
a third of the startup time of a node that does not use the sheet.
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
