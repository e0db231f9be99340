"""`lab play site-loss`: the loss of a site and its return, among real processes, with the truth kept
outside.
"""

from __future__ import annotations

import shutil
import tempfile
from collections import Counter
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from .cores import READING
from .faults import Step, schedule
from .truth import SECOND
from .world import COLD_FROM, COLD_SPAN, CORES, WINDOW, World
from .world import Told as Common

MINUTE = "planners-gone-minute"  # whose loss lasts longer than the schedule's own span
COSTS = ("member_cpu_s", "member_memory_kb")


@dataclass(frozen=True)
class Told(Common):
    """`pace` stretches the parts of the schedule."""

    pace: float = 1.0

    @property
    def lost(self) -> int:
        """How long the first site is out."""
        return int(8 * self.pace * SECOND)


def spans_of(told: Told, steps: list[Step]) -> dict[str, tuple[int, int]]:
    """The parts of a play that figures are told of, from the first transaction on."""
    before, back, after = (int(span * told.pace * SECOND) for span in (6, 12, 4))
    lost, last = told.lost, max((step.at for step in steps), default=0)
    return {
        "before": (before // 2, before),
        "during": (before + 15_000, before + max(lost, last if told.fault == MINUTE else 30_000)),
        "back": (before + max(lost, last), before + max(lost, last) + back),
        "after": (before + max(lost, last) + back, before + max(lost, last) + back + after),
    }


class Play(World):
    """One run of a schedule, with planners or without."""

    def __init__(self, told: Told, folder: Path) -> None:
        super().__init__(told, folder)
        self.told = told
        self.watch: list[Step] = []
        self.spells: dict[str, list[tuple[int, float]]] = {}  # site: since when, how slow
        self.returns: list[int] = []
        self.losses: list[int] = []
        self.costs: dict[str, tuple[float, int]] = {}

    # ---- the play --------------------------------------------------------------------------------------

    def run(self) -> None:
        told = self.told
        steps = schedule(told.fault, told.seed, self.sites, self.names, told.lost)
        self.spans = spans_of(told, steps)
        self.until = self.spans["after"][1]
        self.play(lambda: self.direct(steps))

    def direct(self, steps: list[Step]) -> None:
        scheduler = self.scheduler
        self.begin()
        zero = self.began + self.spans["before"][1]
        self.sample()
        for step in steps:
            scheduler.sleep(max(scheduler.now, zero + step.at))
            self.carry_out(step)
        scheduler.sleep(self.began + self.until)
        self.costs = {name: one.usage() for name, one in self.members.items()}
        self.end()

    def sample(self) -> None:
        """A step that waits for a site's own step on its way back is due once the log tells of it."""
        self.scheduler.at(self.scheduler.now + 1_000, self.sample)
        for step in list(self.watch):
            lines = [line for one in self.planners.values() for _, line in one.lines("stage=step")]
            # Without planners there are no steps: it dies about when it would have reached the second one.
            alone = not self.planners and self.returns and self.scheduler.now >= self.returns[-1] + 2 * SECOND
            if alone or (self.planners and len(lines) >= step.more):
                self.watch.remove(step)
                self.down(step.whom, "kill")
                again = self.scheduler.now + 2 * SECOND
                self.scheduler.at(again, lambda site=step.whom: self.up(site))  # type: ignore[misc]

    def carry_out(self, step: Step) -> None:
        match step.what:
            case "kill" | "pause":
                self.down(step.whom, step.what)
            case "start" | "resume":
                self.up(step.whom)
            case "on-step":
                self.watch.append(step)
            case "surge":
                for router in self.routers:
                    router.surge[step.whom] = step.more
            case "heed":
                for router in self.routers:
                    router.heed = step.more
            case "slow":
                for server in self.servers:
                    if server.site == step.whom:
                        self.agents[server.name].cores.slow = step.more
                self.spells.setdefault(step.whom, []).append((self.scheduler.now, step.more))
            case "cut" | "deaf" | "silent" | "heal":
                mode = "mute" if step.what == "heal" else step.what
                for (who, _), wire in self.wires.items():
                    if who.startswith(f"{step.whom}-"):
                        wire.turn("pass" if step.what == "heal" else mode)
            case "late":
                for wire in self.wires.values():
                    wire.turn("late", int(step.more))
            case "shake":
                for place, wire in enumerate(self.wires.values()):
                    if (place + step.at) % 3 == 0:
                        wire.shake()
            case "split":
                self.turn_planners("cut", self.leader() if self.planners else "")
            case "heal-planners":
                for (who, _), wire in self.wires.items():
                    if who in self.planners:
                        wire.turn("pass")
            case planners:
                self.to_planners(planners, step.whom)

    def down(self, site: str, how: str) -> None:
        now = self.scheduler.now
        if site == self.sites[0]:
            self.losses.append(now)
        self.out.add(site)
        self.truth.dark.setdefault(site, []).append((now, 1 << 60))
        for server in self.servers:
            if server.site != site:
                continue
            server.up = False
            self.excuse(server)
            agent = self.agents[server.name]
            if how == "kill":
                self.members[server.name].kill()
                agent.start(cold=True)
                agent.pause()
            else:
                self.members[server.name].pause()
                agent.pause()

    def up(self, site: str) -> None:
        now = self.scheduler.now
        if site == self.sites[0]:
            self.returns.append(now)
        self.out.discard(site)
        spans = self.truth.dark[site]
        spans[-1] = (spans[-1][0], now)
        for server in self.servers:
            if server.site != site:
                continue
            agent, member = self.agents[server.name], self.members[server.name]
            if member.paused:
                self.excuse(server)
                member.resume()
                agent.resume()
            else:
                server.life += 1
                agent.start(cold=True)
                member.start()
            server.up = True

    # ---- what is told of it ----------------------------------------------------------------------------

    def ideal(self, span: tuple[int, int]) -> float:
        """What capacity was left for, of the payoff asked: cores that were up, each as fast as it then
        was.
        """
        done, asked = 0.0, 0.0
        step = SECOND // 2  # a wait of half a second is still in time
        deeds = sorted(self.truth.of(span), key=lambda deed: deed.born)
        place = 0
        for at in range(span[0], span[1], step):
            room = 0.0
            for server in self.servers:
                if any(since <= at < until for since, until in self.truth.dark.get(server.site, ())):
                    continue
                room += CORES * step * self.speed_then(server.site, at)
            work = reading = 0.0
            while place < len(deeds) and deeds[place].born < at + step:
                work += deeds[place].work
                reading += READING  # once each: more tries than that are what a plan may spare
                place += 1
            asked += work
            done += min(work, room * work / (work + reading)) if work else 0.0
        return done / asked if asked else 1.0

    def speed_then(self, site: str, at: int) -> float:
        spells = [slow for since, slow in self.spells.get(site, ()) if since <= at]
        return self.warmth_then(site, at) / (spells[-1] if spells else 1.0)

    def warmth_then(self, site: str, at: int) -> float:
        if (
            site == self.sites[0]
            and self.returns
            and self.told.fault not in ("pause", "cut-heals", "half-open")
        ):
            began = max((one for one in self.returns if one <= at), default=0)
            if began:
                return COLD_FROM + (1 - COLD_FROM) * min(1.0, (at - began) / COLD_SPAN)
        return 1.0

    def outcome(self) -> dict[str, Any]:
        now = self.scheduler.now
        truth = self.truth
        told: dict[str, Any] = {
            "rules": truth.rules(now, WINDOW),
            "service": {
                name: round(truth.service(self.span(name)), 4) for name in ("before", "during", "back")
            },
            "ideal": {name: round(self.ideal(self.span(name)), 4) for name in ("before", "during", "back")},
            "attempts_each": {
                name: round(truth.attempts(self.span(name)), 3) for name in ("before", "during", "after")
            },
            "after": round(truth.service(self.span("after")), 4),
            "refused": dict(truth.sheds),
            "broken_links": dict(Counter(truth.broken)),
            "dead": self.dead(),
            "trouble": self.faults[:5],
            "transactions": len(truth.deeds),
            "calls_most": truth.calls_most,
            **self.of_members(),
            "series": self.series(),
        }
        return told

    def of_members(self) -> dict[str, Any]:
        """What a survivor took of the machine: seconds of processor time in the mean, and memory at the
        end.
        """
        costs = [used for name, used in self.costs.items() if not name.startswith(f"{self.sites[0]}-")]
        return {
            "member_cpu_s": round(sum(cpu for cpu, _ in costs) / max(1, len(costs)), 3),
            "member_memory_kb": max((memory for _, memory in costs), default=0),
            "played_s": round(self.until / SECOND, 1),
        }

    def series(self) -> list[list[float]]:
        """Second by second from the loss: service, ideal and attempts for each transaction."""
        zero, made = self.spans["before"][1], []
        for at in range(0, self.until, SECOND):
            span = (self.began + at, self.began + at + SECOND)
            row = (self.truth.service(span), self.ideal(span), self.truth.attempts(span))
            made.append([(at - zero) / SECOND, *(round(one, 3) for one in row)])
        return made

    def of_the_fleet(self) -> dict[str, Any]:
        """What the processes' own logs tell of plans: when, not whether, anything was right."""
        zero = self.losses[0] if self.losses else self.began + self.spans["before"][1]
        gone = {site for site in self.truth.dark}
        held = []
        for server in self.servers:
            if server.site in gone:
                continue
            lines = self.members[server.name].lines("event=plan_applied")
            times = [at for at, line in lines if at >= zero and "evacuated_callers=()" not in line]
            held.append(min(times) - zero if times else None)
        lost, home = [], []
        for one in self.planners.values():
            for at, line in one.lines("event=site_lost"):
                site = next(word[5:] for word in line.split() if word.startswith("site="))
                lost.append((at, site))
            for at, line in one.lines("stage=home"):
                if f"site={self.sites[0]} " in line:
                    home.append(at)
        in_force = None if not held or None in held else max(one for one in held if one is not None) / SECOND
        back = [at for at in home if self.returns and at >= self.returns[-1]]
        return {
            "in_force_s": in_force,
            "false_evacuations": sum(1 for at, site in lost if not self.truth.was_dark(site, at)),
            "evacuations": len(lost),
            "back_s": round((min(back) - self.returns[-1]) / SECOND, 2) if back else None,
            "leaders": sum(len(one.lines("event=leadership_acquired")) for one in self.planners.values()),
        }


def play_once(told: Told, folder: Path) -> dict[str, Any]:
    shutil.rmtree(folder, ignore_errors=True)  # logs and disks of an earlier play are none of this one's
    folder.mkdir(parents=True)
    play = Play(told, folder)
    try:
        play.run()
    finally:
        play.finish()
    outcome = play.outcome()
    if told.fleet:
        outcome |= play.of_the_fleet()
    return outcome


def play_site_loss(told: Told) -> dict[str, Any]:
    """The report of the command: the play with planners, and the same schedule without."""
    kept = told.logs or Path(tempfile.mkdtemp(prefix="birchslip-lab-"))
    try:
        fleet = play_once(told, kept / "fleet")
        report: dict[str, Any] = {
            "seed": told.seed,
            "fault": told.fault,
            "sites": told.sites,
            "each": told.each,
            "planners": told.planners,
            "load": told.load,
            **fleet,
        }
        if not told.alone:
            single = play_once(replace(told, fleet=False), kept / "single")
            report["single_level"] = {
                name: single[name]
                for name in (
                    "rules",
                    "service",
                    "attempts_each",
                    "after",
                    "refused",
                    "dead",
                    "series",
                    *COSTS,
                )
            }
    finally:
        if told.logs is None:
            shutil.rmtree(kept, ignore_errors=True)
    return report
