"""Membership: which members are alive, in which incarnation, and the verdict on each site that follows.

Decides verdicts on members and sites; it never acts on them. A member is *reporting* if its reports reach any
planner; a site is *silent* if none of its members is reporting, not counting draining ones.

| verdict on a site | evidence |
| --- | --- |
| reachable | most of its members are reporting |
| slow | members are reporting, but run times of most are at least twice the usual ones |
| restarting | most members are missing, draining or in a new incarnation; the others are reporting |
| partitioned | the site is silent, and a probe by a member of another site was answered |
| lost | the site is silent, and probes by several members of other sites were refused or timed out |
| unknown | the site is silent, and there is no such evidence yet: no action is taken |

Silence towards a single planner is no evidence: a member that reports to any planner counts as reporting, and
a site counts as lost only on the probes of several members that are reporting themselves. Indirect probes are
those of SWIM (Das, Gupta and Motivala 2002).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, StrEnum
from typing import NamedTuple

from ..admission.types import MS, SECOND
from .messages import Incarnation, MemberReport
from .phi_accrual import PhiAccrualDetector

SUSPICION_THRESHOLD_PHI = 5.0
GONE_TIMEOUT = 10 * SECOND  # of silence, after which a suspected member counts as gone
MIN_WITNESSES = 2  # members that must have probed a lost site, or all possible witnesses if fewer
MIN_UNREACHABLE_MEMBERS = 2  # failed probe targets of a lost site, or all its members if fewer
PROBE_VALIDITY = 2_000 * MS  # age up to which a probe is evidence
PEER_OBSERVATION_INTERVALS = 4  # report intervals for which another planner's observation is valid
RECENT_REPORT_INTERVALS = 4  # report intervals for which a report proves a member reachable to a peer
SLOW_MEMBER_SLOWDOWN = 2.0  # run times relative to the usual ones
MAX_DEPARTED = 1_024  # members no longer in the fleet file that are remembered
MAX_PREVIOUS_INCARNATIONS = 16  # per member, so that a late report of an earlier one is recognised


class MemberLiveness(Enum):
    """Liveness of a member, as far as all planners together know."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    GONE = "gone"
    PARTITIONED = "cut off"
    LEFT = "left"


class SiteVerdict(Enum):
    """Verdict on a site; see the table in this module's doc comment."""

    REACHABLE = "here"
    SLOW = "slow"
    RESTARTING = "restarting"
    PARTITIONED = "cut off"
    UNKNOWN = "dark"
    LOST = "lost"


class ProbeOutcome(StrEnum):
    """Outcome of a connection from one member to the address of another."""

    ANSWERED = "answered"
    REFUSED = "refused"
    SILENT = "silent"


class ProbeEvidence(NamedTuple):
    """The newest probe of a member by one witness: when it was reported, and its outcome."""

    at: int
    outcome: str


