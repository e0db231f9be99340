"""Probe scheduling: which members probe the addresses of members of silent sites.

Requests a bounded number of probes, and only from members of other sites that are alive; `membership.py`
evaluates the results.
"""

from __future__ import annotations

from collections.abc import Mapping

from .membership import Member, Membership
from .messages import MemberReport
from .recovery_ramp import RecoveryRamp, RecoveryStage

WITNESSES_PER_SITE = 3
PROBES_PER_WITNESS = 3  # in one reply to a report


class ProbeScheduler:
    """The suspects and witnesses as of the last update.

    Attributes:
        suspected: The members of silent sites.
        witnesses: The members that may probe them; empty while there are no suspects.
    """

    def __init__(self, membership: Membership) -> None:
        """Create a scheduler without suspects; `update` finds them in `membership`."""
        self.membership = membership
        self.suspected: list[Member] = []
        self.witnesses: list[Member] = []

    def update(self, alive: Mapping[str, list[Member]], now: int) -> None:
        """Recompute suspects and witnesses; `alive` has the alive members of each site."""
        self.suspected = self.membership.suspected_members(now)
        self.witnesses = [member for members in alive.values() for member in members if self.suspected]

    def targets(self, report: MemberReport, ramps: Mapping[str, RecoveryRamp]) -> dict[str, str]:
        """Return the addresses that the sender of a report should probe, by member.

        Args:
            report: The report; its sender probes only members of other sites.
            ramps: Recovery ramp of each site.
        """
        # Probes of a site that already counts as lost give no new evidence, so other silent sites get them.
        suspects = [
            member
            for member in self.suspected
            if member.site != report.site and ramps[member.site].stage is not RecoveryStage.LOST
        ]
        if not suspects:
            return {}
        site_witnesses = [member.name for member in self.witnesses if member.site == report.site]
        chosen = site_witnesses[:WITNESSES_PER_SITE]
        if report.name not in chosen:
            return {}
        first = chosen.index(report.name)
        count = min(PROBES_PER_WITNESS, len(suspects))
        targets = [suspects[(first + offset) % len(suspects)] for offset in range(count)]
        return {member.name: member.report.address for member in targets}
