"""Probe scheduling: which members probe the addresses of members of silent sites.

Requests few probes, and only by members of other sites that are alive; `membership.py` judges the results.
"""

from __future__ import annotations

from collections.abc import Mapping

from .membership import Member, Membership
from .messages import MemberReport
from .recovery_ramp import RecoveryRamp, RecoveryStage

WITNESSES_PER_SITE = 3
PROBES_PER_WITNESS = 3


class ProbeScheduler:
    """The suspects and witnesses as of the last update.

    Attributes:
        suspected: The members of silent sites.
        witnesses: The members that may probe them; nobody while there are no suspects.
    """

    def __init__(self, membership: Membership) -> None:
        """Starts without suspects."""
        self.membership = membership
        self.suspected: list[Member] = []
        self.witnesses: list[Member] = []

    def update(self, alive: Mapping[str, list[Member]], now: int) -> None:
        """Finds the suspects anew; `alive` has the members of each site that are alive."""
        self.suspected = self.membership.suspected_members(now)
        self.witnesses = [member for members in alive.values() for member in members if self.suspected]

    def targets(self, report: MemberReport, ramps: Mapping[str, RecoveryRamp]) -> dict[str, str]:
        """Returns the addresses, by member, that the sender of this report should probe."""
        # Probes of a site that is known to be lost show nothing new: other silent sites come first.
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