@dataclass(eq=False, slots=True)
class Member:
    """One member and the evidence about it. Times are in tenths of a millisecond.

    Attributes:
        name: The member's name in the fleet file.
        site: Name of the member's site.
        incarnation: The current run of the member's process.
        detector: Failure detector, whose heartbeats are the member's reports.
        report: The newest report.
        incarnation_since: When the first report of the current incarnation arrived.
        disconnected: Whether the member's last connection to this planner ended after its newest report.
        last_reported_by_peers: When another planner last confirmed that it receives this member's reports; -1
            for never.
        previous_incarnations: Earlier incarnations, oldest first.
        probes: The newest probe by each witness.
        restarts: Changes of incarnation that this planner has observed.
    """

    name: str
    site: str
    incarnation: Incarnation
    detector: PhiAccrualDetector
    report: MemberReport
    incarnation_since: int
    disconnected: bool = False
    last_reported_by_peers: int = -1
    previous_incarnations: list[Incarnation] = field(default_factory=list)
    probes: dict[str, ProbeEvidence] = field(default_factory=dict)
    restarts: int = 0

    def is_reporting(self, now: int, report_interval: int) -> bool:
        """Return whether the member's reports reach this planner or, as reported recently, another one."""
        was_reported = self.last_reported_by_peers >= 0
        if was_reported and now - self.last_reported_by_peers <= PEER_OBSERVATION_INTERVALS * report_interval:
            return True
        return not self.disconnected and self.detector.phi(now) < SUSPICION_THRESHOLD_PHI

    def valid_probes(self, now: int) -> dict[str, ProbeEvidence]:
        """Return the probes that are recent and newer than the last report, by witness."""
        return {
            witness: probe
            for witness, probe in self.probes.items()
            if now - probe.at <= PROBE_VALIDITY and probe.at >= self.detector.last_heartbeat
        }

    def answered_probe(self, now: int) -> bool:
        """Return whether the member has answered a valid probe."""
        return any(probe.outcome == ProbeOutcome.ANSWERED for probe in self.valid_probes(now).values())

    def liveness(self, now: int, report_interval: int) -> MemberLiveness:
        """Return the liveness of this member."""
        if self.report.is_draining:
            return MemberLiveness.LEFT
        if self.is_reporting(now, report_interval):
            return MemberLiveness.ALIVE
        if self.answered_probe(now):
            return MemberLiveness.PARTITIONED
        if now - self.detector.last_heartbeat >= GONE_TIMEOUT:
            return MemberLiveness.GONE
        return MemberLiveness.SUSPECTED

    def start_incarnation(self, incarnation: Incarnation, now: int, report_interval: int) -> None:
        """Start a new incarnation: remember the previous one, and discard its heartbeats and probes."""
        latest = self.previous_incarnations[1 - MAX_PREVIOUS_INCARNATIONS :]
        self.previous_incarnations = [*latest, self.incarnation]
        self.incarnation = incarnation
        self.incarnation_since = now
        self.detector = PhiAccrualDetector(now, report_interval)
        self.restarts += 1
        self.probes.clear()


