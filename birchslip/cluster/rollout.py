"""A release, decided step by step: who goes out next, what the platform is asked, when it halts, the way
back.

Any planner can carry it on. What is kept (`RolloutRecord`) says what is wanted; what *is* comes anew each
time from the platform and from the members' reports, so that a conductor that dies leaves nothing half
known. An order has the number of the permit that it rests on: the platform passes over one that it has carried out
before, so nothing is drained twice, whoever asks and however often.

    running --bad, unclear at its end, a lost site, a word--> halted --resume--> running
    running --all batches good--> done          halted --back--> backing --all in the old version--> back

A member on its way:

    in (old) -> permitted -> draining -> stopped -> started -> warm (new) -> watched with its batch

A halt takes hold at once: no drain begins any more. What is stopped already is started again: in the new
version, or in the old one where the new one was found bad. One that starts in neither is left out and
named, and all halts.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Annotated

import msgspec

from .canary_analysis import (
    ACROSS,
    BY_LOAD,
    CanaryAnalysis,
    CanaryVerdict,
    Evidence,
    Shown,
)
from .disruption_budget import DisruptionBudget, EvictionWaiter, MemberObservation, Permit
from .messages import Count, Fraction, Message, Name, Span, Text

STARTS_MOST = 2  # in one version before another is tried
KEPT_EVERY = 10_000  # what a watch has come to is kept every second
ORDERS_DIE = 50_000  # five seconds: an order that was not carried out by then never will be
HISTORY_MOST = 256

Version = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]


class RolloutPhase(Enum):
    RUNNING = "running"
    HALTED = "halted"
    BACKING = "backing"
    DONE = "done"
    BACK = "back"


class InstanceStatus(Enum):
    """What the platform says that a member's process is."""

    UP = "up"
    DRAINING = "draining"
    STOPPED = "stopped"
    FAILED = "failed"  # its last start did not come up


class RolloutSpec(Message):
    """A release file. The first batch are the canaries; `sites` in the order in which they are released."""

    version: Version
    before: Version
    sites: list[Name] = msgspec.field(default_factory=list)  # all of the fleet file where there are none
    groups: list[Name] = msgspec.field(default_factory=list)  # the same by groups of the fleet file
    canaries: Annotated[int, msgspec.Meta(ge=1, le=100)] = 1
    batch: Annotated[int, msgspec.Meta(ge=1, le=1_000)] = 2
    watch_ms: Annotated[int, msgspec.Meta(ge=1, le=86_400_000)] = 10_000
    watch_most_ms: Annotated[int, msgspec.Meta(ge=1, le=86_400_000)] = 120_000
    margins: dict[Name, Fraction] = msgspec.field(
        default_factory=lambda: {"late": 0.05, "slow": 0.15, "shed": 0.05, "written_off": 0.02}
    )
    crashes: Annotated[int, msgspec.Meta(ge=0, le=100)] = 0
    memory: Annotated[float, msgspec.Meta(ge=0, le=100)] = 2.0  # times the others' that is too much; 0: any
    stall_ms: Annotated[int, msgspec.Meta(ge=1, le=86_400_000)] = 600_000  # without a step: a halt

    def trouble(self) -> str:
        """What the forms of the fields can't tell."""
        if self.version == self.before:
            return f"version: {self.version!r} is the one before too"
        if self.watch_most_ms < self.watch_ms:
            return f"watch_most_ms: {self.watch_most_ms} is under watch_ms, {self.watch_ms}"
        if self.sites and self.groups:
            return "groups: sites are named too, and one of the two says who is released"
        for place, names in (("sites", self.sites), ("groups", self.groups)):
            if len(set(names)) < len(names):
                return f"{place}: one stands there twice"
        if not self.margins:
            return "margins: nothing would be judged"
        return ""


