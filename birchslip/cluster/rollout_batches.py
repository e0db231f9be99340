"""The order of a rollout: canaries first, then batches site by site.

Decides who belongs to which batch when a rollout starts, and nothing after that.
"""

from __future__ import annotations

from collections.abc import Mapping

from .rollout_types import RolloutSpec


def find_unknown_part(spec: RolloutSpec, parts: Mapping[str, list[str]]) -> str:
    """Which named part is neither a site nor a group of the fleet; empty where all are known."""
    for part in spec.sites or spec.groups:
        if part not in parts:
            return f"{part!r} is no site and no group; there are {', '.join(parts)}"
    return ""


def plan_batches(spec: RolloutSpec, parts: Mapping[str, list[str]]) -> list[list[str]]:
    """Canaries of the first part, then batches part by part: none spans two parts, each member is in one.

    Args:
        spec: Names the parts in their order, and the sizes of batches.
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
