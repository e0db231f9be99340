"""Long simulations of a fleet in virtual time: members report through noise, pauses, restarts and slow links.

One leading planner's state judges the reports; there are no processes and no sockets. A site is to be
evacuated when all of its members are down or paused, and only then; what is counted here is how often one was
evacuated without cause. `benchmarks/fleet_month.py` simulates a month. Times are in tenths of a millisecond.
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
FAULTS_PER_SECOND = 1 / 300  # one every five minutes on average, in the whole fleet
# Thresholds of the draw that chooses a fault; above the last a whole site slows down.
RESTART_BELOW, PAUSE_BELOW, SLOW_MEMBER_BELOW = 0.35, 0.7, 0.85


class SimulatedMember:
    """One member.

    Attributes:
        index: Position in its site, from 0.
        sequence: Number of its last report in this incarnation.
        down_until: Until when it refuses connections and sends nothing.
        paused_until: Until when it does not respond and sends nothing.
        slow_until: Until when its runs are slow and its reports take longer.
        probe_outcomes: Outcome by name of each member that it probed for its next report.
    """

    def __init__(self, name: str, site: str, index: int) -> None:
        """Create a member in incarnation 0, up and at full speed."""
        self.name, self.site, self.index = name, site, index
        self.incarnation = self.sequence = 0
        self.down_until = self.paused_until = self.slow_until = 0
        self.probe_outcomes: dict[str, str] = {}


class LongRun:
    """A fleet with one planner in virtual time.

    Attributes:
        now: Virtual time; 0 at the start.
        event_queue: Time, number and action of each scheduled event; the number orders equal times.
        report_interval: Time between two reports of a member. Suspicion adapts to it, so a long run can use a
            longer interval.
        counts: Number of injected faults by kind, of evacuations and of false evacuations. An evacuation is
            false if a member of the site is neither down nor paused.
    """

    def __init__(self, seed: int, sites: int, members_per_site: int, report_interval: int) -> None:
        """Create `sites` sites of `members_per_site` members each; all draws follow from `seed`."""
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
        """Schedule an action for the virtual time `when`."""
        self.event_number += 1
        heapq.heappush(self.event_queue, (when, self.event_number, action))

    def run(self, until: int) -> dict[str, int]:
        """Simulate until the virtual time `until` and return the counts."""
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
        """Schedule the member's next report and, unless the member is down or paused, send one now.

        The report is under way for a tenth of the report interval on average, and for half of the interval if
        the member is slow.
        """
        interval = int(self.report_interval * self.rng.uniform(0.9, 1.15))
        self.schedule(self.now + interval, lambda: self.send_report(member))
        if self.now < member.down_until or self.now < member.paused_until:
            return
        slow = self.now < member.slow_until
        delay = int(self.report_interval * self.rng.expovariate(10 if not slow else 2))
        self.schedule(self.now + delay, lambda: self.deliver_report(member))

    def deliver_report(self, member: SimulatedMember) -> None:
        """Pass a report to the planner, and probe the members that its reply names.

        The report of a member that has gone down since is lost.
        """
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
        """Return the outcome of a probe of the member now, as a value of `ProbeOutcome`."""
        member = self.members[name]
        if self.now < member.down_until:
            return "refused"
        return "silent" if self.now < member.paused_until else "answered"

    # ---- planner and faults ----------------------------------------------------------------------------

    def tick(self) -> None:
        """Advance the planner's election, evaluation and replication, and count evacuations."""
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
        """Return whether every member of the site is down or paused."""
        members = [member for member in self.members.values() if member.site == site]
        return all(self.now < max(member.down_until, member.paused_until) for member in members)

    def inject_fault(self) -> None:
        """Inject a small fault: a restart, a pause, or a slow period of one member or of its whole site.

        A restart takes 1 to 20 s, a pause 0.1 to 10 s and a slow period 1 to 60 s.
        """
        self.schedule(self.now + int(self.rng.expovariate(FAULTS_PER_SECOND) * SECOND), self.inject_fault)
        member = self.members[self.rng.choice(list(self.members))]
        draw = self.rng.random()
        if draw < RESTART_BELOW:
            member.down_until = self.now + self.rng.randrange(SECOND, 20 * SECOND)
            member.incarnation += 1
            member.sequence = 0
            self.counts["restarts"] += 1
            registered = self.planner_state.membership.members.get(member.name)
            if registered is not None:
                self.planner_state.membership.mark_disconnected(member.name, registered.incarnation)
        elif draw < PAUSE_BELOW:
            member.paused_until = self.now + self.rng.randrange(SECOND // 10, 10 * SECOND)
            self.counts["pauses"] += 1
        else:
            slow_until = self.now + self.rng.randrange(SECOND, 60 * SECOND)
            site_members = [
                other
                for other in self.members.values()
                if draw < SLOW_MEMBER_BELOW or other.site == member.site
            ]
            for other in site_members if draw >= SLOW_MEMBER_BELOW else [member]:
                other.slow_until = slow_until
            self.counts["slow"] += 1


def simulate_days(
    days: float, seed: int, sites: int = 3, members_per_site: int = 3, report_interval: int = 5 * SECOND
) -> dict[str, int]:
    """Simulate `days` days of virtual time and return the counts of faults and evacuations.

    `members_per_site` is the number of members in each site, and `report_interval` the time between two
    reports of a member.
    """
    return LongRun(seed, sites, members_per_site, report_interval).run(int(days * DAY))