class RolloutRecord(Message):
    """What the leader has a majority keep of one release."""

    plan: RolloutSpec
    batches: list[list[Name]]
    number: Count = 0  # of this release
    age: Span = 0  # since its start, as of the last line of its history
    at: Count = 0  # the batch that is on its way
    phase: Name = RolloutPhase.RUNNING.value
    why: Text = ""
    bad: bool = False  # whether the new version was found bad
    left_out: list[Name] = msgspec.field(default_factory=list)
    history: list[Text] = msgspec.field(default_factory=list)
    evidence: Evidence | None = None  # of the watch of this batch, as of a second ago at most


@dataclass(frozen=True, slots=True)
class PlatformView:
    """One member as the platform tells of it. `starts` counts those in `version` that did not come up,
    `ends` how often it has ended by itself in it.
    """

    state: InstanceStatus
    version: str
    starts: int = 0
    ends: int = 0


@dataclass(frozen=True, slots=True)
class PlatformOrder:
    """What the platform is asked: `drain` stops it in its own time, `start` starts it in a version."""

    what: str
    member: str
    version: str
    number: int


def unknown(plan: RolloutSpec, parts: Mapping[str, list[str]]) -> str:
    """What the plan names that is neither a site nor a group of the fleet; nothing where all are."""
    for part in plan.sites or plan.groups:
        if part not in parts:
            return f"{part!r} is no site and no group; there are {', '.join(parts)}"
    return ""


def batches_of(plan: RolloutSpec, parts: Mapping[str, list[str]]) -> list[list[str]]:
    """Canaries of the first part first; then batches part by part, none across two; each member once."""
    names = plan.sites or plan.groups or list(parts)
    made = [list(parts[names[0]][: plan.canaries])]
    taken = set(made[0])
    for part in names:
        rest = [name for name in parts[part] if name not in taken]
        taken.update(rest)
        made += [rest[at : at + plan.batch] for at in range(0, len(rest), plan.batch)]
    return made


