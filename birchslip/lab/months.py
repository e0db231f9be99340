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


class Life:
    """One member and what it goes through. While it is `dead` its door is shut, while `stopped` it is
    silent.
    """

    def __init__(self, name: str, site: str, place: int) -> None:
        self.name, self.site, self.place = name, site, place
        self.mark = self.number = 0
        self.dead_until = self.stopped_until = self.slow_until = 0
        self.knocks: dict[str, str] = {}


class Month:
    """`every` is how often members report; a long play reports seldomer, which suspicion follows."""

    def __init__(self, seed: int, sites: int, each: int, every: int) -> None:
        self.chance = random.Random(seed)
        names = [f"s{n}" for n in range(sites)]
        told = [
            Site(
                name=site,
                members=[Member(name=f"{site}-{n}", address=f"127.0.0.1:{1 + n}") for n in range(each)],
            )
            for site in names
        ]
        self.every = every
        self.fleet = Fleet(
            planners=[Planner(name="p0", address="127.0.0.1:1")], sites=told, report_ms=every // 10
        )
        self.now = 0
        self.mind = PlannerState(
            self.fleet, Election("p0", ["p0"], DurableVote(), 1, 0, random.Random(seed)), 0
        )
        self.lives = {
            one.name: Life(one.name, site.name, place)
            for site in told
            for place, one in enumerate(site.members)
        }
        self.due: list[tuple[int, int, Callable[[], None]]] = []
        self.serial = 0
        self.count = {"restarts": 0, "pauses": 0, "slow": 0, "evacuations": 0, "false_evacuations": 0}

    def at(self, when: int, act: Callable[[], None]) -> None:
        self.serial += 1
        heapq.heappush(self.due, (when, self.serial, act))

    def run(self, until: int) -> dict[str, int]:
        for life in self.lives.values():
            self.at(self.chance.randrange(self.every), lambda life=life: self.report(life))  # type: ignore[misc]
        self.at(EVALUATION_INTERVAL, self.look)
        self.at(10 * SECOND, self.trouble)
        while self.due and self.due[0][0] <= until:
            self.now, _, act = heapq.heappop(self.due)
            act()
        return self.count

    # ---- members ---------------------------------------------------------------------------------------

    def report(self, life: Life) -> None:
        gap = int(self.every * self.chance.uniform(0.9, 1.15))
        self.at(self.now + gap, lambda: self.report(life))
        if self.now < life.dead_until or self.now < life.stopped_until:
            return
        slow = self.now < life.slow_until
        delay = int(self.every * self.chance.expovariate(10 if not slow else 2))
        self.at(self.now + delay, lambda: self.arrive(life))

    def arrive(self, life: Life) -> None:
        if self.now < life.dead_until:
            return
        life.number += 1
        told = MemberReport(
            name=life.name,
            site=life.site,
            incarnation=Incarnation(nonce=life.mark),
            sequence=life.number,
            address="127.0.0.1:1",
            uptime=SECOND,
            is_serving=True,
            is_draining=False,
            is_warm=True,
            capacity=100.0,
            slowdown=1.0 if self.now >= life.slow_until else 2.2,
            local_load={"blue": self.chance.uniform(30, 60)},
            evacuated_load=0.0,
            retries=0.0,
            served=45.0,
            rejected=0.0,
            calls_in_flight=0.0,
            call_limit=0.0,
            lease_remaining=0,
            plan_term=0,
            plan_number=0,
            probes=[ProbeResult(member=name, outcome=ProbeOutcome(met)) for name, met in life.knocks.items()][
                :8
            ],
        )
        reply = self.mind.receive_report(told, self.now)
        life.knocks = {name: self.met(name) for name in reply.probe_addresses}

    def met(self, name: str) -> str:
        life = self.lives[name]
        if self.now < life.dead_until:
            return "refused"
        return "silent" if self.now < life.stopped_until else "answered"

    # ---- time ------------------------------------------------------------------------------------------

    def look(self) -> None:
        self.at(self.now + max(EVALUATION_INTERVAL, self.every // 2), self.look)
        mind = self.mind
        ask = mind.election.next_vote_request(self.now)
        if ask is not None:
            mind.election.handle_vote_response(
                mind.election.handle_vote_request(ask, self.now), ask.term, self.now, self.now
            )
        mind.tick(self.now)
        told = mind.replication_request()
        if told is not None and mind.election.handle_replication_response(
            mind.election.handle_replication_request(told, self.now), told.state_number
        ):
            mind.mark_replicated(told.state_number)
        for event, more in mind.drain_events():
            if event == SITE_LOST_EVENT:
                self.count["evacuations"] += 1
                if not self.dark(str(more["site"])):
                    self.count["false_evacuations"] += 1

    def dark(self, site: str) -> bool:
        lives = [life for life in self.lives.values() if life.site == site]
        return all(self.now < max(life.dead_until, life.stopped_until) for life in lives)

    def trouble(self) -> None:
        """Something small every few minutes: a restart, a pause, a slow spell, or a short one of a whole
        site.
        """
        self.at(self.now + int(self.chance.expovariate(1 / 300) * SECOND), self.trouble)
        life = self.lives[self.chance.choice(list(self.lives))]
        draw = self.chance.random()
        if draw < 0.35:
            life.dead_until = self.now + self.chance.randrange(SECOND, 20 * SECOND)
            life.mark += 1
            life.number = 0
            self.count["restarts"] += 1
            member = self.mind.membership.members.get(life.name)
            if member is not None:
                self.mind.membership.mark_disconnected(life.name, member.incarnation)
        elif draw < 0.7:
            life.stopped_until = self.now + self.chance.randrange(SECOND // 10, 10 * SECOND)
            self.count["pauses"] += 1
        else:
            spell = self.now + self.chance.randrange(SECOND, 60 * SECOND)
            some = [one for one in self.lives.values() if draw < 0.85 or one.site == life.site]
            for one in some if draw >= 0.85 else [life]:
                one.slow_until = spell
            self.count["slow"] += 1


def play_month(
    days: float, seed: int, sites: int = 3, each: int = 3, every: int = 5 * SECOND
) -> dict[str, int]:
    """What happened in so many days of virtual time."""
    return Month(seed, sites, each, every).run(int(days * DAY))
