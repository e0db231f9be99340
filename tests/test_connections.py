"""Idle timeouts, overload detection, requests to stop retrying, and the criticality level."""

import pytest

from birchslip.admission.criticality import MAX_LEVEL
from birchslip.admission.idle_connections import MAX_INTERVALS
from birchslip.admission.quota_meter import MAX_CALLERS
from birchslip.admission.types import (
    SECOND,
    AdvertiseCriticality,
    Outcome,
    RunEnded,
    SetIdleTimeout,
)

from .decision_harness import MS, SERVED, DecisionHarness, make_request_class


def last_idle_timeout(harness):
    """Return the idle timeout set last, in ms; with 0 only callers close connections."""
    return [action.timeout for action in harness.announcements if isinstance(action, SetIdleTimeout)][
        -1
    ] // MS


# few callers; many with one request each; the same in a retry storm; one heavy caller among many light ones
@pytest.mark.parametrize(
    ("callers", "rejected", "timeout"),
    [(2, 0, 0), (500, 0, 100), (500, 199, 100), (0, 0, 200)],
    ids=["few", "many", "many in a retry storm", "one heavy among many"],
)
def test_idle_timeout_has_lowest_cost_for_return_intervals(callers, rejected, timeout):
    harness = DecisionHarness(cores=1, caller_count=500)
    for at in range(0, 16_000, 100):
        number = at // 100
        caller = number % callers if callers else 0 if number % 4 else number
        request = harness.make_request(at, caller=caller)
        harness.process_at(at, request).process_at(at + 50, (request, SERVED), cpu=0.5)
    for _ in range(rejected):
        harness.controller.rejections.reject(harness.make_request(0), harness.now)
    harness.process_at(17_000, cpu=0.5)
    assert last_idle_timeout(harness) == timeout
    assert harness.controller.rejection_stats.is_retry_storm is (rejected > 0)


