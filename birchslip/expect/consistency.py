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

SHARE_TOLERANCE = 0.02  # shares are typed by hand and may be rounded
USABLE_MEMORY_SHARE = 0.9  # the share of the limit that admission decisions use


@dataclass(frozen=True, slots=True)
class Conflict:
    """Values that contradict each other: their paths, and the reason."""

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
        stated: dict[str, Any] = self.sources.config.get("settings", {})
        return stated

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
    """Return the conflicts that all rules find."""
    context = CheckContext(sources, sources.setting)
    return [conflict for rule in RULES for conflict in rule(context)]


# ---- the configuration alone -----------------------------------------------------------------------


def check_profile_spans(context: CheckContext) -> Iterator[Conflict]:
    """Check that no profile has a deadline before its latency objective or after its key retention.

    Also check that only idempotent profiles earn weight without their call.
    """
    for name, profile in zip(
        context.setting.profiles, context.setting.deployment.request_classes, strict=True
    ):
        objective_path, deadline_path = (
            context.config_path(f"classes[{name}].aim_s"),
            context.config_path(f"classes[{name}].hard_limit_s"),
        )
        if profile.latency_objective > profile.deadline:
            yield Conflict((objective_path, deadline_path), "its callers give up before its latency goal")
        if profile.idempotency is Idempotency.KEYED and profile.key_retention < profile.deadline:
            retention_path = context.config_path(f"classes[{name}].window_s")
            yield Conflict(
                (retention_path, deadline_path),
                "its label is forgotten while its callers may still try again",
            )
        if profile.idempotency is not Idempotency.IDEMPOTENT and profile.weight_without_call > 0:
            weight_path = context.config_path("family_info.class_skip_worth")
            yield Conflict(
                (weight_path, context.config_path(f"classes[{name}].effect")), "an effect is not had in part"
            )


def check_drain_grace(context: CheckContext) -> Iterator[Conflict]:
    """Check that the process is not stopped before its drain grace ends."""
    if context.setting.deployment.drain_grace > context.sources.server_config.stop_timeout:
        setting_paths = (
            context.config_path("contract.drain_grace_s"),
            f"{context.sources.file_labels[0]}: stop_ms",
        )
        yield Conflict(setting_paths, "it is stopped before its grace is over")


def check_speed(context: CheckContext) -> Iterator[Conflict]:
    """Check that the speed after a cold start is a share above 0, and that a run on each core is survived."""
    deployment = context.setting.deployment
    if not 0 < deployment.cold_start_speed <= 1:
        yield Conflict(
            (context.config_path("contract.cold_from"),), "a part of its speed is above 0 and at most 1"
        )
    if deployment.overload_multiple < 1:
        yield Conflict((context.config_path("contract.fall_multiple"),), "it falls before its cores are full")


def check_memory(context: CheckContext) -> Iterator[Conflict]:
    """Check the memory of runs.

    A run needs at least the memory of its request, and a run on each core must fit into the memory limit.
    """
    deployment, size = context.setting.deployment, context.setting.layout.size
    if deployment.running_memory_factor < 1:
        yield Conflict(
            (context.config_path("family_info.run_factor"),), "a run needs no less than what is held"
        )
    if (
        deployment.cores * size * deployment.running_memory_factor
        > USABLE_MEMORY_SHARE * deployment.memory_limit
    ):
        setting_paths = (
            context.config_path("family_info.mem_limit_kb"),
            context.config_path("family_info.run_factor"),
        )
        yield Conflict((*setting_paths, context.world_path("size")), "a run for each core does not fit")


