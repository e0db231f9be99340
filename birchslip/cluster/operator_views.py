"""Operator views: a planner's JSON reports on its fleet, with the keys that operators' tools read.

Read only: nothing here changes the planner's state or takes part in its decisions. Times (`now`, intervals)
are in tenths of a millisecond; rates in the reports are in requests per second.
"""

from __future__ import annotations

from collections.abc import Mapping

from .disruption_budget import DisruptionBudget
from .disruption_types import BudgetState
from .membership import Member
from .planner_state import PlannerState
from .recovery_ramp import RecoveryRamp
from .rollout_controller import RolloutController
from .rollout_messages import RolloutReport
from .site_capacity import SiteCapacity
from .site_plan import plan_without_site
from .site_supervisor import restore_ramps

MAX_AUDIT_LINES_SHOWN = 16  # the newest lines of the disruption budget's audit log

Report = dict[str, object]


def fleet_status(state: PlannerState, now: int) -> Report:
    """Return the report of `fleet show`; a follower reports the replicated state that it has stored."""
    is_leader = state.is_effective_leader(now)
    stored = state.stored_state()
    ramps = state.sites.ramps
    budget_state = state.budget.state
    if not is_leader:
        ramps = restore_ramps(stored.sites, ramps, now)
        budget_state = stored.permits
    durable = state.election.durable
    published = state.plans.published
    interval = state.report_interval()
    members = sorted(state.membership.members.values(), key=lambda member: (member.site, member.name))
    return {
        "planner": state.election.name,
        "leads": is_leader,
        "leader": state.election.name if is_leader else state.leader_name(now),
        "epoch": durable.promised_term,
        "plan": durable.state_number,
        "short": published.is_short,
        "refused": {tier.value: round(rate, 1) for tier, rate in published.rejected.items()},
        "blank": durable.is_blank,
        "releases": rollouts_status(state, now),
        "sites": [site_row(state, site, ramp, now) for site, ramp in ramps.items()],
        "members": [member_row(member, interval, now) for member in members],
        **permits_status(state, budget_state, now),
    }


def member_row(member: Member, report_interval: int, now: int) -> Report:
    """Return the row of one member of `fleet show`, from its latest report."""
    report = member.report
    return {
        "name": member.name,
        "site": member.site,
        "life": member.liveness(now, report_interval).value,
        "incarnation": member.incarnation.nonce,
        "restarts": member.restarts,
        "phi": round(member.detector.phi(now), 2),
        "room": round(report.capacity, 1),
        "load": round(sum(report.local_load.values()), 1),
        "visits": round(report.evacuated_load, 1),
        "shed": round(report.rejected, 1),
        "pace": round(report.slowdown, 2),
        "calls": report.calls_in_flight,
        "share": round(report.call_limit, 2),
        "plan": f"{report.plan_term}.{report.plan_number}",
    }


def site_row(state: PlannerState, site: str, ramp: RecoveryRamp, now: int) -> Report:
    """Return the row of one site of `fleet show`, with its verdict and its stage of recovery."""
    published = state.plans.published
    return {
        "name": site,
        "verdict": state.membership.verdict(site, now).value,
        "stage": ramp.stage.value,
        "level": ramp.serving_fraction,
        "flaps": ramp.flap_count,
        "by_hand": ramp.evacuated_by_operator,
        "why": ramp.reason,
        "load": round(sum(state.sites.usual_load[site].values()), 1),
        "visiting": round(published.remote_load.get(site, 0.0), 1),
        "refused": round(published.rejected_by_site.get(site, 0.0), 1),
    }


def permits_status(state: PlannerState, budget_state: BudgetState, now: int) -> Report:
    """Return the budgets, permits, waiters, unavailable members and newest lines of the audit log."""
    budget = DisruptionBudget(state.budget.groups, budget_state)
    unavailable = budget.unavailable_members(state.observations(now))
    groups = [
        {
            "name": group.name,
            "allowed": group.disruptions_allowed,
            "out": len(group.members.intersection(unavailable)),
        }
        for group in budget.groups
    ]
    permits = [
        {
            "holder": permit.holder,
            "number": permit.number,
            "why": permit.reason,
            "override": permit.override,
        }
        for permit in budget_state.permits
    ]
    return {
        "groups": groups,
        "out": {name: reason.value for name, reason in sorted(unavailable.items())} if groups else {},
        "permits": permits,
        "waiting": [waiter.holder for waiter in budget_state.waiters],
        "record": budget_state.audit_log[-MAX_AUDIT_LINES_SHOWN:],
    }


def rollouts_status(
    state: PlannerState, now: int, number: int = 0, with_history: bool = False
) -> list[RolloutReport]:
    """Return the rollouts, the newest first; a follower reports the replicated state that it has stored.

    Args:
        state: The planner's state.
        now: The current time.
        number: Number of the only rollout to return, or 0 for all.
        with_history: Whether to include the lines of each history.
    """
    controller = state.rollouts.controller
    if state.is_effective_leader(now):
        return controller.report(number, with_history)
    stored = RolloutController(controller.members_by_part, (), state.budget, 0)
    stored.restore(state.stored_state().rollouts, now)
    return stored.report(number, with_history)


def site_loss_forecast(state: PlannerState, lost_site: str) -> Report:
    """Return the effect of losing a site now: where its load would go, and what would be missing.

    `short_by` is the rate of requests that would be rejected. With a vault, `vault` holds concurrent calls.
    """
    fleet = state.fleet
    capacities = state.sites.capacities()
    plan = plan_without_site(
        capacities, lost_site, fleet.tenant_shares, fleet.link_costs, fleet.shedding_order
    )
    flows = [
        [source, target, rate] for (source, target), rate in sorted(plan.flows.items()) if source == lost_site
    ]
    forecast: Report = {
        "lose": lost_site,
        "load": sum(site.total_load for site in capacities if site.name == lost_site),
        "flows": flows,
        "refused": {tier.value: rate for tier, rate in plan.rejected.items()},
        "refused_at": plan.rejected_by_site,
        "room": _remaining_capacity(capacities, lost_site),
        "short_by": plan.total_rejected(),
    }
    vault = _vault_forecast(state, lost_site)
    if vault:
        forecast["vault"] = vault
    return forecast


def _remaining_capacity(capacities: list[SiteCapacity], lost_site: str) -> Mapping[str, float]:
    return {site.name: site.capacity for site in capacities if site.name != lost_site}


def _vault_forecast(state: PlannerState, lost_site: str) -> Report:
    """Return the vault's concurrent calls now and the remaining members' quota; empty without leases.

    The quota is the base quotas of the remaining members and the leasable part of the lost members' quotas.
    """
    leases = state.quotas.leases
    if leases is None:
        return {}
    lost = {name for name, site in state.site_of_member.items() if site == lost_site}
    calls = sum(member.report.calls_in_flight for member in state.membership.members.values())
    quota = sum(base for name, base in state.quotas.base_quotas.items() if name not in lost)
    quota += sum(leases.leasable_quota(name) for name in lost)
    return {"calls": calls, "may_be": quota, "short_by": max(0.0, calls - quota)}
