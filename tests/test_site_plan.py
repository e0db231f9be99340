"""Site plan: load is conserved, no site exceeds its capacity, and tiers are rejected in order."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from birchslip.admission.types import SheddingTier
from birchslip.cluster.fair_share import water_fill
from birchslip.cluster.site_capacity import SiteCapacity
from birchslip.cluster.site_plan import plan_sites, plan_without_site

TENANTS = ("blue", "green", "red")
TIER_ORDERS = [
    tuple(SheddingTier),
    (SheddingTier.EVACUATED, SheddingTier.OVER_QUOTA, SheddingTier.LOCAL),
    (SheddingTier.RETRY, SheddingTier.LOCAL),
    (SheddingTier.LOCAL,),
]
rates = st.floats(0, 1000)
shares = st.dictionaries(st.sampled_from(TENANTS), st.floats(0, 0.33))


@st.composite
def site_sets(draw):
    """Draw measured sites and the costs of the links between them."""
    sites = []
    for number in range(draw(st.integers(1, 5))):
        capacities = {f"s{number}-{member}": draw(rates) for member in range(draw(st.integers(1, 3)))}
        load = {tenant: draw(rates) for tenant in TENANTS}
        retry_load = draw(st.floats(0, 100))
        sites.append(SiteCapacity(f"s{number}", capacities, load, retry_load, is_lost=draw(st.booleans())))
    costs = {(a.name, b.name): draw(st.floats(0, 9)) for a in sites for b in sites}
    return sites, costs


@settings(max_examples=300, deadline=None)
@given(site_sets(), shares, st.sampled_from(TIER_ORDERS))
def test_load_is_conserved_and_no_site_exceeds_its_capacity(site_set, tenants, order):
    sites, costs = site_set
    plan = plan_sites(sites, tenants, costs, order)
    offered = sum(sum(site.load.values()) for site in sites)
    retry_load = plan.rejected.get(SheddingTier.RETRY, 0.0)
    placed = sum(plan.flows.values())
    assert placed + plan.total_rejected() - retry_load == pytest.approx(offered, abs=1e-3)
    for site in sites:
        served = sum(rate for (_, target), rate in plan.flows.items() if target == site.name)
        assert served <= site.capacity + 1e-3
        placed_from_site = sum(rate for (source, _), rate in plan.flows.items() if source == site.name)
        assert placed_from_site + plan.rejected_by_site[site.name] == pytest.approx(
            sum(site.load.values()), abs=1e-3
        )
        local = plan.flows.get((site.name, site.name), 0.0)
        if site.capacity > 0:
            quotas = sum(sum(plan.member_tenant_quotas(name).values()) for name in site.member_capacity)
            assert quotas == pytest.approx(site.capacity - (served - local), abs=1e-3)
            evacuated_quota = sum(plan.member_evacuated_quota(name) for name in site.member_capacity)
            assert evacuated_quota == pytest.approx(site.capacity - local, abs=1e-3)
    assert plan.is_short == (plan.total_rejected() > 1e-9)
    assert all(rate >= 0 for rate in plan.flows.values())


@settings(max_examples=200, deadline=None)
@given(site_sets(), shares, st.sampled_from(TIER_ORDERS), rates)
def test_more_capacity_never_means_more_rejected(site_set, tenants, order, added_capacity):
    sites, costs = site_set
    before = plan_sites(sites, tenants, costs, order).total_rejected()
    first = sites[0]
    larger = SiteCapacity(
        first.name,
        {**first.member_capacity, "added": added_capacity},
        first.load,
        first.retry_load,
        first.is_lost,
    )
    assert plan_sites([larger, *sites[1:]], tenants, costs, order).total_rejected() <= before + 1e-3


@settings(max_examples=200, deadline=None)
@given(site_sets(), shares, st.sampled_from(TIER_ORDERS))
def test_a_tier_is_rejected_only_after_the_earlier_tiers_are_exhausted(site_set, tenants, order):
    sites, costs = site_set
    plan = plan_sites(sites, tenants, costs, order)
    tiers = [*order, SheddingTier.LOCAL]
    if SheddingTier.RETRY in order:
        later = tiers[tiers.index(SheddingTier.RETRY) + 1 :]
        if any(plan.rejected.get(tier, 0) > 1e-6 for tier in later):
            total_retry_load = sum(site.retry_load for site in sites)
            assert plan.rejected.get(SheddingTier.RETRY, 0.0) == pytest.approx(total_retry_load, abs=1e-3)
    if SheddingTier.EVACUATED in order and plan.rejected.get(SheddingTier.LOCAL, 0.0) > 1e-6:
        for site in sites:
            if site.is_lost:
                assert sum(rate for (source, _), rate in plan.flows.items() if source == site.name) < 1e-3


@settings(max_examples=200, deadline=None)
@given(st.floats(0, 1000), st.dictionaries(st.sampled_from("abcdef"), rates), st.data())
def test_water_filling_gives_each_tenant_at_least_the_lower_of_demand_and_share(capacity, demands, data):
    weights = {name: data.draw(st.floats(0.01, 1)) for name in demands}
    allotted = water_fill(capacity, demands, weights)
    assert sum(allotted.values()) <= capacity + 1e-6
    total = sum(weights.values())
    for name, demand in demands.items():
        assert allotted[name] >= min(demand, capacity * weights[name] / total) - 1e-6


def two_sites(load_a, load_b, capacity=100.0, is_lost=True):
    return [
        SiteCapacity("a", {"a-0": capacity}, load_a, is_lost=is_lost),
        SiteCapacity("b", {"b-0": capacity / 2, "b-1": capacity / 2}, load_b),
    ]


def test_local_load_stays_and_the_rest_takes_the_cheapest_link_first():
    sites = [
        SiteCapacity("a", {"a-0": 100}, {"blue": 60.0}, is_lost=True),
        SiteCapacity("b", {"b-0": 100}, {"blue": 70.0}),
        SiteCapacity("c", {"c-0": 100}, {"blue": 80.0}),
    ]
    plan = plan_sites(
        sites, {}, {("a", "b"): 2.0, ("a", "c"): 1.0}, (SheddingTier.EVACUATED, SheddingTier.LOCAL)
    )
    assert plan.flows == {
        ("b", "b"): 70.0,
        ("c", "c"): 80.0,
        ("a", "c"): pytest.approx(20.0),
        ("a", "b"): pytest.approx(30.0),
    }
    assert plan.rejected == {SheddingTier.EVACUATED: pytest.approx(10.0)}
    assert plan.is_short


def test_a_local_tenant_gets_its_share_before_evacuated_load_is_admitted():
    plan = plan_sites(
        two_sites({"blue": 90.0}, {"blue": 10.0, "green": 45.0}), {"blue": 0.5, "green": 0.5}, {}
    )
    green = sum(plan.member_tenant_quotas(name)["green"] for name in ("b-0", "b-1"))
    assert green >= 45.0
    assert plan.remote_load["b"] == pytest.approx(45.0)
    assert plan.rejected == {SheddingTier.OVER_QUOTA: pytest.approx(45.0)}


def test_plan_without_site_reports_the_capacity_shortage():
    plan = plan_without_site(two_sites({"blue": 30.0}, {"blue": 60.0}, is_lost=False), "a", {}, {})
    assert plan.flows["a", "b"] == pytest.approx(30.0)
    assert not plan.is_short
    plan = plan_without_site(two_sites({"blue": 30.0}, {"blue": 90.0}, is_lost=False), "a", {}, {})
    assert plan.total_rejected() == pytest.approx(20.0)
    assert plan.is_short


@pytest.mark.parametrize("is_lost", [True, False], ids=["lost sites", "serving sites"])
def test_rejects_load_of_a_tenant_that_has_load_at_only_one_of_several_sites(is_lost):
    sites = [
        SiteCapacity("a", {"a-0": 100.0}, {"blue": 10.0, "red": 150.0}, is_lost=is_lost),
        SiteCapacity("b", {"b-0": 100.0}, {"blue": 10.0}, is_lost=is_lost),
        SiteCapacity("c", {"c-0": 100.0}, {"blue": 150.0}),
    ]
    plan = plan_sites(sites, {"blue": 0.5, "red": 0.5}, {}, (SheddingTier.OVER_QUOTA,))
    capacity = 100.0 if is_lost else 300.0
    assert plan.total_rejected() == pytest.approx(320.0 - capacity)
    assert sum(plan.flows.values()) == pytest.approx(capacity)
