"""All releases of a fleet, as the leader conducts them: which may begin, whose word does what, what is asked.

Free of I/O and of clocks, as `release.py` is, which decides on each. The platform's listing is looked at only
while it is fresh and of this reign: a new leader orders nothing before it has seen for itself how things are.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Annotated

import msgspec

from .canary_analysis import Shown
from .disruption_budget import DisruptionBudget, MemberObservation, UnavailabilityReason
from .inventory import Inventory
from .messages import Count, Incarnation, MemberReport, Message, Text
from .rollout import (
    PlatformOrder,
    PlatformView,
    Rollout,
    RolloutPhase,
    RolloutRecord,
    RolloutSpec,
    batches_of,
    unknown,
)

UNFINISHED = (RolloutPhase.RUNNING, RolloutPhase.HALTED, RolloutPhase.BACKING)
RUNNING_MOST = 8
ENDED_MOST = 16  # that are kept, for `history` and for a way back
PATIENCE = 600_000  # a minute without the platform halts what runs
KINDS = ("late", "slow", "shed", "written_off", "calls")


class RolloutStates(Message):
    """What the leader has a majority keep of them, the oldest first."""

    number: Count = 0
    courses: list[RolloutRecord] = msgspec.field(default_factory=list)


class RolloutCommand(Message):
    """What a person says of releases; `number` 0 means the only one it can be meant of, or all to halt."""

    what: Annotated[str, msgspec.Meta(pattern="^(start|status|halt|resume|back|history)$")]
    number: Count = 0
    who: Text = ""
    why: Text = ""
    plan: RolloutSpec | None = None


class CommandResult(Message):
    """What came of a word; `why` where nothing did."""

    done: bool
    number: Count = 0
    why: str = ""


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
        self.parts, self.services, self.permits, self.stale = parts, list(services), permits, stale
        self.homes = homes or {}
        self.take(RolloutStates(), 0)

    def take(self, book: RolloutStates, now: int) -> None:
        """A new reign begins with what was kept, and knows nothing else."""
        self.book = book
        self.releases = [Rollout(course, self.permits, self.home) for course in book.courses]
        self.listing: Inventory | None = None
        self.platform: dict[str, PlatformView] = {}
        self.heard_at = now
        self.orders: list[PlatformOrder] = []
        self.counts: dict[str, MemberReport] = {}  # the last that was read of each member

    def home(self, name: str) -> str:
        return self.homes.get(name, "")

    def amend(
        self, parts: Mapping[str, list[str]], services: Iterable[str], homes: Mapping[str, str]
    ) -> None:
        """The fleet file has changed under way."""
        before = {name for names in self.parts.values() for name in names}
        self.parts, self.services, self.homes = parts, list(services), homes
        known = [name for names in parts.values() for name in names]
        for release in self.unfinished():
            plan = release.plan
            of_it = plan.sites or plan.groups or list(parts)
            joined = [name for part in of_it for name in parts.get(part, ()) if name not in before]
            release.amend(known, dict.fromkeys(joined))

    # ---- the platform ----------------------------------------------------------------------------------

    def hear(self, listing: Inventory, sent: int) -> None:
        """`sent` is when it was asked for: what it tells may be as old as that."""
        self.listing, self.platform, self.heard_at = listing, listing.platform(), sent

    def fresh(self, now: int) -> bool:
        return self.listing is not None and now - self.heard_at <= self.stale

    def seen(self, now: int) -> dict[str, MemberObservation]:
        """The services below; while the platform is not heard they count as out."""
        if self.listing is None or not self.fresh(now):
            return {
                name: MemberObservation(Incarnation(), 0.0, UnavailabilityReason.SILENT)
                for name in self.services
            }
        return {name: self.listing.service(name) for name in self.services}

    # ---- a look ----------------------------------------------------------------------------------------

    def unfinished(self) -> list[Rollout]:
        return [one for one in self.releases if one.phase in UNFINISHED]

    def look(
        self,
        seen: Mapping[str, MemberObservation],
        reports: Mapping[str, MemberReport],
        lost: Iterable[str],
        now: int,
    ) -> None:
        """What is to be asked of the platform now, as `orders`: what was to be asked before is over."""
        self.orders = []
        gone = list(lost)
        shown = self.shown(reports)
        for release in self.unfinished():
            if self.fresh(now):
                self.orders += release.look(self.platform, seen, shown, gone, now)
                continue
            release.guard(gone)
            release.doing = "the platform is not heard"
            if now - self.heard_at >= PATIENCE:
                release.halt("the platform was not heard for a minute")

    def shown(self, reports: Mapping[str, MemberReport]) -> dict[str, Shown]:
        """What each member has counted since the look before, by its reports' sums."""
        found, later = {}, {}
        for name, report in reports.items():
            before = self.counts.get(name, report)
            if before.incarnation != report.incarnation:
                before = report  # of a life that is new here nothing is known to be new
            figures = {}
            for told, (bad, every) in report.metrics.items():
                bad_before, every_before = before.metrics.get(told, (0, 0))
                figures[told] = (max(0, bad - bad_before), max(0, every - every_before))
            took = {}
            for told, counts in report.latency_histograms.items():
                counts_before = before.latency_histograms.get(told) or [0] * len(counts)
                took[told] = [max(0, now - was) for now, was in zip(counts, counts_before, strict=False)]
            later[name] = report
            found[name] = Shown(report.is_warm, figures, report.resident_memory_kb, took)
        self.counts = later
        return found

    # ---- words -----------------------------------------------------------------------------------------

    def word(self, word: RolloutCommand, now: int) -> CommandResult:
        match word.what:
            case "start" if word.plan is not None:
                return self.start(word.plan, word.who, now)
            case "halt":
                return self.each(word, lambda one: one.halt(f"by {word.who}: {word.why}"), "runs")
            case "resume":
                return self.one(word, RolloutPhase.HALTED, self.resume)
            case "back":
                return self.one(word, RolloutPhase.HALTED, self.back)
        return CommandResult(done=False, why=f"nothing is known of {word.what!r}")

    def start(self, plan: RolloutSpec, who: str, now: int) -> CommandResult:
        why = plan.trouble() or self.refused(plan, now)
        if why:
            return CommandResult(done=False, why=why)
        self.book.number += 1
        batches = batches_of(plan, self.parts)
        release = Rollout(
            RolloutRecord(plan=plan, batches=batches, number=self.book.number), self.permits, self.home
        )
        release.move(RolloutPhase.RUNNING, f"started by {who}")
        self.releases.append(release)
        self.book.courses.append(release.course)
        ended = [one for one in self.releases if one.phase not in UNFINISHED]
        for old in ended[: max(0, len(ended) - ENDED_MOST)]:
            self.releases.remove(old)
            self.book.courses.remove(old.course)
        return CommandResult(done=True, number=self.book.number)

    def refused(self, plan: RolloutSpec, now: int) -> str:
        """What forbids that it begins, found before the first drain."""
        kind = next((name for name in plan.margins if name.partition(":")[0] not in KINDS), None)
        if kind is not None:
            return (
                f"margins: nobody tells of {kind!r}; there are {', '.join(KINDS)}, each also as KIND:PROFILE"
            )
        stranger = unknown(plan, self.parts)
        if stranger:
            return stranger
        members = [name for batch in batches_of(plan, self.parts) for name in batch]
        if not members:
            return "nobody would be released"
        if len(self.unfinished()) >= RUNNING_MOST:
            return f"{RUNNING_MOST} releases are not finished"
        for release in self.unfinished():
            shared = sorted(set(members) & set(release.all_members()))
            if shared:
                return f"release {release.course.number} is not finished and has {', '.join(shared[:3])}"
        for name in members:
            groups = self.permits.groups_of.get(name, ())
            if not groups:
                return f"{name} is in no group: nothing says how many may be out"
            shut = next((group.name for group in groups if not group.allowed), None)
            if shut is not None:
                return f"{name} can never be out: group {shut} lets nobody"
        if not self.fresh(now):
            return "the platform is not heard"
        for name in members:
            if name not in self.platform:
                return f"the platform does not know {name}"
            version = self.platform[name].version
            if version not in (plan.version, plan.before):
                return f"{name} runs {version}: neither {plan.before} nor {plan.version}"
        return ""

    def resume(self, release: Rollout, who: str) -> str:
        if release.course.bad:
            return f"{release.plan.version} was found bad: only back is left"
        if release.course.left_out:
            out = ", ".join(release.course.left_out)
            return f"{out} starts in neither version: strike it, or start it by hand"
        return "" if release.resume(who) else "it is not halted"

    def back(self, release: Rollout, who: str) -> str:
        for other in self.unfinished():
            shared = sorted(set(other.all_members()) & set(release.all_members()))
            if other is not release and shared:
                return f"release {other.course.number} is not finished and has {', '.join(shared[:3])}"
        return "" if release.back(who) else "there is nothing to take back"

    def each(self, word: RolloutCommand, act: Callable[[Rollout], bool], state: str) -> CommandResult:
        some = [one for one in self.unfinished() if word.number in (0, one.course.number)]
        done = [one for one in some if act(one)]
        # What was to be asked may not go out any more, not even once.
        self.orders = [
            order for order in self.orders if not any(order.member in one.all_members() for one in done)
        ]
        if done:
            return CommandResult(done=True, number=done[0].course.number)
        return CommandResult(done=False, why=f"no release {word.number or ''} {state}".replace("  ", " "))

    def one(
        self, word: RolloutCommand, usual: RolloutPhase, act: Callable[[Rollout, str], str]
    ) -> CommandResult:
        if word.number:
            some = [one for one in self.releases if one.course.number == word.number]
        else:
            some = [one for one in self.releases if one.phase is usual]
        if len(some) != 1:
            numbers = ", ".join(str(one.course.number) for one in some)
            why = f"which of {numbers}?" if some else f"no release {word.number or 'is ' + usual.value}"
            return CommandResult(done=False, why=why)
        why = act(some[0], word.who)
        return CommandResult(done=not why, number=some[0].course.number, why=why)

    # ---- what is shown ---------------------------------------------------------------------------------

    def told(self, number: int = 0, history: bool = False) -> list[dict[str, object]]:
        """The newest first."""
        return [
            self.tell(one, history) for one in reversed(self.releases) if number in (0, one.course.number)
        ]

    def tell(self, release: Rollout, history: bool) -> dict[str, object]:
        course, version = release.course, release.plan.version
        members = release.all_members()
        known = [self.platform[name] for name in members if name in self.platform]
        judged = release.judgement
        return {
            "number": course.number,
            "version": version,
            "before": release.plan.before,
            "phase": course.phase,
            "why": course.why,
            "bad": course.bad,
            "batch": min(course.at + 1, len(course.batches)),
            "batches": len(course.batches),
            "members": len(members),
            "released": sum(1 for one in known if one.version == version),
            "doing": release.doing,
            "left_out": list(course.left_out),
            "figures": judged.told() if judged is not None else [],
            "verdict": judged.why if judged is not None else "",
            **({"history": list(course.history)} if history else {}),
        }
