"""Quota leases: the quotas in use never exceed the vault's total, and members obey only valid replies."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from birchslip.cluster.messages import Incarnation, PlanAssignment, ReportReply
from birchslip.cluster.plan_subscription import PlanSubscription
from birchslip.cluster.quota_leases import QuotaLeases, safe_expiry

SPAN = 30_000
BASES = {"a": 4.0, "b": 4.0, "c": 4.0}


def leases_of(since=-(10**6), total=12.0, reserved_fraction=0.5):
    return QuotaLeases(BASES, total, reserved_fraction, SPAN, since)


@settings(max_examples=200, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from("abc"), st.floats(0, 12), st.integers(0, 20_000), st.integers(0, 9_000)),
        max_size=60,
    )
)
def test_the_quotas_in_use_never_exceed_the_total(grants):
    """Each grant replies to a report sent some time before; members count the lease from the sending."""
    leases, now = leases_of(), 0
    subscriptions = {name: PlanSubscription(0.5 * base, 0, 0) for name, base in BASES.items()}
    planner = Incarnation(nonce=1)
    for name, target, delay, transit in grants:
        now += delay
        amount = leases.grant(name, target, 0.0, now)
        assert 0 <= amount <= target
        reply = ReportReply(
            term=1, planner=planner, is_leading=True, call_limit=2.0 + amount, lease_span=SPAN
        )
        subscriptions[name].accept(reply, now - transit, now)
        for moment in (now, now + SPAN // 2):
            assert sum(member.allowed_calls(moment) for member in subscriptions.values()) <= 12.0 + 1e-6
        assert leases.leased_total + leases.reserved_total <= 12.0 + 1e-6


def test_the_lease_of_a_silent_member_is_granted_to_others_only_after_its_safe_expiry():
    leases = leases_of()
    for name in BASES:
        assert leases.grant(name, 2.0, 0.0, 0) == 2.0
    assert leases.grant("b", 4.0, 2.0, SPAN) == 2.0  # the lease of a may still be in use
    assert leases.grant("b", 4.0, 2.0, safe_expiry(SPAN)) == 4.0
    assert leases.grant("a", 2.0, 0.0, safe_expiry(SPAN) + 10) == 2.0  # the expired lease of c


def test_a_new_leader_only_renews_until_the_previous_leases_have_ended():
    leases = leases_of(since=0)
    assert leases.grant("a", 4.0, 2.0, 100) == 2.0
    assert leases.grant("b", 2.0, 0.0, 100) == 0.0
    assert not leases.previous_leases_ended(safe_expiry(SPAN) - 1)
    assert leases.grant("b", 2.0, 0.0, safe_expiry(SPAN)) == 2.0


def test_a_larger_grant_stays_recorded_until_it_expires():
    leases = leases_of()
    leases.grant("a", 6.0, 0.0, 0)
    leases.grant("a", 1.0, 0.0, 1_000)
    assert leases.available(2_000) == 0.0
    assert leases.available(safe_expiry(SPAN)) == 5.0


# ---- member side --------------------------------------------------------------------------------------

FIRST_PLANNER, SECOND_PLANNER = Incarnation(nonce=1), Incarnation(nonce=2)


def assignment(term, number, span=40_000, listed=True):
    return PlanAssignment(
        term=term,
        number=number,
        validity_span=span,
        fade_span=10_000,
        quotas={},
        evacuated_callers=[],
        evacuated_quota=0.0,
        shedding_order=[],
        serving_fraction=1.0,
        is_listed=listed,
        is_capacity_short=False,
    )


def reply_of(term=5, planner=FIRST_PLANNER, is_leading=True, number=1, **fields):
    plan = assignment(
        term, number, **{name: fields.pop(name) for name in ("span", "listed") if name in fields}
    )
    return ReportReply(term=term, planner=planner, is_leading=is_leading, assignment=plan, **fields)


@pytest.mark.parametrize(
    ("reply", "is_obeyed"),
    [
        (reply_of(), True),
        (reply_of(term=6, planner=SECOND_PLANNER), True),
        (reply_of(term=4), False),
        (reply_of(planner=SECOND_PLANNER, number=9), False),
        (reply_of(term=9, is_leading=False), False),
    ],
    ids=[
        "same leader",
        "newer term",
        "older term",
        "other leader of the same term",
        "follower",
    ],
)
def test_a_reply_is_obeyed_only_from_the_leader_of_the_newest_term(reply, is_obeyed):
    member = PlanSubscription(1.0, 0, 0)
    assert member.accept(reply_of(), 0, 10)
    assert member.accept(reply, 20, 30) is is_obeyed
    assert member.term == max(5, reply.term if is_obeyed else 0)


def test_a_reply_that_took_too_long_has_expired_on_arrival():
    member = PlanSubscription(1.0, 0, 0)
    assert member.accept(reply_of(call_limit=3.0, lease_span=30_000), 0, 50_000)
    assert member.assignment is None
    assert member.allowed_calls(50_000) == 1.0


def test_an_older_plan_of_the_same_term_is_ignored_and_a_repeated_one_only_extends_it():
    member = PlanSubscription(1.0, 0, 0)
    member.accept(reply_of(number=4), 0, 10)
    member.accept(reply_of(number=3, listed=False), 5_000, 5_010)
    assert (member.plan_number, member.is_listed(5_020)) == (4, True)
    member.accept(reply_of(number=4), 5_000, 5_020)
    member.accept(reply_of(number=4), 0, 5_030)
    assert member.assignment_expires_at == 45_000


def test_a_member_without_replies_is_listed_after_its_patience_and_after_its_plan_expires():
    member = PlanSubscription(1.0, 15_000, 0)
    assert not member.is_listed(14_999)
    assert member.is_listed(15_000)
    member.accept(reply_of(listed=False), 0, 10)
    assert not member.is_listed(49_999)
    assert member.is_listed(50_000)


def test_a_lease_that_expired_during_a_pause_is_not_used_after_it():
    member = PlanSubscription(1.0, 0, 0)
    member.accept(reply_of(call_limit=3.0, lease_span=30_000), 0, 10)
    assert member.allowed_calls(29_999) == 3.0
    assert member.allowed_calls(30_000) == 1.0
    assert member.lease_remaining(40_000) == 0
