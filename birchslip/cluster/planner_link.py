"""An app server's side of the fleet: it reports to all planners, obeys the leader, and knocks where it is
asked.

Nothing here is on the path of a transaction. A planner that is slow, silent, gone or wrong costs a task its
patience; what holds meanwhile is what `obey.py` says.
"""

from __future__ import annotations

import os
import random
from collections.abc import Callable
from functools import partial

from ..admission.driver import AdmissionDriver
from ..admission.types import AdmissionSettings, Tenant
from ..errors import InvalidInputError
from ..net.counters import Counters
from ..net.log import Log
from ..net.passage import Passage
from ..net.program import memory
from ..net.scheduler import Scheduler
from ..net.site import address
from .fleet_file import Fleet, span
from .member_metrics import Figures, Rates, room_of
from .messages import (
    Incarnation,
    MemberReport,
    ProbeResult,
    ReportReply,
    decode,
    encode,
)
from .monotonic_clock import monotonic_now
from .plan_subscription import PlanSubscription, override_of
from .transport import PeerConnection, RequestRefusedError

WAIT_FIRST, WAIT_MOST = 1_000, 20_000  # before a planner is dialled again: 100 ms at first, 2 s at most
LIMIT = 5_000  # a reply that takes longer than half a second is none
KNOCK_LIMIT = 3_000
KNOCK_AGAIN = 2_000  # a door is knocked at five times a second at most
KNOCKS_KEPT = 10_000  # what was met is told for a second
KNOCKS_MOST = 8
SAMPLE = 1_000
MEMORY = 10_000  # its size is looked at once a second


class MemberStatus:
    """What the program tells of itself, asked for at each report."""

    def __init__(self) -> None:
        self.door = ""
        self.serving = self.leaving = False


