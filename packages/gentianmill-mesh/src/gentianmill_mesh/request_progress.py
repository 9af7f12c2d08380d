"""A request in progress, and what became of its attempts so far."""

import dataclasses

from gentianmill.call_tree import CallOrigin
from gentianmill.rejection_retry import RejectionRetry
from gentianmill.route_rules import RouteRule
from gentianmill_mesh.http_message import HttpRequest
from gentianmill_mesh.upstream_guard import REFUSED_BY_UPSTREAM, RETRY_BUDGET

MAX_REJECTIONS_IN_REGION = 4
"""Rejections up to which a call of a running tree is sent to upstreams of its region again.
If all upstreams of a service reject, another region is no better, and each retry there
costs 60 ms and billed bytes; at a share of 0.55 rejected, 1 call in 20 has more."""

FAILED_AT_SERVICE = frozenset(('overloaded', RETRY_BUDGET)) | REFUSED_BY_UPSTREAM
"""Refusals that a call from another node would get as well."""


@dataclasses.dataclass(slots=True)
class RequestProgress:
    """A request in progress and the nodes that were tried for it."""

    request: HttpRequest
    request_id: str
    rule: RouteRule
    service: str
    origin: CallOrigin
    deadline_ms: float
    tried: set[str] = dataclasses.field(default_factory=set)
    runs: int = 0
    """Upstreams that may have run the request."""

    retry: RejectionRetry = dataclasses.field(default_factory=RejectionRetry)
    """Upstreams that received the request and did not run it."""

    reason: str = 'no_node'
    """Why there is no response yet."""

    team: str = ''
    """Name of the team that the request belongs to, or empty if none."""

    is_key_holder: bool = False
    """Whether the request itself carried a key of the team."""

    is_repeat: bool = False
    """Whether the caller was refused before and did not wait as told."""

    @property
    def was_rejected(self) -> bool:
        """Return whether an upstream has rejected the request."""
        return bool(self.retry.rejections)

    @property
    def outlasts_rejections(self) -> bool:
        """Return whether rejections leave the request its attempts.

        The requests of a team use up its quota, also if a call of their tree is rejected.
        Without teams, a rejection counts as an attempt of the route.
        """
        return bool(self.team)

    @property
    def is_rejection_retry(self) -> bool:
        """Return whether the next attempt is one that rejections do not use up."""
        return self.was_rejected and self.outlasts_rejections

    @property
    def stays_in_region(self) -> bool:
        """Return whether the next attempt goes to the region of this node, if it can."""
        is_early = self.retry.rejections <= MAX_REJECTIONS_IN_REGION
        return self.is_rejection_retry and is_early and self.origin.is_inner

    @property
    def was_sent(self) -> bool:
        """Return whether an upstream may have received the request."""
        return bool(self.runs) or self.was_rejected

    @property
    def failed_at_service(self) -> bool:
        """Return whether the service failed the request, not the path to the service."""
        return bool(self.runs) or self.reason in FAILED_AT_SERVICE

    @property
    def redirects(self) -> int:
        """Return the nodes that were tried, without those that may be tried again."""
        if not self.outlasts_rejections:
            return len(self.tried)
        return len(self.tried - self.retry.retry_nodes)

    @property
    def sends_left(self) -> int:
        """Return how many more upstreams may get the request by its rule."""
        left = self.rule.max_attempts - self.runs
        return left if self.outlasts_rejections else left - self.retry.rejections
