"""Fleet plans in the controller: quotas, the shedding order, terms and expiry."""

from itertools import permutations

import pytest

from birchslip.admission.types import (
    SECOND,
    CallNeeded,
    Downstream,
    Idempotency,
    PlanOverride,
    SheddingTier,
    Tenant,
)

from .desk import MS, SERVED, Desk, profile


def plan(term=1, number=1, until=60_000, fade=10_000, **fields):
    return PlanOverride(term, number, until * MS, fade * MS, **fields)


def single_core_desk(*profiles, tenants=(), **settings):
    return Desk(
        *(profiles or (profile(latency_objective=2000, deadline=8000),)),
        tenants=list(tenants),
        cores=1,
        **settings,
    )


@pytest.mark.parametrize(
    ("version", "until", "is_applied"),
    [((2, 1), 90, True), ((1, 5), 90, False), ((2, 0), 90, False), ((2, 1), 60, False), ((3, 0), 1, True)],
    ids=["renewed", "older term", "older number", "duplicate", "newer term that ends sooner"],
)
def test_outdated_plan_is_ignored(version, until, is_applied):
    desk = single_core_desk()
    assert desk.driver.apply_plan(plan(2, 1, 60_000))
    assert desk.driver.apply_plan(plan(*version, until=until * 1000)) is is_applied
    assert (desk.controller.plan.plan.term, desk.controller.plan.plan.number) == (
        version if is_applied else (2, 1)
    )


def test_quota_returns_linearly_to_usual_after_plan_expires():
    tenant = Tenant(10.0)
    desk = single_core_desk(tenants=[tenant])
    meter = desk.controller.quotas.tenants[tenant]
    usual = desk.controller.quotas.quota(meter, desk.now)
    desk.at(1000, cpu=0.5)
    desk.driver.apply_plan(plan(until=20_000, quotas={tenant: 2.0}))
    quotas = []
    for ms in range(20_000, 30_001, 2_500):
        desk.at(ms, cpu=0.5)
        quotas.append(desk.controller.quotas.quota(meter, desk.now))
    assert quotas == pytest.approx([2.0 + (usual - 2.0) * step / 4 for step in range(5)])
    assert not desk.controller.plan.weight
    assert desk.driver.apply_plan(plan(number=2))
    assert not desk.driver.apply_plan(plan(number=1, until=90_000))  # older than the expired plan


def start_run_and_apply_plan(desk, ms, order, **fields):
    """Start a run on the only core and apply a plan with a shedding order."""
    desk.warm(took=1000, until=12_000)
    running = desk.read(ms)
    desk.at(ms, running, cpu=1.0)
    desk.driver.apply_plan(plan(shedding_order=order, evacuated_callers=frozenset((7,)), **fields))
    return running


@pytest.mark.parametrize("order", list(permutations((SheddingTier.RETRY, SheddingTier.EVACUATED)))[:2])
def test_requests_are_dropped_in_shedding_order_of_plan(order):
    desk = single_core_desk(profile(latency_objective=2500, deadline=8000))
    start_run_and_apply_plan(desk, 13_000, (*order, SheddingTier.LOCAL))
    requests = {
        SheddingTier.RETRY: desk.read(13_100, caller=1, is_retry=True),
        SheddingTier.EVACUATED: desk.read(13_100, caller=7),
        SheddingTier.LOCAL: desk.read(13_100, caller=1),
    }
    desk.at(13_100, *requests.values())
    desk.at(13_150, cpu=1.0)
    tiers = {id(request): tier for tier, request in requests.items()}
    dropped = [
        tiers[id(request)]
        for request, action in desk.actions
        if type(action).__name__ == "Reject" and id(request) in tiers
    ]
    assert dropped == list(order)


