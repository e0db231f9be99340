"""Bounds on measures that follow from the settings alone, whatever happens in a run.

Each fact names the setting that it follows from.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from ..admission.types import Downstream
from ..cluster.disruption_types import BudgetGroup
from ..lab.model.world import Setting
from .words import Condition, Measure, Subject, SubjectKind

THE_FLEET = Subject(SubjectKind.FLEET)


@dataclass(frozen=True, slots=True)
class Fact:
    """A bound on a measure that the settings guarantee.

    Attributes:
        subject: The subject of the measure.
        measure: The bounded measure.
        low: The lower bound, in the unit of the measure.
        high: The upper bound, in the unit of the measure.
        setting_path: The setting that the bound follows from, for reports.
        condition: The condition under which it holds; `None` if it always holds.
        is_reachable: Whether the upper bound can actually be reached.
    """

    subject: Subject
    measure: Measure
    low: float
    high: float
    setting_path: str
    condition: Condition | None = None
    is_reachable: bool = False


def facts_of(setting: Setting, config: str = "configuration", fleet: str = "fleet file") -> list[Fact]:
    """Return all facts of the settings.

    Args:
        setting: The settings.
        config: The label of the configuration in setting paths.
        fleet: The label of the fleet file in setting paths.
    """
    return [*deployment_facts(setting, config, fleet), *fleet_facts(setting, fleet)]


def deployment_facts(setting: Setting, config: str, fleet: str) -> Iterator[Fact]:
    """Yield bounds on advised waits and downstream calls.

    Downstream calls are bounded by the vault of the fleet file, else by the quota of each app server.
    """
    deployment = setting.deployment
    max_wait = deployment.max_retry_after if deployment.sends_retry_after else 0
    setting_name = "max_retry_after_s" if deployment.sends_retry_after else "retry_after"
    setting_path = f"{config}: settings.ceilings.{setting_name}"
    for subject in caller_subjects(setting):
        yield Fact(subject, Measure.ADVISED, 0, max_wait, setting_path)
    sites = setting.sites()
    servers = [name for names in sites.values() for name in names]
    if setting.fleet is not None and setting.fleet.vault is not None:
        vault, base_calls = setting.fleet.vault, setting.fleet.base_calls()
        yield Fact(THE_FLEET, Measure.CALLS, 0, vault.total_calls, f"{fleet}: vault.total")
        if not setting.planners:
            # Without planners no quota lease is granted.
            for name in servers:
                yield Fact(
                    Subject(SubjectKind.SERVER, name),
                    Measure.CALLS,
                    0,
                    vault.unleased_fraction * base_calls[name],
                    f"{fleet}: vault.kept",
                )
    elif deployment.downstream is Downstream.SHARED:
        calls_per_server = max(1.0, deployment.downstream_quota)  # one call is allowed whatever the quota
        setting_path = f"{config}: settings.family_info.calls_out"
        yield Fact(THE_FLEET, Measure.CALLS, 0, calls_per_server * len(servers), setting_path)
        for name in servers:
            yield Fact(Subject(SubjectKind.SERVER, name), Measure.CALLS, 0, calls_per_server, setting_path)
    elif deployment.downstream is Downstream.NONE:
        yield Fact(THE_FLEET, Measure.CALLS, 0, 0, f"{config}: settings.family_info.downstream")


def caller_subjects(setting: Setting) -> Iterator[Subject]:
    """Yield every subject that sends requests: the fleet, sites, routers, tenants and profiles."""
    yield THE_FLEET
    for site in setting.sites():
        yield Subject(SubjectKind.SITE, site)
    for router in setting.routers():
        yield Subject(SubjectKind.ROUTER, str(router.number))
    for name in setting.tenants:
        yield Subject(SubjectKind.TENANT, name)
    for name in setting.profiles:
        yield Subject(SubjectKind.PROFILE, name)


def fleet_facts(setting: Setting, fleet: str) -> Iterator[Fact]:
    """Yield bounds on how many app servers can be out at once.

    Site sizes bound this at all times, disruption budgets only while a release runs.
    """
    sites = setting.sites()
    setting_path = f"{fleet}: sites" if setting.fleet is not None else "world file: servers"
    for site, names in sites.items():
        yield Fact(
            Subject(SubjectKind.SITE, site), Measure.OUT, 0, len(names), f"{setting_path}[{site}].members"
        )
    yield Fact(THE_FLEET, Measure.OUT, 0, sum(map(len, sites.values())), setting_path)
    if setting.fleet is None:
        return
    releasing = Condition(release=True)
    for group, budget in zip(setting.fleet.budget_groups(), setting.fleet.disruption_budgets, strict=True):
        limit_name = (
            "most_out"
            if budget.max_out is not None and group.disruptions_allowed == budget.max_out
            else "share_out"
        )
        if budget.max_out is None and budget.max_out_fraction is None:
            limit_name = "least_room"
        subject = Subject(SubjectKind.GROUP, group.name)
        yield Fact(subject, Measure.OUT, 0, len(group.members), f"{fleet}: groups[{group.name}]")
        yield Fact(
            subject,
            Measure.OUT,
            0,
            group.disruptions_allowed,
            f"{fleet}: groups[{group.name}].{limit_name}",
            releasing,
        )
        for other in subjects_within_group(group, sites):
            yield Fact(
                other,
                Measure.OUT,
                0,
                group.disruptions_allowed,
                f"{fleet}: groups[{group.name}].{limit_name}",
                releasing,
            )


def subjects_within_group(group: BudgetGroup, sites: dict[str, list[str]]) -> Iterator[Subject]:
    """Yield the sites, or the fleet, whose members all belong to the group.

    No more of their members can be out than the group allows.
    """
    for site, names in sites.items():
        if names and group.members.issuperset(names):
            yield Subject(SubjectKind.SITE, site)
    if group.members.issuperset(name for names in sites.values() for name in names):
        yield THE_FLEET