class Membership:
    """All members that have reported.

    Attributes:
        members: Members of the current fleet file, by name.
        departed: Members removed from the fleet file, by name, so that their late reports are recognised.
        sites: Members of each site of the fleet file, by name of the site and of the member.
        report_interval: How often a member reports, in tenths of a millisecond.
    """

    def __init__(self, sites: Iterable[str], report_interval: int) -> None:
        """Start without members; `sites` are the names of the sites in the fleet file."""
        self.members: dict[str, Member] = {}
        self.departed: dict[str, Member] = {}
        self.sites: dict[str, dict[str, Member]] = {site: {} for site in sites}
        self.report_interval = report_interval

    # ---- events ----------------------------------------------------------------------------------------

    def receive_report(self, report: MemberReport, now: int) -> bool:
        """Process a report, which is a heartbeat of its member.

        Returns:
            False if the report is ignored, as it is a duplicate, late, of an earlier incarnation or from a
            site that the fleet file does not name.
        """
        if report.site not in self.sites:
            return False
        member = self.members.get(report.name) or self._restore(report.name)
        if member is None:
            self._add(report, now)
            return True
        if report.incarnation == member.incarnation:
            if report.sequence <= member.report.sequence:
                return False
            member.detector.record_heartbeat(now)
        elif self._is_outdated(report.incarnation, member):
            return False
        else:
            member.start_incarnation(report.incarnation, now, self.report_interval)
        if report.site != member.site:
            self._move(member, report.site)
        member.report = report
        member.disconnected = False
        return True

    def remove(self, name: str) -> None:
        """Remove a member that the fleet file no longer names, and remember it among `departed`."""
        member = self.members.pop(name, None)
        if member is None:
            return
        del self.sites[member.site][name]
        self.departed[name] = member
        for oldest in list(self.departed)[:-MAX_DEPARTED]:
            del self.departed[oldest]

    def mark_disconnected(self, name: str, incarnation: Incarnation) -> None:
        """Suspect a member whose last connection has ended, if it is still in that incarnation."""
        member = self.members.get(name)
        if member is not None and member.incarnation == incarnation:
            member.disconnected = True

    def mark_reported_by_peers(self, names: Iterable[str], now: int) -> None:
        """Record that another planner receives reports of these members."""
        for name in names:
            if name in self.members:
                self.members[name].last_reported_by_peers = now

    def record_probe(self, witness: str, name: str, outcome: str, now: int) -> None:
        """Record a probe as evidence if the witness is of another site and is reporting itself."""
        member = self.members.get(name)
        prober = self.members.get(witness)
        if member is None or prober is None or prober.site == member.site:
            return
        if prober.is_reporting(now, self.report_interval):
            member.probes[witness] = ProbeEvidence(now, outcome)

    def _add(self, report: MemberReport, now: int) -> None:
        detector = PhiAccrualDetector(now, self.report_interval)
        member = Member(report.name, report.site, report.incarnation, detector, report, now)
        self.members[report.name] = member
        self.sites[report.site][report.name] = member

    def _restore(self, name: str) -> Member | None:
        """Restore a departed member, so that late reports of its earlier incarnations are ignored."""
        member = self.departed.pop(name, None)
        if member is not None:
            self.members[name] = member
            self.sites[member.site][name] = member
        return member

    def _move(self, member: Member, site: str) -> None:
        del self.sites[member.site][member.name]
        self.sites[site][member.name] = member
        member.site = site

    @staticmethod
    def _is_outdated(incarnation: Incarnation, member: Member) -> bool:
        if incarnation in member.previous_incarnations:
            return True
        return 0 < incarnation.generation < member.incarnation.generation

    # ---- verdicts --------------------------------------------------------------------------------------

    def alive_members(self, site: str, now: int) -> list[Member]:
        """Return the members of a site that are reporting and not draining."""
        interval = self.report_interval
        return [
            member
            for member in self.sites[site].values()
            if member.liveness(now, interval) is MemberLiveness.ALIVE
        ]

    def recently_reporting(self, names: Iterable[str], report_interval: int, now: int) -> list[str]:
        """Return those of `names` that are connected and reported within `RECENT_REPORT_INTERVALS`."""
        members = (self.members.get(name) for name in names)
        max_silence = RECENT_REPORT_INTERVALS * report_interval
        return [
            member.name
            for member in members
            if member is not None
            and not member.disconnected
            and now - member.detector.last_heartbeat <= max_silence
        ]

    def suspected_members(self, now: int) -> list[Member]:
        """Return the members that should be probed: those of silent sites."""
        return [member for site in self.sites for member in self.silent_site_members(site, now)]

    def silent_site_members(self, site: str, now: int) -> list[Member]:
        """Return the non-draining members of a silent site; an empty list if the site is not silent."""
        expected = [member for member in self.sites[site].values() if not member.report.is_draining]
        silent = [member for member in expected if not member.is_reporting(now, self.report_interval)]
        return silent if len(silent) == len(expected) else []

    def verdict(self, site: str, now: int) -> SiteVerdict:
        """Return the verdict on a site; see the table in this module's doc comment."""
        silent = self.silent_site_members(site, now)
        if silent:
            return self._verdict_on_silent_site(site, silent, now)
        members = self.sites[site]
        alive = self.alive_members(site, now)
        if not alive:
            return SiteVerdict.RESTARTING if members else SiteVerdict.REACHABLE
        slow = sum(1 for member in alive if member.report.slowdown >= SLOW_MEMBER_SLOWDOWN)
        if 2 * slow > len(alive):
            return SiteVerdict.SLOW
        restarted = sum(
            1 for member in alive if member.restarts and now - member.incarnation_since < GONE_TIMEOUT
        )
        missing = len(members) - len(alive)
        if 2 * (restarted + missing) > len(members):
            return SiteVerdict.RESTARTING
        return SiteVerdict.REACHABLE

    def _verdict_on_silent_site(self, site: str, silent: list[Member], now: int) -> SiteVerdict:
        probes = {member.name: member.valid_probes(now) for member in silent}
        outcomes = [probe.outcome for by_witness in probes.values() for probe in by_witness.values()]
        if ProbeOutcome.ANSWERED in outcomes:
            return SiteVerdict.PARTITIONED
        potential_witnesses = sum(
            1
            for member in self.members.values()
            if member.site != site and member.is_reporting(now, self.report_interval)
        )
        witnesses = {witness for by_witness in probes.values() for witness in by_witness}
        unreachable = sum(1 for by_witness in probes.values() if by_witness)
        if not potential_witnesses or len(witnesses) < min(MIN_WITNESSES, potential_witnesses):
            return SiteVerdict.UNKNOWN
        if unreachable < min(MIN_UNREACHABLE_MEMBERS, len(silent)):
            return SiteVerdict.UNKNOWN
        return SiteVerdict.LOST
