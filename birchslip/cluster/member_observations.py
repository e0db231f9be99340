"""Observations for the disruption budget: whether each member of the fleet file is unavailable, and why."""

from __future__ import annotations

from collections.abc import Mapping

from .disruption_types import MemberObservation, UnavailabilityReason
from .membership import Member, MemberLiveness
from .messages import Incarnation
from .site_supervisor import SiteSupervisor

NEVER_REPORTED = MemberObservation(Incarnation(), 0.0, UnavailabilityReason.SILENT)


def observe_members(
    site_of_member: Mapping[str, str], sites: SiteSupervisor, report_interval: int, now: int
) -> dict[str, MemberObservation]:
    """Return an observation of each member.

    A member that has never reported counts as unavailable.

    Args:
        site_of_member: Site of each member of the fleet file, by name.
        sites: State of the sites and their members.
        report_interval: Interval between a member's reports, in tenths of a millisecond.
        now: The current time.
    """
    observations = {}
    for name, site in site_of_member.items():
        member = sites.membership.members.get(name)
        if member is None:
            observations[name] = NEVER_REPORTED
            continue
        reason = _unavailability(member, sites.ramps[site].is_serving, report_interval, now)
        capacity = sites.member_capacity(member)
        observations[name] = MemberObservation(member.incarnation, capacity, reason)
    return observations


def _unavailability(
    member: Member, site_is_serving: bool, report_interval: int, now: int
) -> UnavailabilityReason | None:
    liveness = member.liveness(now, report_interval)
    if liveness is MemberLiveness.LEFT:
        return UnavailabilityReason.DRAINING
    if liveness is not MemberLiveness.ALIVE:
        return UnavailabilityReason.SILENT
    if not site_is_serving:
        return UnavailabilityReason.LOST
    if not member.report.is_serving or not member.report.is_warm:
        return UnavailabilityReason.COLD
    return None
