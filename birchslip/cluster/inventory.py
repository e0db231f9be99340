"""The platform's inventory of processes, decoded from its JSON.

    {"members": {"a-1": {"state": "up", "version": "7", "starts": 0, "ends": 0}}, "services": {...}}

Unlike our own messages it may have keys that are unknown here; they are ignored.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from ..errors import InvalidInputError
from .disruption_types import MemberObservation, UnavailabilityReason
from .messages import Count, Incarnation, Name
from .rollout_types import InstanceStatus, InstanceView, Version

SERVICE_CAPACITY = 1.0  # services have no measured capacity: each counts as one


class ProcessReport(
    msgspec.Struct, rename={"failed_starts": "starts", "crashes": "ends", "start_count": "life"}
):
    """One process as the platform sees it.

    Attributes:
        state: A value of `InstanceStatus`.
        version: The version that it runs or was last to run.
        failed_starts: Starts in that version that did not come up.
        crashes: How often it ended by itself in that version.
        start_count: All its starts.
    """

    state: Annotated[str, msgspec.Meta(pattern="^(up|draining|stopped|failed)$")]
    version: Version = "unknown"
    failed_starts: Count = 0
    crashes: Count = 0
    start_count: Count = 0


class Inventory(msgspec.Struct):
    """All processes that the platform knows, by name: app servers and the services below them."""

    members: dict[Name, ProcessReport]
    services: dict[Name, ProcessReport] = {}

    def instances(self) -> dict[str, InstanceView]:
        """Returns the app servers as rollouts see them."""
        return {
            name: InstanceView(
                InstanceStatus(process.state), process.version, process.failed_starts, process.crashes
            )
            for name, process in self.members.items()
        }

    def observe_service(self, name: str) -> MemberObservation:
        """Returns whether a service is out; one that the platform does not know is."""
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
    """Decodes the platform's answer.

    Raises:
        InvalidInputError: It is not an inventory.
    """
    try:
        return msgspec.json.decode(raw, type=Inventory)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidInputError(f"a listing of the platform: {error}") from None
