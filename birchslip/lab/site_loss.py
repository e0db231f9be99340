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

from .cores import READ_WORK
from .faults import Step, schedule
from .truth import SECOND
from .world import COLD_SPEED, CORES_PER_SERVER, RETENTION_WINDOW, WARM_UP_SPAN, Testbed
from .world import ScenarioOptions as Common

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


class Play(Testbed):
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
        steps = schedule(told.fault, told.seed, self.sites, self.planner_names, told.lost)
        self.spans = spans_of(told, steps)
        self.until = self.spans["after"][1]
        self.run_director(lambda: self.direct(steps))

    def direct(self, steps: list[Step]) -> None:
        scheduler = self.scheduler
        self.start_all()
        zero = self.started_at + self.spans["before"][1]
        self.sample()
        for step in steps:
            scheduler.sleep(max(scheduler.now, zero + step.at))
            self.carry_out(step)
        scheduler.sleep(self.started_at + self.until)
        self.costs = {name: one.measure_usage() for name, one in self.members.items()}
        self.drain_all()

    def sample(self) -> None:
        """A step that waits for a site's own step on its way back is due once the log tells of it."""
        self.scheduler.at(self.scheduler.now + 1_000, self.sample)
        for step in list(self.watch):
            lines = [line for one in self.planners.values() for _, line in one.find_log_lines("stage=step")]
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
                    router.surge_factors[step.whom] = step.more
            case "heed":
                for router in self.routers:
                    router.advice_compliance = step.more
            case "slow":
                for server in self.servers:
                    if server.site == step.whom:
                        self.agents[server.name].cores.slowdown = step.more
                self.spells.setdefault(step.whom, []).append((self.scheduler.now, step.more))
            case "cut" | "deaf" | "silent" | "heal":
                mode = "mute" if step.what == "heal" else step.what
                for (who, _), wire in self.proxies.items():
                    if who.startswith(f"{step.whom}-"):
                        wire.set_mode("pass" if step.what == "heal" else mode)
            case "late":
                for wire in self.proxies.values():
                    wire.set_mode("late", int(step.more))
            case "shake":
                for place, wire in enumerate(self.proxies.values()):
                    if (place + step.at) % 3 == 0:
                        wire.reset_connections()
            case "split":
                self.set_planner_proxies("cut", self.find_leader() if self.planners else "")
            case "heal-planners":
                for (who, _), wire in self.proxies.items():
                    if who in self.planners:
                        wire.set_mode("pass")
            case planners:
                self.apply_to_planners(planners, step.whom)

    def down(self, site: str, how: str) -> None:
        now = self.scheduler.now
        if site == self.sites[0]:
            self.losses.append(now)
        self.lost_sites.add(site)
        self.history.site_outages.setdefault(site, []).append((now, 1 << 60))
        for server in self.servers:
            if server.site != site:
                continue
            server.is_up = False
            self.excuse_pending_attempts(server)
            agent = self.agents[server.name]
            if how == "kill":
                self.members[server.name].kill()
                agent.start(is_cold=True)
                agent.pause()
            else:
                self.members[server.name].pause()
                agent.pause()

    def up(self, site: str) -> None:
        now = self.scheduler.now
        if site == self.sites[0]:
            self.returns.append(now)
        self.lost_sites.discard(site)
        spans = self.history.site_outages[site]
        spans[-1] = (spans[-1][0], now)
        for server in self.servers:
            if server.site != site:
                continue
            agent, member = self.agents[server.name], self.members[server.name]
            if member.is_paused:
                self.excuse_pending_attempts(server)
                member.resume()
                agent.resume()
            else:
                server.incarnation += 1
                agent.start(is_cold=True)
                member.start()
            server.is_up = True

    # ---- what is told of it ----------------------------------------------------------------------------

    def ideal(self, span: tuple[int, int]) -> float:
        """What capacity was left for, of the payoff asked: cores that were up, each as fast as it then
        was.
        """
        done, asked = 0.0, 0.0
        step = SECOND // 2  # a wait of half a second is still in time
        deeds = sorted(self.history.select_operations(span), key=lambda deed: deed.created_at)
        place = 0
        for at in range(span[0], span[1], step):
            room = 0.0
            for server in self.servers:
                if any(
                    since <= at < until for since, until in self.history.site_outages.get(server.site, ())
                ):
                    continue
                room += CORES_PER_SERVER * step * self.speed_then(server.site, at)
            work = reading = 0.0
            while place < len(deeds) and deeds[place].created_at < at + step:
                work += deeds[place].work
                reading += READ_WORK  # once each: more tries than that are what a plan may spare
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
                return COLD_SPEED + (1 - COLD_SPEED) * min(1.0, (at - began) / WARM_UP_SPAN)
        return 1.0

    def outcome(self) -> dict[str, Any]:
        now = self.scheduler.now
        truth = self.history
        told: dict[str, Any] = {
            "rules": truth.check_rules(now, RETENTION_WINDOW),
            "service": {
                name: round(truth.compute_service(self.get_span(name)), 4)
                for name in ("before", "during", "back")
            },
            "ideal": {
                name: round(self.ideal(self.get_span(name)), 4) for name in ("before", "during", "back")
            },
            "attempts_each": {
                name: round(truth.compute_attempts_per_operation(self.get_span(name)), 3)
                for name in ("before", "during", "after")
            },
            "after": round(truth.compute_service(self.get_span("after")), 4),
            "refused": dict(truth.shed_counts),
            "broken_links": dict(Counter(truth.broken_links)),
            "dead": self.list_unexpected_exits(),
            "trouble": self.faults[:5],
            "transactions": len(truth.operations),
            "calls_most": truth.peak_calls,
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
            span = (self.started_at + at, self.started_at + at + SECOND)
            row = (
                self.history.compute_service(span),
                self.ideal(span),
                self.history.compute_attempts_per_operation(span),
            )
            made.append([(at - zero) / SECOND, *(round(one, 3) for one in row)])
        return made

    def of_the_fleet(self) -> dict[str, Any]:
        """What the processes' own logs tell of plans: when, not whether, anything was right."""
        zero = self.losses[0] if self.losses else self.started_at + self.spans["before"][1]
        gone = {site for site in self.history.site_outages}
        held = []
        for server in self.servers:
            if server.site in gone:
                continue
            lines = self.members[server.name].find_log_lines("event=plan_applied")
            times = [at for at, line in lines if at >= zero and "evacuated_callers=()" not in line]
            held.append(min(times) - zero if times else None)
        lost, home = [], []
        for one in self.planners.values():
            for at, line in one.find_log_lines("event=site_lost"):
                site = next(word[5:] for word in line.split() if word.startswith("site="))
                lost.append((at, site))
            for at, line in one.find_log_lines("stage=home"):
                if f"site={self.sites[0]} " in line:
                    home.append(at)
        in_force = None if not held or None in held else max(one for one in held if one is not None) / SECOND
        back = [at for at in home if self.returns and at >= self.returns[-1]]
        return {
            "in_force_s": in_force,
            "false_evacuations": sum(1 for at, site in lost if not self.history.was_site_out(site, at)),
            "evacuations": len(lost),
            "back_s": round((min(back) - self.returns[-1]) / SECOND, 2) if back else None,
            "leaders": sum(
                len(one.find_log_lines("event=leadership_acquired")) for one in self.planners.values()
            ),
        }


def play_once(told: Told, folder: Path) -> dict[str, Any]:
    shutil.rmtree(folder, ignore_errors=True)  # logs and disks of an earlier play are none of this one's
    folder.mkdir(parents=True)
    play = Play(told, folder)
    try:
        play.run()
    finally:
        play.terminate_all()
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
