"""The order of a rollout: canaries first, then batches site by site or group by group.

Assigns members to batches when a rollout starts; `Rollout.update_members` changes the batches later.
"""

from __future__ import annotations

from collections.abc import Mapping

from .rollout_types import RolloutSpec


def find_unknown_part(spec: RolloutSpec, parts: Mapping[str, list[str]]) -> str:
    """Return a text that names a part that is neither a site nor a group of the fleet; empty if none."""
    for part in spec.sites or spec.groups:
        if part not in parts:
            return f"no site or group is named {part!r}; expected one of {', '.join(parts)}"
    return ""


def plan_batches(spec: RolloutSpec, parts: Mapping[str, list[str]]) -> list[list[str]]:
    """Return the batches: canaries of the first part (site or group), then batches part by part.

    No batch spans two parts, and each member is in one batch.

    Args:
        spec: The release file, with the order of the parts and the sizes of batches.
        parts: Members by site and by group.
    """
    names = spec.sites or spec.groups or list(parts)
    canaries = list(parts[names[0]][: spec.canaries])
    batches = [canaries]
    assigned = set(canaries)
    for part in names:
        members = [name for name in parts[part] if name not in assigned]
        assigned.update(members)
        for start in range(0, len(members), spec.batch_size):
            batches.append(members[start : start + spec.batch_size])
    return batches