@pytest.mark.parametrize(("cpu", "timeout"), [(1.0, 100), (0.1, 0)], ids=["busy", "idle cores"])
def test_idle_timeout_is_longer_while_cores_are_idle(cpu, timeout):
    """Every caller returns after 8 s: on busy cores an idle connection costs more than a handshake."""
    harness = DecisionHarness(cores=1)
    for at in range(0, 60_000, 200):
        harness.process_at(at, harness.make_request(at, caller=at // 200 % 40), cpu=cpu)
    assert last_idle_timeout(harness) == timeout


@pytest.mark.parametrize(
    ("callers", "timeout"), [(20, 6400), (2000, 100)], ids=["small fleet", "large fleet"]
)
def test_first_request_after_start_assumes_mean_interval_of_callers(callers, timeout):
    harness = DecisionHarness(cores=1, caller_count=callers)
    for at in range(0, 2_000, 100):
        harness.process_at(at, harness.make_request(at, caller=at), cpu=1.0)
    assert last_idle_timeout(harness) == timeout


@pytest.mark.parametrize(("is_served", "expected"), [(True, [100, 0, 0, 100]), (False, [100, 100, 100, 100])])
def test_idle_timeout_is_off_during_overload(is_served, expected):
    """With runs of 50 ms, 200 requests can be served in the window; without a run this is unknown."""
    harness = DecisionHarness(cores=1, caller_count=500)
    for at in range(0, 16_000, 100):
        request = harness.make_request(at, caller=at)
        harness.process_at(at, request).process_at(
            at + 50, (request, SERVED if is_served else RunEnded(Outcome.CANCELLED)), cpu=0.5
        )
    timeouts = []
    for change in (300, 200, -250, -100):  # 300, 500, 250 and 150 are rejected in the window
        harness.controller.rejection_stats.count.add(harness.now, change)
        harness.controller.idle_connections.next_choice_at = 0
        harness.controller.choose_idle_timeout()
        timeouts.append(harness.controller.idle_connections.timeout // MS)
    assert timeouts == expected


def test_long_read_delay_is_overload_until_it_is_short():
    """Requests wait more than a second to be read, so few are rejected although there is an overload."""
    harness = DecisionHarness(cores=1, caller_count=500)
    for at in range(0, 16_000, 100):
        harness.process_at(at, harness.make_request(at, caller=at), cpu=0.5)
    timeouts = []
    for read_delay in (900, 1100, 400, 200):
        harness.process_at(17_000, harness.make_request(17_000 - read_delay, caller=read_delay))
        harness.controller.idle_connections.next_choice_at = 0
        harness.controller.choose_idle_timeout()
        timeouts.append(harness.controller.idle_connections.timeout // MS)
    assert timeouts == [100, 0, 0, 100]


def advertised_levels(harness):
    return [action.value for action in harness.announcements if isinstance(action, AdvertiseCriticality)]


def test_criticality_level_rises_with_rejections_and_falls_to_zero():
    harness = DecisionHarness(
        make_request_class(latency_objective=20_000, deadline=40_000), cores=1, sends_criticality=True
    )
    harness.process_at(0, harness.make_request(0), harness.make_request(0))
    harness.controller.rejections.reject(harness.make_request(0), harness.now)
    for at in range(50, 5_000, 50):
        harness.process_at(at, cpu=1.0)
    levels = advertised_levels(harness)
    assert levels == sorted(levels)
    assert levels[-1] == MAX_LEVEL
    for at in range(5_000, 20_000, 50):
        harness.process_at(at, cpu=0.0)
    assert advertised_levels(harness)[-1] == 0.0


def test_criticality_level_is_not_sent_if_disabled_or_without_rejections():
    disabled, without_rejections = DecisionHarness(cores=1), DecisionHarness(cores=1, sends_criticality=True)
    for harness, rejected in ((disabled, 1), (without_rejections, 0)):
        harness.process_at(0, harness.make_request(0), harness.make_request(0))
        for _ in range(rejected):
            harness.controller.rejections.reject(harness.make_request(0), harness.now)
        for at in range(50, 2_000, 50):
            harness.process_at(at, cpu=1.0)
        assert advertised_levels(harness) == []


@pytest.mark.parametrize(("callers", "stops"), [(2, False), (500, True)], ids=["few", "many"])
def test_rejection_asks_to_stop_retrying_if_retry_needs_handshake(callers, stops):
    harness = DecisionHarness(cores=1, caller_count=callers, sends_retry_after=True, max_retry_after=SECOND)
    for at in range(0, 16_000, 100):
        request = harness.make_request(at, caller=at // 100 % callers)
        harness.process_at(at, request).process_at(at + 50, (request, SERVED), cpu=0.5)
    assert (
        harness.controller.rejections.reject(harness.make_request(16_000), harness.now).stop_retrying is stops
    )


def test_unknown_caller_count_assumes_mean_interval_for_new_callers():
    """Ten callers send a request every two seconds each; the first requests have no known interval."""
    harness = DecisionHarness(cores=1)
    for at in range(0, 6_000, 200):
        harness.process_at(at, harness.make_request(at, caller=at // 200 % 10), cpu=1.0)
    assert last_idle_timeout(harness) == 0


# Guards against memory that grows with each new caller's number, and against quotas that sink with it.
def test_number_of_measured_callers_is_bounded():
    harness = DecisionHarness(cores=1)
    for caller in range(2 * MAX_CALLERS):
        harness.process_at(caller // 100, harness.make_request(caller // 100, caller=caller))
    assert len(harness.controller.quotas.callers) == MAX_CALLERS
    assert len(harness.controller.idle_connections.request_intervals.last_seen) == MAX_CALLERS
    assert 2 * MAX_CALLERS - 1 in harness.controller.quotas.callers


def test_callers_are_dropped_after_keepalive_timeout():
    harness = DecisionHarness(cores=1, keepalive_timeout=5 * SECOND)
    for at in range(0, 20_000, 100):
        harness.process_at(at, harness.make_request(at, caller=at), cpu=0.5)
    intervals = harness.controller.idle_connections.request_intervals
    assert len(intervals.last_seen) <= 51
    assert len(intervals.intervals) == MAX_INTERVALS