def test_drops_evacuated_request_with_less_weight_per_service_time():
    high_weight, low_weight = (
        profile(latency_objective=2500, deadline=8000, priority_weight=4.0),
        profile(latency_objective=2500, deadline=8000, priority_weight=1.0),
    )
    desk = Desk(high_weight, low_weight, cores=1)
    desk.warm(took=1000, until=8_000).warm(took=1000, until=8_000, which=1)
    desk.at(13_000, desk.read(13_000), cpu=1.0)
    desk.driver.apply_plan(plan(evacuated_callers=frozenset((7,))))
    first, second = desk.read(13_050, caller=7), desk.read(13_060, which=1, caller=7)
    desk.at(13_060, first, second, cpu=1.0)
    desk.at(13_110, cpu=1.0)
    assert "Reject" in desk.action_names(second)
    assert "Reject" not in desk.action_names(first)


def test_repeat_of_keyed_request_that_has_run_is_never_rejected():
    desk = single_core_desk(
        profile(Idempotency.KEYED, latency_objective=2000, deadline=8000, key_retention=20_000 * MS)
    )
    running = start_run_and_apply_plan(desk, 13_000, tuple(SheddingTier), is_capacity_short=True)
    repeats = [desk.read(13_000 + n, caller=7, is_retry=True, original=running) for n in range(8)]
    desk.at(13_010, *repeats, cpu=1.0).at(13_100, cpu=1.0)
    assert all(desk.action_names(request) == ["AttachToOriginal"] for request in repeats)


def test_serving_fraction_bounds_cores_and_rises_as_plan_fades():
    desk = Desk(profile(latency_objective=9000, deadline=20_000), cores=8)
    desk.driver.apply_plan(plan(until=5_000, fade=8_000, serving_fraction=0.25))
    desk.at(100, cpu=0.1)
    requests = [desk.read(150) for _ in range(12)]
    desk.at(150, *requests, cpu=0.1)
    assert len(desk.controller.limit.running) == 2
    desk.at(9_000, cpu=0.1)
    assert len(desk.controller.limit.running) == 5


@pytest.mark.parametrize("short", [True, False])
def test_rejection_asks_to_stop_retrying_if_capacity_is_short(short):
    desk = single_core_desk(memory_limit=1000, sends_retry_after=True, max_retry_after=SECOND)
    desk.driver.apply_plan(plan(is_capacity_short=short))
    request = desk.read(1000, size=2000)
    desk.at(1000, request, cpu=0.1)
    assert [action.stop_retrying for answered, action in desk.actions if answered is request] == [short]


def test_new_downstream_quota_applies_at_once():
    desk = Desk(
        profile(latency_objective=9000, deadline=20_000),
        cores=4,
        downstream=Downstream.SHARED,
        downstream_quota=3.0,
    )
    requests = [desk.read(0) for _ in range(4)]
    desk.at(0, *requests)
    desk.driver.set_downstream_quota(1.0)
    desk.at(10, *((request, CallNeeded()) for request in requests))
    assert desk.controller.downstream.in_flight == 1
    desk.driver.set_downstream_quota(3.0)
    desk.at(600, cpu=0.2)
    assert desk.controller.downstream.in_flight > 1
    desk.at(700, (requests[0], SERVED))


def test_evacuated_callers_share_own_quota_at_once_and_get_retry_after():
    tenant = Tenant(100.0)
    desk = single_core_desk(
        profile(latency_objective=6000, deadline=8000),
        tenants=[tenant],
        sends_retry_after=True,
        max_retry_after=SECOND,
    )
    desk.warm(took=1000, until=12_000)
    desk.driver.apply_plan(plan(evacuated_callers=frozenset((7,)), evacuated_quota=0.5))
    desk.at(13_000, desk.read(13_000, tenant=tenant), cpu=1.0)
    desk.at(13_310, desk.read(13_000, tenant=tenant), cpu=1.0)  # read late, so it has waited 310 ms
    local, evacuated = (desk.read(13_320, tenant=tenant, caller=caller) for caller in (1, 7))
    desk.at(13_320, evacuated, local)
    assert desk.controller.queue.is_saturated
    assert desk.action_names(local) == []
    (rejected,) = [
        action
        for request, action in desk.actions
        if request is evacuated and type(action).__name__ == "Reject"
    ]
    # One request above a quota of 0.5 per second gives a delay of over a second.
    assert rejected.retry_after >= 0.75 * SECOND
    # Evacuated callers don't count against the tenant's quota.
    assert desk.controller.quotas.tenants[tenant].admitted.total(desk.now) == 3
