"""What the platform tells of processes, read off its JSON: its own form, in which what is not known here is
passed over.

    {"members": {"a-1": {"state": "up", "version": "7", "starts": 0, "ends": 0}}, "services": {...}}

`state` is `up`, `draining`, `stopped` or `failed`; `starts` counts starts in `version` that did not come up,
`ends` how often it ended by itself in it, `life` all its starts.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from ..errors import InvalidInputError
from .disruption_budget import MemberObservation, UnavailabilityReason
from .messages import Count, Incarnation, Name
from .rollout import InstanceStatus, PlatformView, Version


class ProcessReport(msgspec.Struct):
    state: Annotated[str, msgspec.Meta(pattern="^(up|draining|stopped|failed)$")]
    version: Version = "unknown"
    starts: Count = 0
    ends: Count = 0
    life: Count = 0


class Inventory(msgspec.Struct):
    members: dict[Name, ProcessReport]
    services: dict[Name, ProcessReport] = {}

    def platform(self) -> dict[str, PlatformView]:
        return {
            name: PlatformView(InstanceStatus(one.state), one.version, one.starts, one.ends)
            for name, one in self.members.items()
        }

    def service(self, name: str) -> MemberObservation:
        """As it is seen among the members; one that the platform does not know is out."""
        one = self.services.get(name)
        if one is None:
            return MemberObservation(Incarnation(), 0.0, UnavailabilityReason.SILENT)
        why = {"up": None, "draining": UnavailabilityReason.LEAVING}.get(
            one.state, UnavailabilityReason.SILENT
        )
        return MemberObservation(Incarnation(generation=one.life), 1.0, why)


def read_inventory(raw: bytes) -> Inventory:
    try:
        return msgspec.json.decode(raw, type=Inventory)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as trouble:
        raise InvalidInputError(f"a listing of the platform: {trouble}") from None