class Rollout:
    """The conductor's decisions on one course. `permits` are the fleet's."""

    def __init__(
        self,
        course: RolloutRecord,
        permits: DisruptionBudget,
        site_of: Callable[[str], str] = lambda name: "",
    ) -> None:
        self.course, self.permits, self.site_of = course, permits, site_of
        self.judgement: CanaryAnalysis | None = None
        self.doing = ""  # what it waits for just now, for operators
        self.stood: object = None  # how things stood when they last moved
        self.since = -1  # that moment
        self.moved_at = -1  # the first look in this phase
        self.passed = 0  # since the last line of the history
        self.looked_at = -1
        self.kept_at = 0  # when the evidence of the watch was last kept

    @property
    def plan(self) -> RolloutSpec:
        return self.course.plan

    @property
    def phase(self) -> RolloutPhase:
        return RolloutPhase(self.course.phase)

    # ---- words -----------------------------------------------------------------------------------------

    @property
    def why_out(self) -> str:
        """What its permits say: another's permit for the same member is none of this release's."""
        return f"release {self.course.number} of {self.plan.version}"

    def mine(self, name: str) -> Permit | None:
        permit = self.permits.holder(name)
        return permit if permit is not None and permit.why == self.why_out else None

    def note(self, line: str) -> None:
        self.course.age += self.passed
        self.passed = 0
        self.course.history.append(f"{self.course.age / 10_000:.1f} s: {line}"[:400])
        del self.course.history[:-HISTORY_MOST]

    def move(self, phase: RolloutPhase, why: str) -> None:
        self.course.phase, self.course.why = phase.value, why[:400]
        self.note(f"{phase.value}: {why}")
        self.since = self.moved_at = -1
        self.course.evidence = None
        if phase is not RolloutPhase.RUNNING:
            self.judgement = None
            # Who asked for it and has no permit yet asks no longer; a later phase asks anew.
            for asker in [one for one in self.permits.book.waiting if one.why == self.why_out]:
                self.permits.take_back(asker.holder)

    def halt(self, why: str) -> bool:
        """At once, and whatever comes after: only a person goes on from here."""
        if self.phase not in (RolloutPhase.RUNNING, RolloutPhase.BACKING):
            return False
        self.move(RolloutPhase.HALTED, why)
        return True

    def resume(self, who: str) -> bool:
        if self.phase is not RolloutPhase.HALTED or self.course.bad or self.course.left_out:
            return False
        self.move(RolloutPhase.RUNNING, f"resumed by {who}")
        return True

    def back(self, who: str) -> bool:
        if self.phase not in (RolloutPhase.HALTED, RolloutPhase.RUNNING, RolloutPhase.DONE):
            return False
        self.course.bad = True
        self.move(RolloutPhase.BACKING, f"back by {who}")
        return True

    # ---- a look ----------------------------------------------------------------------------------------

    def look(
        self,
        platform: Mapping[str, PlatformView],
        seen: Mapping[str, MemberObservation],
        shown: Mapping[str, Shown],
        lost: Iterable[str],
        now: int,
    ) -> list[PlatformOrder]:
        """What is to be asked of the platform now; `lost` are sites that are out."""
        self.passed += now - self.looked_at if self.looked_at >= 0 else 0
        self.looked_at, self.doing = now, ""
        if self.moved_at < 0:
            self.moved_at = now
        self.guard(lost)
        self.look_at_left_out(platform)
        if self.phase is RolloutPhase.RUNNING:
            self.judge(platform, shown, now)
        orders = self.rescue(platform)
        if self.phase is RolloutPhase.RUNNING:
            orders += self.forward(platform, seen, now)
        elif self.phase is RolloutPhase.BACKING:
            orders += self.backward(platform, seen)
        if self.phase in (RolloutPhase.HALTED, RolloutPhase.BACKING):
            self.hand_back(platform, seen, now)
        self.stall(platform, seen, now)
        return orders

    def guard(self, lost: Iterable[str]) -> None:
        """The loss of a site halts a release, and its return resumes none."""
        gone = sorted(lost)
        if gone and self.phase is RolloutPhase.RUNNING:
            self.halt(f"site lost: {', '.join(gone)}; a person resumes")

    def hand_back(
        self, platform: Mapping[str, PlatformView], seen: Mapping[str, MemberObservation], now: int
    ) -> None:
        """Permits that a halt has left unused, once no order to drain can be on its way any more."""
        if now - self.moved_at < ORDERS_DIE:
            return
        for name in self.all_members():
            one, permit, shown = platform.get(name), self.mine(name), seen.get(name)
            if permit is None or one is None or shown is None or one.state is not InstanceStatus.UP:
                continue
            of_use = self.phase is RolloutPhase.BACKING and one.version != self.plan.before
            if permit.incarnation == shown.incarnation and not of_use:
                self.permits.hand_back(name, permit.incarnation, seen)

    def stall(
        self, platform: Mapping[str, PlatformView], seen: Mapping[str, MemberObservation], now: int
    ) -> None:
        """Guards against whatever never comes: a permit, an end, a start, a warm one. A person looks."""
        if self.phase not in (RolloutPhase.RUNNING, RolloutPhase.BACKING):
            return
        stands = [
            (name, one.state, one.version, name in seen and seen[name].out, self.mine(name) is None)
            for name in self.all_members()
            if (one := platform.get(name)) is not None
        ]
        if self.since < 0 or stands != self.stood or self.judgement is not None:
            self.since, self.stood = now, stands
        elif now - self.since >= self.plan.stall_ms * 10:
            self.halt(f"no step for {self.plan.stall_ms / 1000:g} s: {self.doing}")

    def amend(self, known: Iterable[str], joined: Iterable[str]) -> None:
        """The fleet file has changed: who has left is passed over, who has joined comes last."""
        names, taken = set(known), set(self.all_members())
        gone = sorted(taken - names)
        for batch in self.course.batches:
            batch[:] = [name for name in batch if name in names]
        self.course.left_out[:] = [name for name in self.course.left_out if name in names]
        more = [name for name in joined if name not in taken]
        if more and self.phase not in (RolloutPhase.DONE, RolloutPhase.BACK):
            self.course.batches.append(more)
        if gone or more:
            left, came = ", ".join(gone) or "nobody", ", ".join(more) or "nobody"
            self.note(f"the fleet has changed: left {left}; joined {came}")

    def look_at_left_out(self, platform: Mapping[str, PlatformView]) -> None:
        """One whose permit is over was struck, or started by hand and seen back: it holds nothing up."""
        for name in [name for name in self.course.left_out if self.mine(name) is None]:
            self.course.left_out.remove(name)
            one = platform.get(name)
            if one is None or one.state is not InstanceStatus.UP:
                for batch in self.course.batches:
                    batch[:] = [other for other in batch if other != name]
            self.note(f"{name} is left out no more")

    def all_members(self) -> list[str]:
        return [name for batch in self.course.batches for name in batch]

    def target(self, name: str) -> str:
        """The version that this one is to be started in, if it is down: a bad one never again."""
        return self.plan.before if self.course.bad else self.plan.version

    def rescue(self, platform: Mapping[str, PlatformView]) -> list[PlatformOrder]:
        """Whoever is down on this release's account is started again, whatever the phase: a halt leaves
        none out.
        """
        orders = []
        for name in self.all_members():
            is_now, permit = platform.get(name), self.mine(name)
            if is_now is None or permit is None or name in self.course.left_out:
                continue
            if is_now.state is InstanceStatus.STOPPED:
                orders.append(PlatformOrder("start", name, self.target(name), permit.number))
            elif is_now.state is InstanceStatus.FAILED:
                orders += self.failed(name, is_now, permit.number)
        return orders

    def failed(self, name: str, is_now: PlatformView, number: int) -> list[PlatformOrder]:
        """It did not come up: once more, then in the other version, and then it is left out and all halts."""
        if is_now.starts < STARTS_MOST:
            return [PlatformOrder("start", name, is_now.version, number)]
        if is_now.version == self.plan.version:
            if not self.course.bad:
                self.course.bad = True
                self.halt(f"{name} does not start in {self.plan.version}")
            return [PlatformOrder("start", name, self.plan.before, number)]
        self.course.left_out.append(name)
        self.halt(f"{name} starts in neither version: left out")
        return []

    # ---- forward ---------------------------------------------------------------------------------------

    def batch(self) -> list[str]:
        at = self.course.at
        return self.course.batches[at] if at < len(self.course.batches) else []

    def released(self, platform: Mapping[str, PlatformView]) -> list[str]:
        return [
            name
            for name in self.all_members()
            if (one := platform.get(name)) is not None
            and one.state is InstanceStatus.UP
            and one.version == self.plan.version
        ]

    def forward(
        self, platform: Mapping[str, PlatformView], seen: Mapping[str, MemberObservation], now: int
    ) -> list[PlatformOrder]:
        batch = [name for name in self.batch() if name not in self.course.left_out]
        waiting = [name for name in batch if not self.is_there(name, self.plan.version, platform, seen)]
        if waiting:
            return self.send_out(waiting, self.plan.version, platform, seen)
        if self.judgement is None:
            watch, most = self.plan.watch_ms * 10, self.plan.watch_most_ms * 10
            sites = {self.site_of(name) for name in batch}
            beside = [
                name
                for name, one in platform.items()
                if one.version == self.plan.before and self.site_of(name) in sites
            ]
            margins = dict(self.plan.margins)
            if not beside:
                margins = {
                    name: min(1.0, margin * ACROSS)
                    for name, margin in margins.items()
                    if name.partition(":")[0] not in BY_LOAD
                }
            self.judgement = CanaryAnalysis(margins, watch, most, now, self.plan.memory)
            kept = self.course.evidence
            if kept is not None and kept.batch == self.course.at:
                self.judgement.go_on(kept, now)
            self.kept_at = now
        self.doing = f"batch {self.course.at + 1} of {len(self.course.batches)} is watched"
        return []

    def is_there(
        self,
        name: str,
        version: str,
        platform: Mapping[str, PlatformView],
        seen: Mapping[str, MemberObservation],
    ) -> bool:
        """Up in that version, warm, and its permit over."""
        one, shown = platform.get(name), seen.get(name)
        up = one is not None and one.state is InstanceStatus.UP and one.version == version
        return up and shown is not None and shown.out is None and self.permits.holder(name) is None

    def send_out(
        self,
        names: list[str],
        version: str,
        platform: Mapping[str, PlatformView],
        seen: Mapping[str, MemberObservation],
    ) -> list[PlatformOrder]:
        """Permits for those that are not out yet, and a drain for each that has one and is still up in the
        other version. It is told whose life the permit is of: a later one is none of this order's.
        """
        orders = []
        words = []
        for name in names:
            one, shown = platform.get(name), seen.get(name)
            if one is None or shown is None:
                words.append(f"{name} is not known to the {'platform' if one is None else 'planners'}")
                continue
            if one.state is not InstanceStatus.UP or one.version == version:
                out = f", {shown.out.value}" if shown.out is not None else ""
                words.append(f"{name} {one.state.value} in {one.version}{out}")
                continue
            asker = EvictionWaiter(holder=name, incarnation=shown.incarnation, why=self.why_out)
            answer = self.permits.ask(asker, seen)
            permit = answer.permit
            if permit is None:
                place = f" at place {answer.place}" if answer.place else ""
                words.append(f"{name} waits{place}: {answer.why}")
            elif permit.why != self.why_out:
                words.append(f"{name} waits: permit {permit.number} is another's: {permit.why}")
            elif permit.incarnation == shown.incarnation:
                words.append(f"{name} is to drain by permit {permit.number}")
                orders.append(PlatformOrder("drain", name, version, permit.number))
        self.doing = "; ".join(words)[:400]
        return orders

    def judge(self, platform: Mapping[str, PlatformView], shown: Mapping[str, Shown], now: int) -> None:
        """The batch under watch, against those that are still in the old version."""
        # Told by the platform and not noted here: a crash that only a dead conductor saw would be forgotten.
        members = [platform[name] for name in self.all_members() if name in platform]
        crashes = sum(one.ends for one in members if one.version == self.plan.version)
        if crashes > self.plan.crashes:
            self.course.bad = True
            self.halt(f"bad: released members ended by themselves, {crashes} times")
            return
        if self.judgement is None:
            return
        new = set(self.released(platform))
        old = {
            name
            for name in shown
            if name not in new and name in platform and platform[name].version == self.plan.before
        }
        # Sites differ by their load: members are compared with those beside them, as long as there are any.
        both = {self.site_of(name) for name in new} & {self.site_of(name) for name in old}
        across = not both
        released = [shown[name] for name in shown if name in new and (across or self.site_of(name) in both)]
        others = [shown[name] for name in old if across or self.site_of(name) in both]
        verdict = self.judgement.look(released, others, now, [shown[name] for name in old])
        if verdict is CanaryVerdict.BAD:
            self.course.bad = True
            self.halt(f"bad: {self.judgement.why}")
        elif verdict is CanaryVerdict.GOOD:
            self.next_batch(f"good: {self.judgement.why}")
        elif not others and self.judgement.watched(now):
            self.next_batch("nobody is left to compare with")
        elif self.judgement.over(now):
            self.halt(f"unclear at the end of its watch: {self.judgement.why}")
        elif now - self.kept_at >= KEPT_EVERY:
            self.kept_at = now
            self.course.evidence = self.judgement.evidence(self.course.at, now)

    def next_batch(self, why: str) -> None:
        self.judgement = self.course.evidence = None
        self.course.at += 1
        self.note(f"batch {self.course.at}: {why}")
        if self.course.at >= len(self.course.batches):
            self.move(RolloutPhase.DONE, "every batch is released")

    # ---- the way back ----------------------------------------------------------------------------------

    def backward(
        self, platform: Mapping[str, PlatformView], seen: Mapping[str, MemberObservation]
    ) -> list[PlatformOrder]:
        """Newest batch first, through the same permits."""
        for batch in reversed(self.course.batches[: self.course.at + 1]):
            left = [
                name
                for name in batch
                if name not in self.course.left_out
                and not self.is_there(name, self.plan.before, platform, seen)
            ]
            if left:
                return self.send_out(left, self.plan.before, platform, seen)
        self.move(RolloutPhase.BACK, "every member is in the version before")
        return []
