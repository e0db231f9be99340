"""Leases of the vault's share: never more may be in hand than there is room for."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as some

from birchslip.cluster.messages import Incarnation, PlanAssignment, ReportReply
from birchslip.cluster.plan_subscription import PlanSubscription
from birchslip.cluster.quota_leases import QuotaLeases, surely_over

SPAN = 30_000
BASES = {"a": 4.0, "b": 4.0, "c": 4.0}


def book(since=-(10**6), total=12.0, kept=0.5):
    return QuotaLeases(BASES, total, kept, SPAN, since)


@settings(max_examples=200, deadline=None)
@given(
    some.lists(
        some.tuples(
            some.sampled_from("abc"), some.floats(0, 12), some.integers(0, 20_000), some.integers(0, 9_000)
        ),
        max_size=60,
    )
)
def test_what_members_may_use_never_adds_up_to_more(grants):
    """Each grant answers a report that was sent some time before; members' own clocks bound their use."""
    shares, now = book(), 0
    uses = {name: PlanSubscription(0.5 * base, 0, 0) for name, base in BASES.items()}
    author = Incarnation(nonce=1)
    for name, wanted, later, on_its_way in grants:
        now += later
        amount = shares.grant(name, wanted, 0.0, now)
        assert 0 <= amount <= wanted
        reply = ReportReply(term=1, planner=author, is_leading=True, call_limit=2.0 + amount, lease_span=SPAN)
        uses[name].accept(reply, now - on_its_way, now)
        for moment in (now, now + SPAN // 2):
            assert sum(one.allowed_calls(moment) for one in uses.values()) <= 12.0 + 1e-6
        assert shares.out + shares.kept_sum <= 12.0 + 1e-6


def test_the_lease_of_a_silent_member_is_lent_only_once_it_has_surely_ended():
    shares = book()
    for name in BASES:
        assert shares.grant(name, 2.0, 0.0, 0) == 2.0
    assert shares.grant("b", 4.0, 2.0, SPAN) == 2.0  # a's may still run
    assert shares.grant("b", 4.0, 2.0, surely_over(SPAN)) == 4.0
    assert shares.grant("a", 2.0, 0.0, surely_over(SPAN) + 10) == 2.0  # what c no longer holds


def test_a_new_leader_renews_what_is_held_and_gives_nothing_new_until_the_old_leases_are_over():
    shares = book(since=0)
    assert shares.grant("a", 4.0, 2.0, 100) == 2.0
    assert shares.grant("b", 2.0, 0.0, 100) == 0.0
    assert not shares.sure(surely_over(SPAN) - 1)
    assert shares.grant("b", 2.0, 0.0, surely_over(SPAN)) == 2.0


def test_a_smaller_part_leaves_the_larger_one_booked_until_its_end():
    shares = book()
    shares.grant("a", 6.0, 0.0, 0)
    shares.grant("a", 1.0, 0.0, 1_000)
    assert shares.free(2_000) == 0.0
    assert shares.free(surely_over(SPAN)) == 5.0


# ---- what a member obeys ------------------------------------------------------------------------------

FIRST, SECOND_AUTHOR = Incarnation(nonce=1), Incarnation(nonce=2)


def tell(epoch, number, span=40_000, listed=True):
    return PlanAssignment(
        term=epoch,
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


def word(epoch=5, author=FIRST, leads=True, number=1, **more):
    plan = tell(epoch, number, **{name: more.pop(name) for name in ("span", "listed") if name in more})
    return ReportReply(term=epoch, planner=author, is_leading=leads, assignment=plan, **more)


@pytest.mark.parametrize(
    ("said", "obeyed"),
    [
        (word(), True),
        (word(epoch=6, author=SECOND_AUTHOR), True),
        (word(epoch=4), False),
        (word(author=SECOND_AUTHOR, number=9), False),
        (word(epoch=9, leads=False), False),
    ],
    ids=[
        "the same",
        "a newer epoch",
        "an older epoch",
        "another in the same epoch",
        "one that does not lead",
    ],
)
def test_whose_word_holds(said, obeyed):
    member = PlanSubscription(1.0, 0, 0)
    assert member.accept(word(), 0, 10)
    assert member.accept(said, 20, 30) is obeyed
    assert member.term == max(5, said.term if obeyed else 0)


def test_a_word_that_was_long_on_its_way_is_over_when_it_comes():
    member = PlanSubscription(1.0, 0, 0)
    assert member.accept(word(call_limit=3.0, lease_span=30_000), 0, 50_000)
    assert member.assignment is None and member.allowed_calls(50_000) == 1.0


def test_an_older_plan_of_the_same_epoch_changes_nothing_and_a_doubled_one_can_only_hold_it_longer():
    member = PlanSubscription(1.0, 0, 0)
    member.accept(word(number=4), 0, 10)
    member.accept(word(number=3, listed=False), 5_000, 5_010)
    assert (member.plan_number, member.is_listed(5_020)) == (4, True)
    member.accept(word(number=4), 5_000, 5_020)
    member.accept(word(number=4), 0, 5_030)
    assert member.assignment_expires_at == 45_000


def test_one_that_hears_nobody_is_listed_after_its_patience_and_after_a_plan_has_run_out():
    member = PlanSubscription(1.0, 15_000, 0)
    assert not member.is_listed(14_999) and member.is_listed(15_000)
    member.accept(word(listed=False), 0, 10)
    assert not member.is_listed(49_999) and member.is_listed(50_000)


def test_a_lease_that_was_paused_over_is_found_ended_at_the_next_look():
    member = PlanSubscription(1.0, 0, 0)
    member.accept(word(call_limit=3.0, lease_span=30_000), 0, 10)
    assert member.allowed_calls(29_999) == 3.0 and member.allowed_calls(30_000) == 1.0
    assert member.lease_remaining(40_000) == 0
