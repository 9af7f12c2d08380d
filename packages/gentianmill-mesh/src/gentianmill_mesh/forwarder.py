"""Finds the route of a request and returns the response for the caller."""

import dataclasses
import math
import random

from gentianmill.clock import Clock
from gentianmill.return_time import MIN_PAUSE_MS, return_after_ms
from gentianmill.route_rules import RequestLimits, RouteRule, RuleSet, SplitCounter
from gentianmill_mesh.dispatcher import RequestProgress
from gentianmill_mesh.entry_admission import REJECTED_BELOW, EntryAdmission
from gentianmill_mesh.http_message import HttpResponse, HttpRequest, header
from gentianmill_mesh.key_check import Identity, KeyCheck
from gentianmill_mesh.mesh_metrics import MeshMetrics
from gentianmill_mesh.quota_dispatcher import QuotaDispatcher
from gentianmill_mesh.rules_holder import RulesHolder
from gentianmill_mesh.upstream_guard import UpstreamGuard
from gentianmill_mesh.wire_names import WireNames
from gentianmill_node.logs import component

DEFAULT_TIMEOUT_MS = 15_000.0
"""Time for a request if neither its caller nor its route sets a limit."""

RESPONSE_MARGIN_MS = 20.0
"""Part of the time that is reserved to send the response to the caller."""

STOPPING = 'stopping'
"""Refusal of a request that a stop leaves no time for."""

UNCONFIRMED = 'rules_not_confirmed'
"""Refusal while the rules may hold keys that are withdrawn."""

MS_PER_S = 1000
STATUS_UNAUTHORIZED = 401
STATUS_NOT_FOUND = 404
STATUS_TOO_LARGE = 413
STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_TIMEOUT = 504

log = component('entry')


@dataclasses.dataclass(slots=True)
class CallerRequest:
    """A request as received from a caller on the VM."""

    request: HttpRequest
    request_id: str
    host: str
    path: str
    arrived_ms: float
    time_left_ms: float | None
    keys: tuple[bytes, ...] = dataclasses.field(default=(), repr=False)
    """Keys that it carries; they appear in no log line."""


