"""The platform's inventory of processes, decoded from its JSON.

    {"members": {"a-1": {"state": "up", "version": "7", "starts": 0, "ends": 0}}, "services": {...}}

Unlike in messages between planners and members, unknown keys are ignored.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from ..errors import InvalidInputError
from .disruption_types import MemberObservation, UnavailabilityReason
from .messages import Count, Incarnation, Name
from .rollout_types import InstanceStatus, InstanceView, Version

SERVICE_CAPACITY = 1.0  # services report no capacity, so each counts as one


class ProcessReport(
    msgspec.Struct, rename={"failed_starts": "starts", "crashes": "ends", "start_count": "life"}
):
    """One process as the platform reports it.

    Attributes:
        state: A value of `InstanceStatus`.
        version: The version that it runs, or was last started in.
        failed_starts: Number of failed starts in that version.
        crashes: Number of crashes in that version.
        start_count: Number of all starts, in any version.
    """

    state: Annotated[str, msgspec.Meta(pattern="^(up|draining|stopped|failed)$")]
    version: Version = "unknown"
    failed_starts: Count = 0
    crashes: Count = 0
    start_count: Count = 0


class Inventory(msgspec.Struct):
    """All processes that the platform knows, by name: app servers and downstream services."""

    members: dict[Name, ProcessReport]
    services: dict[Name, ProcessReport] = {}

    def instances(self) -> dict[str, InstanceView]:
        """Return the app servers' processes for rollouts, by name."""
        return {
            name: InstanceView(
                InstanceStatus(process.state), process.version, process.failed_starts, process.crashes
            )
            for name, process in self.members.items()
        }

    def observe_service(self, name: str) -> MemberObservation:
        """Return the observation of a service; an unknown service counts as unavailable."""
        process = self.services.get(name)
        if process is None:
            return MemberObservation(Incarnation(), 0.0, UnavailabilityReason.SILENT)
        incarnation = Incarnation(generation=process.start_count)
        match InstanceStatus(process.state):
            case InstanceStatus.UP:
                reason = None
            case InstanceStatus.DRAINING:
                reason = UnavailabilityReason.DRAINING
            case _:
                reason = UnavailabilityReason.SILENT
        return MemberObservation(incarnation, SERVICE_CAPACITY, reason)


def read_inventory(raw: bytes) -> Inventory:
    """Decode the platform's response.

    Raises:
        InvalidInputError: If it is not an inventory.
    """
    try:
        return msgspec.json.decode(raw, type=Inventory)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidInputError(f"the platform's inventory is malformed: {error}") from None
