"""Steps of single members in a rollout: eviction by a permit, drain, restart.

    in service (old version) -> permitted -> draining -> stopped -> started -> in service (new version)

Decides the orders for members, never the phase of the rollout. Each order carries the number of the permit
that allows it, so that the platform drains a member once per permit even if several leaders repeat the order.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

from .disruption_budget import DisruptionBudget
from .disruption_types import EvictionDecision, EvictionWaiter, MemberObservation, Permit
from .rollout_types import (
    FleetView,
    InstanceStatus,
    InstanceView,
    OrderAction,
    PlatformOrder,
    RolloutPhase,
    RolloutRecord,
)

MAX_FAILED_STARTS = 2  # in one version before the member is started in another
MAX_PROGRESS_LENGTH = 400  # characters


class RestartDecision(Enum):
    """What to do with a member whose start has failed."""

    RETRY = "retry"
    PREVIOUS_VERSION = "previous version"
    EXCLUDE = "exclude"


class EvictionStep(NamedTuple):
    """One member's step towards another version: its progress as text, and an order if one is due."""

    progress: str
    order: PlatformOrder | None = None


def decide_restart(record: RolloutRecord, instance: InstanceView) -> RestartDecision:
    """Decide how to continue with a member whose last start failed."""
    if instance.failed_starts < MAX_FAILED_STARTS:
        return RestartDecision.RETRY
    if instance.version == record.spec.version:
        return RestartDecision.PREVIOUS_VERSION
    return RestartDecision.EXCLUDE


class MemberSteps:
    """Permits and orders of the members of one rollout."""

    def __init__(self, record: RolloutRecord, budget: DisruptionBudget) -> None:
        """Handle the members of the rollout in `record`, within the fleet's `budget`."""
        self.record = record
        self.budget = budget

    @property
    def permit_reason(self) -> str:
        """The reason in the rollout's permits, which tells them from permits of other requesters."""
        return f"release {self.record.number} of {self.record.spec.version}"

    def own_permit(self, name: str) -> Permit | None:
        """Return the permit that a member holds for this rollout, if any."""
        permit = self.budget.permit_of(name)
        return permit if permit is not None and permit.reason == self.permit_reason else None

    def cancel_waiting(self) -> None:
        """Cancel permit requests that were not granted; a later phase requests permits again."""
        for waiter in list(self.budget.state.waiters):
            if waiter.reason == self.permit_reason:
                self.budget.cancel(waiter.holder)

    def has_reached(self, name: str, version: str, view: FleetView) -> bool:
        """Return whether a member serves in `version` and its permit has ended."""
        return view.is_serving(name, version) and self.budget.permit_of(name) is None

    def remaining(self, names: list[str], version: str, view: FleetView) -> list[str]:
        """Return the members of `names` that are not excluded and have not reached `version`."""
        return [
            name
            for name in names
            if name not in self.record.excluded and not self.has_reached(name, version, view)
        ]

    # ---- eviction --------------------------------------------------------------------------------------

    def evict(self, names: list[str], version: str, view: FleetView) -> tuple[list[PlatformOrder], str]:
        """Request permits for members that are in service and drain those that hold one.

        Returns:
            The orders, and a text for operators on what each member waits for.
        """
        steps = [self._evict_member(name, version, view) for name in names]
        orders = [step.order for step in steps if step.order is not None]
        progress = "; ".join(step.progress for step in steps if step.progress)
        return orders, progress[:MAX_PROGRESS_LENGTH]

    def _evict_member(self, name: str, version: str, view: FleetView) -> EvictionStep:
        """Request a permit for a member that is up in another version, and drain it once granted."""
        instance = view.instances.get(name)
        observation = view.observations.get(name)
        if instance is None:
            return EvictionStep(f"{name} is not known to the platform")
        if observation is None:
            return EvictionStep(f"{name} is not known to the planners")
        if instance.status is not InstanceStatus.UP or instance.version == version:
            return EvictionStep(describe_instance(name, instance, observation))
        requester = EvictionWaiter(
            holder=name, incarnation=observation.incarnation, reason=self.permit_reason
        )
        decision = self.budget.acquire(requester, view.observations)
        if decision.permit is None:
            return EvictionStep(describe_waiting(name, decision))
        return self._drain_by(decision.permit, requester, version)

    def _drain_by(self, permit: Permit, requester: EvictionWaiter, version: str) -> EvictionStep:
        """Drain a member, if its permit is of this rollout and of the incarnation that is in service."""
        name = requester.holder
        if permit.reason != self.permit_reason:
            return EvictionStep(f"{name} waits: permit {permit.number} is another's: {permit.reason}")
        if permit.incarnation != requester.incarnation:
            return EvictionStep("")
        order = PlatformOrder(OrderAction.DRAIN, name, version, permit.number)
        return EvictionStep(f"{name} is to drain by permit {permit.number}", order)

    def release_unused_permits(self, phase: RolloutPhase, view: FleetView) -> None:
        """Release the permits of members that are in service and are not to be drained in `phase`.

        Call this only once no pending order to drain can still take effect.
        """
        for name in self.record.all_members():
            instance = view.instances.get(name)
            observation = view.observations.get(name)
            permit = self.own_permit(name)
            if permit is None or instance is None or observation is None:
                continue
            rolls_back = phase is RolloutPhase.ROLLING_BACK
            is_needed = rolls_back and instance.version != self.record.spec.previous_version
            if instance.status is not InstanceStatus.UP or is_needed:
                continue
            if permit.incarnation == observation.incarnation:
                self.budget.release(name, permit.incarnation, view.observations)

    # ---- restart ---------------------------------------------------------------------------------------

    def stopped_members(self, view: FleetView) -> Iterator[tuple[InstanceView, PlatformOrder]]:
        """Yield members that are stopped by a permit of this rollout, each with the order to start it."""
        for name in self.record.all_members():
            instance = view.instances.get(name)
            permit = self.own_permit(name)
            if instance is None or permit is None or name in self.record.excluded:
                continue
            if instance.status in (InstanceStatus.STOPPED, InstanceStatus.FAILED):
                version = self.record.restart_version()
                yield instance, PlatformOrder(OrderAction.START, name, version, permit.number)


def describe_instance(name: str, instance: InstanceView, observation: MemberObservation) -> str:
    """Describe a member between two versions: its status, its version and why it is unavailable."""
    reason = ""
    if observation.unavailability is not None:
        reason = f", {observation.unavailability.value}"
    return f"{name} {instance.status.value} in {instance.version}{reason}"


def describe_waiting(name: str, decision: EvictionDecision) -> str:
    """Describe a member that waits for a permit: its place in the queue and the blocking budget."""
    place = f" at place {decision.position}" if decision.position else ""
    return f"{name} waits{place}: {decision.reason}"
