"""What settings alone say of measures: bounds that hold whatever happens, each with the value that it rests
on.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from ..admission.types import Downstream
from ..cluster.disruption_types import BudgetGroup
from ..lab.model.world import Setting
from .words import Kind, Measure, Subject, When

THE_FLEET = Subject(Kind.FLEET)


@dataclass(frozen=True, slots=True)
class Fact:
    """`subject` has `measure` of at least `low` and at most `high`; `place` is the setting that says so.

    Where `when` is told it holds only then. `reached` says that so much can really come about.
    """

    subject: Subject
    measure: Measure
    low: float
    high: float
    place: str
    when: When | None = None
    reached: bool = False


def facts(setting: Setting, config: str = "configuration", fleet: str = "fleet file") -> list[Fact]:
    return [*of_deployment(setting, config, fleet), *of_fleet(setting, fleet)]


def of_deployment(setting: Setting, config: str, fleet: str) -> Iterator[Fact]:
    deployment = setting.deployment
    longest = deployment.max_retry_after if deployment.sends_retry_after else 0
    ceiling = "max_retry_after_s" if deployment.sends_retry_after else "retry_after"
    place = f"{config}: settings.ceilings.{ceiling}"
    for subject in callers(setting):
        yield Fact(subject, Measure.ADVISED, 0, longest, place)
    sites = setting.sites()
    servers = [name for names in sites.values() for name in names]
    if setting.fleet is not None and setting.fleet.vault is not None:
        vault, bases = setting.fleet.vault, setting.fleet.base_calls()
        yield Fact(THE_FLEET, Measure.CALLS, 0, vault.total_calls, f"{fleet}: vault.total")
        if not setting.planners:
            for name in servers:
                yield Fact(
                    Subject(Kind.SERVER, name),
                    Measure.CALLS,
                    0,
                    vault.unleased_fraction * bases[name],
                    f"{fleet}: vault.kept",
                )
    elif deployment.downstream is Downstream.SHARED:
        share = max(1.0, deployment.downstream_quota)
        place = f"{config}: settings.family_info.calls_out"
        yield Fact(THE_FLEET, Measure.CALLS, 0, share * len(servers), place)
        for name in servers:
            yield Fact(Subject(Kind.SERVER, name), Measure.CALLS, 0, share, place)
    elif deployment.downstream is Downstream.NONE:
        yield Fact(THE_FLEET, Measure.CALLS, 0, 0, f"{config}: settings.family_info.downstream")


def callers(setting: Setting) -> Iterator[Subject]:
    yield THE_FLEET
    for site in setting.sites():
        yield Subject(Kind.SITE, site)
    for router in setting.routers():
        yield Subject(Kind.ROUTER, str(router.number))
    for name in setting.tenants:
        yield Subject(Kind.TENANT, name)
    for name in setting.profiles:
        yield Subject(Kind.PROFILE, name)


def of_fleet(setting: Setting, fleet: str) -> Iterator[Fact]:
    sites = setting.sites()
    place = f"{fleet}: sites" if setting.fleet is not None else "world file: servers"
    for site, names in sites.items():
        yield Fact(Subject(Kind.SITE, site), Measure.OUT, 0, len(names), f"{place}[{site}].members")
    yield Fact(THE_FLEET, Measure.OUT, 0, sum(map(len, sites.values())), place)
    if setting.fleet is None:
        return
    releasing = When(release=True)
    for group, told in zip(setting.fleet.budget_groups(), setting.fleet.disruption_budgets, strict=True):
        what = (
            "most_out"
            if told.max_out is not None and group.disruptions_allowed == told.max_out
            else "share_out"
        )
        if told.max_out is None and told.max_out_fraction is None:
            what = "least_room"
        subject = Subject(Kind.GROUP, group.name)
        yield Fact(subject, Measure.OUT, 0, len(group.members), f"{fleet}: groups[{group.name}]")
        yield Fact(
            subject,
            Measure.OUT,
            0,
            group.disruptions_allowed,
            f"{fleet}: groups[{group.name}].{what}",
            releasing,
        )
        for other in same_members(group, sites):
            yield Fact(
                other,
                Measure.OUT,
                0,
                group.disruptions_allowed,
                f"{fleet}: groups[{group.name}].{what}",
                releasing,
            )


def same_members(group: BudgetGroup, sites: dict[str, list[str]]) -> Iterator[Subject]:
    """Sites that the group holds whole: no more of them can be out than of it."""
    for site, names in sites.items():
        if names and group.members.issuperset(names):
            yield Subject(Kind.SITE, site)
    if group.members.issuperset(name for names in sites.values() for name in names):
        yield THE_FLEET
