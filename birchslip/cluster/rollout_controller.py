"""All releases of a fleet, as the leader conducts them: which may begin, whose word does what, what is asked.

Free of I/O and of clocks, as `release.py` is, which decides on each. The platform's listing is looked at only
while it is fresh and of this reign: a new leader orders nothing before it has seen for itself how things are.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Annotated

import msgspec

from .canary_analysis import MemberSample
from .disruption_budget import DisruptionBudget
from .disruption_types import MemberObservation, UnavailabilityReason
from .inventory import Inventory
from .messages import Count, Incarnation, MemberReport, Message, Words
from .rollout import (
    InstanceView,
    PlatformOrder,
    Rollout,
    RolloutPhase,
    RolloutRecord,
    RolloutSpec,
    find_unknown_part,
    plan_batches,
)

UNFINISHED = (RolloutPhase.RUNNING, RolloutPhase.HALTED, RolloutPhase.ROLLING_BACK)
RUNNING_MOST = 8
ENDED_MOST = 16  # that are kept, for `history` and for a way back
PATIENCE = 600_000  # a minute without the platform halts what runs
KINDS = ("late", "slow", "shed", "written_off", "calls")


class RolloutStates(Message, rename={"last_number": "number", "records": "courses"}):
    """What the leader has a majority keep of them, the oldest first."""

    last_number: Count = 0
    records: list[RolloutRecord] = msgspec.field(default_factory=list)


class RolloutCommand(Message, rename={"action": "what", "operator": "who", "reason": "why", "spec": "plan"}):
    """What a person says of releases; `number` 0 means the only one it can be meant of, or all to halt."""

    action: Annotated[str, msgspec.Meta(pattern="^(start|status|halt|resume|back|history)$")]
    number: Count = 0
    operator: Words = ""
    reason: Words = ""
    spec: RolloutSpec | None = None


class CommandResult(Message, rename={"accepted": "done", "reason": "why"}):
    """What came of a word; `why` where nothing did."""

    accepted: bool
    number: Count = 0
    reason: str = ""


class RolloutController:
    """`parts` are app servers by site and group, `services` the names of those below, `homes` the site of
    each member; a listing holds for `stale`.
    """

    def __init__(
        self,
        parts: Mapping[str, list[str]],
        services: Iterable[str],
        permits: DisruptionBudget,
        stale: int,
        homes: Mapping[str, str] | None = None,
    ) -> None:
        self.members_by_part, self.services, self.budget, self.inventory_ttl = (
            parts,
            list(services),
            permits,
            stale,
        )
        self.sites = homes or {}
        self.restore(RolloutStates(), 0)

    def restore(self, book: RolloutStates, now: int) -> None:
        """A new reign begins with what was kept, and knows nothing else."""
        self.states = book
        self.rollouts = [Rollout(course, self.budget, self.site_of) for course in book.records]
        self.inventory: Inventory | None = None
        self.instances: dict[str, InstanceView] = {}
        self.inventory_at = now
        self.orders: list[PlatformOrder] = []
        self.last_reports: dict[str, MemberReport] = {}  # the last that was read of each member

    def site_of(self, name: str) -> str:
        return self.sites.get(name, "")

    def update_fleet(
        self, parts: Mapping[str, list[str]], services: Iterable[str], homes: Mapping[str, str]
    ) -> None:
        """The fleet file has changed under way."""
        before = {name for names in self.members_by_part.values() for name in names}
        self.members_by_part, self.services, self.sites = parts, list(services), homes
        known = [name for names in parts.values() for name in names]
        for release in self.unfinished():
            plan = release.spec
            of_it = plan.sites or plan.groups or list(parts)
            joined = [name for part in of_it for name in parts.get(part, ()) if name not in before]
            release.update_members(known, dict.fromkeys(joined))

    # ---- the platform ----------------------------------------------------------------------------------

    def receive_inventory(self, listing: Inventory, sent: int) -> None:
        """`sent` is when it was asked for: what it tells may be as old as that."""
        self.inventory, self.instances, self.inventory_at = listing, listing.platform(), sent

    def is_inventory_fresh(self, now: int) -> bool:
        return self.inventory is not None and now - self.inventory_at <= self.inventory_ttl

    def observe_services(self, now: int) -> dict[str, MemberObservation]:
        """The services below; while the platform is not heard they count as out."""
        if self.inventory is None or not self.is_inventory_fresh(now):
            return {
                name: MemberObservation(Incarnation(), 0.0, UnavailabilityReason.SILENT)
                for name in self.services
            }
        return {name: self.inventory.service(name) for name in self.services}

    # ---- a look ----------------------------------------------------------------------------------------

    def unfinished(self) -> list[Rollout]:
        return [one for one in self.rollouts if one.phase in UNFINISHED]

    def step(
        self,
        seen: Mapping[str, MemberObservation],
        reports: Mapping[str, MemberReport],
        lost: Iterable[str],
        now: int,
    ) -> None:
        """What is to be asked of the platform now, as `orders`: what was to be asked before is over."""
        self.orders = []
        gone = list(lost)
        shown = self.samples(reports)
        for release in self.unfinished():
            if self.is_inventory_fresh(now):
                self.orders += release.step(self.instances, seen, shown, gone, now)
                continue
            release.guard(gone)
            release.progress = "the platform is not heard"
            if now - self.inventory_at >= PATIENCE:
                release.halt("the platform was not heard for a minute")

    def samples(self, reports: Mapping[str, MemberReport]) -> dict[str, MemberSample]:
        """What each member has counted since the look before, by its reports' sums."""
        found, later = {}, {}
        for name, report in reports.items():
            before = self.last_reports.get(name, report)
            if before.incarnation != report.incarnation:
                before = report  # of a life that is new here nothing is known to be new
            figures = {}
            for told, (bad, every) in report.figures.items():
                bad_before, every_before = before.figures.get(told, (0, 0))
                figures[told] = (max(0, bad - bad_before), max(0, every - every_before))
            took = {}
            for told, counts in report.took.items():
                counts_before = before.took.get(told) or [0] * len(counts)
                took[told] = [max(0, now - was) for now, was in zip(counts, counts_before, strict=False)]
            later[name] = report
            found[name] = MemberSample(report.warm, figures, report.memory, took)
        self.last_reports = later
        return found

    # ---- words -----------------------------------------------------------------------------------------

    def execute(self, word: RolloutCommand, now: int) -> CommandResult:
        match word.action:
            case "start" if word.spec is not None:
                return self.start(word.spec, word.operator, now)
            case "halt":
                return self.each(word, lambda one: one.halt(f"by {word.operator}: {word.reason}"), "runs")
            case "resume":
                return self.one(word, RolloutPhase.HALTED, self.resume)
            case "back":
                return self.one(word, RolloutPhase.HALTED, self.back)
        return CommandResult(accepted=False, reason=f"nothing is known of {word.action!r}")

    def start(self, plan: RolloutSpec, who: str, now: int) -> CommandResult:
        why = plan.validation_error() or self.refused(plan, now)
        if why:
            return CommandResult(accepted=False, reason=why)
        self.states.last_number += 1
        batches = plan_batches(plan, self.members_by_part)
        release = Rollout(
            RolloutRecord(spec=plan, batches=batches, number=self.states.last_number),
            self.budget,
            self.site_of,
        )
        release.enter(RolloutPhase.RUNNING, f"started by {who}")
        self.rollouts.append(release)
        self.states.records.append(release.record)
        ended = [one for one in self.rollouts if one.phase not in UNFINISHED]
        for old in ended[: max(0, len(ended) - ENDED_MOST)]:
            self.rollouts.remove(old)
            self.states.records.remove(old.record)
        return CommandResult(accepted=True, number=self.states.last_number)

    def refused(self, plan: RolloutSpec, now: int) -> str:
        """What forbids that it begins, found before the first drain."""
        kind = next((name for name in plan.margins if name.partition(":")[0] not in KINDS), None)
        if kind is not None:
            return (
                f"margins: nobody tells of {kind!r}; there are {', '.join(KINDS)}, each also as KIND:PROFILE"
            )
        stranger = find_unknown_part(plan, self.members_by_part)
        if stranger:
            return stranger
        members = [name for batch in plan_batches(plan, self.members_by_part) for name in batch]
        if not members:
            return "nobody would be released"
        if len(self.unfinished()) >= RUNNING_MOST:
            return f"{RUNNING_MOST} releases are not finished"
        for release in self.unfinished():
            shared = sorted(set(members) & set(release.all_members()))
            if shared:
                return f"release {release.record.number} is not finished and has {', '.join(shared[:3])}"
        for name in members:
            groups = self.budget.groups_of.get(name, ())
            if not groups:
                return f"{name} is in no group: nothing says how many may be out"
            shut = next((group.name for group in groups if not group.disruptions_allowed), None)
            if shut is not None:
                return f"{name} can never be out: group {shut} lets nobody"
        if not self.is_inventory_fresh(now):
            return "the platform is not heard"
        for name in members:
            if name not in self.instances:
                return f"the platform does not know {name}"
            version = self.instances[name].version
            if version not in (plan.version, plan.previous_version):
                return f"{name} runs {version}: neither {plan.previous_version} nor {plan.version}"
        return ""

    def resume(self, release: Rollout, who: str) -> str:
        if release.record.version_is_bad:
            return f"{release.spec.version} was found bad: only back is left"
        if release.record.excluded:
            out = ", ".join(release.record.excluded)
            return f"{out} starts in neither version: strike it, or start it by hand"
        return "" if release.resume(who) else "it is not halted"

    def back(self, release: Rollout, who: str) -> str:
        for other in self.unfinished():
            shared = sorted(set(other.all_members()) & set(release.all_members()))
            if other is not release and shared:
                return f"release {other.record.number} is not finished and has {', '.join(shared[:3])}"
        return "" if release.roll_back(who) else "there is nothing to take back"

    def each(self, word: RolloutCommand, act: Callable[[Rollout], bool], state: str) -> CommandResult:
        some = [one for one in self.unfinished() if word.number in (0, one.record.number)]
        done = [one for one in some if act(one)]
        # What was to be asked may not go out any more, not even once.
        self.orders = [
            order for order in self.orders if not any(order.member in one.all_members() for one in done)
        ]
        if done:
            return CommandResult(accepted=True, number=done[0].record.number)
        return CommandResult(
            accepted=False, reason=f"no release {word.number or ''} {state}".replace("  ", " ")
        )

    def one(
        self, word: RolloutCommand, usual: RolloutPhase, act: Callable[[Rollout, str], str]
    ) -> CommandResult:
        if word.number:
            some = [one for one in self.rollouts if one.record.number == word.number]
        else:
            some = [one for one in self.rollouts if one.phase is usual]
        if len(some) != 1:
            numbers = ", ".join(str(one.record.number) for one in some)
            why = f"which of {numbers}?" if some else f"no release {word.number or 'is ' + usual.value}"
            return CommandResult(accepted=False, reason=why)
        why = act(some[0], word.operator)
        return CommandResult(accepted=not why, number=some[0].record.number, reason=why)

    # ---- what is shown ---------------------------------------------------------------------------------

    def report(self, number: int = 0, history: bool = False) -> list[dict[str, object]]:
        """The newest first."""
        return [
            self.tell(one, history) for one in reversed(self.rollouts) if number in (0, one.record.number)
        ]

    def tell(self, release: Rollout, history: bool) -> dict[str, object]:
        course, version = release.record, release.spec.version
        members = release.all_members()
        known = [self.instances[name] for name in members if name in self.instances]
        judged = release.analysis
        return {
            "number": course.number,
            "version": version,
            "before": release.spec.previous_version,
            "phase": course.phase,
            "why": course.reason,
            "bad": course.version_is_bad,
            "batch": min(course.batch_index + 1, len(course.batches)),
            "batches": len(course.batches),
            "members": len(members),
            "released": sum(1 for one in known if one.version == version),
            "doing": release.progress,
            "left_out": list(course.excluded),
            "figures": judged.report() if judged is not None else [],
            "verdict": judged.reason if judged is not None else "",
            **({"history": list(course.history)} if history else {}),
        }
