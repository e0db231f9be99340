"""A long time in virtual time: members that report through noise, pauses, restarts and slow links.

One mind that leads judges them, with no process and no socket. What counts is that no site is evacuated
that is not dark; and that one that is dark is. `benchmarks/fleet_month.py` plays a month.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable

from ..cluster.durable_vote import DurableVote
from ..cluster.election import Election
from ..cluster.fleet_file import Fleet, Member, Planner, Site
from ..cluster.messages import Incarnation, MemberReport, ProbeOutcome, ProbeResult
from ..cluster.planner_state import EVALUATION_INTERVAL, PlannerState
from ..cluster.site_supervisor import SITE_LOST_EVENT

SECOND = 10_000
DAY = 86_400 * SECOND


class SimulatedMember:
    """One member and what it goes through. While it is `dead` its door is shut, while `stopped` it is
    silent.
    """

    def __init__(self, name: str, site: str, index: int) -> None:
        self.name, self.site, self.index = name, site, index
        self.incarnation = self.sequence = 0
        self.down_until = self.paused_until = self.slow_until = 0
        self.probe_outcomes: dict[str, str] = {}


class LongRun:
    """`every` is how often members report; a long play reports seldomer, which suspicion follows."""

    def __init__(self, seed: int, sites: int, members_per_site: int, report_interval: int) -> None:
        self.rng = random.Random(seed)
        names = [f"s{n}" for n in range(sites)]
        fleet_sites = [
            Site(
                name=site,
                members=[
                    Member(name=f"{site}-{n}", address=f"127.0.0.1:{1 + n}") for n in range(members_per_site)
                ],
            )
            for site in names
        ]
        self.report_interval = report_interval
        self.fleet = Fleet(
            planners=[Planner(name="p0", address="127.0.0.1:1")],
            sites=fleet_sites,
            report_ms=report_interval // 10,
        )
        self.now = 0
        self.planner_state = PlannerState(
            self.fleet, Election("p0", ["p0"], DurableVote(), 1, 0, random.Random(seed)), 0
        )
        self.members = {
            member.name: SimulatedMember(member.name, site.name, index)
            for site in fleet_sites
            for index, member in enumerate(site.members)
        }
        self.event_queue: list[tuple[int, int, Callable[[], None]]] = []
        self.event_number = 0
        self.counts = {"restarts": 0, "pauses": 0, "slow": 0, "evacuations": 0, "false_evacuations": 0}

    def schedule(self, when: int, action: Callable[[], None]) -> None:
        self.event_number += 1
        heapq.heappush(self.event_queue, (when, self.event_number, action))

    def run(self, until: int) -> dict[str, int]:
        for member in self.members.values():
            first_report_at = self.rng.randrange(self.report_interval)
            self.schedule(first_report_at, lambda member=member: self.send_report(member))  # type: ignore[misc]
        self.schedule(EVALUATION_INTERVAL, self.tick)
        self.schedule(10 * SECOND, self.inject_fault)
        while self.event_queue and self.event_queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self.event_queue)
            action()
        return self.counts

    # ---- members ---------------------------------------------------------------------------------------

    def send_report(self, member: SimulatedMember) -> None:
        interval = int(self.report_interval * self.rng.uniform(0.9, 1.15))
        self.schedule(self.now + interval, lambda: self.send_report(member))
        if self.now < member.down_until or self.now < member.paused_until:
            return
        slow = self.now < member.slow_until
        delay = int(self.report_interval * self.rng.expovariate(10 if not slow else 2))
        self.schedule(self.now + delay, lambda: self.deliver_report(member))

    def deliver_report(self, member: SimulatedMember) -> None:
        if self.now < member.down_until:
            return
        member.sequence += 1
        report = MemberReport(
            name=member.name,
            site=member.site,
            incarnation=Incarnation(nonce=member.incarnation),
            sequence=member.sequence,
            address="127.0.0.1:1",
            uptime=SECOND,
            is_serving=True,
            is_draining=False,
            is_warm=True,
            capacity=100.0,
            slowdown=1.0 if self.now >= member.slow_until else 2.2,
            local_load={"blue": self.rng.uniform(30, 60)},
            evacuated_load=0.0,
            retries=0.0,
            served=45.0,
            rejected=0.0,
            calls_in_flight=0.0,
            call_limit=0.0,
            lease_remaining=0,
            plan_term=0,
            plan_number=0,
            probes=[
                ProbeResult(member=name, outcome=ProbeOutcome(outcome))
                for name, outcome in member.probe_outcomes.items()
            ][:8],
        )
        reply = self.planner_state.receive_report(report, self.now)
        member.probe_outcomes = {name: self.probe_outcome(name) for name in reply.probe_addresses}

    def probe_outcome(self, name: str) -> str:
        member = self.members[name]
        if self.now < member.down_until:
            return "refused"
        return "silent" if self.now < member.paused_until else "answered"

    # ---- time ------------------------------------------------------------------------------------------

    def tick(self) -> None:
        self.schedule(self.now + max(EVALUATION_INTERVAL, self.report_interval // 2), self.tick)
        planner_state = self.planner_state
        vote_request = planner_state.election.next_vote_request(self.now)
        if vote_request is not None:
            planner_state.election.handle_vote_response(
                planner_state.election.handle_vote_request(vote_request, self.now),
                vote_request.term,
                self.now,
                self.now,
            )
        planner_state.tick(self.now)
        replication_request = planner_state.replication_request()
        if replication_request is not None and planner_state.election.handle_replication_response(
            planner_state.election.handle_replication_request(replication_request, self.now),
            replication_request.state_number,
        ):
            planner_state.mark_replicated(replication_request.state_number)
        for event, fields in planner_state.drain_events():
            if event == SITE_LOST_EVENT:
                self.counts["evacuations"] += 1
                if not self.is_site_down(str(fields["site"])):
                    self.counts["false_evacuations"] += 1

    def is_site_down(self, site: str) -> bool:
        members = [member for member in self.members.values() if member.site == site]
        return all(self.now < max(member.down_until, member.paused_until) for member in members)

    def inject_fault(self) -> None:
        """Something small every few minutes: a restart, a pause, a slow spell, or a short one of a whole
        site.
        """
        self.schedule(self.now + int(self.rng.expovariate(1 / 300) * SECOND), self.inject_fault)
        member = self.members[self.rng.choice(list(self.members))]
        draw = self.rng.random()
        if draw < 0.35:
            member.down_until = self.now + self.rng.randrange(SECOND, 20 * SECOND)
            member.incarnation += 1
            member.sequence = 0
            self.counts["restarts"] += 1
            registered = self.planner_state.membership.members.get(member.name)
            if registered is not None:
                self.planner_state.membership.mark_disconnected(member.name, registered.incarnation)
        elif draw < 0.7:
            member.paused_until = self.now + self.rng.randrange(SECOND // 10, 10 * SECOND)
            self.counts["pauses"] += 1
        else:
            slow_until = self.now + self.rng.randrange(SECOND, 60 * SECOND)
            affected = [other for other in self.members.values() if draw < 0.85 or other.site == member.site]
            for other in affected if draw >= 0.85 else [member]:
                other.slow_until = slow_until
            self.counts["slow"] += 1


def simulate_days(
    days: float, seed: int, sites: int = 3, members_per_site: int = 3, report_interval: int = 5 * SECOND
) -> dict[str, int]:
    """What happened in so many days of virtual time."""
    return LongRun(seed, sites, members_per_site, report_interval).run(int(days * DAY))
