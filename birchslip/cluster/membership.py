"""Who is there, in which site, in which life of it; and which sites are lost.

| verdict on a site | what tells it apart |
| --- | --- |
| here | a planner hears most of its members |
| slow | its members are heard, but late or with a pace of twice the usual and more |
| restarting | members are gone and come back in a new life, or said that they leave; the others are heard |
| cut off | no planner hears it, and a witness of another site knocked at a door there and was answered |
| lost | no planner hears it, and witnesses of other sites were refused or met silence at several doors |
| dark | no planner hears it, and there is no evidence of witnesses yet: nothing is done about it |

One planner's silence is no evidence: members that any planner hears count as heard, and a site is called lost
only on knocks of several members that are themselves heard. Indirect probes by other members are those of
SWIM (Das, Gupta and Motivala 2002).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from .messages import Incarnation, MemberReport
from .phi_accrual import PhiAccrualDetector

SUSPECT = 5.0  # phi: one silence in a hundred thousand is that long by chance
GONE = 100_000  # ten seconds of silence
WITNESSES = 2  # that must agree on a lost site, where there are so many
DOORS = 2  # of a site that must be found shut
KNOCK_KEPT = 20_000  # what a knock met is evidence for two seconds
PACE_SLOW = 2.0
GONE_KEPT = 1_024  # names that were used before
STALE_LIVES = 16  # lives remembered of one name, so that a late report of an earlier one is known


class MemberLiveness(Enum):
    ALIVE = "alive"
    SUSPECTED = "suspected"
    GONE = "gone"
    CUT_OFF = "cut off"
    LEFT = "left"


class SiteVerdict(Enum):
    HERE = "here"
    SLOW = "slow"
    RESTARTING = "restarting"
    CUT_OFF = "cut off"
    DARK = "dark"
    LOST = "lost"


@dataclass(eq=False, slots=True)
class Member:
    name: str
    site: str
    incarnation: Incarnation
    suspicion: PhiAccrualDetector
    report: MemberReport
    since: int  # of this life
    broken: bool = False  # its links ended and it has not been heard since
    heard_by_others: int = -1
    earlier: list[Incarnation] = field(default_factory=list)
    knocks: dict[str, tuple[int, str]] = field(default_factory=dict)  # witness: when, what was met
    restarts: int = 0

    def heard(self, now: int, usual: int) -> bool:
        """Whether some planner hears it."""
        if self.heard_by_others >= 0 and now - self.heard_by_others <= 4 * usual:
            return True
        return not self.broken and self.suspicion.phi(now) < SUSPECT

    def met(self, now: int) -> list[str]:
        return [
            what for at, what in self.knocks.values() if now - at <= KNOCK_KEPT and at >= self.suspicion.last
        ]

    def life(self, now: int, usual: int) -> MemberLiveness:
        if self.report.is_draining:
            return MemberLiveness.LEFT
        if self.heard(now, usual):
            return MemberLiveness.ALIVE
        if "answered" in self.met(now):
            return MemberLiveness.CUT_OFF
        return MemberLiveness.GONE if now - self.suspicion.last >= GONE else MemberLiveness.SUSPECTED


class Membership:
    """All members that reports have told of. `sites` names the sites of the fleet file."""

    def __init__(self, sites: Iterable[str], every: int) -> None:
        self.members: dict[str, Member] = {}
        self.gone: dict[str, Member] = {}  # that have left the fleet file: a late report of theirs is none
        self.sites: dict[str, dict[str, Member]] = {site: {} for site in sites}
        self.every = every

    # ---- what comes in ---------------------------------------------------------------------------------

    def hear(self, report: MemberReport, now: int) -> bool:
        """Whether it is news: one of an earlier life, of an unknown site, doubled or late is none."""
        if report.site not in self.sites:
            return False
        member = self.members.get(report.name) or self.come_again(report)
        if member is None:
            member = Member(
                report.name, report.site, report.incarnation, PhiAccrualDetector(now, self.every), report, now
            )
            self.members[report.name] = self.sites[report.site][report.name] = member
            return True
        if report.incarnation in member.earlier:
            return False
        if report.incarnation != member.incarnation:
            if 0 < report.incarnation.generation < member.incarnation.generation:
                return False
            member.earlier = [*member.earlier[1 - STALE_LIVES :], member.incarnation]
            member.incarnation, member.since = report.incarnation, now
            member.suspicion = PhiAccrualDetector(now, self.every)
            member.restarts += 1
            member.knocks.clear()
        elif report.sequence <= member.report.sequence:
            return False
        else:
            member.suspicion.heard(now)
        if report.site != member.site:
            del self.sites[member.site][member.name]
            self.sites[report.site][member.name] = member
            member.site = report.site
        member.report, member.broken = report, False
        return True

    def leave(self, name: str) -> None:
        """It is in the fleet file no more."""
        member = self.members.pop(name, None)
        if member is not None:
            del self.sites[member.site][name]
            self.gone[name] = member
            for old in list(self.gone)[:-GONE_KEPT]:
                del self.gone[old]

    def come_again(self, report: MemberReport) -> Member | None:
        """One under a name used before: late reports of its earlier lives change nothing."""
        member = self.gone.pop(report.name, None)
        if member is not None:
            self.members[report.name] = self.sites[member.site][report.name] = member
        return member

    def broke(self, name: str, incarnation: Incarnation) -> None:
        """The member's last link here has ended: it is suspected at once, where it is still that life."""
        member = self.members.get(name)
        if member is not None and member.incarnation == incarnation:
            member.broken = True

    def heard_elsewhere(self, names: Iterable[str], now: int) -> None:
        for name in names:
            if name in self.members:
                self.members[name].heard_by_others = now

    def knocked(self, witness: str, name: str, met: str, now: int) -> None:
        """Evidence counts from members of another site that are heard themselves."""
        member, by = self.members.get(name), self.members.get(witness)
        if member is not None and by is not None and by.site != member.site and by.heard(now, self.every):
            member.knocks[witness] = (now, met)

    # ---- what it comes to ------------------------------------------------------------------------------

    def alive(self, site: str, now: int) -> list[Member]:
        return [one for one in self.sites[site].values() if one.life(now, self.every) is MemberLiveness.ALIVE]

    def unheard(self, site: str, now: int) -> list[Member]:
        """Those that should be there and no planner hears."""
        there = (one for one in self.sites[site].values() if not one.report.is_draining)
        return [one for one in there if not one.heard(now, self.every)]

    def doubtful(self, now: int) -> list[Member]:
        """Whose doors should be knocked at: of sites that have fallen silent as a whole."""
        return [one for site in self.sites for one in self.dark(site, now)]

    def dark(self, site: str, now: int) -> list[Member]:
        """The members of a site none of which is heard; none of a site that is heard in part or empty."""
        unheard = self.unheard(site, now)
        there = sum(1 for one in self.sites[site].values() if not one.report.is_draining)
        return unheard if unheard and len(unheard) == there else []

    def verdict(self, site: str, now: int) -> SiteVerdict:
        dark = self.dark(site, now)
        if dark:
            return self.verdict_on_silence(site, dark, now)
        there = self.alive(site, now)
        if not there:
            return SiteVerdict.RESTARTING if self.sites[site] else SiteVerdict.HERE
        slow = sum(1 for one in there if one.report.slowdown >= PACE_SLOW)
        if 2 * slow > len(there):
            return SiteVerdict.SLOW
        fresh = sum(1 for one in there if one.restarts and now - one.since < GONE)
        missing = len(self.sites[site]) - len(there)
        return SiteVerdict.RESTARTING if 2 * (fresh + missing) > len(self.sites[site]) else SiteVerdict.HERE

    def verdict_on_silence(self, site: str, dark: list[Member], now: int) -> SiteVerdict:
        met = [what for one in dark for what in one.met(now)]
        if "answered" in met:
            return SiteVerdict.CUT_OFF
        able = sum(1 for one in self.members.values() if one.site != site and one.heard(now, self.every))
        shut = {one.name for one in dark if one.met(now)}
        witnesses = {
            name
            for one in dark
            for name, (at, _) in one.knocks.items()
            if now - at <= KNOCK_KEPT and at >= one.suspicion.last
        }
        enough = able and len(witnesses) >= min(WITNESSES, able) and len(shut) >= min(DOORS, len(dark))
        return SiteVerdict.LOST if enough else SiteVerdict.DARK
