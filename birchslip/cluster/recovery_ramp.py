"""How a site comes back: in steps, paced by what its members show, taken back where a step hurts.

    home -> lost -> waiting -> step 1 .. step n -> home
               ^_______________________|   it is lost again: the next wait is twice as long

A step is held until the members have shown, report after report, that they carry it: warm enough for it, at a
usual pace, hardly shedding. A clock alone never moves one on; it only bounds the waits from below.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .messages import MemberReport

STEPS = (0.5, 0.75, 1.0)  # of the cores of each member
SHOWN = 2  # good looks in a row before the next step
HURT = 2  # bad ones in a row before a step is taken back
PACE_GOOD, PACE_BAD = 1.6, 2.5  # against the usual
SHED_BAD = (
    0.5  # of what was asked at a step; routers ask for all of it from the first, so it is no small part
)
LEANT = 0.4  # of what a step could do, asked for, before it counts as carried
IDLE = 8  # times a step's hold after which it goes on all the same: there is no load to carry
DWELL = 3_000  # a step is held for at least 300 ms: a report and a half, and what they show
WAIT_FIRST, WAIT_MOST = 5_000, 600_000  # one that flaps waits half a second at first, a minute at most
FORGIVEN = 6_000_000  # ten minutes at home, and earlier losses count no more


class RecoveryStage(Enum):
    HOME = "home"
    LOST = "lost"
    WAITING = "waiting"
    STEP = "step"


@dataclass(slots=True)
class RecoveryRamp:
    """One site. `by_hand` says that an operator has evacuated it: only an operator lets it back in."""

    site: str
    stage: RecoveryStage = RecoveryStage.HOME
    step: int = 0
    since: int = 0
    flaps: int = 0
    good: int = 0
    bad: int = 0
    hold: int = DWELL  # how long this step is held at least
    by_hand: bool = False
    why: str = ""

    @property
    def level(self) -> float:
        if self.stage is RecoveryStage.HOME:
            return 1.0
        return STEPS[self.step] if self.stage is RecoveryStage.STEP else 0.0

    def lost(self, now: int, why: str, by_hand: bool = False) -> bool:
        """Whether that is news. One that is lost again while it comes back waits longer the next time."""
        self.by_hand = self.by_hand or by_hand
        if self.stage is RecoveryStage.LOST:
            return False
        if self.stage is RecoveryStage.HOME and now - self.since >= FORGIVEN:
            self.flaps = 0
        self.flaps += 1
        self.enter(RecoveryStage.LOST, now, why)
        return True

    def enter(self, stage: RecoveryStage, now: int, why: str) -> None:
        self.stage, self.since, self.why = stage, now, why
        self.good = self.bad = 0

    def wait(self) -> int:
        return 0 if self.flaps < 2 else min(WAIT_MOST, WAIT_FIRST << min(16, self.flaps - 2))

    def look(self, shown: list[MemberReport], expected: int, usual: float, now: int) -> str:
        """One look at what the site's members have reported; a word on what was changed, or none.

        `expected` is how many there should be, `usual` the site's own load, in transactions a second.
        """
        if self.stage is RecoveryStage.HOME:
            return ""
        if self.stage is RecoveryStage.LOST:
            if self.by_hand or 2 * len(shown) < expected or not shown:
                return ""
            self.enter(RecoveryStage.WAITING, now, "its members are heard again")
            if self.wait():
                return self.why
        if self.stage is RecoveryStage.WAITING:
            if now - self.since < self.wait() or not shown:
                return ""
            self.step, self.hold = 0, DWELL
            self.enter(RecoveryStage.STEP, now, f"waited {self.wait() // 10} ms, flap {self.flaps}")
            return self.why
        return self.judge_step(shown, usual, now)

    def judge_step(self, shown: list[MemberReport], usual: float, now: int) -> str:
        pace = max((one.slowdown for one in shown), default=0.0)
        asked = sum(one.served + one.rejected for one in shown)
        refused = sum(one.rejected for one in shown) / asked if asked else 0.0
        if not shown or pace >= PACE_BAD:
            self.good, self.bad = 0, self.bad + 1
        elif pace <= PACE_GOOD and (refused < SHED_BAD or self.bounded(shown)):
            self.good, self.bad = self.good + 1, 0
        if self.bad >= HURT and self.step:
            self.step -= 1
            self.hold = min(WAIT_MOST, 2 * self.hold)
            self.enter(RecoveryStage.STEP, now, f"the step hurt: pace {pace:.1f}, back to {self.level:.2f}")
            return self.why
        # A step that nobody has leant on yet has shown nothing: routers learn late who is listed.
        leant = asked >= LEANT * self.level * usual
        if self.good < SHOWN or now - self.since < self.hold:
            return ""
        if not leant and now - self.since < IDLE * self.hold:
            return ""
        if self.step + 1 < len(STEPS):
            self.step += 1
            self.enter(RecoveryStage.STEP, now, f"carried the step: pace {pace:.1f}, shed {refused:.2f}")
            return self.why
        if all(one.is_warm for one in shown):
            self.enter(RecoveryStage.HOME, now, "carries all of its load")
            return self.why
        return ""

    def bounded(self, shown: list[MemberReport]) -> bool:
        """Whether its sheds come of the level alone: it runs as much as the step lets it, at a usual pace."""
        room = sum(one.capacity for one in shown)
        return sum(one.served for one in shown) >= 0.5 * self.level * room

    def let_back(self, now: int) -> bool:
        """By hand."""
        if self.stage is not RecoveryStage.LOST or not self.by_hand:
            return False
        self.by_hand = False
        self.enter(RecoveryStage.WAITING, now, "let back by hand")
        return True
