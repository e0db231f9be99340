"""Rollouts in virtual time: the real disruption budget, canary analysis and rollout in a simulated fleet.

The scenario records on its own which members were up at each moment and how often each was drained. The
leading planner fails at random; its successor has only the stored record and budget. An order to the platform
may be lost or arrive twice.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import msgspec

from ..cluster.canary_analysis import MemberSample
from ..cluster.disruption_budget import DisruptionBudget
from ..cluster.disruption_types import (
    BudgetGroup,
    BudgetState,
    MemberObservation,
    UnavailabilityReason,
)
from ..cluster.messages import Incarnation
from ..cluster.rollout import Rollout
from ..cluster.rollout_batches import plan_batches
from ..cluster.rollout_types import (
    FleetView,
    InstanceStatus,
    InstanceView,
    OrderAction,
    PlatformOrder,
    RolloutPhase,
    RolloutRecord,
    RolloutSpec,
)

# Times are tenths of a millisecond where a name has no unit.
SECOND = 10_000
TICK_INTERVAL = SECOND // 2
VERSIONS = ("good", "slow", "crash", "nostart", "profile")
DRAIN_SPAN, START_SPAN, WARMUP_SPAN = 2 * SECOND, SECOND, 4 * SECOND
CRASH_PROBABILITY = 0.2  # per tick, of each member that has been warm for 3 s in the version `crash`
ORDER_LOST_BELOW, ORDER_DUPLICATED_ABOVE = 0.1, 0.9  # bounds on the draw from 0 to 1 for each order


@dataclass(eq=False)
class Instance:
    """One member's process, as the platform sees it; times are in tenths of a millisecond."""

    name: str
    state: InstanceStatus = InstanceStatus.UP
    version: str = "old"
    incarnation: int = 1
    state_until: int = 0  # when a drain or a start ends
    warm_at: int = 0
    failed_starts: int = 0
    crash_count: int = 0  # crashes that the version `crash` causes, since its start
    drain_permits: list[int] = field(default_factory=list)  # permit number of each drain
    down_until: int = 0  # end of a crash; the platform lists a crashed process as up

    @property
    def is_up(self) -> bool:
        """Whether the platform lists the process as up."""
        return self.state is InstanceStatus.UP


