"""SWIM with suspicion as a state machine that turns time and events into probes.

Sources: Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent
Infection-style Process Group Membership Protocol", 2002; the handling of pauses
of the local process follows Dadgar, Phillips and Currey, "Lifeguard", 2018.
"""

import dataclasses
import random
from collections.abc import Iterable

from gentianmill.dissemination import Dissemination
from gentianmill.indirect_probes import IndirectProbes
from gentianmill.member import Member, MemberStatus
from gentianmill.membership import MemberTable
from gentianmill.probe_order import ProbeOrder
from gentianmill.settings_models import MembershipModel
from gentianmill.suspicion import SuspicionTable

PAUSE_INTERVALS = 3
"""Probe intervals without a tick, or timeouts of a probe, after which this process counts
as paused."""


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """A probe to send; ``relay`` is the member asked to send it, if any."""

    attempt: int
    target: Member
    relay: Member | None
    sent_ms: float
    timeout_ms: float


class Swim:
    """Decide which members to probe and suspect and which updates to send."""

    def __init__(
        self, settings: MembershipModel, table: MemberTable, rng: random.Random
    ) -> None:
        """Create the state machine.

        Args:
            settings: Intervals and timeouts in ms.
            table: The member table of this node; it must hold no other member.
            rng: Source of randomness.
        """
        self._settings = settings
        self._table = table
        self._order = ProbeOrder(rng)
        self._dissemination = Dissemination(table)
        self._suspicions = SuspicionTable(settings.suspicion_ms)
        self._indirect = IndirectProbes(rng)
        self._attempts = 0
        self._next_tick_ms = float()
        self._last_tick_ms: float | None = None
        table.subscribe(self._on_member_change)

    @property
    def next_tick_ms(self) -> float:
        """Return the time in ms at which ``tick`` chooses probes again."""
        return self._next_tick_ms

    def tick(self, now_ms: float) -> list[Probe]:
        """Declare members dead whose suspicion has expired and choose the next probes.

        Args:
            now_ms: The current time in ms.

        Returns:
            The probes to send now; none before ``next_tick_ms``.
        """
        self._check_pause(now_ms)
        for expired in self._suspicions.pop_expired(now_ms):
            self._declare(expired, MemberStatus.dead, now_ms)
        self._table.expire_departed(now_ms)
        if now_ms < self._next_tick_ms:
            return []
        self._next_tick_ms = now_ms + self._settings.probe_interval_ms
        for suspected in self._suspicions.local_ids:
            self._order.prioritize(suspected)
        targets = [self._table.find(target) for target in self._order.next_targets()]
        return [self._direct_probe(target, now_ms) for target in targets if target]

    def on_ack(self, probe: Probe, now_ms: float) -> None:
        """Record that the target of a probe responded.

        A suspicion that other nodes know of ends only when the target raises its
        incarnation, which it does as soon as it learns of the suspicion.
        """
        self._indirect.end(probe.attempt)
        target = self._table.find(probe.target.node_id)
        if target is not None and target.status is not MemberStatus.suspect:
            self._suspicions.clear(target.node_id)

    def on_timeout(self, probe: Probe, now_ms: float) -> list[Probe]:
        """Record that a probe failed.

        Args:
            probe: The probe without a response.
            now_ms: The current time in ms.

        Returns:
            Indirect probes through other members, to be sent now.
        """
        if now_ms - probe.sent_ms > PAUSE_INTERVALS * probe.timeout_ms:
            # This process was paused, so the response may have arrived in the meantime.
            return []
        target = self._table.find(probe.target.node_id)
        if target is None or target.has_departed:
            return []
        if probe.relay is not None:
            if self._indirect.fail_one(probe.attempt):
                self._suspect(target, now_ms)
            return []
        if self._suspicions.is_local(target.node_id):
            return []
        return self._indirect_probes(target, probe.attempt, now_ms)

    def on_updates(
        self, updates: Iterable[Member], sender_id: str, now_ms: float
    ) -> None:
        """Merge the updates of a message and pass the new ones on.

        Args:
            updates: Updates of the message.
            sender_id: Node id of the sender.
            now_ms: The current time in ms.
        """
        if self._dissemination.receive(updates, now_ms):
            self._order.prioritize(sender_id)

    def on_table(self, members: Iterable[Member], now_ms: float) -> None:
        """Merge the members of a full exchange or of the platform's table."""
        self._dissemination.receive_table(members, now_ms)

    def set_own_status(self, status: MemberStatus, now_ms: float) -> None:
        """Change the status of this node and pass it on."""
        self._table.set_own_status(status, now_ms)
        self._dissemination.queue_own()

    def updates_for(self, node_id: str) -> list[Member]:
        """Return the updates to piggyback on a message to a member.

        The update about this node and those that the receiver must refute are
        always included.

        Args:
            node_id: Node id of the receiver; it may be unknown.

        Returns:
            A bounded number of updates about different members.
        """
        return self._dissemination.updates_for(node_id)

    def table_for(self, node_id: str) -> list[Member]:
        """Return the updates for a full exchange with a member."""
        return self._dissemination.table_for(node_id)

    def _on_member_change(self, member: Member, now_ms: float) -> None:
        if member.node_id == self._table.own.node_id:
            return
        self._order.update(member)
        if member.status is MemberStatus.suspect:
            self._suspicions.start_remote(member, now_ms)
        else:
            self._suspicions.clear(member.node_id)

    def _check_pause(self, now_ms: float) -> None:
        last_ms = self._last_tick_ms
        self._last_tick_ms = now_ms
        if last_ms is None:
            return
        if now_ms - last_ms > PAUSE_INTERVALS * self._settings.probe_interval_ms:
            self._suspicions.restart(now_ms)
            self._indirect.clear()

    def _direct_probe(self, target: Member, now_ms: float) -> Probe:
        self._attempts += 1
        timeout_ms = self._settings.probe_timeout_ms
        return Probe(self._attempts, target, None, now_ms, timeout_ms)

    def _indirect_probes(
        self, target: Member, attempt: int, now_ms: float
    ) -> list[Probe]:
        found = [self._table.find(node_id) for node_id in self._order.live_ids()]
        others = [member for member in found if member and member != target]
        relays = self._indirect.start(attempt, others)
        if not relays:
            self._suspect(target, now_ms)
        timeout_ms = 2 * self._settings.probe_timeout_ms
        return [Probe(attempt, target, relay, now_ms, timeout_ms) for relay in relays]

    def _suspect(self, member: Member, now_ms: float) -> None:
        self._suspicions.start_local(member, now_ms)
        self._declare(member.node_id, MemberStatus.suspect, now_ms)

    def _declare(self, node_id: str, status: MemberStatus, now_ms: float) -> None:
        known = self._table.merged_update(node_id)
        if known is not None:
            self._dissemination.spread(
                dataclasses.replace(known, status=status), now_ms
            )
