"""Releases in virtual time: the real permits, judgement and course, a platform and members that are played.

The play keeps the truth on its own: who was up at every moment, who was drained how often. A conductor dies
now and then, and the next one has nothing but what was kept. Messages to the platform come twice, late or
not at all.
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

SECOND = 10_000
LOOK = SECOND // 2
VERSIONS = ("good", "slow", "crash", "nostart", "profile")
DRAIN, START, WARM = 2 * SECOND, SECOND, 4 * SECOND


@dataclass(eq=False)
class Machine:
    """One member's process, as the platform has it."""

    name: str
    state: InstanceStatus = InstanceStatus.UP
    version: str = "old"
    life: int = 1
    until: int = 0  # of what it is doing
    warm_at: int = 0
    failed: int = 0
    ends: int = 0
    drains: list[int] = field(default_factory=list)  # by permit
    dead_until: int = 0  # a crash that nobody asked for

    @property
    def up(self) -> bool:
        return self.state is InstanceStatus.UP


class RolloutScenario:
    """One schedule. `version` is what the new one does; `trouble` is how often something else fails a
    second, `deaths` how often the conductor does in half a second.
    """

    def __init__(
        self,
        seed: int,
        version: str,
        sites: int = 3,
        each: int = 4,
        trouble: float = 0.02,
        deaths: float = 0.02,
    ) -> None:
        self.chance = random.Random(seed)
        self.version, self.trouble, self.deaths = version, trouble, deaths
        self.sites = {f"s{n}": [f"s{n}-{m}" for m in range(each)] for n in range(sites)}
        self.machines = {name: Machine(name) for names in self.sites.values() for name in names}
        whole = frozenset(self.machines)
        self.groups = [
            *(BudgetGroup(site, frozenset(names), max_unavailable=1) for site, names in self.sites.items()),
            BudgetGroup("fleet", whole, max_unavailable=2),
        ]
        plan = RolloutSpec(
            version="new", previous_version="old", canaries=1, batch_size=2, min_watch_ms=6_000
        )
        self.kept = msgspec.json.encode(RolloutRecord(spec=plan, batches=plan_batches(plan, self.sites)))
        self.book = msgspec.json.encode(BudgetState())
        self.now = 0
        self.begin()
        self.carried: set[tuple[str, str, int, str]] = set()
        self.surge_until = 0
        self.slow: dict[str, int] = {}  # machines that are slow by themselves, and until when
        self.breaches = self.drained_twice = self.conductors = 0
        self.exposed: set[str] = set()
        self.harm_at: int | None = None
        self.halted_at: int | None = None

    def begin(self) -> None:
        """A conductor takes over, with what was kept."""
        permits = DisruptionBudget(self.groups)
        permits.restore(self.book)
        self.release = Rollout(msgspec.json.decode(self.kept, type=RolloutRecord), permits)

    # ---- the world -------------------------------------------------------------------------------------

    def seen(self) -> dict[str, MemberObservation]:
        found = {}
        for name, one in self.machines.items():
            why = None
            if not one.up or self.now < one.dead_until:
                why = (
                    UnavailabilityReason.DRAINING
                    if one.state is InstanceStatus.DRAINING
                    else UnavailabilityReason.SILENT
                )
            elif self.now < one.warm_at:
                why = UnavailabilityReason.COLD
            found[name] = MemberObservation(Incarnation(nonce=one.life), 10.0, why)
        return found

    def platform(self) -> dict[str, InstanceView]:
        return {
            name: InstanceView(one.state, one.version, one.failed, one.ends)
            for name, one in self.machines.items()
        }

    def shown(self) -> dict[str, MemberSample]:
        """What each member's answers of the last look came to."""
        found = {}
        for name, one in self.machines.items():
            if not one.up or self.now < one.dead_until:
                continue
            base = 0.03 + (0.2 if self.now < self.surge_until else 0.0)
            base += 0.1 if self.now < self.slow.get(name, 0) else 0.0
            off = 0.0
            if one.version == "new":
                self.exposed.add(name)
                off = {"slow": 0.35, "profile": 0.0}.get(self.version, 0.0)
                if self.version in ("slow", "profile") and self.harm_at is None and self.now >= one.warm_at:
                    self.harm_at = self.now
            count = self.chance.randrange(12, 20)
            late = sum(self.chance.random() < min(1.0, base + off) for _ in range(count))
            # One profile in five is never honoured.
            broken = one.version == "new" and self.version == "profile"
            lost = sum(self.chance.random() < (0.2 if broken else 0.002) for _ in range(count))
            figures = {"late": (late, count), "shed": (0, count), "written_off": (lost, count)}
            found[name] = MemberSample(self.now >= one.warm_at, figures)
        return found

    def pass_time(self) -> None:
        self.now += LOOK
        for one in self.machines.values():
            if one.state is InstanceStatus.DRAINING and self.now >= one.until:
                one.state, one.until = InstanceStatus.STOPPED, 0
            elif one.state is InstanceStatus.STOPPED and one.until and self.now >= one.until:
                one.until = 0
                self.come_up(one)
            crashes = (
                one.up
                and one.version == "new"
                and self.version == "crash"
                and self.now >= one.warm_at + 3 * SECOND
            )
            if crashes and self.now >= one.dead_until and self.chance.random() < 0.2:
                one.dead_until = self.now + 2 * SECOND
                one.life += 1
                one.warm_at = one.dead_until + WARM
                self.harm_at = self.now if self.harm_at is None else self.harm_at
                one.ends += 1
        if self.chance.random() < self.trouble * LOOK / SECOND:
            one = self.chance.choice(list(self.machines.values()))
            if one.up and one.version == "old":
                one.dead_until = self.now + self.chance.randrange(SECOND, 8 * SECOND)
                one.life += 1
                one.warm_at = one.dead_until + WARM
        if self.chance.random() < self.trouble * LOOK / SECOND:
            self.surge_until = self.now + 15 * SECOND
        if self.chance.random() < self.trouble * LOOK / SECOND:
            self.slow[self.chance.choice(list(self.machines))] = self.now + 8 * SECOND

    def come_up(self, one: Machine) -> None:
        if one.version == "new" and self.version == "nostart":
            one.state = InstanceStatus.FAILED
            one.failed += 1
            return
        one.state, one.failed = InstanceStatus.UP, 0
        one.life += 1
        one.warm_at = self.now + WARM

    # ---- orders ----------------------------------------------------------------------------------------

    def carry(self, order: PlatformOrder) -> None:
        """The platform: an order that was carried out before is passed over; a message may be lost or
        doubled.
        """
        draw = self.chance.random()
        for _ in range(0 if draw < 0.1 else 2 if draw > 0.9 else 1):
            one = self.machines[order.member]
            if order.action is OrderAction.DRAIN:
                mark = (order.member, "drain", order.permit_number, "")
                if mark in self.carried or not one.up:
                    continue
                self.carried.add(mark)
                self.drained_twice += order.permit_number in one.drains
                one.drains.append(order.permit_number)
                one.state, one.until = InstanceStatus.DRAINING, self.now + DRAIN
            elif one.state in (InstanceStatus.STOPPED, InstanceStatus.FAILED) and not (
                one.state is InstanceStatus.STOPPED and one.until
            ):
                if one.version != order.version:
                    one.failed = one.ends = 0
                one.state, one.version, one.until = InstanceStatus.STOPPED, order.version, self.now + START

    def step(self) -> None:
        self.pass_time()
        if self.chance.random() < self.deaths:
            self.conductors += 1
            self.begin()
        phase = self.release.phase
        self.release.budget.reconcile(self.seen())
        view = FleetView(self.platform(), self.seen(), self.shown(), [])
        orders = self.release.step(view, self.now)
        # Kept before anything is asked: a conductor that dies here leaves no order that nobody knows of.
        self.kept = msgspec.json.encode(self.release.record)
        self.book = self.release.budget.encode()
        for order in orders:
            self.carry(order)
        if self.release.phase is RolloutPhase.HALTED and phase is not RolloutPhase.HALTED:
            self.halted_at = self.now
        self.count()

    def count(self) -> None:
        """By what is so, not by what was decided: planned ones that are out, in each group."""
        for group in self.groups:
            out = [name for name in group.members if self.machines[name].state is not InstanceStatus.UP]
            if len(out) > group.disruptions_allowed:
                self.breaches += 1

    def run(self, back: bool = True, longest: int = 1_200) -> RolloutScenario:
        """To its end; where it halts on a bad version, the way back is taken."""
        for _ in range(longest * SECOND // LOOK):
            self.step()
            if self.release.phase in (RolloutPhase.COMPLETED, RolloutPhase.ROLLED_BACK):
                break
            if self.release.phase is RolloutPhase.HALTED and self.settled():
                if not (back and self.release.record.version_is_bad and not self.release.record.excluded):
                    break
                self.release.roll_back("the play")
        return self

    def settled(self) -> bool:
        return all(one.up for one in self.machines.values() if one.name not in self.release.record.excluded)

    def told(self) -> dict[str, object]:
        return {
            "ended": self.release.phase.value,
            "breaches": self.breaches,
            "drained_twice": self.drained_twice,
            "exposed": len(self.exposed),
            "stuck": self.release.phase in (RolloutPhase.RUNNING, RolloutPhase.ROLLING_BACK),
            "conductors": self.conductors,
            "halt_s": None
            if self.halted_at is None or self.harm_at is None
            else (self.halted_at - self.harm_at) / SECOND,
            "took_s": self.now / SECOND,
            "why": self.release.record.reason,
        }
