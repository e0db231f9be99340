"""Rules that find contradictions within and between configuration, fleet file and world file.

Each rule yields the values that contradict each other, and why. Errors that the validation of a single file
reports (a share above 1, a name given twice) are not repeated here. The module performs no I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import Any

from ..admission.types import SECOND, Downstream, Idempotency
from ..cluster.fleet_file import Fleet
from ..lab.model.layout import Work
from ..lab.model.world import Setting
from .sources import FILE_KINDS, Sources

SHARE_TOLERANCE = 0.02  # two shares may differ by this: they are typed by hand and may be rounded
USABLE_MEMORY_SHARE = 0.9  # the share of the limit that admission decisions use


@dataclass(frozen=True, slots=True)
class Conflict:
    """Values that contradict each other: their paths with file labels, and the reason.

    Conflicts are equal if paths and reason are. `mutate` finds new conflicts by this, so that most reasons
    leave out the values.
    """

    setting_paths: tuple[str, ...]
    reason: str


Rule = Callable[["CheckContext"], Iterator[Conflict]]


@dataclass(frozen=True, slots=True)
class CheckContext:
    """The settings that the rules check, and the paths of their values for reports."""

    sources: Sources
    setting: Setting

    @property
    def fleet(self) -> Fleet | None:
        """The parsed fleet file, or `None` if there is none."""
        return self.setting.fleet

    @property
    def settings(self) -> dict[str, Any]:
        """The section `settings` of the configuration as decoded JSON."""
        settings: dict[str, Any] = self.sources.config.get("settings", {})
        return settings

    def config_path(self, setting_path: str) -> str:
        """Return the path of a value in the section `settings` of the configuration."""
        return f"{self.sources.file_labels[0]}: settings.{setting_path}"

    def fleet_path(self, setting_path: str) -> str:
        """Return the path of a value in the fleet file."""
        return f"{self.sources.file_labels[FILE_KINDS.index('fleet')]}: {setting_path}"

    def world_path(self, setting_path: str) -> str:
        """Return the path of a value in the world file."""
        return f"{self.sources.file_labels[FILE_KINDS.index('world')]}: {setting_path}"


def find_conflicts(sources: Sources) -> list[Conflict]:
    """Return the conflicts that the rules find, in the order of `RULES`.

    Raises:
        InvalidInputError: One of the files is invalid by itself.
    """
    context = CheckContext(sources, sources.setting)
    return [conflict for rule in RULES for conflict in rule(context)]


# ---- the configuration alone -----------------------------------------------------------------------


def check_profile_spans(context: CheckContext) -> Iterator[Conflict]:
    """Check the spans of each profile, and what it earns without its downstream call.

    The deadline must not be before the latency objective, nor after the end of the key retention, because a
    retry would then run again. Only idempotent profiles may earn weight without their call.
    """
    for name, profile in zip(
        context.setting.profiles, context.setting.deployment.request_classes, strict=True
    ):
        objective_path, deadline_path = (
            context.config_path(f"classes[{name}].aim_s"),
            context.config_path(f"classes[{name}].hard_limit_s"),
        )
        if profile.latency_objective > profile.deadline:
            yield Conflict(
                (objective_path, deadline_path),
                f"the deadline of profile {name} is shorter than its latency objective",
            )
        if profile.idempotency is Idempotency.KEYED and profile.key_retention < profile.deadline:
            retention_path = context.config_path(f"classes[{name}].window_s")
            yield Conflict(
                (retention_path, deadline_path),
                f"profile {name} forgets idempotency keys while callers may still retry",
            )
        if profile.idempotency is not Idempotency.IDEMPOTENT and profile.weight_without_call > 0:
            weight_path = context.config_path("family_info.class_skip_worth")
            yield Conflict(
                (weight_path, context.config_path(f"classes[{name}].effect")),
                f"an effect can't be had in part: profile {name} must earn nothing without its call",
            )


def check_drain_grace(context: CheckContext) -> Iterator[Conflict]:
    """Check that the process is not stopped before its drain grace ends."""
    if context.setting.deployment.drain_grace > context.sources.server_config.stop_timeout:
        setting_paths = (
            context.config_path("contract.drain_grace_s"),
            f"{context.sources.file_labels[0]}: stop_ms",
        )
        yield Conflict(setting_paths, "the process is stopped before the grace of its drain ends")


def check_speed(context: CheckContext) -> Iterator[Conflict]:
    """Check that the speed after a cold start is above 0 and at most 1.

    Also check that the app server survives at least one running request on each core.
    """
    deployment = context.setting.deployment
    if not 0 < deployment.cold_start_speed <= 1:
        yield Conflict(
            (context.config_path("contract.cold_from"),),
            "a share of the full speed must be above 0 and at most 1",
        )
    if deployment.overload_multiple < 1:
        yield Conflict(
            (context.config_path("contract.fall_multiple"),),
            "it must be at least 1: the app server survives one run on each core",
        )


def check_memory(context: CheckContext) -> Iterator[Conflict]:
    """Check the memory of runs.

    A run needs at least the memory of its request, and a run on each core must fit into the memory limit.
    """
    deployment, size = context.setting.deployment, context.setting.layout.size
    if deployment.running_memory_factor < 1:
        yield Conflict(
            (context.config_path("family_info.run_factor"),),
            "it must be at least 1: a run needs no less memory than its waiting request",
        )
    if (
        deployment.cores * size * deployment.running_memory_factor
        > USABLE_MEMORY_SHARE * deployment.memory_limit
    ):
        setting_paths = (
            context.config_path("family_info.mem_limit_kb"),
            context.config_path("family_info.run_factor"),
        )
        yield Conflict(
            (*setting_paths, context.world_path("size")),
            f"one run on each core needs more than {USABLE_MEMORY_SHARE:.0%} of the memory limit",
        )


def check_retry_after(context: CheckContext) -> Iterator[Conflict]:
    """Check that no Retry-After can be longer than the shortest deadline of a profile."""
    deployment = context.setting.deployment
    shortest = min(profile.deadline for profile in deployment.request_classes)
    if deployment.sends_retry_after and deployment.max_retry_after > shortest:
        setting_paths = (context.config_path("ceilings.max_retry_after_s"), context.config_path("classes"))
        yield Conflict(
            setting_paths,
            f"the shortest deadline is {shortest / SECOND:g} s, and callers may be told to retry after it",
        )


def check_downstream_calls(context: CheckContext) -> Iterator[Conflict]:
    """Check the settings of downstream calls.

    Calls need a downstream service, an abandoned call must not count for longer than the quota window, and
    a profile earns weight without its call only if it makes calls.
    """
    deployment, works_by_profile = context.setting.deployment, context.setting.layout.profiles
    calling_profiles = [
        name for name in context.setting.profiles if works_by_profile.get(name, Work()).calls > 0
    ]
    if deployment.downstream is Downstream.NONE and calling_profiles:
        setting_paths = (
            context.config_path("family_info.downstream"),
            context.world_path(f"profiles[{calling_profiles[0]}].calls"),
        )
        yield Conflict(
            setting_paths, f"profile {calling_profiles[0]} makes downstream calls, but downstream is off"
        )
    if (
        deployment.downstream is Downstream.SHARED
        and deployment.abandoned_call_linger >= deployment.downstream_quota_window
    ):
        setting_paths = (
            context.config_path("family_info.linger_s"),
            context.config_path("family_info.share_span_s"),
        )
        yield Conflict(
            setting_paths, "an abandoned call must count for less than the span of the downstream quota"
        )
    for name, profile in zip(context.setting.profiles, deployment.request_classes, strict=True):
        if (
            profile.weight_without_call > 0
            and context.sources.world is not None
            and name not in calling_profiles
        ):
            setting_paths = (
                context.config_path("family_info.class_skip_worth"),
                context.world_path(f"profiles[{name}].calls"),
            )
            yield Conflict(setting_paths, f"profile {name} earns by skipping a call, but it makes no calls")


# ---- configuration and fleet file ----------------------------------------------------------------------


def check_fleet_size(context: CheckContext) -> Iterator[Conflict]:
    """Check that `group_size` is the number of members in the fleet file.

    Also check that the fleet file names the app server that the configuration belongs to.
    """
    if context.fleet is None:
        return
    members = sum(len(site.members) for site in context.fleet.sites)
    stated = context.settings.get("group_size")
    if stated is not None and stated != members:
        setting_paths = (context.config_path("group_size"), context.fleet_path("sites"))
        yield Conflict(
            setting_paths,
            f"group_size is {stated}, but there are {members} members; quotas are divided by group_size",
        )
    if context.setting.name not in context.setting.site_by_server():
        setting_paths = (f"{context.sources.file_labels[0]}: name", context.fleet_path("sites"))
        yield Conflict(setting_paths, f"the fleet file has no member named {context.setting.name!r}")


def check_tenant_shares(context: CheckContext) -> Iterator[Conflict]:
    """Check that the share of each tenant is the same wherever it is given.

    It may be given as `share` of the tenant and in the fleet file, and follows from the tenants' quotas. A
    tenant of the fleet file must also be in the configuration.
    """
    tenants = context.settings.get("tenants", [])
    quotas = {tenant.get("name"): float(tenant.get("quota_per_s") or 0.0) for tenant in tenants}
    stated = {tenant["name"]: float(tenant["share"]) for tenant in tenants if tenant.get("share") is not None}
    fleet = context.fleet.tenant_shares if context.fleet is not None else {}
    total = sum(quotas.values())
    for name, quota in quotas.items():
        shares_by_path = {
            context.config_path(f"tenants[{name}].share"): stated.get(name),
            context.fleet_path(f"tenants.{name}"): fleet.get(name),
            context.config_path(f"tenants[{name}].quota_per_s"): quota / total if total and quota else None,
        }
        stated_shares = [
            (setting_path, share) for setting_path, share in shares_by_path.items() if share is not None
        ]
        differing = next(
            (
                stated_share
                for stated_share in stated_shares[1:]
                if abs(stated_share[1] - stated_shares[0][1]) > SHARE_TOLERANCE
            ),
            None,
        )
        if differing is not None:
            reason = (
                f"the share of tenant {name} is {stated_shares[0][1]:.3g} by the first setting"
                f" and {differing[1]:.3g} by the second"
            )
            yield Conflict((stated_shares[0][0], differing[0]), reason)
    for name in fleet:
        if name not in quotas:
            yield Conflict(
                (context.fleet_path(f"tenants.{name}"), context.config_path("tenants")),
                f"the configuration has no tenant {name}",
            )


def check_vault_quota(context: CheckContext) -> Iterator[Conflict]:
    """Check that fleet file and configuration agree on the downstream service and its quota.

    If the fleet file has a vault, the downstream service must be shared, and the quota of this app server
    must be the same in both files to within one percent, or 0.01 calls if it is less than one.
    """
    if context.fleet is None or context.fleet.vault is None:
        return
    deployment = context.setting.deployment
    vault_path = context.fleet_path("vault.total")
    if deployment.downstream is not Downstream.SHARED:
        yield Conflict(
            (context.config_path("family_info.downstream"), vault_path),
            "the fleet file has a vault, so downstream must be shared",
        )
        return
    base_calls = context.fleet.base_calls().get(context.setting.name)
    if base_calls is not None and abs(base_calls - deployment.downstream_quota) > 0.01 * max(base_calls, 1.0):
        setting_paths = (context.config_path("family_info.calls_out"), vault_path)
        yield Conflict(
            setting_paths,
            f"calls_out is {deployment.downstream_quota:g}, but the fleet file gives"
            f" {context.setting.name} {base_calls:g} calls",
        )


# ---- budgets and routers -------------------------------------------------------------------------------


def check_disruption_budgets(context: CheckContext) -> Iterator[Conflict]:
    """Check that no budget allows all members of a group to be out.

    With a platform, a budget that allows none to be out is a conflict too, because releases would wait.
    """
    if context.fleet is None:
        return
    for group in context.fleet.budget_groups():
        setting_path = context.fleet_path(f"groups[{group.name}]")
        if group.max_unavailable is not None and group.max_unavailable >= len(group.members):
            yield Conflict(
                (f"{setting_path}.most_out", setting_path),
                f"the budget allows all {len(group.members)} members to be out",
            )
        if not group.disruptions_allowed and context.fleet.platform is not None:
            yield Conflict(
                (setting_path, context.fleet_path("platform")),
                "the budget allows no member to be out, so that releases would wait",
            )


def check_router_sites(context: CheckContext) -> Iterator[Conflict]:
    """Check that the world file and the fleet file give each router the same site.

    If the fleet file names any routers, it must name each router of the world file.
    """
    if context.fleet is None or not context.setting.layout.routers:
        return
    homes = {number: site.name for site in context.fleet.sites for number in site.routers}
    for router in context.setting.layout.routers:
        home, setting_path = homes.get(router.number), context.world_path(f"routers[{router.number}]")
        if homes and home is None:
            yield Conflict(
                (setting_path, context.fleet_path("sites")),
                f"router {router.number} is at no site of the fleet file",
            )
        elif home is not None and router.site is not None and router.site != home:
            routers_path = context.fleet_path(f"sites[{home}].routers")
            yield Conflict(
                (f"{setting_path}.site", routers_path),
                f"router {router.number} is at site {router.site} by the world file, but at {home} by the"
                " fleet file",
            )


RULES: Sequence[Rule] = (
    check_profile_spans,
    check_drain_grace,
    check_speed,
    check_memory,
    check_retry_after,
    check_downstream_calls,
    check_fleet_size,
    check_tenant_shares,
    check_vault_quota,
    check_disruption_budgets,
    check_router_sites,
)
