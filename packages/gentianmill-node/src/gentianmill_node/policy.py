"""The policy objects, which are configured by the planning sheet in force."""

import random

from gentianmill.home_nodes import HomePicker
from gentianmill.level import AdmissionLevel
from gentianmill.level_table import LevelTable
from gentianmill.link_budget import LinkBudget
from gentianmill.retry import RetryLedger, RetryThrottle
from gentianmill.routing import Router
from gentianmill.settings_models import NodeSettingsModel
from gentianmill.sheet import RANKS_PER_CLASS, Sheet
from gentianmill.sheet_models import LimitsModel, RetryModel
from gentianmill.crash_suspects import SuspectList, suspect_owner

MS_PER_S = 1000


class Policy:
    """Hold the objects for routing, retries and admission and apply new sheets to them.

    State that does not depend on the sheet, such as latencies and retry counts, is
    kept when a new sheet is applied.
    """

    def __init__(self, settings: NodeSettingsModel, node_id: str) -> None:
        """Create the objects with the default values of the sheet schema.

        Args:
            settings: Settings of the node.
            node_id: Node id of this node.
        """
        self._limits = LimitsModel()
        retry = RetryModel()
        rng = random.Random(node_id)
        region = settings.node.region
        self._region = region
        self.level = AdmissionLevel(1, 0)
        self.levels = LevelTable(RANKS_PER_CLASS - 1)
        self.router = Router(region, settings.node.zone, self._limits, rng, node_id)
        self.link = LinkBudget(self._limits)
        self.ledger = RetryLedger(0, retry.window_s * MS_PER_S)
        self.throttle = RetryThrottle(retry.ratio)
        self.homes = HomePicker(retry.window_s * MS_PER_S)
        self._service = settings.upstream.service
        self._node_id = node_id
        self.suspects = SuspectList(
            self._limits.suspect_window_s * MS_PER_S, self._owns_suspect
        )
        self._classes: tuple[tuple[str, bool], ...] = ()

    @property
    def limits(self) -> LimitsModel:
        """Return the limits in force; a new sheet changes this object in place."""
        return self._limits

    def apply(self, sheet: Sheet) -> None:
        """Put a sheet in force.

        Args:
            sheet: The accepted sheet.
        """
        for name in LimitsModel.model_fields:
            setattr(self._limits, name, getattr(sheet.limits, name))
        window_ms = sheet.retry.window_s * MS_PER_S
        self.ledger.configure(sheet.retries_per_region, window_ms)
        self.throttle.configure(sheet.retry.ratio)
        self.homes.configure(window_ms)
        self.suspects.configure(self._limits.suspect_window_s * MS_PER_S)
        self._apply_classes(sheet)

    def is_home(self, identity: str, now_ms: float) -> bool:
        """Return whether this node is the home node of a request's retry count.

        A node grants retries only as home node. Otherwise members that disagree
        about the home node, for example after a long pause, could together grant
        more retries than the limit.

        Args:
            identity: Identity of the request.
            now_ms: Current time in ms.
        """
        return self.homes.home(identity, self._region, now_ms) == self._node_id

    def suspect_owner(self, digest: bytes) -> str:
        """Return the id of the only node that may run a suspect, or an empty string."""
        members = self.router.members(self._service)
        node_ids = (member.node_id for member in members if member.accepts_calls)
        return suspect_owner(digest, node_ids) or ''

    def _owns_suspect(self, digest: bytes) -> bool:
        return self.suspect_owner(digest) == self._node_id

    def _apply_classes(self, sheet: Sheet) -> None:
        classes = tuple(
            (entry.name, entry.protected) for entry in sheet.classes.values()
        )
        if classes == self._classes:
            return
        # Ranks of the old and the new classes do not correspond, so the admission
        # levels restart fully open.
        self._classes = classes
        protected = sum(is_protected for _, is_protected in classes)
        self.level = AdmissionLevel(
            len(classes), protected, self._limits.queue_delay_ms
        )
        self.levels = LevelTable(
            len(classes) * RANKS_PER_CLASS - 1, protected * RANKS_PER_CLASS - 1
        )