def check_retry_after(context: CheckContext) -> Iterator[Conflict]:
    """Check that callers are not told to retry after their deadline."""
    deployment = context.setting.deployment
    shortest = min(profile.deadline for profile in deployment.request_classes)
    if deployment.sends_retry_after and deployment.max_retry_after > shortest:
        setting_paths = (context.config_path("ceilings.max_retry_after_s"), context.config_path("classes"))
        yield Conflict(
            setting_paths, f"callers give up after {shortest / SECOND:g} s, and are told to come later"
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
        yield Conflict(setting_paths, "nothing lies below, and calls are made")
    if (
        deployment.downstream is Downstream.SHARED
        and deployment.abandoned_call_linger >= deployment.downstream_quota_window
    ):
        setting_paths = (
            context.config_path("family_info.linger_s"),
            context.config_path("family_info.share_span_s"),
        )
        yield Conflict(setting_paths, "an abandoned call counts for longer than the span of the share")
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
            yield Conflict(setting_paths, "it earns by leaving out a call that it never makes")


# ---- configuration and fleet file ----------------------------------------------------------------------


def check_fleet_size(context: CheckContext) -> Iterator[Conflict]:
    """Check that `group_size` is the number of members in the fleet file, which must name this app server."""
    if context.fleet is None:
        return
    members = sum(len(site.members) for site in context.fleet.sites)
    stated = context.settings.get("group_size")
    if stated is not None and stated != members:
        setting_paths = (context.config_path("group_size"), context.fleet_path("sites"))
        yield Conflict(
            setting_paths, f"{stated} and {members} app servers: quotas are shared out by the first"
        )
    if context.setting.name not in context.setting.site_by_server():
        setting_paths = (f"{context.sources.file_labels[0]}: name", context.fleet_path("sites"))
        yield Conflict(setting_paths, f"no member is named {context.setting.name!r}")


def check_tenant_shares(context: CheckContext) -> Iterator[Conflict]:
    """Check that the share of each tenant is the same wherever it is given.

    It may be given as `share` of the tenant and in the fleet file, and follows from the tenants' quotas.
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
            reason = f"its part is {stated_shares[0][1]:.3g} by the one, {differing[1]:.3g} by the other"
            yield Conflict((stated_shares[0][0], differing[0]), reason)
    for name in fleet:
        if name not in quotas:
            yield Conflict(
                (context.fleet_path(f"tenants.{name}"), context.config_path("tenants")), "only one knows it"
            )


def check_vault_quota(context: CheckContext) -> Iterator[Conflict]:
    """Check that fleet file and configuration agree on the downstream service and its quota.

    If the fleet file has a vault, the downstream service must be shared, and the quota of this app server
    must be the same in both files to within one percent.
    """
    if context.fleet is None or context.fleet.vault is None:
        return
    deployment = context.setting.deployment
    vault_path = context.fleet_path("vault.total")
    if deployment.downstream is not Downstream.SHARED:
        yield Conflict(
            (context.config_path("family_info.downstream"), vault_path), "only one knows a service below"
        )
        return
    base_calls = context.fleet.base_calls().get(context.setting.name)
    if base_calls is not None and abs(base_calls - deployment.downstream_quota) > 0.01 * max(base_calls, 1.0):
        setting_paths = (context.config_path("family_info.calls_out"), vault_path)
        yield Conflict(
            setting_paths, f"{deployment.downstream_quota:g} and {base_calls:g} calls of an app server's own"
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
                (f"{setting_path}.most_out", setting_path), f"it has {len(group.members)}: all may be out"
            )
        if not group.disruptions_allowed and context.fleet.platform is not None:
            yield Conflict(
                (setting_path, context.fleet_path("platform")), "nobody may ever be out, and releases wait"
            )


def check_router_sites(context: CheckContext) -> Iterator[Conflict]:
    """Check that the world file and the fleet file give each router the same site."""
    if context.fleet is None or not context.setting.layout.routers:
        return
    homes = {number: site.name for site in context.fleet.sites for number in site.routers}
    for router in context.setting.layout.routers:
        home, setting_path = homes.get(router.number), context.world_path(f"routers[{router.number}]")
        if homes and home is None:
            yield Conflict((setting_path, context.fleet_path("sites")), "it is at home nowhere")
        elif home is not None and router.site is not None and router.site != home:
            routers_path = context.fleet_path(f"sites[{home}].routers")
            yield Conflict((f"{setting_path}.site", routers_path), f"at home in {router.site} and in {home}")


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
