"""Checks before a rollout starts: whatever would stop the rollout later is found before the first drain.

Decides whether the fleet as it is now can carry out a release file; changes no state.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from .disruption_budget import DisruptionBudget
from .rollout import Rollout
from .rollout_batches import find_unknown_part, plan_batches
from .rollout_types import InstanceView, RolloutSpec

METRIC_KINDS = ("late", "slow", "shed", "written_off", "calls")
MAX_UNFINISHED_ROLLOUTS = 8
MAX_NAMES_SHOWN = 3  # of members, in one error text


@dataclass(frozen=True, slots=True)
class StartConditions:
    """The state of the fleet when a rollout is to start.

    Attributes:
        parts: Names of members, by site and by group (disruption budget).
        budget: The fleet's disruption budget.
        unfinished: Rollouts that have not ended.
        instances: Processes by name, as the platform reports them; None while there is no inventory that is
            recent enough.
    """

    parts: Mapping[str, list[str]]
    budget: DisruptionBudget
    unfinished: list[Rollout]
    instances: Mapping[str, InstanceView] | None


def find_obstacle(spec: RolloutSpec, conditions: StartConditions) -> str:
    """Return an error text on the first reason why a rollout can't start; empty if it can."""
    obstacle = (
        spec.validation_error() or find_unknown_metric(spec) or find_unknown_part(spec, conditions.parts)
    )
    if obstacle:
        return obstacle
    members = [name for batch in plan_batches(spec, conditions.parts) for name in batch]
    if not members:
        return "sites, groups: those named have no app servers, so nothing would be released"
    return (
        _find_competing_rollout(members, conditions.unfinished)
        or _find_missing_budget(members, conditions.budget)
        or _find_unfit_instance(members, spec, conditions.instances)
    )


def find_unknown_metric(spec: RolloutSpec) -> str:
    """Return an error text on a margin whose kind of metric members don't report; empty if there is none."""
    for name in spec.margins:
        if name.partition(":")[0] not in METRIC_KINDS:
            kinds = ", ".join(METRIC_KINDS)
            return (
                f"margins: members report no metric {name!r}; expected one of {kinds}, "
                "or METRIC:CLASS for one request class"
            )
    return ""


def find_shared_members(members: Iterable[str], rollout: Rollout) -> str:
    """Return an error text on those of `members` that the unfinished `rollout` has; empty if none."""
    shared = sorted(set(members) & set(rollout.all_members()))
    if not shared:
        return ""
    names = ", ".join(shared[:MAX_NAMES_SHOWN])
    return f"release {rollout.record.number} is not finished and has {names}"


def _find_competing_rollout(members: list[str], unfinished: list[Rollout]) -> str:
    if len(unfinished) >= MAX_UNFINISHED_ROLLOUTS:
        return f"{MAX_UNFINISHED_ROLLOUTS} releases are not finished, and no more are allowed at a time"
    obstacles = (find_shared_members(members, rollout) for rollout in unfinished)
    return next((obstacle for obstacle in obstacles if obstacle), "")


def _find_missing_budget(members: list[str], budget: DisruptionBudget) -> str:
    for name in members:
        groups = budget.groups_of.get(name, ())
        if not groups:
            return f"{name} is in no group of the fleet file, so no budget says how many may be out"
        for group in groups:
            if not group.disruptions_allowed:
                return (
                    f"{name} can't be released: group {group.name} of the fleet file allows no member to be "
                    "out; raise its most_out or share_out"
                )
    return ""


def _find_unfit_instance(
    members: list[str], spec: RolloutSpec, instances: Mapping[str, InstanceView] | None
) -> str:
    if instances is None:
        return "the platform has given no inventory within platform.stale_ms, so versions are unknown"
    for name in members:
        if name not in instances:
            return f"the platform does not know {name}: its inventory has no process of that name"
        version = instances[name].version
        if version not in (spec.version, spec.previous_version):
            return (
                f"{name} runs version {version!r}; expected {spec.previous_version!r} ('before') "
                f"or {spec.version!r} ('version')"
            )
    return ""
