"""Settings that contradict each other: within one file, or between configuration, fleet file and world file.

Each rule names the values that can't stand beside each other, and why. What one file's own reading refuses
(a share above 1, a name twice) is not said again here. Free of I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import Any

from ..admission.types import SECOND, Downstream, Idempotency
from ..cluster.fleet_file import Fleet
from ..lab.model.layout import Work
from ..lab.model.world import Setting
from .sources import FILES, Sources

NEAR = 0.02  # two shares of one thing may differ by so much: they are typed by hand
MEMORY_USED = 0.9  # of the memory, that the decisions use


@dataclass(frozen=True, slots=True)
class Conflict:
    """The values that can't stand beside each other, as places for people, and why."""

    places: tuple[str, ...]
    why: str


Rule = Callable[["Look"], Iterator[Conflict]]


@dataclass(frozen=True, slots=True)
class Look:
    """The settings as they were read, and the places of their values."""

    sources: Sources
    setting: Setting

    @property
    def fleet(self) -> Fleet | None:
        return self.setting.fleet

    @property
    def settings(self) -> dict[str, Any]:
        told: dict[str, Any] = self.sources.config.get("settings", {})
        return told

    def config(self, place: str) -> str:
        return f"{self.sources.names[0]}: settings.{place}"

    def fleet_at(self, place: str) -> str:
        return f"{self.sources.names[FILES.index('fleet')]}: {place}"

    def world_at(self, place: str) -> str:
        return f"{self.sources.names[FILES.index('world')]}: {place}"


def conflicts(sources: Sources) -> list[Conflict]:
    look = Look(sources, sources.setting)
    return [found for rule in RULES for found in rule(look)]


# ---- the configuration by itself -----------------------------------------------------------------------


def spans_of_profiles(look: Look) -> Iterator[Conflict]:
    for name, profile in zip(look.setting.profiles, look.setting.deployment.request_classes, strict=True):
        aim, deadline = look.config(f"classes[{name}].aim_s"), look.config(f"classes[{name}].hard_limit_s")
        if profile.latency_objective > profile.deadline:
            yield Conflict((aim, deadline), "its callers give up before its latency goal")
        if profile.idempotency is Idempotency.KEYED and profile.key_retention < profile.deadline:
            window = look.config(f"classes[{name}].window_s")
            yield Conflict((window, deadline), "its label is forgotten while its callers may still try again")
        if profile.idempotency is not Idempotency.IDEMPOTENT and profile.weight_without_call > 0:
            worth = look.config("family_info.class_skip_worth")
            yield Conflict((worth, look.config(f"classes[{name}].effect")), "an effect is not had in part")


def leaving(look: Look) -> Iterator[Conflict]:
    if look.setting.deployment.drain_grace > look.sources.site.stop_timeout:
        places = (look.config("contract.drain_grace_s"), f"{look.sources.names[0]}: stop_ms")
        yield Conflict(places, "it is stopped before its grace is over")


def warmth(look: Look) -> Iterator[Conflict]:
    deployment = look.setting.deployment
    if not 0 < deployment.cold_start_speed <= 1:
        yield Conflict((look.config("contract.cold_from"),), "a part of its speed is above 0 and at most 1")
    if deployment.overload_multiple < 1:
        yield Conflict((look.config("contract.fall_multiple"),), "it falls before its cores are full")


def memory(look: Look) -> Iterator[Conflict]:
    deployment, size = look.setting.deployment, look.setting.layout.size
    if deployment.running_memory_factor < 1:
        yield Conflict((look.config("family_info.run_factor"),), "a run needs no less than what is held")
    if deployment.cores * size * deployment.running_memory_factor > MEMORY_USED * deployment.memory_limit:
        places = (look.config("family_info.mem_limit_kb"), look.config("family_info.run_factor"))
        yield Conflict((*places, look.world_at("size")), "a run for each core does not fit")


def advice(look: Look) -> Iterator[Conflict]:
    deployment = look.setting.deployment
    shortest = min(profile.deadline for profile in deployment.request_classes)
    if deployment.sends_retry_after and deployment.max_retry_after > shortest:
        places = (look.config("ceilings.max_retry_after_s"), look.config("classes"))
        yield Conflict(places, f"callers give up after {shortest / SECOND:g} s, and are told to come later")


