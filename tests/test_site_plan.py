"""The plan of a lost site: load is conserved, nobody above its room, the order of refusal kept."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as some

from birchslip.admission.types import SheddingTier
from birchslip.cluster.site_plan import SiteCapacity, plan, water, what_if

TENANTS = ("blue", "green", "red")
ORDERS = [
    tuple(SheddingTier),
    (SheddingTier.EVACUATED, SheddingTier.OVER_QUOTA, SheddingTier.LOCAL),
    (SheddingTier.RETRY, SheddingTier.LOCAL),
    (SheddingTier.LOCAL,),
]
rates = some.floats(0, 1000)
shares = some.dictionaries(some.sampled_from(TENANTS), some.floats(0, 0.33))


@some.composite
def worlds(draw):
    made = []
    for place in range(draw(some.integers(1, 5))):
        rooms = {f"s{place}-{n}": draw(rates) for n in range(draw(some.integers(1, 3)))}
        load = {tenant: draw(rates) for tenant in TENANTS}
        again = draw(some.floats(0, 100))
        made.append(SiteCapacity(f"s{place}", rooms, load, again, lost=draw(some.booleans())))
    costs = {(a.name, b.name): draw(some.floats(0, 9)) for a in made for b in made}
    return made, costs


@settings(max_examples=300, deadline=None)
@given(worlds(), shares, some.sampled_from(ORDERS))
def test_load_is_conserved_and_nobody_is_above_its_room(world, tenants, order):
    places, costs = world
    made = plan(places, tenants, costs, order)
    asked = sum(sum(place.load.values()) for place in places)
    again = made.refused.get(SheddingTier.RETRY, 0.0)
    placed = sum(made.flows.values())
    assert placed + made.refused_in_all() - again == pytest.approx(asked, abs=1e-3)
    for place in places:
        taken = sum(amount for (_, to), amount in made.flows.items() if to == place.name)
        assert taken <= place.room + 1e-3
        left = sum(amount for (home, _), amount in made.flows.items() if home == place.name)
        assert left + made.refused_at[place.name] == pytest.approx(sum(place.load.values()), abs=1e-3)
        home = made.flows.get((place.name, place.name), 0.0)
        if place.room > 0:
            quotas = sum(sum(made.quotas_of(name).values()) for name in place.rooms)
            assert quotas == pytest.approx(place.room - (taken - home), abs=1e-3)
            visits = sum(made.visits_of(name) for name in place.rooms)
            assert visits == pytest.approx(place.room - home, abs=1e-3)
    assert made.short == (made.refused_in_all() > 1e-9)
    assert all(amount >= 0 for amount in made.flows.values())


@settings(max_examples=200, deadline=None)
@given(worlds(), shares, some.sampled_from(ORDERS), rates)
def test_more_room_never_means_more_refused(world, tenants, order, more):
    places, costs = world
    before = plan(places, tenants, costs, order).refused_in_all()
    first = places[0]
    roomier = SiteCapacity(first.name, {**first.rooms, "more": more}, first.load, first.again, first.lost)
    assert plan([roomier, *places[1:]], tenants, costs, order).refused_in_all() <= before + 1e-3


@settings(max_examples=200, deadline=None)
@given(worlds(), shares, some.sampled_from(ORDERS))
def test_a_later_kind_is_refused_only_when_the_earlier_ones_are_used_up(world, tenants, order):
    places, costs = world
    made = plan(places, tenants, costs, order)
    kinds = [*order, SheddingTier.LOCAL]
    if SheddingTier.RETRY in order:
        later = kinds[kinds.index(SheddingTier.RETRY) + 1 :]
        if any(made.refused.get(kind, 0) > 1e-6 for kind in later):
            used_up = sum(place.again for place in places)
            assert made.refused.get(SheddingTier.RETRY, 0.0) == pytest.approx(used_up, abs=1e-3)
    if SheddingTier.EVACUATED in order and made.refused.get(SheddingTier.LOCAL, 0.0) > 1e-6:
        for place in places:
            if place.lost:
                assert sum(flow for (home, _), flow in made.flows.items() if home == place.name) < 1e-3


@settings(max_examples=200, deadline=None)
@given(some.floats(0, 1000), some.dictionaries(some.sampled_from("abcdef"), rates), some.data())
def test_water_gives_nobody_less_than_its_share_while_it_asks_for_more(room, demands, data):
    weights = {name: data.draw(some.floats(0.01, 1)) for name in demands}
    parts = water(room, demands, weights)
    assert sum(parts.values()) <= room + 1e-6
    total = sum(weights.values())
    for name, asked in demands.items():
        assert parts[name] >= min(asked, room * weights[name] / total) - 1e-6


def two(load_a, load_b, room=100.0, lost=True):
    return [
        SiteCapacity("a", {"a-0": room}, load_a, lost=lost),
        SiteCapacity("b", {"b-0": room / 2, "b-1": room / 2}, load_b),
    ]


def test_home_load_stays_and_the_cheapest_link_is_taken_first():
    places = [
        SiteCapacity("a", {"a-0": 100}, {"blue": 60.0}, lost=True),
        SiteCapacity("b", {"b-0": 100}, {"blue": 70.0}),
        SiteCapacity("c", {"c-0": 100}, {"blue": 80.0}),
    ]
    made = plan(places, {}, {("a", "b"): 2.0, ("a", "c"): 1.0}, (SheddingTier.EVACUATED, SheddingTier.LOCAL))
    assert made.flows == {
        ("b", "b"): 70.0,
        ("c", "c"): 80.0,
        ("a", "c"): pytest.approx(20.0),
        ("a", "b"): pytest.approx(30.0),
    }
    assert made.refused == {SheddingTier.EVACUATED: pytest.approx(10.0)} and made.short


def test_no_home_tenant_within_its_share_is_under_it_while_a_visitor_is_served():
    made = plan(two({"blue": 90.0}, {"blue": 10.0, "green": 45.0}), {"blue": 0.5, "green": 0.5}, {})
    green = sum(made.quotas_of(name)["green"] for name in ("b-0", "b-1"))
    assert green >= 45.0 and made.visiting["b"] == pytest.approx(45.0)
    assert made.refused == {SheddingTier.OVER_QUOTA: pytest.approx(45.0)}


def test_what_the_loss_of_a_site_would_mean():
    made = what_if(two({"blue": 30.0}, {"blue": 60.0}, lost=False), "a", {}, {})
    assert made.flows["a", "b"] == pytest.approx(30.0) and not made.short
    made = what_if(two({"blue": 30.0}, {"blue": 90.0}, lost=False), "a", {}, {})
    assert made.refused_in_all() == pytest.approx(20.0) and made.short
