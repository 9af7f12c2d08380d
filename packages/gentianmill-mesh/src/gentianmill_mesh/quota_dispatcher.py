"""Passes the requests of rate-limited teams to the dispatcher while they have tokens."""

import abc
from collections.abc import Callable
from http import HTTPStatus

from gentianmill.clock import Clock
from gentianmill.teams import Team
from gentianmill_mesh.dispatcher import Dispatcher, RequestProgress
from gentianmill_mesh.http_message import HttpResponse
from gentianmill_mesh.quota_limiter import QuotaState
from gentianmill_mesh.time_limit import within
from gentianmill_node.logs import component

__all__ = ('QuotaAdmission', 'QuotaDispatcher')

RETRY_AFTER_DEADLINE_MS = 400.0
"""Wait that is told to a caller whose time ended before a token came: by then an owner has
announced when it has one."""

MS_PER_S = 1000

log = component('quota')


class QuotaAdmission(abc.ABC):
    """Decides which requests of rate-limited teams may be sent."""

    @abc.abstractmethod
    async def admit(self, team: Team) -> float | None:
        """Return None if a request may be sent, else the time in ms until a retry."""

    @abc.abstractmethod
    def give_back(self, team: Team) -> None:
        """Return the token of a request that was not sent."""

    @abc.abstractmethod
    def state(self, team: Team) -> QuotaState:
        """Return what is known of the quota of a team."""


class QuotaDispatcher:
    """Run requests on nodes of their service, those with a quota within it."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        admission: QuotaAdmission,
        find_team: Callable[[str], Team | None],
        clock: Clock,
    ) -> None:
        """Create a dispatcher with quotas.

        Args:
            dispatcher: Runs the requests.
            admission: Decides which ones may be sent.
            find_team: Returns a team by its name in the configuration in force.
            clock: Clock of the node.
        """
        self._dispatcher = dispatcher
        self._admission = admission
        self._find_team = find_team
        self._clock = clock

    async def run(self, progress: RequestProgress) -> HttpResponse | None:
        """Return the response of an upstream, the refusal of the quota, or None.

        Calls that upstreams make carry no key and need no token.

        Args:
            progress: The request; its ``runs`` and ``reason`` show why there is no response.
        """
        team = self._find_team(progress.team) if progress.is_key_holder else None
        if team is None or not team.is_limited:
            return await self._dispatcher.run(progress)
        retry_ms = await self._admit(team, progress)
        if retry_ms is not None:
            return self._refusal(team, progress, retry_ms)
        try:
            return await self._dispatcher.run(progress)
        finally:
            if not progress.was_sent:
                self._admission.give_back(team)

    async def _admit(self, team: Team, progress: RequestProgress) -> float | None:
        left_ms = max(progress.deadline_ms - self._clock.now_ms(), 0)
        try:
            return await within(self._admission.admit(team), left_ms / MS_PER_S)
        except TimeoutError:
            # The refusal is logged with the state of the quota.
            return RETRY_AFTER_DEADLINE_MS

    def _refusal(
        self, team: Team, progress: RequestProgress, retry_ms: float
    ) -> HttpResponse:
        state = self._admission.state(team)
        status = HTTPStatus.TOO_MANY_REQUESTS
        if not state.is_owned:
            status = HTTPStatus.SERVICE_UNAVAILABLE
        log.info(
            'Request refused.',
            request_id=progress.request_id,
            team=team.name,
            status=int(status),
            owner=state.owner,
            tokens=state.tokens,
            age_ms=state.age_ms,
            return_after_ms=round(retry_ms),
        )
        retry_after_s = b'%.2f' % (retry_ms / MS_PER_S)
        return HttpResponse(
            int(status), [[b'Retry-After', retry_after_s]], b'not run\n'
        )
