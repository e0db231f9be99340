"""Builders of member reports, fleet documents and fleets with defaults, and a planner in virtual time.

Times are in tenths of a millisecond unless stated otherwise.
"""

import json
import random

from birchslip.cluster.durable_vote import DurableVote
from birchslip.cluster.election import Election
from birchslip.cluster.fleet_reader import read_fleet
from birchslip.cluster.messages import Incarnation, MemberReport, ProbeResult
from birchslip.cluster.planner_state import EVALUATION_INTERVAL, PlannerState

SECOND = 10_000


def make_report(name="a-1", sequence=1, nonce=1, site=None, probes=(), **fields):
    """Build a report of a healthy member, with `fields` in place of the defaults.

    Args:
        name: Name of the member.
        sequence: Number of the report within the member's incarnation.
        nonce: Nonce of the member's incarnation.
        site: Site of the member; by default the part of the name before the last hyphen.
        probes: Pairs of a probed member and the outcome.
        **fields: Other fields of the report.
    """
    defaults = {
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
    results = [ProbeResult(member=member, outcome=outcome) for member, outcome in probes]
    return MemberReport(
        name=name,
        sequence=sequence,
        site=site,
        incarnation=Incarnation(nonce=nonce),
        probes=results,
        **defaults | fields,
    )


def make_fleet_document(sites=("a", "b", "c"), members_per_site=2, planners=1, **fields):
    """Build the content of a fleet file; `fields` replace or extend its top-level keys."""
    document = {
        "planners": [{"name": f"p{n}", "address": f"127.0.0.1:{100 + n}"} for n in range(planners)],
        "sites": [
            {
                "name": site,
                "routers": [index],
                "members": [
                    {"name": f"{site}-{n}", "address": f"127.0.0.1:{1000 + index * members_per_site + n}"}
                    for n in range(members_per_site)
                ],
            }
            for index, site in enumerate(sites)
        ],
        "tenants": {"blue": 0.5, "green": 0.5},
        "vault": {"total": 24, "kept": 0.5, "lease_ms": 3000},
    }
    return document | fields


def make_fleet(folder, **fields):
    """Write `make_fleet_document(**fields)` to `fleet.json` in the folder and return it, read as a fleet."""
    path = folder / "fleet.json"
    path.write_text(json.dumps(make_fleet_document(**fields)))
    return read_fleet(path)


class SimulatedPlanner:
    """The state of a single planner and simulated members that report to it, in virtual time.

    The planner votes for itself, so it becomes the leader without delay.

    Attributes:
        report_fields: Fields that replace the defaults in the reports of each member.
        silent_members: Members that send no reports.
        replies: The last reply to each member.
        probe_outcome: Outcome that other members report for a probe of a silent member.
        events: Time, name and fields of each event that the planner logged.
    """

    def __init__(self, folder, **fields):
        """Create the planner at time 0 with a fleet of `make_fleet(folder, **fields)`."""
        self.now = 0
        self.fleet = make_fleet(folder, **fields)
        election = Election("p0", ["p0"], DurableVote(), 1, 0, random.Random(1))
        self.state = PlannerState(self.fleet, election, 0)
        self.names = [member.name for site in self.fleet.sites for member in site.members]
        self.incarnations = dict.fromkeys(self.names, 1)
        self.report_fields = {name: {} for name in self.names}
        self.silent_members, self.report_sequence = set(), 0
        self.replies = {}
        self.probe_outcome = "refused"
        self.events = []

    def advance(self, seconds):
        """Run the planner and its members for a number of seconds.

        The planner ticks ten times a second, once per `EVALUATION_INTERVAL`; members report five times a
        second.

        Returns:
            This planner, so that calls can be chained.
        """
        until = self.now + int(seconds * SECOND)
        while self.now < until:
            self.now += EVALUATION_INTERVAL
            self.vote()
            if self.now % (2 * EVALUATION_INTERVAL) == 0:
                self.send_reports()
            self.state.tick(self.now)
            self.replicate()
            self.events += [(self.now, event, fields) for event, fields in self.state.drain_events()]
        return self

    def vote(self):
        """Answer the planner's vote request, if it has one, with its own vote."""
        election = self.state.election
        request = election.next_vote_request(self.now)
        if request is not None:
            election.handle_vote_response(
                election.handle_vote_request(request, self.now), request.term, self.now, self.now
            )

    def replicate(self):
        """Store the state that the planner wants replicated, if any; the planner alone is the majority."""
        election = self.state.election
        request = self.state.replication_request()
        if request is not None and election.handle_replication_response(
            election.handle_replication_request(request, self.now), request.state_number
        ):
            self.state.mark_replicated(request.state_number)

    def send_reports(self):
        """Send a report of each member that is not silent."""
        self.report_sequence += 1
        for name in self.names:
            if name not in self.silent_members:
                self.send_report(name)

    def send_report(self, name):
        """Send a report of one member with the lease, call limit and probes of the last reply to it.

        `report_fields` of the member replace these and the defaults.
        """
        fields, probes = {}, []
        last_reply = self.replies.get(name)
        if last_reply is not None:
            fields = {"lease_remaining": last_reply.lease_span, "call_limit": last_reply.call_limit}
            probes = [
                (target, self.probe_outcome if target in self.silent_members else "answered")
                for target in last_reply.probe_addresses
            ]
        fields |= self.report_fields[name]
        report = make_report(name, self.report_sequence, self.incarnations[name], probes=probes, **fields)
        self.replies[name] = self.state.receive_report(report, self.now)

    def lose_site(self, site):
        """Silence all members of a site; the connections of all silent members to the planner are closed."""
        self.silent_members |= {name for name in self.names if name.startswith(f"{site}-")}
        for name in self.silent_members:
            member = self.state.membership.members[name]
            self.state.membership.mark_disconnected(name, member.incarnation)

    def restore_site(self, site, **fields):
        """Start new incarnations of the silent members of a site; their reports then have these fields."""
        for name in [name for name in self.silent_members if name.startswith(f"{site}-")]:
            self.silent_members.discard(name)
            self.incarnations[name] += 1
            self.report_fields[name] = fields

    def events_named(self, name):
        """Return the time in seconds and the fields of each event of this name."""
        return [(at / SECOND, fields) for at, event, fields in self.events if event == name]
