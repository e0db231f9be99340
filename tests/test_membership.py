"""Who is there: suspicion that adapts, lives told apart, and what it takes to call a site lost."""

import pytest

from birchslip.cluster.membership import MemberLiveness, Membership, SiteVerdict
from birchslip.cluster.phi_accrual import PhiAccrualDetector

from .fleetdesk import SECOND, report

EVERY = 2_000


def told(sites=("a", "b", "c"), each=2, until=SECOND):
    membership = Membership(sites, EVERY)
    for now in range(0, until + 1, EVERY):
        for site in sites:
            for n in range(each):
                membership.hear(report(f"{site}-{n}", number=now + 1, site=site), now)
    return membership


@pytest.mark.parametrize("gap", [1_000, 2_000, 20_000])
def test_suspicion_follows_the_usual_gap(gap):
    suspicion = PhiAccrualDetector(0, EVERY)
    for at in range(gap, 100 * gap, gap):
        suspicion.heard(at)
    at = 99 * gap
    assert suspicion.phi(at + gap) < 1 and suspicion.phi(at + 4 * gap) > 8
    assert suspicion.phi(at + 100 * gap) == 40.0  # and no more: the chance is nought to a float


def test_uneven_gaps_make_it_slower_to_suspect():
    even, uneven = PhiAccrualDetector(0, EVERY), PhiAccrualDetector(0, EVERY)
    now = 0
    for place in range(100):
        now += EVERY
        even.heard(now)
        uneven.heard(now + (EVERY // 2 if place % 2 else 0))
    assert uneven.phi(now + 2 * EVERY) < even.phi(now + 2 * EVERY)


@pytest.mark.parametrize(
    ("more", "news"),
    [
        ({"number": 10**6}, True),
        ({"number": 1}, False),
        ({"number": SECOND + 1}, False),
        ({"number": 1, "mark": 2}, True),
        ({"number": 10**6, "site": "nowhere"}, False),
    ],
    ids=["next", "late", "doubled", "a new life", "of no site"],
)
def test_which_reports_are_news(more, news):
    assert told().hear(report("a-0", **{"site": "a", **more}), SECOND + 10) is news


def test_a_report_of_an_earlier_life_changes_nothing_however_late():
    membership = told()
    membership.hear(report("a-0", 1, mark=2), SECOND + 10)
    assert not membership.hear(report("a-0", 10**6, mark=1), SECOND + 20)
    member = membership.members["a-0"]
    assert member.incarnation.nonce == 2 and member.restarts == 1
    membership.broke("a-0", report(mark=1).incarnation)  # the end of the earlier life's link
    assert member.life(SECOND + 30, EVERY) is MemberLiveness.ALIVE


def silence(membership, site, until, but=()):
    """The others go on reporting."""
    for now in range(SECOND + EVERY, until + 1, EVERY):
        for name, one in membership.members.items():
            if one.site != site or name in but:
                membership.hear(report(name, number=now + 1, site=one.site), now)


KNOCKS = [("b-0", "a-0"), ("c-0", "a-1")]


@pytest.mark.parametrize(
    ("met", "verdict"),
    [
        ([], SiteVerdict.DARK),
        ([(*KNOCKS[0], "refused")], SiteVerdict.DARK),
        ([(*KNOCKS[0], "refused"), ("b-0", "a-1", "refused")], SiteVerdict.DARK),
        ([(*KNOCKS[0], "refused"), (*KNOCKS[1], "silent")], SiteVerdict.LOST),
        ([(*KNOCKS[0], "refused"), (*KNOCKS[1], "answered")], SiteVerdict.CUT_OFF),
        ([("a-1", "a-0", "refused"), ("a-0", "a-1", "refused")], SiteVerdict.DARK),
        ([("nobody", "a-0", "refused"), (*KNOCKS[1], "refused")], SiteVerdict.DARK),
    ],
    ids=["none", "one door", "one witness", "two", "a door is answered", "its own members", "a stranger"],
)
def test_a_silent_site_is_lost_on_the_evidence_of_several_witnesses_alone(met, verdict):
    membership = told()
    silence(membership, "a", 3 * SECOND)
    for witness, door, what in met:
        membership.knocked(witness, door, what, 3 * SECOND)
    assert membership.verdict("a", 3 * SECOND) is verdict
    assert membership.verdict("b", 3 * SECOND) is SiteVerdict.HERE


def test_what_was_met_before_it_was_last_heard_or_long_ago_is_no_evidence():
    membership = told()
    for witness, door in KNOCKS:
        membership.knocked(witness, door, "refused", SECOND - 1)
    silence(membership, "a", 2 * SECOND)
    assert membership.verdict("a", 2 * SECOND) is SiteVerdict.DARK
    for witness, door in KNOCKS:
        membership.knocked(witness, door, "refused", 2 * SECOND)
    assert membership.verdict("a", 2 * SECOND) is SiteVerdict.LOST
    silence(membership, "a", 5 * SECOND)
    assert membership.verdict("a", 5 * SECOND) is SiteVerdict.DARK


def test_one_member_that_is_heard_or_heard_by_another_planner_keeps_its_site():
    membership = told()
    silence(membership, "a", 3 * SECOND, but=("a-1",))
    assert membership.verdict("a", 3 * SECOND) is not SiteVerdict.DARK
    membership = told()
    silence(membership, "a", 3 * SECOND)
    membership.heard_elsewhere(["a-0"], 3 * SECOND)
    assert membership.verdict("a", 3 * SECOND) is not SiteVerdict.DARK
    assert membership.members["a-1"].life(3 * SECOND, EVERY) is MemberLiveness.SUSPECTED
    assert membership.members["a-1"].life(13 * SECOND, EVERY) is MemberLiveness.GONE


def test_slow_and_restarting_sites_are_told_from_lost_ones():
    membership = told(each=4)
    for n in range(3):
        membership.hear(report(f"a-{n}", 10**6, slowdown=2.5), SECOND + 10)
    for n in range(3):
        membership.hear(report(f"b-{n}", 1, mark=2), SECOND + 10)
    assert membership.verdict("a", SECOND + 20) is SiteVerdict.SLOW
    assert membership.verdict("b", SECOND + 20) is SiteVerdict.RESTARTING
    membership.hear(report("c-0", 10**6, is_draining=True), SECOND + 10)
    assert membership.members["c-0"].life(SECOND + 20, EVERY) is MemberLiveness.LEFT
    assert membership.verdict("c", SECOND + 20) is SiteVerdict.HERE


def test_with_one_site_left_that_can_witness_one_member_of_it_is_enough_where_there_is_no_other():
    membership = told(sites=("a", "b"), each=1)
    silence(membership, "a", 3 * SECOND)
    membership.knocked("b-0", "a-0", "refused", 3 * SECOND)
    assert membership.verdict("a", 3 * SECOND) is SiteVerdict.LOST
