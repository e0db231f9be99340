"""Counts of unavailable members in groups that nest or overlap.

Decides whether one more member may become unavailable; changes no permit. A downstream service belongs to
groups as members do, and the members that depend on it become unavailable with it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from .disruption_types import (
    TOLERANCE,
    BudgetGroup,
    MemberObservation,
    UnavailabilityReason,
)


class BudgetIndex:
    """The groups of each member, and the members that depend on each service."""

    def __init__(self, groups: list[BudgetGroup], dependencies: Mapping[str, Iterable[str]]) -> None:
        """Index `groups` and `dependencies`, the downstream services that each member requires."""
        self.groups = groups
        self.dependencies = dependencies
        self.groups_of: dict[str, list[BudgetGroup]] = {}
        self.dependents: dict[str, list[str]] = {}
        for group in groups:
            for name in group.members:
                self.groups_of.setdefault(name, []).append(group)
        for name, services in dependencies.items():
            for service in services:
                self.dependents.setdefault(service, []).append(name)

    def with_dependents(self, name: str) -> tuple[str, ...]:
        """Return a member or service, followed by the members that become unavailable with it."""
        return (name, *self.dependents.get(name, ()))


class DisruptionTally:
    """The unavailable members and the remaining capacity of each group, updated as members are added.

    Adding a member updates only the groups that it belongs to, so all waiters are checked in one pass,
    regardless of the fleet's size.
    """

    def __init__(
        self,
        index: BudgetIndex,
        observations: Mapping[str, MemberObservation],
        unavailable: Iterable[str] = (),
    ) -> None:
        """Count the `unavailable` members of the fleet in `observations`."""
        self.index = index
        self.observations = observations
        self.unavailable: set[str] = set()
        self.unavailable_counts = dict.fromkeys((group.name for group in index.groups), 0)
        self.capacities = {
            group.name: sum(observations[name].capacity for name in group.members if name in observations)
            for group in index.groups
        }
        for name in unavailable:
            self.add(name)

    def newly_unavailable(self, name: str) -> list[str]:
        """Return the members that would become unavailable with `name`, itself included."""
        return [member for member in self.index.with_dependents(name) if member not in self.unavailable]

    def add(self, name: str) -> None:
        """Count `name` and its dependents as unavailable."""
        for member in self.newly_unavailable(name):
            self.unavailable.add(member)
            capacity = self._capacity(member)
            for group in self.index.groups_of.get(member, ()):
                self.unavailable_counts[group.name] += 1
                self.capacities[group.name] -= capacity

    def blocking_reason(self, holder: str) -> str:
        """Return which budget forbids that `holder` becomes unavailable now; empty if none does."""
        groups: dict[str, BudgetGroup] = {}
        added: dict[str, list[str]] = {}
        for member in self.index.with_dependents(holder):
            for group in self.index.groups_of.get(member, ()):
                groups[group.name] = group
                members = added.setdefault(group.name, [])
                if member not in self.unavailable:
                    members.append(member)
        for name, group in groups.items():
            reason = self._exceeded_budget(group, added[name])
            if reason:
                return reason
        return ""

    def _exceeded_budget(self, group: BudgetGroup, added: list[str]) -> str:
        """Return which bound of a group would be exceeded with `added` unavailable too; empty if none."""
        unavailable = self.unavailable_counts[group.name] + len(added)
        if unavailable > group.disruptions_allowed:
            return f"{group.name}: {unavailable} would be out, {group.disruptions_allowed} may be"
        capacity = self.capacities[group.name] - sum(self._capacity(member) for member in added)
        if capacity < group.min_capacity - TOLERANCE:
            return f"{group.name}: {capacity:g} would stay in, {group.min_capacity:g} has to"
        return ""

    def _capacity(self, member: str) -> float:
        observation = self.observations.get(member)
        return observation.capacity if observation is not None else 0.0


def with_dependents(
    observations: Mapping[str, MemberObservation], dependencies: Mapping[str, Iterable[str]]
) -> dict[str, MemberObservation]:
    """Return observations in which members that require an unavailable or unknown service are unavailable."""

    def is_unavailable(service: str) -> bool:
        return service not in observations or observations[service].unavailability is not None

    effective: dict[str, MemberObservation] = {}
    for name, observation in observations.items():
        effective[name] = observation
        if observation.unavailability is not None:
            continue
        if any(is_unavailable(service) for service in dependencies.get(name, ())):
            effective[name] = MemberObservation(
                observation.incarnation, observation.capacity, UnavailabilityReason.DOWNSTREAM
            )
    return effective