class PlannerLink:
    """The tie of one app server to its fleet. `InvalidInputError` at its making names what does not fit."""

    def __init__(
        self,
        scheduler: Scheduler,
        counters: Counters,
        log: Log,
        fleet: Fleet,
        name: str,
        deployment: AdmissionSettings,
        tenants: list[str],
        profiles: list[str],
    ) -> None:
        site = fleet.site_of(name)
        if site is None:
            raise InvalidInputError(f"sites: no member is named {name!r}")
        self.scheduler, self.counters, self.log = scheduler, counters, log
        self.fleet, self.name, self.site = fleet, name, site.name
        self.routers = frozenset(site.routers)
        self.tenants: dict[str, Tenant] = dict(zip(tenants, deployment.tenants, strict=True))
        self.names = {id(tenant): told for told, tenant in self.tenants.items()}
        self.deployment = deployment
        self.incarnation = Incarnation(mark=int.from_bytes(os.urandom(6)))
        base = fleet.bases().get(name, 0.0)
        vault = fleet.vault
        self.obey = PlanSubscription(
            vault.kept * base if vault else 0.0, span(fleet.patience_ms), monotonic_now()
        )
        self.rates = Rates(tenants)
        self.figures = Figures(profiles)
        self.memory = self.memory_due = 0
        self.standing = MemberStatus()
        self.number = 0
        self.met: dict[str, tuple[int, str]] = {}
        self.knocking: dict[str, int] = {}
        self.calls = -1.0
        self.listed = False
        self.listing_changed: Callable[[], None] = lambda: None
        self.driver: AdmissionDriver | None = None  # the decisions, once they have begun
        self.chance = random.Random(self.incarnation.mark)

    def start(self) -> None:
        planners = list(self.fleet.planners)
        self.chance.shuffle(planners)
        for planner in planners:
            line = PeerConnection(self.scheduler, address(planner.address, "address"))
            self.scheduler.spawn(f"planner {planner.name}", partial(self.keep, planner.name, line))
        self.log.info("in a fleet", site=self.site, planners=len(planners), mark=self.incarnation.mark)
        self.scheduler.at(self.scheduler.now + SAMPLE, self.sample)

    # ---- what the program tells ------------------------------------------------------------------------

    def seen(self, passage: Passage) -> None:
        """A transaction has been taken in."""
        transaction = passage.transaction
        tenant = self.names.get(id(transaction.tenant), "") if transaction.tenant is not None else ""
        at_home = not self.routers or transaction.caller in self.routers
        self.rates.arrived(self.scheduler.now, tenant, at_home, transaction.is_retry)

    def answered(self, passage: Passage, what: str) -> None:
        transaction = passage.transaction
        now = self.scheduler.now
        late = now - transaction.arrived_at > transaction.request_class.latency_objective
        ran = now - passage.launched_at if passage.launched else -1
        self.figures.answered(passage.profile, what, ran, late)

    def sample(self) -> None:
        """What was answered is read off the counters ten times a second."""
        now = self.scheduler.now
        counts = self.counters.counts
        self.rates.answered(now, counts["book.honoured"], counts["book.shed"])
        self.scheduler.at(now + SAMPLE, self.sample)

    def check(self) -> None:
        """Before each batch of decisions: a lease that has ended binds before the next call is made.

        Guards against a pause of any length, of this process or of the machine.
        """
        if self.driver is None or self.fleet.vault is None:
            return
        calls = self.obey.calls(monotonic_now())
        if calls != self.calls:
            if calls < self.calls and calls == self.obey.kept:
                self.counters.count("fleet.leases_lapsed")
                self.log.info("the lease of the vault's share has ended", kept=calls)
            self.calls = calls
            self.driver.set_downstream_quota(calls)

    def may_be_listed(self) -> bool:
        listed = self.obey.listed(monotonic_now())
        if listed != self.listed:
            self.listed = listed
            self.log.info(
                "routers may find it" if listed else "routers are not to find it", epoch=self.obey.epoch
            )
        return listed

    # ---- planners --------------------------------------------------------------------------------------

    def keep(self, planner: str, line: PeerConnection) -> None:
        """The task of one planner: a report, its answer, and so on for as long as the program lives."""
        wait = WAIT_FIRST
        while True:
            began = self.scheduler.tell_time()
            try:
                self.report(line)
                wait = WAIT_FIRST
                self.counters.count("fleet.reports")
                pause = self.obey.every or span(self.fleet.report_ms)
            except RequestRefusedError as trouble:
                self.counters.count("fleet.refused")
                self.log.fault("a planner would not take a report", planner=planner, why=str(trouble))
                pause = span(self.fleet.report_ms)
            except (OSError, InvalidInputError) as trouble:
                self.counters.count("fleet.missed")
                self.log.fault("a planner can't be told", planner=planner, why=str(trouble))
                line.close()
                pause, wait = wait + self.chance.randrange(wait), min(2 * wait, WAIT_MOST)
            except Exception as trouble:
                # Whatever a planner sends: it ends this report, and the next is made.
                self.counters.count("fleet.faults")
                self.log.trace("a fault with a planner", trouble, planner=planner)
                line.close()
                pause = WAIT_MOST
            self.scheduler.sleep(max(began + pause, self.scheduler.now + WAIT_FIRST // 10))

    def report(self, line: PeerConnection) -> None:
        sent = monotonic_now()
        raw = line.ask("report", encode(self.told(sent)), self.scheduler.now + LIMIT)
        reply = decode(raw, ReportReply)
        now = monotonic_now()
        refused = self.obey.refused
        if self.obey.take(reply, sent, now):
            self.carry_out(reply, now)
        elif self.obey.refused > refused:
            self.counters.count("fleet.outdated")
            self.log.fault("a word of a leader of older days", epoch=reply.epoch, obeyed=self.obey.epoch)

    def told(self, now: int) -> MemberReport:
        self.number += 1
        moment = self.scheduler.now
        rates, metrics = self.rates, self.driver.metrics() if self.driver is not None else None
        load, visits, again, honoured, shed = rates.now(moment)
        if moment >= self.memory_due:
            self.memory, self.memory_due = memory(), moment + MEMORY
        site = self.deployment
        age = max(0, moment - metrics.started_at) if metrics is not None else 0
        self.met = {name: (at, what) for name, (at, what) in self.met.items() if moment - at <= KNOCKS_KEPT}
        return MemberReport(
            name=self.name,
            site=self.site,
            incarnation=self.incarnation,
            number=self.number,
            door=self.standing.door,
            age=age,
            serving=self.standing.serving,
            leaving=self.standing.leaving,
            warm=metrics is not None and (not metrics.starts_cold or age >= site.warm_up_span),
            room=room_of(site.cores, metrics.mean_service_time, honoured) if metrics is not None else 0.0,
            pace=max(0.0, metrics.slowdown) if metrics is not None else 1.0,
            load=load,
            visits=visits,
            again=again,
            honoured=honoured,
            shed=shed,
            calls=float(metrics.calls_in_flight) if metrics is not None else 0.0,
            share=max(0.0, self.obey.calls(now)),
            lease=self.obey.lease_left(now),
            epoch=self.obey.epoch,
            plan=self.obey.number,
            knocks=[ProbeResult(name=name, met=what) for name, (_, what) in self.met.items()][:KNOCKS_MOST],
            figures=self.figures.told(self.counters.counts),
            took={name: list(counts) for name, counts in self.figures.took.items()},
            memory=self.memory,
        )

    def carry_out(self, reply: ReportReply, now: int) -> None:
        for name, door in list(reply.knock.items())[:KNOCKS_MOST]:
            self.knock(name, door)
        if self.listed != self.obey.listed(now):
            self.listing_changed()
        tell = reply.tell
        if tell is None or self.driver is None or tell is not self.obey.plan:
            return
        until = self.scheduler.now + self.obey.left(now)
        if self.driver.apply_plan(override_of(tell, self.tenants, until)):
            self.counters.count("fleet.plans")

    # ---- witness ---------------------------------------------------------------------------------------

    def knock(self, name: str, door: str) -> None:
        """A health check at another member's door, for the planners; what is met is told with the next
        reports.
        """
        now = self.scheduler.now
        if now - self.knocking.get(name, -KNOCK_AGAIN) < KNOCK_AGAIN or len(self.knocking) > 4 * KNOCKS_MOST:
            return
        self.knocking = {one: at for one, at in self.knocking.items() if now - at < KNOCK_AGAIN}
        self.knocking[name] = now
        self.scheduler.spawn(f"knock at {name}", lambda: self.knock_once(name, door))

    def knock_once(self, name: str, door: str) -> None:
        self.counters.count("fleet.knocks")
        try:
            line = PeerConnection(self.scheduler, address(door, "door"))
        except ValueError:
            return
        try:
            line.ask("ping", b"", self.scheduler.now + KNOCK_LIMIT, params=[{}])
            what = "answered"
        except ConnectionRefusedError:
            what = "refused"
        except OSError as trouble:
            what = "refused" if trouble.errno == 111 else "silent"
        finally:
            line.close()
        self.met[name] = (self.scheduler.now, what)
