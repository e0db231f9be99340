"""Site supervision: the verdict on each site, its evacuation and its recovery.

Owns the recovery ramps and the usual load of the sites. A site is evacuated only on the verdict LOST or on an
operator's command; where its load goes is decided by `site_plan.py`.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from .membership import Member, Membership, SiteVerdict
from .planner_events import EventBuffer
from .recovery_ramp import RecoveryRamp, RecoveryStage
from .replicated_state import SiteState
from .site_capacity import SiteCapacity

LOAD_SMOOTHING = 0.1  # weight of each sample: a mean over about two seconds
MAX_OPERATOR_REASON_LENGTH = 300  # characters
LOST_REASON = "no planner hears it and its doors are shut"  # stored, so the text must not change
SITE_LOST_EVENT = "site_lost"


def restore_ramps(stored: Mapping[str, SiteState], sites: Iterable[str], now: int) -> dict[str, RecoveryRamp]:
    """Return the ramp of each site; stored sites that are not in the fleet file are ignored."""
    return {
        site: stored[site].to_ramp(site, now) if site in stored else RecoveryRamp(site, since=now)
        for site in sites
    }


class SiteSupervisor:
    """State of all sites. Rates are in requests per second, times in tenths of a millisecond.

    Attributes:
        membership: The members of each site and their reports.
        events: Buffer for the events that this object logs.
        ramps: Recovery ramp of each site.
        verdicts: Verdict on each site at the last evaluation as leader.
        usual_load: Smoothed rate of first attempts at each site, by tenant.
        usual_retry_load: Smoothed rate of retries at each site.
    """

    def __init__(self, sites: Iterable[str], membership: Membership, events: EventBuffer, now: int) -> None:
        """Start with every site serving."""
        self.membership = membership
        self.events = events
        self.ramps = {site: RecoveryRamp(site, since=now) for site in sites}
        self.verdicts = dict.fromkeys(self.ramps, SiteVerdict.REACHABLE)
        self.usual_load: dict[str, dict[str, float]] = {site: {} for site in self.ramps}
        self.usual_retry_load = dict.fromkeys(self.ramps, 0.0)
        self._last_capacity: dict[str, float] = {}

    def sites_not_serving(self) -> list[str]:
        """Return the sites that do not serve their full load."""
        return [site for site, ramp in self.ramps.items() if not ramp.is_serving]

    def serving_fractions(self) -> dict[str, float]:
        """Return the fraction of each site's cores that may be used."""
        return {site: ramp.serving_fraction for site, ramp in self.ramps.items()}

    # ---- stored state ----------------------------------------------------------------------------------

    def stored_sites(self) -> dict[str, SiteState]:
        """Return the states to store: those of sites that are not serving or have flapped."""
        return {
            site: SiteState.from_ramp(ramp, self.usual_load[site])
            for site, ramp in self.ramps.items()
            if not ramp.is_serving or ramp.flap_count
        }

    def restore(self, stored: Mapping[str, SiteState], now: int) -> None:
        """Restore the ramps and usual loads that the previous leader stored; their stages begin at `now`."""
        self.ramps = restore_ramps(stored, self.ramps, now)
        for site, state in stored.items():
            if site in self.ramps:
                self.usual_load[site] = dict(state.load)

    # ---- measurements ----------------------------------------------------------------------------------

    def measure_load(self, now: int) -> None:
        """Update the usual load of each site from the newest reports.

        Must be called only while all sites are serving and their reports arrive.
        """
        for site, usual in self.usual_load.items():
            reports = [member.report for member in self.membership.alive_members(site, now)]
            for tenant in {name for report in reports for name in report.local_load} | set(usual):
                rate = sum(report.local_load.get(tenant, 0.0) for report in reports)
                usual[tenant] = usual.get(tenant, rate) * (1 - LOAD_SMOOTHING) + rate * LOAD_SMOOTHING
            retry_load = sum(report.retries for report in reports)
            self.usual_retry_load[site] += (retry_load - self.usual_retry_load[site]) * LOAD_SMOOTHING

    def member_capacity(self, member: Member) -> float:
        """Return a member's measured capacity, or the last known one while a restarted member has none."""
        if member.report.capacity > 0:
            self._last_capacity[member.name] = member.report.capacity
        return self._last_capacity.get(member.name, 0.0)

    def capacities(self) -> list[SiteCapacity]:
        """Return the current capacity and usual load of each site, for the site plan."""
        return [self._site_capacity(site, ramp) for site, ramp in self.ramps.items()]

    def _site_capacity(self, site: str, ramp: RecoveryRamp) -> SiteCapacity:
        members = self.membership.sites[site].values()
        return SiteCapacity(
            name=site,
            member_capacity={
                member.name: self.member_capacity(member)
                for member in members
                if not member.report.is_draining
            },
            load=self.usual_load[site],
            retry_load=self.usual_retry_load[site],
            is_lost=ramp.stage in (RecoveryStage.LOST, RecoveryStage.WAITING),
            serving_fraction=ramp.serving_fraction,
        )

    # ---- events ----------------------------------------------------------------------------------------

    def evaluate(self, site_sizes: Mapping[str, int], now: int) -> bool:
        """Evaluate all sites; return whether any has changed its stage or step.

        Args:
            site_sizes: Number of members of each site in the fleet file.
            now: The current time.
        """
        changes = [
            self._evaluate_site(site, ramp, site_sizes[site], now) for site, ramp in self.ramps.items()
        ]
        return any(changes)

    def _evaluate_site(self, site: str, ramp: RecoveryRamp, expected_members: int, now: int) -> bool:
        verdict = self._update_verdict(site, now)
        if verdict is SiteVerdict.LOST and ramp.mark_lost(now, LOST_REASON):
            self.events.record(SITE_LOST_EVENT, site=site, flaps=ramp.flap_count, why=ramp.reason)
            return True
        if ramp.is_serving:
            return False
        reports = [member.report for member in self.membership.alive_members(site, now)]
        usual_load = sum(self.usual_load[site].values())
        reason = ramp.evaluate(reports, expected_members, usual_load, now)
        if not reason:
            return False
        self.events.record(
            "site_stage_changed", site=site, stage=ramp.stage.value, level=ramp.serving_fraction, why=reason
        )
        return True

    def _update_verdict(self, site: str, now: int) -> SiteVerdict:
        verdict = self.membership.verdict(site, now)
        previous = self.verdicts[site]
        if verdict is not previous:
            self.events.record("site_verdict_changed", site=site, before=previous.value, now=verdict.value)
            self.verdicts[site] = verdict
        return verdict

    def evacuate(self, site: str, operator: str, reason: str, now: int) -> bool:
        """Evacuate a site on an operator's command; return whether its stage has changed."""
        stored_reason = f"by hand: {operator}: {reason}"[:MAX_OPERATOR_REASON_LENGTH]
        if not self.ramps[site].mark_lost(now, stored_reason, by_operator=True):
            return False
        self.events.record("site_evacuated", site=site, who=operator, why=reason)
        return True

    def end_evacuation(self, site: str, operator: str, now: int) -> bool:
        """End an operator's evacuation on command; return whether the site's stage has changed."""
        if not self.ramps[site].end_evacuation(now):
            return False
        self.events.record("site_returned", site=site, who=operator)
        return True
