"""Membership: phi adapts to intervals, late reports are ignored, and a site is lost only on evidence."""

import pytest

from birchslip.cluster.membership import MemberLiveness, Membership, SiteVerdict
from birchslip.cluster.phi_accrual import PhiAccrualDetector

from .planner_harness import SECOND, make_report

REPORT_INTERVAL = 2_000


def membership_of(sites=("a", "b", "c"), members_per_site=2, until=SECOND):
    membership = Membership(sites, REPORT_INTERVAL)
    for now in range(0, until + 1, REPORT_INTERVAL):
        for site in sites:
            for n in range(members_per_site):
                membership.receive_report(make_report(f"{site}-{n}", sequence=now + 1, site=site), now)
    return membership


@pytest.mark.parametrize("interval", [1_000, 2_000, 20_000], ids=["100 ms", "200 ms", "2 s"])
def test_phi_adapts_to_the_usual_interval(interval):
    detector = PhiAccrualDetector(0, REPORT_INTERVAL)
    for at in range(interval, 100 * interval, interval):
        detector.record_heartbeat(at)
    at = 99 * interval
    assert detector.phi(at + interval) < 1
    assert detector.phi(at + 4 * interval) > 8
    assert detector.phi(at + 100 * interval) == 40.0  # `MAX_PHI`: the probability is zero to a float


def test_uneven_intervals_lower_phi():
    even, uneven = PhiAccrualDetector(0, REPORT_INTERVAL), PhiAccrualDetector(0, REPORT_INTERVAL)
    now = 0
    for place in range(100):
        now += REPORT_INTERVAL
        even.record_heartbeat(now)
        uneven.record_heartbeat(now + (REPORT_INTERVAL // 2 if place % 2 else 0))
    assert uneven.phi(now + 2 * REPORT_INTERVAL) < even.phi(now + 2 * REPORT_INTERVAL)


@pytest.mark.parametrize(
    ("fields", "is_accepted"),
    [
        ({"sequence": 10**6}, True),
        ({"sequence": 1}, False),
        ({"sequence": SECOND + 1}, False),
        ({"sequence": 1, "nonce": 2}, True),
        ({"sequence": 10**6, "site": "nowhere"}, False),
    ],
    ids=["next", "late", "duplicate", "new incarnation", "unknown site"],
)
def test_only_a_new_report_is_accepted(fields, is_accepted):
    assert (
        membership_of().receive_report(make_report("a-0", **{"site": "a", **fields}), SECOND + 10)
        is is_accepted
    )


def test_a_late_report_of_an_earlier_incarnation_changes_nothing():
    membership = membership_of()
    membership.receive_report(make_report("a-0", 1, nonce=2), SECOND + 10)
    assert not membership.receive_report(make_report("a-0", 10**6, nonce=1), SECOND + 20)
    member = membership.members["a-0"]
    assert member.incarnation.nonce == 2
    assert member.restarts == 1
    membership.mark_disconnected("a-0", make_report(nonce=1).incarnation)  # connection of the earlier one
    assert member.liveness(SECOND + 30, REPORT_INTERVAL) is MemberLiveness.ALIVE


def silence_site(membership, site, until, reporting=()):
    """Let all members report until `until`, except those of `site` that are not in `reporting`."""
    for now in range(SECOND + REPORT_INTERVAL, until + 1, REPORT_INTERVAL):
        for name, member in membership.members.items():
            if member.site != site or name in reporting:
                membership.receive_report(make_report(name, sequence=now + 1, site=member.site), now)


PROBES = [("b-0", "a-0"), ("c-0", "a-1")]


@pytest.mark.parametrize(
    ("probes", "verdict"),
    [
        ([], SiteVerdict.UNKNOWN),
        ([(*PROBES[0], "refused")], SiteVerdict.UNKNOWN),
        ([(*PROBES[0], "refused"), ("b-0", "a-1", "refused")], SiteVerdict.UNKNOWN),
        ([(*PROBES[0], "refused"), (*PROBES[1], "silent")], SiteVerdict.LOST),
        ([(*PROBES[0], "refused"), (*PROBES[1], "answered")], SiteVerdict.PARTITIONED),
        ([("a-1", "a-0", "refused"), ("a-0", "a-1", "refused")], SiteVerdict.UNKNOWN),
        ([("nobody", "a-0", "refused"), (*PROBES[1], "refused")], SiteVerdict.UNKNOWN),
    ],
    ids=["none", "one target", "one witness", "two", "one answered", "its own members", "unknown witness"],
)
def test_a_silent_site_is_lost_only_on_the_probes_of_several_witnesses(probes, verdict):
    membership = membership_of()
    silence_site(membership, "a", 3 * SECOND)
    for witness, target, outcome in probes:
        membership.record_probe(witness, target, outcome, 3 * SECOND)
    assert membership.verdict("a", 3 * SECOND) is verdict
    assert membership.verdict("b", 3 * SECOND) is SiteVerdict.REACHABLE


def test_expired_probes_and_probes_before_the_last_report_are_no_evidence():
    membership = membership_of()
    for witness, target in PROBES:
        membership.record_probe(witness, target, "refused", SECOND - 1)
    silence_site(membership, "a", 2 * SECOND)
    assert membership.verdict("a", 2 * SECOND) is SiteVerdict.UNKNOWN
    for witness, target in PROBES:
        membership.record_probe(witness, target, "refused", 2 * SECOND)
    assert membership.verdict("a", 2 * SECOND) is SiteVerdict.LOST
    silence_site(membership, "a", 5 * SECOND)
    assert membership.verdict("a", 5 * SECOND) is SiteVerdict.UNKNOWN


def test_a_site_is_not_silent_while_a_member_reports_to_any_planner():
    membership = membership_of()
    silence_site(membership, "a", 3 * SECOND, reporting=("a-1",))
    assert membership.verdict("a", 3 * SECOND) is not SiteVerdict.UNKNOWN
    membership = membership_of()
    silence_site(membership, "a", 3 * SECOND)
    membership.mark_reported_by_peers(["a-0"], 3 * SECOND)
    assert membership.verdict("a", 3 * SECOND) is not SiteVerdict.UNKNOWN
    assert membership.members["a-1"].liveness(3 * SECOND, REPORT_INTERVAL) is MemberLiveness.SUSPECTED
    assert membership.members["a-1"].liveness(13 * SECOND, REPORT_INTERVAL) is MemberLiveness.GONE


def test_slow_and_restarting_sites_are_distinguished_from_lost_ones():
    membership = membership_of(members_per_site=4)
    for n in range(3):
        membership.receive_report(make_report(f"a-{n}", 10**6, slowdown=2.5), SECOND + 10)
    for n in range(3):
        membership.receive_report(make_report(f"b-{n}", 1, nonce=2), SECOND + 10)
    assert membership.verdict("a", SECOND + 20) is SiteVerdict.SLOW
    assert membership.verdict("b", SECOND + 20) is SiteVerdict.RESTARTING
    membership.receive_report(make_report("c-0", 10**6, is_draining=True), SECOND + 10)
    assert membership.members["c-0"].liveness(SECOND + 20, REPORT_INTERVAL) is MemberLiveness.LEFT
    assert membership.verdict("c", SECOND + 20) is SiteVerdict.REACHABLE


def test_a_single_witness_is_enough_if_there_is_no_other():
    membership = membership_of(sites=("a", "b"), members_per_site=1)
    silence_site(membership, "a", 3 * SECOND)
    membership.record_probe("b-0", "a-0", "refused", 3 * SECOND)
    assert membership.verdict("a", 3 * SECOND) is SiteVerdict.LOST
