"""The loss of a site and its return, among real processes (`lab play site-loss`).

What really happened is recorded outside the processes under test. Times are in tenths of a millisecond.
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
from .world import COLD_SPEED, CORES_PER_SERVER, RETENTION_WINDOW, WARM_UP_SPAN, ScenarioOptions, Testbed

LONG_OUTAGE_FAULT = "planners-gone-minute"  # its outage is longer than `outage_span`
USAGE_KEYS = ("member_cpu_s", "member_memory_kb")


@dataclass(frozen=True)
class SiteLossOptions(ScenarioOptions):
    """Options of a run.

    Attributes:
        pace: Factor on the lengths of the measured parts and of the first site's outage. The other steps of a
            schedule come at fixed times or at given parts of the outage.
    """

    pace: float = 1.0

    @property
    def outage_span(self) -> int:
        """How long the first site is out, in tenths of a millisecond."""
        return int(8 * self.pace * SECOND)


def schedule_spans(options: SiteLossOptions, steps: list[Step]) -> dict[str, tuple[int, int]]:
    """Return the start and end of each measured part of a run, as offsets from its first request.

    At pace 1 the site is lost after 6 s, of which "before" is the second half. "during" begins 1.5 s after
    the loss. "back" takes 12 s from the later of the site's return and the last step, and "after" the next
    4 s.
    """
    before, back, after = (int(span * options.pace * SECOND) for span in (6, 12, 4))
    outage_span, last = options.outage_span, max((step.at for step in steps), default=0)
    return {
        "before": (before // 2, before),
        "during": (
            before + 15_000,
            before + max(outage_span, last if options.fault == LONG_OUTAGE_FAULT else 30_000),
        ),
        "back": (before + max(outage_span, last), before + max(outage_span, last) + back),
        "after": (before + max(outage_span, last) + back, before + max(outage_span, last) + back + after),
    }


class SiteLossRun(Testbed):
    """One run of a fault schedule, with planners or without.

    Attributes:
        pending_site_steps: Steps that wait until the returning site has taken so many steps of its recovery
            ramp.
        slowdowns: For each site, since when it is slowed by which factor.
        return_times: When the first site was started or resumed.
        loss_times: When the first site was killed or paused.
        end_offset: End of the last measured part, from the first request on.
        member_usage: Processor time in seconds and memory in KB of each member at the end.
    """

    def __init__(self, options: SiteLossOptions, folder: Path) -> None:
        """Create the stand-ins and the files of all processes; files and logs go to `folder`."""
        super().__init__(options, folder)
        self.site_loss_options = options
        self.pending_site_steps: list[Step] = []
        self.slowdowns: dict[str, list[tuple[int, float]]] = {}
        self.return_times: list[int] = []
        self.loss_times: list[int] = []
        self.member_usage: dict[str, tuple[float, int]] = {}

    # ---- schedule --------------------------------------------------------------------------------------

    def run(self) -> None:
        """Run the schedule from the start of the processes to their end."""
        options = self.site_loss_options
        steps = schedule(options.fault, options.seed, self.sites, self.planner_names, options.outage_span)
        self.spans = schedule_spans(options, steps)
        self.end_offset = self.spans["after"][1]
        self.run_director(lambda: self.execute_schedule(steps))

    def execute_schedule(self, steps: list[Step]) -> None:
        """Start the processes, apply each step at its time, and drain the app servers at the end."""
        scheduler = self.scheduler
        self.start_all()
        loss_at = self.started_at + self.spans["before"][1]
        self.watch_site_steps()
        for step in steps:
            scheduler.sleep(max(scheduler.now, loss_at + step.at))
            self.apply_step(step)
        scheduler.sleep(self.started_at + self.end_offset)
        self.member_usage = {name: process.measure_usage() for name, process in self.members.items()}
        self.drain_all()

    def watch_site_steps(self) -> None:
        """Kill a site again once the planners' logs show the awaited steps of its recovery ramp.

        The logs are searched every 100 ms. The site is started again 2 s after the kill.
        """
        self.scheduler.at(self.scheduler.now + 1_000, self.watch_site_steps)
        for step in list(self.pending_site_steps):
            lines = [
                line for planner in self.planners.values() for _, line in planner.find_log_lines("stage=step")
            ]
            # Without planners a site returns without stages: it is killed again about when it would have
            # reached the second one.
            due_without_planners = (
                not self.planners
                and self.return_times
                and self.scheduler.now >= self.return_times[-1] + 2 * SECOND
            )
            if due_without_planners or (self.planners and len(lines) >= step.value):
                self.pending_site_steps.remove(step)
                self.take_site_down(step.target, "kill")
                restart_at = self.scheduler.now + 2 * SECOND
                self.scheduler.at(restart_at, lambda site=step.target: self.bring_site_up(site))  # type: ignore[misc]

    def apply_step(self, step: Step) -> None:
        """Apply one step; an action that is not handled here applies to the planners' processes."""
        match step.action:
            case "kill" | "pause":
                self.take_site_down(step.target, step.action)
            case "start" | "resume":
                self.bring_site_up(step.target)
            case "on-step":
                self.pending_site_steps.append(step)
            case "surge":
                for router in self.routers:
                    router.surge_factors[step.target] = step.value
            case "heed":
                for router in self.routers:
                    router.advice_compliance = step.value
            case "slow":
                for server in self.servers:
                    if server.site == step.target:
                        self.agents[server.name].cores.slowdown = step.value
                self.slowdowns.setdefault(step.target, []).append((self.scheduler.now, step.value))
            case "cut" | "deaf" | "silent" | "heal":
                mode = "mute" if step.action == "heal" else step.action
                for (source, _), proxy in self.proxies.items():
                    if source.startswith(f"{step.target}-"):
                        proxy.set_mode("pass" if step.action == "heal" else mode)
            case "late":
                for proxy in self.proxies.values():
                    proxy.set_mode("late", int(step.value))
            case "shake":
                for index, proxy in enumerate(self.proxies.values()):
                    if (index + step.at) % 3 == 0:
                        proxy.reset_connections()
            case "split":
                self.set_planner_proxies("cut", self.find_leader() if self.planners else "")
            case "heal-planners":
                for (source, _), proxy in self.proxies.items():
                    if source in self.planners:
                        proxy.set_mode("pass")
            case planner_action:
                self.apply_to_planners(planner_action, step.target)

    def take_site_down(self, site: str, action: str) -> None:
        """Kill or pause all members of a site, as `action` says, with their agents, and record the time."""
        now = self.scheduler.now
        if site == self.sites[0]:
            self.loss_times.append(now)
        self.lost_sites.add(site)
        self.history.site_outages.setdefault(site, []).append((now, 1 << 60))
        for server in self.servers:
            if server.site != site:
                continue
            server.is_up = False
            self.excuse_pending_attempts(server)
            agent = self.agents[server.name]
            if action == "kill":
                self.members[server.name].kill()
                agent.start(is_cold=True)
                agent.pause()
            else:
                self.members[server.name].pause()
                agent.pause()

    def bring_site_up(self, site: str) -> None:
        """Resume or restart all members of a site with their agents, and record the time.

        A restarted member is cold.
        """
        now = self.scheduler.now
        if site == self.sites[0]:
            self.return_times.append(now)
        self.lost_sites.discard(site)
        dark_spans = self.history.site_outages[site]
        dark_spans[-1] = (dark_spans[-1][0], now)
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

    # ---- report ----------------------------------------------------------------------------------------

    def ideal_service(self, span: tuple[int, int]) -> float:
        """Return which share of the requested core time the remaining capacity could have served in a span.

        The capacity is the cores that were up, each at the speed that it then had. The share is 1.0 for a
        span without requests.
        """
        served, asked = 0.0, 0.0
        interval = SECOND // 2  # a request that waits half a second is still answered in time
        requests = sorted(self.history.select_operations(span), key=lambda request: request.created_at)
        index = 0
        for at in range(span[0], span[1], interval):
            capacity = 0.0
            for server in self.servers:
                if any(
                    since <= at < until for since, until in self.history.site_outages.get(server.site, ())
                ):
                    continue
                capacity += CORES_PER_SERVER * interval * self.speed_at(server.site, at)
            work = reading_work = 0.0
            while index < len(requests) and requests[index].created_at < at + interval:
                work += requests[index].work
                reading_work += READ_WORK  # one attempt per request: a plan can avoid the others
                index += 1
            asked += work
            served += min(work, capacity * work / (work + reading_work)) if work else 0.0
        return served / asked if asked else 1.0

    def speed_at(self, site: str, at: int) -> float:
        """Return the speed of a site's cores at a time, 1.0 being full speed."""
        slowdowns = [slow for since, slow in self.slowdowns.get(site, ()) if since <= at]
        return self.warmup_speed_at(site, at) / (slowdowns[-1] if slowdowns else 1.0)

    def warmup_speed_at(self, site: str, at: int) -> float:
        """Return the speed of a site's cores at a time, as reduced by a cold start alone; 1.0 is full speed.

        Only the first site is looked at. It returns warm from the faults that pause it.
        """
        if (
            site == self.sites[0]
            and self.return_times
            and self.site_loss_options.fault not in ("pause", "cut-heals", "half-open")
        ):
            returned_at = max((moment for moment in self.return_times if moment <= at), default=0)
            if returned_at:
                return COLD_SPEED + (1 - COLD_SPEED) * min(1.0, (at - returned_at) / WARM_UP_SPAN)
        return 1.0

    def build_report(self) -> dict[str, Any]:
        """Return the part of the report that the testbed measured, without the logs of the processes."""
        now = self.scheduler.now
        truth = self.history
        report: dict[str, Any] = {
            "rules": truth.check_rules(now, RETENTION_WINDOW),
            "service": {
                name: round(truth.compute_service(self.get_span(name)), 4)
                for name in ("before", "during", "back")
            },
            "ideal": {
                name: round(self.ideal_service(self.get_span(name)), 4)
                for name in ("before", "during", "back")
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
            **self.usage_report(),
            "series": self.service_series(),
        }
        return report

    def usage_report(self) -> dict[str, Any]:
        """Return what a member used of the machine, and the length of the run in seconds.

        Members of the first site are left out. Of the others, the mean processor time is given in seconds
        and the largest resident memory at the end of the run in KB.
        """
        usages = [
            used for name, used in self.member_usage.items() if not name.startswith(f"{self.sites[0]}-")
        ]
        return {
            "member_cpu_s": round(sum(cpu for cpu, _ in usages) / max(1, len(usages)), 3),
            "member_memory_kb": max((memory for _, memory in usages), default=0),
            "played_s": round(self.end_offset / SECOND, 1),
        }

    def service_series(self) -> list[list[float]]:
        """Return a row for each second of the run.

        Its columns are the time in seconds, 0 being the loss, the service, the ideal service and the attempts
        per request.
        """
        loss_offset, rows = self.spans["before"][1], []
        for at in range(0, self.end_offset, SECOND):
            span = (self.started_at + at, self.started_at + at + SECOND)
            row = (
                self.history.compute_service(span),
                self.ideal_service(span),
                self.history.compute_attempts_per_operation(span),
            )
            rows.append([(at - loss_offset) / SECOND, *(round(figure, 3) for figure in row)])
        return rows

    def fleet_report(self) -> dict[str, Any]:
        """Return what the processes' logs say about plans and stages.

        The logs give only the times of events. Whether an evacuation was right is judged by the history that
        the testbed recorded outside the processes.

        Returns:
            `in_force_s` is the time from the loss until every member of a site without an outage had applied
            a plan with evacuated callers, None if one never did. `back_s` is the time from the last return of
            the first site until the end of its recovery ramp, None if it was not reached. Both are in
            seconds. `evacuations` counts the sites declared lost, `false_evacuations` those of them that were
            neither dead nor paused then, and `leaders` how often a planner became the leader.
        """
        loss_at = self.loss_times[0] if self.loss_times else self.started_at + self.spans["before"][1]
        sites_with_outage = {site for site in self.history.site_outages}
        plan_delays = []
        for server in self.servers:
            if server.site in sites_with_outage:
                continue
            lines = self.members[server.name].find_log_lines("event=plan_applied")
            times = [at for at, line in lines if at >= loss_at and "evacuated_callers=()" not in line]
            plan_delays.append(min(times) - loss_at if times else None)
        reported_losses, home_times = [], []
        for planner in self.planners.values():
            for at, line in planner.find_log_lines("event=site_lost"):
                site = next(word[5:] for word in line.split() if word.startswith("site="))
                reported_losses.append((at, site))
            for at, line in planner.find_log_lines("stage=home"):
                if f"site={self.sites[0]} " in line:
                    home_times.append(at)
        in_force = (
            None
            if not plan_delays or None in plan_delays
            else max(delay for delay in plan_delays if delay is not None) / SECOND
        )
        back = [at for at in home_times if self.return_times and at >= self.return_times[-1]]
        return {
            "in_force_s": in_force,
            "false_evacuations": sum(
                1 for at, site in reported_losses if not self.history.was_site_out(site, at)
            ),
            "evacuations": len(reported_losses),
            "back_s": round((min(back) - self.return_times[-1]) / SECOND, 2) if back else None,
            "leaders": sum(
                len(planner.find_log_lines("event=leadership_acquired")) for planner in self.planners.values()
            ),
        }


def run_once(options: SiteLossOptions, folder: Path) -> dict[str, Any]:
    """Run a schedule once, end all its processes and return the report.

    An existing `folder` is deleted first, because logs and disks of an earlier run do not belong to this one.
    """
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    run = SiteLossRun(options, folder)
    try:
        run.run()
    finally:
        run.terminate_all()
    report = run.build_report()
    if options.fleet:
        report |= run.fleet_report()
    return report


def run_site_loss(options: SiteLossOptions) -> dict[str, Any]:
    """Run a schedule with planners and return the report of the command.

    Unless `alone`, the same schedule is run without planners for comparison.
    """
    logs_folder = options.logs or Path(tempfile.mkdtemp(prefix="birchslip-lab-"))
    try:
        with_planners = run_once(options, logs_folder / "fleet")
        report: dict[str, Any] = {
            "seed": options.seed,
            "fault": options.fault,
            "sites": options.sites,
            "each": options.each,
            "planners": options.planners,
            "load": options.load,
            **with_planners,
        }
        if not options.alone:
            without_planners = run_once(replace(options, fleet=False), logs_folder / "single")
            report["single_level"] = {
                name: without_planners[name]
                for name in (
                    "rules",
                    "service",
                    "attempts_each",
                    "after",
                    "refused",
                    "dead",
                    "series",
                    *USAGE_KEYS,
                )
            }
    finally:
        if options.logs is None:
            shutil.rmtree(logs_folder, ignore_errors=True)
    return report
