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

from .decision_harness import MS, SERVED, DecisionHarness, make_request_class


def plan(term=1, number=1, until=60_000, fade=10_000, **fields):
    return PlanOverride(term, number, until * MS, fade * MS, **fields)


def single_core_harness(*request_classes, tenants=(), **settings):
    return DecisionHarness(
        *(request_classes or (make_request_class(latency_objective=2000, deadline=8000),)),
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
    harness = single_core_harness()
    assert harness.driver.apply_plan(plan(2, 1, 60_000))
    assert harness.driver.apply_plan(plan(*version, until=until * 1000)) is is_applied
    assert (harness.controller.plan.plan.term, harness.controller.plan.plan.number) == (
        version if is_applied else (2, 1)
    )


def test_quota_returns_linearly_to_usual_after_plan_expires():
    tenant = Tenant(10.0)
    harness = single_core_harness(tenants=[tenant])
    meter = harness.controller.quotas.tenants[tenant]
    usual = harness.controller.quotas.quota(meter, harness.now)
    harness.process_at(1000, cpu=0.5)
    harness.driver.apply_plan(plan(until=20_000, quotas={tenant: 2.0}))
    quotas = []
    for ms in range(20_000, 30_001, 2_500):
        harness.process_at(ms, cpu=0.5)
        quotas.append(harness.controller.quotas.quota(meter, harness.now))
    assert quotas == pytest.approx([2.0 + (usual - 2.0) * step / 4 for step in range(5)])
    assert not harness.controller.plan.weight
    assert harness.driver.apply_plan(plan(number=2))
    assert not harness.driver.apply_plan(plan(number=1, until=90_000))  # older than the expired plan


def start_run_and_apply_plan(harness, ms, order, **fields):
    """Start a run on the only core and apply a plan with a shedding order."""
    harness.warm_up(run_time=1000, until=12_000)
    running = harness.make_request(ms)
    harness.process_at(ms, running, cpu=1.0)
    harness.driver.apply_plan(plan(shedding_order=order, evacuated_callers=frozenset((7,)), **fields))
    return running


@pytest.mark.parametrize("order", list(permutations((SheddingTier.RETRY, SheddingTier.EVACUATED)))[:2])
def test_requests_are_dropped_in_shedding_order_of_plan(order):
    harness = single_core_harness(make_request_class(latency_objective=2500, deadline=8000))
    start_run_and_apply_plan(harness, 13_000, (*order, SheddingTier.LOCAL))
    requests = {
        SheddingTier.RETRY: harness.make_request(13_100, caller=1, is_retry=True),
        SheddingTier.EVACUATED: harness.make_request(13_100, caller=7),
        SheddingTier.LOCAL: harness.make_request(13_100, caller=1),
    }
    harness.process_at(13_100, *requests.values())
    harness.process_at(13_150, cpu=1.0)
    tiers = {id(request): tier for tier, request in requests.items()}
    dropped = [
        tiers[id(request)]
        for request, action in harness.actions
        if type(action).__name__ == "Reject" and id(request) in tiers
    ]
    assert dropped == list(order)


def test_drops_evacuated_request_with_less_weight_per_service_time():
    high_weight, low_weight = (
        make_request_class(latency_objective=2500, deadline=8000, priority_weight=4.0),
        make_request_class(latency_objective=2500, deadline=8000, priority_weight=1.0),
    )
    harness = DecisionHarness(high_weight, low_weight, cores=1)
    harness.warm_up(run_time=1000, until=8_000).warm_up(run_time=1000, until=8_000, class_index=1)
    harness.process_at(13_000, harness.make_request(13_000), cpu=1.0)
    harness.driver.apply_plan(plan(evacuated_callers=frozenset((7,))))
    first, second = (
        harness.make_request(13_050, caller=7),
        harness.make_request(13_060, class_index=1, caller=7),
    )
    harness.process_at(13_060, first, second, cpu=1.0)
    harness.process_at(13_110, cpu=1.0)
    assert "Reject" in harness.action_names(second)
    assert "Reject" not in harness.action_names(first)


def test_repeat_of_keyed_request_that_has_run_is_never_rejected():
    harness = single_core_harness(
        make_request_class(
            Idempotency.KEYED, latency_objective=2000, deadline=8000, key_retention=20_000 * MS
        )
    )
    running = start_run_and_apply_plan(harness, 13_000, tuple(SheddingTier), is_capacity_short=True)
    repeats = [harness.make_request(13_000 + n, caller=7, is_retry=True, original=running) for n in range(8)]
    harness.process_at(13_010, *repeats, cpu=1.0).process_at(13_100, cpu=1.0)
    assert all(harness.action_names(request) == ["AttachToOriginal"] for request in repeats)


def test_serving_fraction_bounds_cores_and_rises_as_plan_fades():
    harness = DecisionHarness(make_request_class(latency_objective=9000, deadline=20_000), cores=8)
    harness.driver.apply_plan(plan(until=5_000, fade=8_000, serving_fraction=0.25))
    harness.process_at(100, cpu=0.1)
    requests = [harness.make_request(150) for _ in range(12)]
    harness.process_at(150, *requests, cpu=0.1)
    assert len(harness.controller.limit.running) == 2
    harness.process_at(9_000, cpu=0.1)
    assert len(harness.controller.limit.running) == 5


@pytest.mark.parametrize("short", [True, False])
def test_rejection_asks_to_stop_retrying_if_capacity_is_short(short):
    harness = single_core_harness(memory_limit=1000, sends_retry_after=True, max_retry_after=SECOND)
    harness.driver.apply_plan(plan(is_capacity_short=short))
    request = harness.make_request(1000, size=2000)
    harness.process_at(1000, request, cpu=0.1)
    assert [action.stop_retrying for answered, action in harness.actions if answered is request] == [short]


def test_new_downstream_quota_applies_at_once():
    harness = DecisionHarness(
        make_request_class(latency_objective=9000, deadline=20_000),
        cores=4,
        downstream=Downstream.SHARED,
        downstream_quota=3.0,
    )
    requests = [harness.make_request(0) for _ in range(4)]
    harness.process_at(0, *requests)
    harness.driver.set_downstream_quota(1.0)
    harness.process_at(10, *((request, CallNeeded()) for request in requests))
    assert harness.controller.downstream.in_flight == 1
    harness.driver.set_downstream_quota(3.0)
    harness.process_at(600, cpu=0.2)
    assert harness.controller.downstream.in_flight > 1
    harness.process_at(700, (requests[0], SERVED))


def test_evacuated_callers_share_own_quota_at_once_and_get_retry_after():
    tenant = Tenant(100.0)
    harness = single_core_harness(
        make_request_class(latency_objective=6000, deadline=8000),
        tenants=[tenant],
        sends_retry_after=True,
        max_retry_after=SECOND,
    )
    harness.warm_up(run_time=1000, until=12_000)
    harness.driver.apply_plan(plan(evacuated_callers=frozenset((7,)), evacuated_quota=0.5))
    harness.process_at(13_000, harness.make_request(13_000, tenant=tenant), cpu=1.0)
    harness.process_at(
        13_310, harness.make_request(13_000, tenant=tenant), cpu=1.0
    )  # read late, so it has waited 310 ms
    local, evacuated = (harness.make_request(13_320, tenant=tenant, caller=caller) for caller in (1, 7))
    harness.process_at(13_320, evacuated, local)
    assert harness.controller.queue.is_saturated
    assert harness.action_names(local) == []
    (rejected,) = [
        action
        for request, action in harness.actions
        if request is evacuated and type(action).__name__ == "Reject"
    ]
    # One request above a quota of 0.5 per second gives a delay of over a second.
    assert rejected.retry_after >= 0.75 * SECOND
    # Evacuated callers don't count against the tenant's quota.
    assert harness.controller.quotas.tenants[tenant].admitted.total(harness.now) == 3
