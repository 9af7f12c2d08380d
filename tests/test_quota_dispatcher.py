"""Tests of what happens to the token of a request after it was admitted."""

import asyncio
import dataclasses

import pytest
from gentianmill.call_tree import CallOrigin
from gentianmill.clock import BootClock
from gentianmill.teams import Team
from gentianmill_mesh.quota_dispatcher import QuotaAdmission, QuotaDispatcher
from gentianmill_mesh.quota_limiter import QuotaState
from gentianmill_mesh.request_progress import RequestProgress

TEAM = Team('t', None, 10, 10)


class _Admission(QuotaAdmission):
    """Admits all requests, and counts the tokens that come back."""

    def __init__(self) -> None:
        self.returned = 0

    async def admit(self, team: Team) -> float | None:
        """Admit the request."""

    def give_back(self, team: Team) -> None:
        """Count the token."""
        self.returned += 1

    def state(self, team: Team) -> QuotaState:
        """Return a state without an owner."""
        return QuotaState('', 0, -1, is_owned=False)


@dataclasses.dataclass
class _Dispatcher:
    """Ends each request after a number of runs and of rejections."""

    runs: int
    rejections: int

    async def run(self, progress: RequestProgress) -> None:
        """Count the attempts; there is no response."""
        progress.runs = self.runs
        for _ in range(self.rejections):
            progress.retry.on_rejection('node')


@pytest.mark.parametrize(
    ('runs', 'rejections', 'returned'), [(0, 0, 1), (1, 0, 0), (0, 1, 0)]
)
def test_the_token_of_a_request_that_was_not_sent_is_returned(
    runs, rejections, returned
):
    """Guards against an error in place of a refusal, and against tokens used up unsent."""
    admission = _Admission()
    dispatcher = QuotaDispatcher(
        _Dispatcher(runs, rejections), admission, lambda _: TEAM, BootClock()
    )
    progress = RequestProgress(
        request=None,
        request_id='1',
        rule=None,
        service='s',
        origin=CallOrigin(0, None),
        deadline_ms=BootClock().now_ms() + 1000,
        team='t',
        is_key_holder=True,
    )
    assert asyncio.run(dispatcher.run(progress)) is None
    assert admission.returned == returned