@dataclasses.dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A request that may be passed on."""

    caller: CallerRequest
    progress: RequestProgress


class Forwarder:
    """Forward requests by the routing rules in force."""

    def __init__(
        self,
        rules: RulesHolder,
        guard: UpstreamGuard,
        dispatcher: QuotaDispatcher,
        admission: EntryAdmission,
        metrics: MeshMetrics,
        clock: Clock,
        names: WireNames,
    ) -> None:
        """Create a forwarder.

        Args:
            rules: Routing rules in force.
            guard: Tracks the requests that run on this node's upstream.
            dispatcher: Sends requests to upstreams.
            admission: Decides which new requests to admit.
            metrics: Counts refusals and failures.
            clock: Clock of the node.
            names: Header names of the deployment.
        """
        self._keys = KeyCheck(names, guard.tree)
        self._rules = rules
        self._clock = clock
        self._guard = guard
        self._dispatcher = dispatcher
        self._admission = admission
        self._metrics = metrics
        self._split = SplitCounter()
        self._rng = random.Random()  # noqa: S311
        self._end_ms = math.inf
        self._refusing = False
        rules.on_change(self._split.keep)
        rules.on_change(admission.set_rules)
        rules.on_change(self._keys.set_rules)

    def end_by(self, end_ms: float) -> None:
        """Give the requests that are forwarded from now on only the time until a stop.

        Args:
            end_ms: Time at which the node stops; their upstreams end them before it.
        """
        self._end_ms = end_ms

    def refuse_new(self) -> None:
        """Refuse the requests that are not forwarded yet, as a stop would cut them."""
        self._refusing = True

    @property
    def limits(self) -> RequestLimits | None:
        """Return the bounds on requests, or None before the first rules."""
        rules = self._rules.rules
        return None if rules is None else rules.limits

    def is_repeatable(self, caller: CallerRequest) -> bool:
        """Return whether a request may run more than once; False without a route."""
        rules = self._rules.rules
        rule = rules.find(caller.host, caller.path) if rules else None
        return rule is not None and rule.repeatable

    def refuse(self, caller: CallerRequest, reason: str) -> HttpResponse:
        """Return the refusal of a request that was not passed on.

        Args:
            caller: The request.
            reason: Why, for the log and the metrics.
        """
        return self._refusal(caller, reason)

    def admit(self, caller: CallerRequest) -> HttpResponse | AdmittedRequest:
        """Return an admitted request, or the response that it is not run.

        Args:
            caller: The request.
        """
        if self._refusing:
            return self._refusal(caller, STOPPING)
        rules = self._rules.served
        if rules is None:
            is_known = self._rules.rules is not None
            return self._refusal(caller, UNCONFIRMED if is_known else 'no_rules')
        rule = rules.find(caller.host, caller.path)
        if rule is None:
            log.info('No route.', request_id=caller.request_id, rules=rules.version)
            return HttpResponse(STATUS_NOT_FOUND, [], b'no route\n')
        identity = self._keys.identify(caller.keys, caller.request_id, rules, rule)
        if identity.refusal:
            return self._unauthorized(caller, rule, identity)
        return self._admit_identified(caller, rules, rule, identity)

    async def run(self, admitted: AdmittedRequest) -> HttpResponse:
        """Return the response of an upstream, or that of a failure.

        Args:
            admitted: The request.
        """
        caller, progress = admitted.caller, admitted.progress
        response = await self._dispatcher.run(progress)
        if progress.was_rejected:
            self._note_rejections(progress, is_answered=response is not None)
        if response is None:
            response = self._failure(caller, progress)
        if not progress.runs:
            self._note_return(caller, progress.rule, progress.team, response)
        spent_ms = self._clock.now_ms() - caller.arrived_ms
        self._metrics.on_request(progress.rule.name, str(response.status), spent_ms)
        self._metrics.on_team_request(progress.team, response.status)
        return response

    def _admit_identified(
        self,
        caller: CallerRequest,
        rules: RuleSet,
        rule: RouteRule,
        identity: Identity,
    ) -> HttpResponse | AdmittedRequest:
        if len(caller.request.body) > rules.limits.body_bytes:
            return HttpResponse(STATUS_TOO_LARGE, [], b'the body is too large\n')
        origin = identity.origin
        reason = ''
        if not origin.is_inner:
            reason = self._admission.refusal(
                rule, identity.priority, caller.time_left_ms
            )
        if reason:
            share = self._admission.share(rule)
            refusal = self._refusal(caller, reason, share, identity.team)
            self._note_return(caller, rule, identity.team, refusal)
            return refusal
        is_repeat = not origin.is_inner and self._admission.is_repeat(
            rule, identity.team, caller.time_left_ms
        )
        if is_repeat:
            self._metrics.on_decision('ordered_last', 'returned_early')
        progress = RequestProgress(
            request=self._keys.forwarded(caller.request, rules),
            request_id=caller.request_id,
            rule=rule,
            service=self._split.pick(rule),
            origin=origin,
            deadline_ms=min(_deadline_ms(caller, rule), self._end_ms),
            team=identity.team,
            is_key_holder=identity.is_key_holder,
            is_repeat=is_repeat,
        )
        return AdmittedRequest(caller, progress)

    def _unauthorized(
        self, caller: CallerRequest, rule: RouteRule, identity: Identity
    ) -> HttpResponse:
        log.info(
            'Request not authorized.',
            request_id=caller.request_id,
            route=rule.name,
            reason=identity.refusal,
            rules=self._rules.version,
            **_team_field(identity.team),
        )
        self._metrics.on_decision('unauthorized', identity.refusal)
        self._metrics.on_team_refusal(identity.team, identity.refusal)
        return HttpResponse(
            STATUS_UNAUTHORIZED,
            [[b'WWW-Authenticate', self._keys.scheme]],
            b'not authorized\n',
        )

    def _note_return(
        self, caller: CallerRequest, rule: RouteRule, team: str, refusal: HttpResponse
    ) -> None:
        """Remember when a caller was told to return."""
        told = header(refusal.headers, b'retry-after')
        if told is None or caller.time_left_ms is None:
            return
        end_ms = caller.arrived_ms + caller.time_left_ms
        self._admission.note_refusal(rule.name, team, end_ms, float(told) * MS_PER_S)

    def _note_rejections(self, progress: RequestProgress, *, is_answered: bool) -> None:
        rejections = progress.retry.rejections
        self._metrics.on_rejections(progress.service, rejections)
        log.info(
            'Call was rejected by upstreams.',
            request_id=progress.request_id,
            route=progress.rule.name,
            rejections=rejections,
            is_answered=is_answered,
        )

    def _refusal(
        self, caller: CallerRequest, reason: str, share: float = 1, team: str = ''
    ) -> HttpResponse:
        retry_after_ms = return_after_ms(share, self._time_left_ms(caller), self._rng)
        log.info(
            'Request refused.',
            request_id=caller.request_id,
            reason=reason,
            share=round(share, 2),
            return_after_ms=round(retry_after_ms),
            **_team_field(team),
        )
        self._metrics.on_decision('refused', reason)
        self._metrics.on_team_refusal(team, reason)
        if reason == REJECTED_BELOW:
            for service in self._admission.rejecting:
                self._metrics.on_decision('refused_below', service)
        retry_after_s = b'%.2f' % (retry_after_ms / MS_PER_S)
        return HttpResponse(
            STATUS_UNAVAILABLE, [[b'Retry-After', retry_after_s]], b'not run\n'
        )

    def _time_left_ms(self, caller: CallerRequest) -> float | None:
        """Return for how long the caller still waits, or None if unknown."""
        if caller.time_left_ms is None:
            return None
        return max(caller.arrived_ms + caller.time_left_ms - self._clock.now_ms(), 0)

    def _has_no_time_left(
        self, caller: CallerRequest, progress: RequestProgress
    ) -> bool:
        """Return whether the caller has too little time left to retry a read.

        The caller of a request that may run only once must still be notified that
        it did not run.
        """
        if progress.reason != 'deadline' or not progress.rule.repeatable:
            return False
        left_ms = self._time_left_ms(caller)
        return left_ms is not None and left_ms < MIN_PAUSE_MS

    def _failure(
        self, caller: CallerRequest, progress: RequestProgress
    ) -> HttpResponse:
        if not (progress.runs or self._has_no_time_left(caller, progress)):
            share = self._admission.share(progress.rule)
            return self._refusal(caller, progress.reason, share, progress.team)
        self._metrics.on_decision('failed', progress.reason)
        status = STATUS_BAD_GATEWAY
        if progress.reason == 'deadline':
            status = STATUS_TIMEOUT
        log.info(
            'Request failed.',
            request_id=progress.request_id,
            route=progress.rule.name,
            reason=progress.reason,
            status=status,
            **_team_field(progress.team),
        )
        return HttpResponse(status, [], b'no answer\n')


def _team_field(team: str) -> dict[str, str]:
    """Return the field of a log line that names a team, if there is one."""
    return {'team': team} if team else {}


def _deadline_ms(caller: CallerRequest, rule: RouteRule) -> float:
    limits = [
        limit_ms
        for limit_ms in (caller.time_left_ms, rule.timeout_ms)
        if limit_ms is not None
    ]
    left_ms = min(limits, default=DEFAULT_TIMEOUT_MS)
    return caller.arrived_ms + left_ms - RESPONSE_MARGIN_MS
