"""`lab play release`: a release through a fleet of real processes, with the truth kept outside them."""

from __future__ import annotations

import json
import shutil
import tempfile
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from pathlib import Path
from typing import Any

import msgspec

from ..cluster.disruption_types import BudgetGroup
from ..cluster.messages import (
    EvictionOperation,
    EvictionRequest,
    Message,
    OperatorCommand,
    OperatorOperation,
    encode,
)
from ..cluster.rollout_batches import plan_batches
from ..cluster.rollout_messages import RolloutAction, RolloutCommand
from ..cluster.rollout_types import RolloutSpec
from ..cluster.transport import PeerConnection
from .clients import AppServer, RequestClass
from .peers import Vault
from .platform import NEW_VERSION, OLD_VERSION, Platform
from .release_faults import STEPS, Step
from .truth import SECOND
from .world import RETENTION_WINDOW, ScenarioOptions, Testbed

LOOKUP = RequestClass("lookup", 0.7, 1_400, SECOND * 3 // 2, 3 * SECOND, 1.0, False)
ORDER = RequestClass("order", 0.3, 2_100, 2 * SECOND, 3 * SECOND, 1.5, True)
BEFORE, AFTER = 5 * SECOND, 3 * SECOND
ASK = 4_000  # an operator waits for a planner's answer, and then asks the next one
LONGEST = 240 * SECOND  # a release that has not come to its end by then is stuck
SITE_MOST, FLEET_SHARE, LOWERED = 2, 0.17, 1
WATCH_MS, WATCH_MOST_MS, CRASH_MS = 6_000, 40_000, 2_500
MARGINS = {"late": 0.08, "slow": 0.2, "shed": 0.08, "written_off": 0.08, "calls": 0.15}
LEAST = 2 * SECOND  # of a drain, a stop and a start: what no release can be quicker than


@dataclass(frozen=True)
class ReleaseTold(ScenarioOptions):
    """`without` holds what the schedule did to the world and when, for the play with no release."""

    version: str = "good"
    margins: float = 1.0  # times the usual ones: a play on a busy machine that is not about the judgement
    without: tuple[tuple[int, str, float], ...] | None = None


class Play(Testbed):
    request_classes = [LOOKUP, ORDER]  # noqa: RUF012
    warm_up_span = 2 * SECOND

    def __init__(self, told: ReleaseTold, folder: Path) -> None:
        self.told = told
        super().__init__(told, folder)
        self.planned = plan_batches(self.plan(self.sites), {site: self.of_site(site) for site in self.sites})
        self.deeds: list[tuple[int, str, float]] = []  # what was done to the world, and when
        self.marks: dict[str, int] = {}  # moments of the release
        self.batches = 0
        self.holder = ""
        self.operator_s: list[str] = []  # what operators were told
        self.halted_at: int | None = None
        self.ended, self.stuck, self.why = "", False, ""
        self.resumed_without_a_word = 0
        self.backs = 0
        self.judged: list[dict[str, Any]] = []  # the figures of the last watch that was seen
        self.expect_halt = False
        self.pending: list[Step] = list(STEPS[told.fault])

    # ---- what is laid out ------------------------------------------------------------------------------

    def prepare(self) -> None:
        whole = [server.name for server in self.servers]
        self.fleet_most = max(2, int(FLEET_SHARE * len(whole)))
        self.groups = {
            site: BudgetGroup(
                site,
                frozenset(self.of_site(site)),
                max_unavailable=min(SITE_MOST, self.base_options.each - 1),
            )
            for site in self.sites
        }
        self.groups["fleet"] = BudgetGroup("fleet", frozenset(whole), max_unavailable=self.fleet_most)
        stores = [f"store-{n + 1}" for n in range(len(self.sites))]
        self.groups["stores"] = BudgetGroup("stores", frozenset(stores), max_unavailable=1)
        self.store_of = dict(zip(self.sites, stores, strict=True))
        self.vaults = {
            store: Vault(self.scheduler, self.history, self.draw_vault_latency) for store in stores
        }
        needs = {server.name: [self.store_of[server.site]] for server in self.servers}
        self.platform = Platform(self, self.told.version, list(self.groups.values()), needs, CRASH_MS)
        for store, vault in self.vaults.items():
            self.platform.add_service(store, vault)
        self.platform.before_order, self.platform.on_member_stopped = self.before_order, self.member_stopped
        self.left: set[str] = set()  # of the fleet file

    def of_site(self, site: str) -> list[str]:
        return [server.name for server in self.servers if server.site == site]

    def get_vault(self, server: AppServer) -> Vault:
        return self.vaults[self.store_of[server.site]]

    def extend_fleet_file(self, told: dict[str, Any], who: str) -> None:
        told["platform"] = {"address": self.platform.address, "ask_ms": 200, "stale_ms": 2_000}
        told["services"] = [{"name": name, "kind": "store"} for name in self.vaults]
        told["groups"] = [
            *(
                {"name": site, "sites": [site], "most_out": self.groups[site].max_unavailable}
                for site in self.sites
            ),
            {"name": "fleet", "all": True, "most_out": self.groups["fleet"].max_unavailable},
            {"name": "stores", "kinds": ["store"], "most_out": 1},
        ]
        calls = told["vault"]["total"] / len(self.servers)
        for site in told["sites"]:
            site["members"] = [one for one in site["members"] if one["name"] not in self.left]
            for member in site["members"]:
                member["needs"] = [self.store_of[site["name"]]]
                member["calls"] = calls

    def file_again(self) -> None:
        """A later fleet file for every planner."""
        for name in self.planner_names:
            self.write_fleet_file(name)
            self.planners[name].reload()

    def plan(self, sites: list[str], version: str = NEW_VERSION, before: str = OLD_VERSION) -> RolloutSpec:
        return RolloutSpec(
            version=version,
            previous_version=before,
            sites=sites,
            canaries=max(2, len(self.servers) // 12),
            batch_size=8,
            min_watch_ms=WATCH_MS,
            max_watch_ms=WATCH_MOST_MS,
            margins={name: min(0.95, part * self.told.margins) for name, part in MARGINS.items()},
            stall_timeout_ms=60_000,
        )

    # ---- operators -------------------------------------------------------------------------------------

    def ask(self, record: Message, method: str, planners: list[str] | None = None) -> dict[str, Any]:
        """Whoever leads answers; asked until somebody does."""
        until = self.scheduler.now + 20 * SECOND
        trouble = ""
        is_query = (isinstance(record, RolloutCommand) and record.action is RolloutAction.STATUS) or (
            isinstance(record, OperatorCommand) and record.operation is OperatorOperation.SHOW
        )
        while self.scheduler.now < until:
            for name in planners or self.planner_names:
                line = PeerConnection(self.scheduler, ("127.0.0.1", self.planner_ports[name]))
                try:
                    raw = line.call(method, encode(record), self.scheduler.now + ASK)
                    answer: dict[str, Any] = json.loads(raw)
                    if is_query and not answer["leads"]:
                        continue
                    return answer
                except OSError as why:
                    trouble = str(why)
                finally:
                    line.close()
            if planners:
                break
            self.scheduler.sleep(self.scheduler.now + 1_000)
        return {"done": False, "granted": False, "releases": [], "trouble": trouble}

    def say(self, what: str, **more: Any) -> dict[str, Any]:
        answer = self.ask(RolloutCommand(action=RolloutAction(what), operator="the play", **more), "release")
        self.operator_s.append(f"{what}: {answer.get('why') or answer.get('trouble') or 'done'}")
        return answer

    def status(self, number: int = 1) -> dict[str, Any]:
        answer = self.ask(RolloutCommand(action=RolloutAction.STATUS, number=number), "release")
        return answer["releases"][0] if answer["releases"] else {}

    def permit(self, holder: str, planners: list[str] | None = None) -> dict[str, Any]:
        return self.ask(
            EvictionRequest(operation=EvictionOperation.REQUEST_PERMIT, holder=holder, reason="by hand"),
            "want",
            planners,
        )

    # ---- moments ---------------------------------------------------------------------------------------

    def mark(self, name: str) -> None:
        self.marks.setdefault(name, self.scheduler.now)

    def before_order(self, what: str, name: str) -> str:
        """The platform has got an order; whether it is to be left undone."""
        if what != "drain" or self.platform.machines[name].state != "up":
            return ""
        first = "granted" not in self.marks
        self.mark("granted")
        if first:
            self.holder = name
        if first and self.told.fault in ("killed-granted", "holder-dies"):
            if self.told.fault == "holder-dies":
                self.deed("kill", name)
            else:
                # In this very moment: nobody hears what came of the order.
                self.planners[self.find_leader()].kill()
            return "drop"
        at = next((n for n, batch in enumerate(self.planned, 1) if name in batch), 0)
        self.mark(f"batch {at}")
        if first:
            self.scheduler.at(self.scheduler.now + 1, lambda: self.mark("drained"))
        return ""

    def member_stopped(self, name: str) -> None:
        if "stopped" not in self.marks and self.told.fault == "killed-draining":
            self.planners[self.find_leader()].kill()
        self.mark("stopped")

    # ---- the course ------------------------------------------------------------------------------------

    def direct(self) -> None:
        scheduler = self.scheduler
        self.start_all()
        self.platform.poll_machines()
        scheduler.sleep(scheduler.now + BEFORE)
        if self.told.without is not None:
            self.direct_without(self.told.without)
        else:
            self.direct_release()
        scheduler.sleep(scheduler.now + AFTER)
        self.settle()
        self.platform.is_over = True
        self.drain_all()

    def direct_without(self, deeds: tuple[tuple[int, str, float], ...]) -> None:
        """The same schedule, and no release."""
        self.release_began = self.scheduler.now
        for at, what, more in deeds:
            self.scheduler.sleep(max(self.scheduler.now, self.release_began + at))
            if what != "end":
                name, _, whom = what.partition(" ")
                self.deed(name, whom, more)
        self.release_ended = self.scheduler.now

    def direct_release(self) -> None:
        scheduler = self.scheduler
        self.wait_for(self.known, 30 * SECOND)
        sites = self.sites[:-1] if self.told.fault == "two-releases" and len(self.sites) > 1 else self.sites
        plan = self.plan(sites)
        self.planned = plan_batches(plan, {site: self.of_site(site) for site in self.sites})
        self.release_began = scheduler.now
        said = self.say("start", spec=plan)
        if not said["done"]:
            raise RuntimeError(f"not begun: {said}")
        self.mark("start")
        if self.pending:
            scheduler.spawn("schedule", self.carry_out)
        self.follow()
        self.release_ended = scheduler.now
        self.deeds.append((self.release_ended - self.release_began, "end", 0.0))

    def known(self) -> bool:
        """The leader hears all members, warm, and nobody is out."""
        shown = self.ask(OperatorCommand(operation=OperatorOperation.SHOW), "wish")
        return len(shown.get("members", ())) == len(self.servers) and not shown["out"]

    def follow(self) -> None:
        """Until the release has come to its end; a person takes a bad one back."""
        until = self.scheduler.now + LONGEST
        while self.scheduler.now < until:
            told = self.status()
            phase = told.get("phase", "")
            if any(one["of"][0] for one in told.get("figures", ())):
                self.judged = told["figures"]
            if phase == "halted" and self.halted_at is None and not self.expect_halt:
                self.halted_at = self.scheduler.now
            if phase in ("done", "back") and not self.pending and self.second_over():
                self.ended, self.why = phase, told["why"]
                return
            waits = self.pending[0].wait if self.pending else 0
            if (
                phase == "halted"
                and not self.expect_halt
                and isinstance(waits, str)
                and waits not in self.marks
            ):
                self.pending.clear()  # it has halted by itself: that moment will not come
            rests = phase == "halted" and not self.pending and not self.expect_halt
            if rests and not self.after_halt(told):
                self.ended, self.why = phase, told["why"]
                return
            self.scheduler.sleep(self.scheduler.now + 1_500)
        self.ended, self.stuck, self.why = phase, True, told.get("doing", "")

    def after_halt(self, told: dict[str, Any]) -> bool:
        """Whether a person goes on: back where the version is bad, once everybody is up."""
        if not told["bad"] or self.backs >= 3:
            return not self.platform.is_all_up() and self.backs < 3
        for name in told["left_out"]:
            machine = self.platform.machines[name]
            if machine.state == "failed":
                machine.failing_versions.clear()  # somebody has mended the machine
                self.platform.start_member(machine, OLD_VERSION)
        if not self.platform.is_all_up():
            return True
        if told["left_out"]:
            return True  # until it is seen back
        self.backs += 1
        self.say("back", number=1)
        return True

    def second_over(self) -> bool:
        if self.told.fault != "two-releases":
            return True
        second = self.status(2)
        return bool(second) and second["phase"] in ("done", "back", "halted")

    def settle(self) -> None:
        """Nobody is left down, and nobody out but who was left out."""
        until = self.scheduler.now + 20 * SECOND
        while self.scheduler.now < until and not (
            self.platform.is_all_up() and not self.platform.disruptions.causes
        ):
            self.scheduler.sleep(self.scheduler.now + 1_000)
        self.stuck = self.stuck or not self.platform.is_all_up()

    # ---- the schedule ----------------------------------------------------------------------------------

    def carry_out(self) -> None:
        while self.pending:
            step = self.pending[0]
            if isinstance(step.wait, int):
                self.scheduler.sleep(self.scheduler.now + step.wait)
            else:
                while step.wait not in self.marks and self.pending and not self.ended:
                    self.scheduler.sleep(self.scheduler.now + 100)
            if self.ended or not self.pending:
                return
            try:
                self.do(step)
            except Exception as trouble:
                self.record_fault(f"step {step.what}", trouble)
            self.pending.pop(0)

    def deed(self, what: str, whom: str, more: float = 0.0) -> None:
        """Something that is done to the world, and done in the play without a release too."""
        if self.told.without is None:
            self.deeds.append((self.scheduler.now - self.release_began, f"{what} {whom}", more))
        match what:
            case "kill":
                self.platform.kill_member(whom)
            case "hold":
                self.platform.pause_member(whom, self.scheduler.now + int(more * SECOND))
            case "surge":
                for router in self.routers:
                    router.surge_factors[whom] = more
            case "service-down":
                self.platform.stop_service(whom)
            case "service-up":
                self.platform.start_service(whom)
            case "lose-site":
                self.lose(whom)
            case "site-back":
                self.lost_sites.discard(whom)
                for name in self.of_site(whom):
                    self.platform.machines[name].restart_at = self.scheduler.now

    def lose(self, site: str) -> None:
        self.lost_sites.add(site)
        for name in self.of_site(site):
            self.platform.kill_member(name)
            machine = self.platform.machines[name]
            if machine.state == "up":
                machine.restart_at = self.scheduler.now + LONGEST

    def do(self, step: Step) -> None:
        more = step.more
        match step.what:
            case "kill-leader" | "kill-holder":
                pass  # done in the moment itself
            case "kill-planners":
                for one in self.planners.values():
                    one.kill()
            case "start-planners":
                for one in self.planners.values():
                    one.start()
            case "halt":
                self.expect_halt = True
                self.say("halt", reason="a rehearsal")
            case "halt-and-kill":
                self.expect_halt = True
                leader = self.find_leader()
                self.scheduler.at(self.scheduler.now + 20, self.planners[leader].kill)
                self.say("halt", reason="a rehearsal")
            case "check-halted":
                told = self.status()
                drains = sum(self.platform.drain_counts.values())
                self.scheduler.sleep(self.scheduler.now + 2 * SECOND)
                if told.get("phase") != "halted" or sum(self.platform.drain_counts.values()) != drains:
                    self.resumed_without_a_word += 1
            case "resume":
                self.say("resume", number=1)
                self.expect_halt = False
            case "pause-holder":
                self.deed("hold", self.holder, more)
            case "second-release":
                said = self.say("start", spec=self.plan([self.sites[-1]]))
                self.operator_s.append(f"second: {said['done']}")
                again = self.say("start", spec=self.plan(self.sites))
                if again["done"]:
                    self.faults.append("a release that shares members with another was begun")
            case "drain-by-hand":
                self.scheduler.spawn("by hand", self.by_hand)
            case "lower" | "raise":
                most = LOWERED if step.what == "lower" else self.fleet_most
                group = replace(self.groups["fleet"], max_unavailable=most)
                self.groups["fleet"] = group
                if step.what == "raise":
                    self.platform.disruptions.groups["fleet"] = group
                else:
                    # Planners read it within a moment; what they granted before stands.
                    self.scheduler.at(
                        self.scheduler.now + 5_000,
                        lambda: self.platform.disruptions.groups.update(fleet=group),
                    )
                self.file_again()
            case "leave":
                self.left = {self.of_site(self.sites[-1])[-1]}
                self.file_again()
            case "rejoin":
                name = min(self.left)
                self.left = set()
                self.deed("kill", name)
                self.file_again()
            case "split":
                self.set_planner_proxies("cut", self.find_leader())
                self.scheduler.spawn("asker", self.ask_both_sides)
            case "heal-planners":
                for (who, _), wire in self.proxies.items():
                    if who in self.planners:
                        wire.set_mode("pass")
            case "mute-holder" | "heal-holder":
                mode = "mute" if step.what == "mute-holder" else "pass"
                for (who, _), wire in self.proxies.items():
                    if who == self.holder:
                        wire.set_mode(mode)
            case "crash-others":
                machines = self.platform.machines
                others = [one for one in self.of_site(self.sites[-1]) if machines[one].state == "up"]
                for name in others[: int(more)]:
                    self.deed("kill", name)
            case "service-down" | "service-up":
                self.deed(step.what, self.store_of[self.sites[0]])
            case "surge":
                self.deed("surge", "blue", more)
            case "break-old":
                first = self.planned[0][0]
                self.platform.machines[first].failing_versions.add(OLD_VERSION)
            case "lose-site":
                self.expect_halt = True
                self.deed("lose-site", self.sites[-1])
            case "site-back":
                self.deed("site-back", self.sites[-1])
            case "wait-home":
                self.wait_for(self.at_home, 60 * SECOND)
            case "fill-disk":
                self.planners[self.find_leader()].forbid_file_growth()
            case "empty-disk":
                for one in self.planners.values():
                    one.allow_file_growth()
            case "empty-follower" | "cut-follower":
                self.apply_to_planners("kill-planner", "follower")
                self.apply_to_planners(
                    "disk-empty" if step.what == "empty-follower" else "disk-cut-short", "last"
                )
            case "late":
                for wire in self.proxies.values():
                    wire.set_mode("late", int(more))
            case what:
                raise RuntimeError(f"no such step: {what}")

    def at_home(self) -> bool:
        shown = self.ask(OperatorCommand(operation=OperatorOperation.SHOW), "wish")
        return bool(shown.get("sites")) and all(site["stage"] == "home" for site in shown["sites"])

    def by_hand(self) -> None:
        """Somebody's shell loop: it asks for a permit, drains the member itself and starts it again."""
        name = self.of_site(self.sites[-1])[-1]
        until = self.scheduler.now + 120 * SECOND
        while self.scheduler.now < until and not self.permit(name)["granted"]:
            self.scheduler.sleep(self.scheduler.now + 3_000)
        machine = self.platform.machines[name]
        if machine.state != "up":
            return
        version = machine.version
        self.platform.drain_member(machine, is_planned=True)
        while machine.state == "draining":
            self.scheduler.sleep(self.scheduler.now + 500)
        self.platform.start_member(machine, version)

    def ask_both_sides(self) -> None:
        """While planners are split: whoever is cut off must not let anybody go."""
        leader = self.find_leader()
        name = self.of_site(self.sites[-1])[0]
        alone = self.permit(name, [leader])
        others = self.permit(name, [one for one in self.planner_names if one != leader])
        self.operator_s.append(f"alone: {alone.get('granted')}; others: {others.get('granted')}")
        self.scheduler.sleep(self.scheduler.now + 2 * SECOND)
        hand_back: Callable[[], dict[str, Any]] = partial(
            self.ask, EvictionRequest(operation=EvictionOperation.RETURN_PERMIT, holder=name), "want"
        )
        until = self.scheduler.now + 60 * SECOND
        # Granted in the end or not, it does not go: its place is given back.
        while self.scheduler.now < until:
            granted = self.permit(name)
            if granted.get("granted"):
                hand_back()
                return
            self.scheduler.sleep(self.scheduler.now + 3_000)

    # ---- what is told of it ----------------------------------------------------------------------------

    def least(self) -> float:
        """Seconds that the budgets and watches alone take: batches in rounds of as many as may be out."""
        rounds = 0
        for batch in self.planned:
            site = self.platform.machines[batch[0]].server.site
            may = min(self.groups[site].disruptions_allowed, self.groups["fleet"].disruptions_allowed)
            rounds += -(-len(batch) // may)
        return (rounds * (LEAST + self.warm_up_span) + len(self.planned) * WATCH_MS * 10) / SECOND

    def outcome(self) -> dict[str, Any]:
        truth, platform = self.history, self.platform
        spans = {"during": (self.release_began, self.release_ended)}
        told: dict[str, Any] = {
            "rules": truth.check_rules(self.scheduler.now, RETENTION_WINDOW),
            "budgets": platform.disruptions.build_report(),
            "service": {name: round(truth.compute_service(span), 4) for name, span in spans.items()},
            "attempts_each": round(truth.compute_attempts_per_operation(spans["during"]), 3),
            "refused": dict(truth.shed_counts),
            "broken_links": dict(Counter(truth.broken_links)),
            "dead": self.list_unexpected_exits(),
            "trouble": self.faults[:5],
            "transactions": len(truth.operations),
            "took_s": round((self.release_ended - self.release_began) / SECOND, 1),
        }
        return told

    def of_release(self) -> dict[str, Any]:
        platform = self.platform
        halt = None
        if self.halted_at is not None and platform.first_harm_at is not None:
            halt = round((self.halted_at - platform.first_harm_at) / SECOND, 2)
        return {
            "ended": self.ended,
            "why": self.why,
            "halt_s": halt,
            "exposed": len(platform.exposed_members),
            "drained_twice": sum(max(0, count - 1) for count in platform.drain_counts.values()),
            "stuck": self.stuck,
            "resumed_without_a_word": self.resumed_without_a_word,
            "stale_orders": platform.stale_order_count,
            "least_s": round(self.least(), 1),
            "batches": len(self.planned),
            "judged": self.judged,
            "breaches": platform.disruptions.breach_descriptions[:5],
            "operators": self.operator_s[:20],
            "versions": dict(Counter(one.version for one in platform.machines.values())),
        }


def play_once(told: ReleaseTold, folder: Path) -> tuple[dict[str, Any], Play]:
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    play = Play(told, folder)
    try:
        play.run_director(play.direct)
    finally:
        play.terminate_all()
    outcome = play.outcome()
    return (outcome | play.of_release() if told.without is None else outcome), play


def broken(report: dict[str, Any]) -> list[str]:
    """What must not be, of one report."""
    found = [f"rule {name}: {count}" for name, count in report["rules"].items() if count]
    found += [f"budget {name}" for name, one in report["budgets"].items() if one["breaches"]]
    bad = ("drained_twice", "resumed_without_a_word", "dead", "trouble")
    found += [f"{name}: {report[name]}" for name in bad if report[name]]
    return found + (["stuck"] if report["stuck"] else [])


def play_release(told: ReleaseTold) -> dict[str, Any]:
    """The report of the command: the release, and the same schedule without one."""
    kept = told.logs or Path(tempfile.mkdtemp(prefix="birchslip-lab-"))
    try:
        outcome, play = play_once(told, kept / "release")
        report: dict[str, Any] = {
            "seed": told.seed,
            "version": told.version,
            "fault": told.fault,
            "servers": told.sites * told.each,
            "planners": told.planners,
            "load": told.load,
            **outcome,
        }
        if not told.alone:
            single, _ = play_once(replace(told, without=tuple(play.deeds)), kept / "without")
            names = ("rules", "service", "attempts_each", "refused", "dead")
            report["without"] = {name: single[name] for name in names}
    finally:
        if told.logs is None:
            shutil.rmtree(kept, ignore_errors=True)
    report["broken"] = broken(report)
    return report


class Stand(Play):
    """The same world with no schedule, for a person to release through it by the command line."""

    def __init__(self, told: ReleaseTold, folder: Path, minutes: float, say: Callable[[str], None]) -> None:
        super().__init__(told, folder)
        self.minutes, self.tell = minutes, say

    def direct(self) -> None:
        self.start_all()
        self.platform.poll_machines()
        self.wait_for(self.known, 30 * SECOND)
        fleet = self.write_fleet_file("operator")
        release = self.folder / "release.json"
        release.write_bytes(msgspec.json.format(encode(self.plan(self.sites)), indent=2))
        self.tell(f"up for {self.minutes:g} minutes; in another shell:")
        self.tell(f"  export BIRCHSLIP_FLEET={fleet}")
        self.tell(f"  python -m birchslip release start {release} --who you")
        self.scheduler.sleep(self.scheduler.now + int(self.minutes * 60 * SECOND))
        self.platform.is_over = True
        self.drain_all()


def stand(told: ReleaseTold, folder: Path, minutes: float, say: Callable[[str], None]) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    made = Stand(told, folder, minutes, say)
    try:
        made.run_director(made.direct)
    finally:
        made.platform.is_over = True
        made.terminate_all()
    for trouble in made.faults:
        say(trouble)
