"""Idle timeouts, overload detection, requests to stop retrying, and the criticality level."""

import pytest

from birchslip.admission.criticality import MAX_LEVEL
from birchslip.admission.idle_connections import MAX_INTERVALS
from birchslip.admission.types import (
    SECOND,
    AdvertiseCriticality,
    Outcome,
    RunEnded,
    SetIdleTimeout,
)

from .desk import MS, SERVED, Desk, profile


def last_idle_timeout(desk):
    """Return the idle timeout set last, in ms; with 0 only callers close connections."""
    return [action.timeout for action in desk.announcements if isinstance(action, SetIdleTimeout)][-1] // MS


# few callers; many with one request each; the same in a retry storm; one heavy caller among many light ones
@pytest.mark.parametrize(
    ("callers", "rejected", "timeout"),
    [(2, 0, 0), (500, 0, 100), (500, 199, 100), (0, 0, 200)],
    ids=["few", "many", "many in a retry storm", "one heavy among many"],
)
def test_idle_timeout_has_lowest_cost_for_return_intervals(callers, rejected, timeout):
    desk = Desk(cores=1, caller_count=500)
    for at in range(0, 16_000, 100):
        number = at // 100
        caller = number % callers if callers else 0 if number % 4 else number
        request = desk.read(at, caller=caller)
        desk.at(at, request).at(at + 50, (request, SERVED), cpu=0.5)
    for _ in range(rejected):
        desk.controller.rejections.reject(desk.read(0), desk.now)
    desk.at(17_000, cpu=0.5)
    assert last_idle_timeout(desk) == timeout
    assert desk.controller.rejection_stats.is_retry_storm is (rejected > 0)


@pytest.mark.parametrize(("cpu", "timeout"), [(1.0, 100), (0.1, 0)], ids=["busy", "idle cores"])
def test_idle_timeout_is_longer_while_cores_are_idle(cpu, timeout):
    """Every caller returns after 8 s: on busy cores an idle connection costs more than a handshake."""
    desk = Desk(cores=1)
    for at in range(0, 60_000, 200):
        desk.at(at, desk.read(at, caller=at // 200 % 40), cpu=cpu)
    assert last_idle_timeout(desk) == timeout


@pytest.mark.parametrize(
    ("callers", "timeout"), [(20, 6400), (2000, 100)], ids=["small fleet", "large fleet"]
)
def test_first_request_after_start_assumes_mean_interval_of_callers(callers, timeout):
    desk = Desk(cores=1, caller_count=callers)
    for at in range(0, 2_000, 100):
        desk.at(at, desk.read(at, caller=at), cpu=1.0)
    assert last_idle_timeout(desk) == timeout


@pytest.mark.parametrize(("is_served", "expected"), [(True, [100, 0, 0, 100]), (False, [100, 100, 100, 100])])
def test_idle_timeout_is_off_during_overload(is_served, expected):
    """With runs of 50 ms, 200 requests can be served in the window; without a run this is unknown."""
    desk = Desk(cores=1, caller_count=500)
    for at in range(0, 16_000, 100):
        request = desk.read(at, caller=at)
        desk.at(at, request).at(
            at + 50, (request, SERVED if is_served else RunEnded(Outcome.CANCELLED)), cpu=0.5
        )
    timeouts = []
    for change in (300, 200, -250, -100):  # 300, 500, 250 and 150 are rejected in the window
        desk.controller.rejection_stats.count.add(desk.now, change)
        desk.controller.idle_connections.next_choice_at = 0
        desk.controller.choose_idle_timeout()
        timeouts.append(desk.controller.idle_connections.timeout // MS)
    assert timeouts == expected


def test_long_read_delay_is_overload_until_it_is_short():
    """Requests wait long to be read, so few are rejected although the app server is overloaded."""
    desk = Desk(cores=1, caller_count=500)
    for at in range(0, 16_000, 100):
        desk.at(at, desk.read(at, caller=at), cpu=0.5)
    timeouts = []
    for read_delay in (900, 1100, 400, 200):
        desk.at(17_000, desk.read(17_000 - read_delay, caller=read_delay))
        desk.controller.idle_connections.next_choice_at = 0
        desk.controller.choose_idle_timeout()
        timeouts.append(desk.controller.idle_connections.timeout // MS)
    assert timeouts == [100, 0, 0, 100]


def advertised_levels(desk):
    return [action.value for action in desk.announcements if isinstance(action, AdvertiseCriticality)]


def test_criticality_level_rises_with_rejections_and_falls_to_zero():
    desk = Desk(profile(latency_objective=20_000, deadline=40_000), cores=1, sends_criticality=True)
    desk.at(0, desk.read(0), desk.read(0))
    desk.controller.rejections.reject(desk.read(0), desk.now)
    for at in range(50, 5_000, 50):
        desk.at(at, cpu=1.0)
    levels = advertised_levels(desk)
    assert levels == sorted(levels)
    assert levels[-1] == MAX_LEVEL
    for at in range(5_000, 20_000, 50):
        desk.at(at, cpu=0.0)
    assert advertised_levels(desk)[-1] == 0.0


def test_criticality_level_is_not_sent_if_disabled_or_without_rejections():
    disabled, without_rejections = Desk(cores=1), Desk(cores=1, sends_criticality=True)
    for desk, rejected in ((disabled, 1), (without_rejections, 0)):
        desk.at(0, desk.read(0), desk.read(0))
        for _ in range(rejected):
            desk.controller.rejections.reject(desk.read(0), desk.now)
        for at in range(50, 2_000, 50):
            desk.at(at, cpu=1.0)
        assert advertised_levels(desk) == []


@pytest.mark.parametrize(("callers", "stops"), [(2, False), (500, True)], ids=["few", "many"])
def test_rejection_asks_to_stop_retrying_if_retry_needs_handshake(callers, stops):
    desk = Desk(cores=1, caller_count=callers, sends_retry_after=True, max_retry_after=SECOND)
    for at in range(0, 16_000, 100):
        request = desk.read(at, caller=at // 100 % callers)
        desk.at(at, request).at(at + 50, (request, SERVED), cpu=0.5)
    assert desk.controller.rejections.reject(desk.read(16_000), desk.now).stop_retrying is stops


def test_unknown_caller_count_assumes_mean_interval_for_new_callers():
    """Ten callers send a request every two seconds each; the first requests have no known interval."""
    desk = Desk(cores=1)
    for at in range(0, 6_000, 200):
        desk.at(at, desk.read(at, caller=at // 200 % 10), cpu=1.0)
    assert last_idle_timeout(desk) == 0


def test_callers_are_dropped_after_keepalive_timeout():
    desk = Desk(cores=1, keepalive_timeout=5 * SECOND)
    for at in range(0, 20_000, 100):
        desk.at(at, desk.read(at, caller=at), cpu=0.5)
    intervals = desk.controller.idle_connections.request_intervals
    assert len(intervals.last_seen) <= 51
    assert len(intervals.intervals) == MAX_INTERVALS
