"""Explains where a request would go now, and why, without sending it."""

from collections.abc import Mapping
from typing import Any
from urllib.parse import parse_qsl

import msgspec

from gentianmill.clock import Clock
from gentianmill.placement import CandidateEstimate, Placement
from gentianmill.placement_preview import PlacementPreview, preview_placement
from gentianmill.route_rules import Destination, RouteRule, RuleSet
from gentianmill.teams import Team
from gentianmill_mesh.dispatcher import Dispatcher
from gentianmill_mesh.entry_admission import EntryAdmission
from gentianmill_mesh.http_message import HttpResponse
from gentianmill_mesh.mesh_settings import MeshSettings
from gentianmill_mesh.rules_holder import RulesHolder
from gentianmill_mesh.service_listener import plain_response
from gentianmill_mesh.store_following import StoreFollowing

__all__ = ('RouteExplainer',)

JSON = 'application/json'
STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503

Explanation = tuple[int, dict[str, Any]]


class RouteExplainer:
    """Answer the question of an operator from the live state of this node.

    No token is taken, no counter changes and nothing is sent. Keys are neither taken nor
    returned; a team is given by its name.
    """

    def __init__(
        self,
        settings: MeshSettings,
        rules: RulesHolder,
        dispatcher: Dispatcher,
        placement: Placement,
        admission: EntryAdmission,
        following: StoreFollowing,
        clock: Clock,
    ) -> None:
        """Create an explainer.

        Args:
            settings: Settings of the node.
            rules: Routing rules in force.
            dispatcher: Knows the nodes that may get a call.
            placement: Chooses one of them.
            admission: Admits new requests.
            following: Tells how old the rules are.
            clock: Clock of the node.
        """
        self._settings = settings
        self._rules = rules
        self._dispatcher = dispatcher
        self._placement = placement
        self._clock = clock
        self._admission = admission
        self._following = following

    def respond(self, query: bytes) -> HttpResponse:
        """Return the response to an operator, in JSON.

        Args:
            query: Parameters ``host`` and ``path``, and ``team`` where there are teams.
        """
        status, body = self._explain(dict(parse_qsl(query.decode(errors='replace'))))
        return plain_response(status, msgspec.json.encode(body), JSON)

    def _explain(self, query: Mapping[str, str]) -> Explanation:
        rules = self._rules.served
        if rules is None:
            is_known = self._rules.rules is not None
            found = (
                'the configuration is not confirmed' if is_known else 'no configuration'
            )
            return STATUS_UNAVAILABLE, {'error': found}
        host, path = query.get('host', ''), query.get('path', '')
        rule = rules.find(host, path)
        if rule is None:
            error = f'no route for {path} of {host} in version {rules.version}'
            return STATUS_NOT_FOUND, {'error': error}
        team_name = query.get('team', '')
        team = rules.teams.find(team_name) if team_name else None
        if team_name and team is None:
            error = f'no team {team_name} in version {rules.version}'
            return STATUS_NOT_FOUND, {'error': error}
        return STATUS_OK, self._found(rules, rule, team)

    def _found(
        self, rules: RuleSet, rule: RouteRule, team: Team | None
    ) -> dict[str, Any]:
        destinations = [self._destination(rule, each) for each in rule.destinations]
        return {
            'node': self._settings.node,
            'zone': self._settings.zone,
            'region': self._settings.region,
            'rules_version': rules.version,
            'rules_age_ms': round(self._following.rules_age_ms),
            **_route_fields(rules, rule, team),
            'admission': self._admission_fields(rule),
            'destinations': destinations,
        }

    def _admission_fields(self, rule: RouteRule) -> dict[str, Any]:
        return {
            'admitted_share': round(self._admission.share(rule), 3),
            'rejecting_services': sorted(self._admission.rejecting),
        }

    def _destination(self, rule: RouteRule, destination: Destination) -> dict[str, Any]:
        preview = preview_placement(
            self._placement,
            self._dispatcher.candidates(destination.service),
            rule.name,
            self._clock.now_ms(),
        )
        return {
            'service': destination.service,
            'weight': destination.weight,
            'chosen': preview.chosen,
            'reason': preview.reason or 'no upstream is available',
            'candidates': _candidates(preview),
        }


def _route_fields(rules: RuleSet, rule: RouteRule, team: Team | None) -> dict[str, Any]:
    priority = rule.priority
    if team is not None and team.priority is not None:
        priority = team.priority
    fields: dict[str, Any] = {
        'route': rule.name,
        'priority': priority,
        'repeatable': rule.repeatable,
        'max_attempts': rule.max_attempts,
        'needs_key': not (rules.teams.is_empty or rule.allows_anonymous),
    }
    if team is not None:
        fields['team'] = team.name
        fields['quota_per_s'] = team.rate_per_s
        fields['quota_burst'] = team.burst
    return fields


def _candidates(preview: PlacementPreview) -> list[dict[str, Any]]:
    ordered = sorted(preview.candidates, key=_total_ms)
    return [
        {
            'node': candidate.name,
            'zone': candidate.zone,
            'calls_ahead': round(candidate.calls_ahead, 1),
            'limit': candidate.limit,
            'latency_ms': round(candidate.latency_ms, 1),
            'distance_ms': round(candidate.distance_ms, 1),
            'failure_share': round(candidate.failure_share, 3),
            'paused_ms': round(candidate.paused_ms),
            'report_age_ms': _rounded(candidate.report_age_ms),
        }
        for candidate in ordered
    ]


def _total_ms(candidate: CandidateEstimate) -> float:
    return candidate.latency_ms + candidate.distance_ms + candidate.paused_ms


def _rounded(age_ms: float | None) -> int | None:
    return None if age_ms is None else round(age_ms)