def calls(look: Look) -> Iterator[Conflict]:
    deployment, told = look.setting.deployment, look.setting.layout.profiles
    callers = [name for name in look.setting.profiles if told.get(name, Work()).calls > 0]
    if deployment.downstream is Downstream.NONE and callers:
        places = (look.config("family_info.downstream"), look.world_at(f"profiles[{callers[0]}].calls"))
        yield Conflict(places, "nothing lies below, and calls are made")
    if (
        deployment.downstream is Downstream.SHARED
        and deployment.abandoned_call_linger >= deployment.downstream_quota_window
    ):
        places = (look.config("family_info.linger_s"), look.config("family_info.share_span_s"))
        yield Conflict(places, "an abandoned call counts for longer than the span of the share")
    for name, profile in zip(look.setting.profiles, deployment.request_classes, strict=True):
        if profile.weight_without_call > 0 and look.sources.world is not None and name not in callers:
            places = (look.config("family_info.class_skip_worth"), look.world_at(f"profiles[{name}].calls"))
            yield Conflict(places, "it earns by leaving out a call that it never makes")


# ---- configuration and fleet file ----------------------------------------------------------------------


def size_of_fleet(look: Look) -> Iterator[Conflict]:
    if look.fleet is None:
        return
    members = sum(len(site.members) for site in look.fleet.sites)
    told = look.settings.get("group_size")
    if told is not None and told != members:
        places = (look.config("group_size"), look.fleet_at("sites"))
        yield Conflict(places, f"{told} and {members} app servers: quotas are shared out by the first")
    if look.setting.name not in look.setting.sites_of():
        places = (f"{look.sources.names[0]}: name", look.fleet_at("sites"))
        yield Conflict(places, f"no member is named {look.setting.name!r}")


def shares_of_tenants(look: Look) -> Iterator[Conflict]:
    """A tenant's part is told up to three times."""
    tenants = look.settings.get("tenants", [])
    quotas = {one.get("name"): float(one.get("quota_per_s") or 0.0) for one in tenants}
    told = {one["name"]: float(one["share"]) for one in tenants if one.get("share") is not None}
    fleet = look.fleet.tenant_shares if look.fleet is not None else {}
    total = sum(quotas.values())
    for name, quota in quotas.items():
        told_by = {
            look.config(f"tenants[{name}].share"): told.get(name),
            look.fleet_at(f"tenants.{name}"): fleet.get(name),
            look.config(f"tenants[{name}].quota_per_s"): quota / total if total and quota else None,
        }
        there = [(place, part) for place, part in told_by.items() if part is not None]
        odd = next((one for one in there[1:] if abs(one[1] - there[0][1]) > NEAR), None)
        if odd is not None:
            why = f"its part is {there[0][1]:.3g} by the one, {odd[1]:.3g} by the other"
            yield Conflict((there[0][0], odd[0]), why)
    for name in fleet:
        if name not in quotas:
            yield Conflict((look.fleet_at(f"tenants.{name}"), look.config("tenants")), "only one knows it")


def shares_of_the_vault(look: Look) -> Iterator[Conflict]:
    if look.fleet is None or look.fleet.vault is None:
        return
    deployment = look.setting.deployment
    vault = look.fleet_at("vault.total")
    if deployment.downstream is not Downstream.SHARED:
        yield Conflict((look.config("family_info.downstream"), vault), "only one knows a service below")
        return
    base = look.fleet.base_calls().get(look.setting.name)
    if base is not None and abs(base - deployment.downstream_quota) > 0.01 * max(base, 1.0):
        places = (look.config("family_info.calls_out"), vault)
        yield Conflict(places, f"{deployment.downstream_quota:g} and {base:g} calls of an app server's own")


# ---- budgets and routers -------------------------------------------------------------------------------


def budgets(look: Look) -> Iterator[Conflict]:
    if look.fleet is None:
        return
    for group in look.fleet.budget_groups():
        place = look.fleet_at(f"groups[{group.name}]")
        if group.max_unavailable is not None and group.max_unavailable >= len(group.members):
            yield Conflict((f"{place}.most_out", place), f"it has {len(group.members)}: all may be out")
        if not group.disruptions_allowed and look.fleet.platform is not None:
            yield Conflict((place, look.fleet_at("platform")), "nobody may ever be out, and releases wait")


def homes_of_routers(look: Look) -> Iterator[Conflict]:
    """Who sends by the world file, and who is at home by the fleet file."""
    if look.fleet is None or not look.setting.layout.routers:
        return
    homes = {number: site.name for site in look.fleet.sites for number in site.routers}
    for router in look.setting.layout.routers:
        home, place = homes.get(router.number), look.world_at(f"routers[{router.number}]")
        if homes and home is None:
            yield Conflict((place, look.fleet_at("sites")), "it is at home nowhere")
        elif home is not None and router.site is not None and router.site != home:
            where = look.fleet_at(f"sites[{home}].routers")
            yield Conflict((f"{place}.site", where), f"at home in {router.site} and in {home}")


RULES: Sequence[Rule] = (
    spans_of_profiles,
    leaving,
    warmth,
    memory,
    advice,
    calls,
    size_of_fleet,
    shares_of_tenants,
    shares_of_the_vault,
    budgets,
    homes_of_routers,
)
