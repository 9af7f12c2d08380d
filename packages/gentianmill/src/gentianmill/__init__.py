"""Decision logic and message types of gentianmill."""

from gentianmill.clock import Clock, ManualClock, MonotonicClock
from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.outcome import Outcome
from gentianmill.sheet import Operation, Sheet, WorkClass

__all__ = [
    'Clock',
    'ErrorCode',
    'GentianmillError',
    'ManualClock',
    'MonotonicClock',
    'Operation',
    'Outcome',
    'Sheet',
    'WorkClass',
]