class RolloutScenario:
    """One simulated rollout.

    Attributes:
        version: Behaviour of the new version, one of `VERSIONS`.
        fault_rate: Rate, per second, of crashes, of load surges and of slow machines that the rollout does
            not cause.
        takeover_rate: Probability, per tick of half a second, that the leader fails and another planner takes
            over.
        stored_record: The rollout's record as of the last tick, the only one that a new leader has.
        stored_budget: The disruption budget's state as of the last tick, likewise.
        executed_orders: Drains that the platform has executed; it ignores a repeat.
        first_failure_at: When the new version first did harm; None if it never did.
        halted_at: When the rollout last halted; None if it never did.
    """

    def __init__(
        self,
        seed: int,
        version: str,
        site_count: int = 3,
        members_per_site: int = 4,
        fault_rate: float = 0.02,
        takeover_rate: float = 0.02,
    ) -> None:
        """Lay out the fleet and plan the rollout; all draws follow from `seed`."""
        self.rng = random.Random(seed)
        self.version, self.fault_rate, self.takeover_rate = version, fault_rate, takeover_rate
        self.sites = {f"s{n}": [f"s{n}-{m}" for m in range(members_per_site)] for n in range(site_count)}
        self.instances = {name: Instance(name) for names in self.sites.values() for name in names}
        all_members = frozenset(self.instances)
        self.groups = [
            *(BudgetGroup(site, frozenset(names), max_unavailable=1) for site, names in self.sites.items()),
            BudgetGroup("fleet", all_members, max_unavailable=2),
        ]
        spec = RolloutSpec(
            version="new", previous_version="old", canaries=1, batch_size=2, min_watch_ms=6_000
        )
        self.stored_record = msgspec.json.encode(
            RolloutRecord(spec=spec, batches=plan_batches(spec, self.sites))
        )
        self.stored_budget = msgspec.json.encode(BudgetState())
        self.now = 0
        self.take_over()
        self.executed_orders: set[tuple[str, str, int, str]] = set()
        self.surge_until = 0
        self.slow_until: dict[str, int] = {}  # by member: machines that are slow whatever the version
        self.budget_breaches = self.repeated_drains = self.takeover_count = 0
        self.exposed_members: set[str] = set()
        self.first_failure_at: int | None = None
        self.halted_at: int | None = None

    def take_over(self) -> None:
        """Continue the rollout as a new leader, with nothing but the stored record and budget."""
        budget = DisruptionBudget(self.groups)
        budget.restore(self.stored_budget)
        self.rollout = Rollout(msgspec.json.decode(self.stored_record, type=RolloutRecord), budget)

    # ---- fleet -----------------------------------------------------------------------------------------

    def observations(self) -> dict[str, MemberObservation]:
        """Return what the leader observes of each member, by name."""
        observations = {}
        for name, instance in self.instances.items():
            reason = None
            if not instance.is_up or self.now < instance.down_until:
                reason = (
                    UnavailabilityReason.DRAINING
                    if instance.state is InstanceStatus.DRAINING
                    else UnavailabilityReason.SILENT
                )
            elif self.now < instance.warm_at:
                reason = UnavailabilityReason.COLD
            observations[name] = MemberObservation(Incarnation(nonce=instance.incarnation), 10.0, reason)
        return observations

    def instance_views(self) -> dict[str, InstanceView]:
        """Return the platform's list of instances, by member; a crashed one is listed as up."""
        return {
            name: InstanceView(instance.state, instance.version, instance.failed_starts, instance.crash_count)
            for name, instance in self.instances.items()
        }

    def metric_samples(self) -> dict[str, MemberSample]:
        """Return the metrics of each member that runs, over the last tick.

        Also record which members run the new version, and the first harm that `slow` and `profile` do.
        """
        samples = {}
        for name, instance in self.instances.items():
            if not instance.is_up or self.now < instance.down_until:
                continue
            late_rate = 0.03 + (0.2 if self.now < self.surge_until else 0.0)
            late_rate += 0.1 if self.now < self.slow_until.get(name, 0) else 0.0
            extra_late_rate = 0.0
            if instance.version == "new":
                self.exposed_members.add(name)
                extra_late_rate = {"slow": 0.35, "profile": 0.0}.get(self.version, 0.0)
                if (
                    self.version in ("slow", "profile")
                    and self.first_failure_at is None
                    and self.now >= instance.warm_at
                ):
                    self.first_failure_at = self.now
            request_count = self.rng.randrange(12, 20)
            late_count = sum(
                self.rng.random() < min(1.0, late_rate + extra_late_rate) for _ in range(request_count)
            )
            # The version `profile` never honours one request class, which has a fifth of the requests.
            fails_one_class = instance.version == "new" and self.version == "profile"
            lost_count = sum(
                self.rng.random() < (0.2 if fails_one_class else 0.002) for _ in range(request_count)
            )
            figures = {
                "late": (late_count, request_count),
                "shed": (0, request_count),
                "written_off": (lost_count, request_count),
            }
            samples[name] = MemberSample(self.now >= instance.warm_at, figures)
        return samples

    def advance_time(self) -> None:
        """Advance time by one tick: end drains and starts that are due, and draw faults.

        Drawn are crashes of the version `crash` and, whatever the version, a crash of one member in the old
        version, a load surge of 15 s and a member that is slow for 8 s.
        """
        self.now += TICK_INTERVAL
        for instance in self.instances.values():
            if instance.state is InstanceStatus.DRAINING and self.now >= instance.state_until:
                instance.state, instance.state_until = InstanceStatus.STOPPED, 0
            elif (
                instance.state is InstanceStatus.STOPPED
                and instance.state_until
                and self.now >= instance.state_until
            ):
                instance.state_until = 0
                self.finish_start(instance)
            crashes = (
                instance.is_up
                and instance.version == "new"
                and self.version == "crash"
                and self.now >= instance.warm_at + 3 * SECOND
            )
            if crashes and self.now >= instance.down_until and self.rng.random() < CRASH_PROBABILITY:
                instance.down_until = self.now + 2 * SECOND
                instance.incarnation += 1
                instance.warm_at = instance.down_until + WARMUP_SPAN
                self.first_failure_at = self.now if self.first_failure_at is None else self.first_failure_at
                instance.crash_count += 1
        if self.rng.random() < self.fault_rate * TICK_INTERVAL / SECOND:
            instance = self.rng.choice(list(self.instances.values()))
            if instance.is_up and instance.version == "old":
                instance.down_until = self.now + self.rng.randrange(SECOND, 8 * SECOND)
                instance.incarnation += 1
                instance.warm_at = instance.down_until + WARMUP_SPAN
        if self.rng.random() < self.fault_rate * TICK_INTERVAL / SECOND:
            self.surge_until = self.now + 15 * SECOND
        if self.rng.random() < self.fault_rate * TICK_INTERVAL / SECOND:
            self.slow_until[self.rng.choice(list(self.instances))] = self.now + 8 * SECOND

    def finish_start(self, instance: Instance) -> None:
        """End a start: the member is up and cold, or failed if `nostart` is the new version."""
        if instance.version == "new" and self.version == "nostart":
            instance.state = InstanceStatus.FAILED
            instance.failed_starts += 1
            return
        instance.state, instance.failed_starts = InstanceStatus.UP, 0
        instance.incarnation += 1
        instance.warm_at = self.now + WARMUP_SPAN

    # ---- orders and rollout ----------------------------------------------------------------------------

    def execute_order(self, order: PlatformOrder) -> None:
        """Execute an order as the platform does; the order may be lost or arrive twice.

        A drain that was executed before is ignored, and so is a start of a member that is up, draining or
        already starting.
        """
        draw = self.rng.random()
        for _ in range(0 if draw < ORDER_LOST_BELOW else 2 if draw > ORDER_DUPLICATED_ABOVE else 1):
            instance = self.instances[order.member]
            if order.action is OrderAction.DRAIN:
                order_key = (order.member, "drain", order.permit_number, "")
                if order_key in self.executed_orders or not instance.is_up:
                    continue
                self.executed_orders.add(order_key)
                self.repeated_drains += order.permit_number in instance.drain_permits
                instance.drain_permits.append(order.permit_number)
                instance.state, instance.state_until = InstanceStatus.DRAINING, self.now + DRAIN_SPAN
            elif instance.state in (InstanceStatus.STOPPED, InstanceStatus.FAILED) and not (
                instance.state is InstanceStatus.STOPPED and instance.state_until
            ):
                if instance.version != order.version:
                    instance.failed_starts = instance.crash_count = 0
                instance.state, instance.version, instance.state_until = (
                    InstanceStatus.STOPPED,
                    order.version,
                    self.now + START_SPAN,
                )

    def step(self) -> None:
        """Run one tick of the platform, the members and the rollout."""
        self.advance_time()
        if self.rng.random() < self.takeover_rate:
            self.takeover_count += 1
            self.take_over()
        previous_phase = self.rollout.phase
        self.rollout.budget.reconcile(self.observations())
        view = FleetView(self.instance_views(), self.observations(), self.metric_samples(), [])
        orders = self.rollout.step(view, self.now)
        # Stored before any order is sent: if the leader fails here, no order exists that its successor does
        # not know of.
        self.stored_record = msgspec.json.encode(self.rollout.record)
        self.stored_budget = self.rollout.budget.encode()
        for order in orders:
            self.execute_order(order)
        if self.rollout.phase is RolloutPhase.HALTED and previous_phase is not RolloutPhase.HALTED:
            self.halted_at = self.now
        self.count_breaches()

    def count_breaches(self) -> None:
        """Count groups with more members out than allowed, by the members' true state.

        Drains, stops and failed starts count; a member that crashed keeps the state UP and does not.
        """
        for group in self.groups:
            out = [name for name in group.members if self.instances[name].state is not InstanceStatus.UP]
            if len(out) > group.disruptions_allowed:
                self.budget_breaches += 1

    def run(self, rolls_back: bool = True, timeout_s: int = 1_200) -> RolloutScenario:
        """Run until the rollout ends, or for `timeout_s` seconds of virtual time, and return the scenario.

        With `rolls_back`, a rollout that halts on a bad version is rolled back once all members are up,
        unless it excluded a member.
        """
        for _ in range(timeout_s * SECOND // TICK_INTERVAL):
            self.step()
            if self.rollout.phase in (RolloutPhase.COMPLETED, RolloutPhase.ROLLED_BACK):
                break
            if self.rollout.phase is RolloutPhase.HALTED and self.all_in_service():
                if not (
                    rolls_back and self.rollout.record.version_is_bad and not self.rollout.record.excluded
                ):
                    break
                self.rollout.roll_back("the play")
        return self

    def all_in_service(self) -> bool:
        """Whether all members are up, other than those that the rollout excluded."""
        return all(
            instance.is_up
            for instance in self.instances.values()
            if instance.name not in self.rollout.record.excluded
        )

    def report(self) -> dict[str, object]:
        """Return how the rollout ended and what it violated; the keys are those of the printed report."""
        return {
            "ended": self.rollout.phase.value,
            "breaches": self.budget_breaches,
            "drained_twice": self.repeated_drains,
            "exposed": len(self.exposed_members),
            "stuck": self.rollout.phase in (RolloutPhase.RUNNING, RolloutPhase.ROLLING_BACK),
            "conductors": self.takeover_count,
            "halt_s": None
            if self.halted_at is None or self.first_failure_at is None
            else (self.halted_at - self.first_failure_at) / SECOND,
            "took_s": self.now / SECOND,
            "why": self.rollout.record.reason,
        }
