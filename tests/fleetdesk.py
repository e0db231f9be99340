"""Records of a fleet with everything told that a test does not care for."""

import json
import random

from birchslip.cluster.durable_vote import DurableVote
from birchslip.cluster.election import Election
from birchslip.cluster.fleet_reader import read_fleet
from birchslip.cluster.messages import Incarnation, MemberReport, ProbeOutcome, ProbeResult
from birchslip.cluster.planner_state import LOOK, PlannerState

SECOND = 10_000


def report(name="a-1", number=1, mark=1, site=None, knocks=(), **more):
    usual = {
        "address": "127.0.0.1:1",
        "uptime": 100 * SECOND,
        "is_serving": True,
        "is_draining": False,
        "is_warm": True,
        "capacity": 100.0,
        "slowdown": 1.0,
        "local_load": {"blue": 40.0, "green": 20.0},
        "evacuated_load": 0.0,
        "retries": 0.0,
        "served": 60.0,
        "rejected": 0.0,
        "calls_in_flight": 1.0,
        "call_limit": 2.0,
        "lease_remaining": 0,
        "plan_term": 0,
        "plan_number": 0,
    }
    site = site or name.rpartition("-")[0]
    met = [ProbeResult(member=door, outcome=ProbeOutcome(what)) for door, what in knocks]
    return MemberReport(
        name=name, sequence=number, site=site, incarnation=Incarnation(nonce=mark), probes=met, **usual | more
    )


def fleet_told(sites=("a", "b", "c"), each=2, planners=1, **more):
    told = {
        "planners": [{"name": f"p{n}", "address": f"127.0.0.1:{100 + n}"} for n in range(planners)],
        "sites": [
            {
                "name": site,
                "routers": [place],
                "members": [
                    {"name": f"{site}-{n}", "address": f"127.0.0.1:{1000 + place * each + n}"}
                    for n in range(each)
                ],
            }
            for place, site in enumerate(sites)
        ],
        "tenants": {"blue": 0.5, "green": 0.5},
        "vault": {"total": 24, "kept": 0.5, "lease_ms": 3000},
    }
    return told | more


def fleet(folder, **more):
    path = folder / "fleet.json"
    path.write_text(json.dumps(fleet_told(**more)))
    return read_fleet(path)


class Stage:
    """One planner's mind among members whose reports are made here, in virtual time; it leads at once."""

    def __init__(self, folder, **more):
        self.now = 0
        self.fleet = fleet(folder, **more)
        ballot = Election("p0", ["p0"], DurableVote(), 1, 0, random.Random(1))
        self.mind = PlannerState(self.fleet, ballot, 0)
        self.names = [one.name for site in self.fleet.sites for one in site.members]
        self.marks = dict.fromkeys(self.names, 1)
        self.told = {name: {} for name in self.names}
        self.silent, self.number = set(), 0
        self.replies = {}
        self.shut = "refused"
        self.events = []

    def pass_time(self, seconds):
        """Reports five times a second, looks ten times a second."""
        until = self.now + int(seconds * SECOND)
        while self.now < until:
            self.now += LOOK
            ask = self.mind.ballot.next_vote_request(self.now)
            if ask is not None:
                own = self.mind.ballot.handle_vote_request(ask, self.now)
                self.mind.ballot.handle_vote_response(own, ask.term, self.now, self.now)
            if self.now % (2 * LOOK) == 0:
                self.reports()
            self.mind.look(self.now)
            keep = self.mind.keep()
            if keep is not None and self.mind.ballot.handle_replication_response(
                self.mind.ballot.handle_replication_request(keep, self.now), keep.state_number
            ):
                self.mind.kept(keep.state_number)
            self.events += [(self.now, event, more) for event, more in self.mind.take_remarks()]
        return self

    def reports(self):
        self.number += 1
        for name in self.names:
            if name in self.silent:
                continue
            before = self.replies.get(name)
            knocks = [
                (door, self.shut if door in self.silent else "answered")
                for door in (before.probe_addresses if before is not None else {})
            ]
            more = (
                {"lease_remaining": before.lease_span, "call_limit": before.call_limit}
                if before is not None
                else {}
            )
            told = report(name, self.number, self.marks[name], knocks=knocks, **more | self.told[name])
            self.replies[name] = self.mind.hear(told, self.now)

    def lose(self, site):
        self.silent |= {name for name in self.names if name.startswith(f"{site}-")}
        for name in self.silent:
            member = self.mind.membership.members[name]
            self.mind.membership.broke(name, member.incarnation)

    def give_back(self, site, **more):
        for name in [one for one in self.silent if one.startswith(f"{site}-")]:
            self.silent.discard(name)
            self.marks[name] += 1
            self.told[name] = more

    def said(self, event):
        return [(at / SECOND, more) for at, what, more in self.events if what == event]
