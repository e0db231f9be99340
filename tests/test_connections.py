"""Idle timeouts, overloads, who is asked not to retry elsewhere, the criticality level."""

import pytest

from birchslip.admission.criticality import HIGHEST_LEVEL
from birchslip.admission.idle_connections import MAX_RETURN_GAPS
from birchslip.admission.types import (
    SECOND,
    AdvertiseCriticality,
    Outcome,
    RunEnded,
    SetIdleTimeout,
)

from .desk import MS, SERVED, Desk, profile


def idle_limit(desk):
    """The idle timeout announced last, in ms; 0 leaves connections open as long as callers do."""
    return [told.timeout for told in desk.announcements if isinstance(told, SetIdleTimeout)][-1] // MS


# few callers; many that each come once; the same in a storm of retries; a heavy caller among many light ones
@pytest.mark.parametrize(
    ("callers", "rejected", "limit"),
    [(2, 0, 0), (500, 0, 100), (500, 199, 100), (0, 0, 200)],
    ids=["few", "many", "many in a retry storm", "one heavy among many"],
)
def test_idle_timeout_has_lowest_cost_for_return_intervals(callers, rejected, limit):
    desk = Desk(cores=1, caller_count=500)
    for at in range(0, 16_000, 100):
        number = at // 100
        caller = number % callers if callers else 0 if number % 4 else number
        request = desk.read(at, caller=caller)
        desk.at(at, request).at(at + 50, (request, SERVED), cpu=0.5)
    for _ in range(rejected):
        desk.controller.rejections.reject(desk.read(0), desk.now)
    desk.at(17_000, cpu=0.5)
    assert idle_limit(desk) == limit
    assert desk.controller.rejection_stats.is_retry_storm is (rejected > 0)


@pytest.mark.parametrize(("cpu", "limit"), [(1.0, 100), (0.1, 0)], ids=["busy", "idle cores"])
def test_idle_timeout_is_longer_while_cores_are_idle(cpu, limit):
    """Every caller comes back after 8 s: on busy cores its place costs more than its handshake."""
    desk = Desk(cores=1)
    for at in range(0, 60_000, 200):
        desk.at(at, desk.read(at, caller=at // 200 % 40), cpu=cpu)
    assert idle_limit(desk) == limit


@pytest.mark.parametrize(("callers", "limit"), [(20, 6400), (2000, 100)], ids=["small fleet", "large fleet"])
def test_first_request_after_start_assumes_mean_interval_of_callers(callers, limit):
    desk = Desk(cores=1, caller_count=callers)
    for at in range(0, 2_000, 100):
        desk.at(at, desk.read(at, caller=at), cpu=1.0)
    assert idle_limit(desk) == limit


@pytest.mark.parametrize(("known", "limits"), [(True, [100, 0, 0, 100]), (False, [100, 100, 100, 100])])
def test_idle_timeout_is_off_during_overload(known, limits):
    """With 50 ms a run two hundred could be served in the window; without a run nothing is known of that."""
    desk = Desk(cores=1, caller_count=500)
    for at in range(0, 16_000, 100):
        request = desk.read(at, caller=at)
        desk.at(at, request).at(at + 50, (request, SERVED if known else RunEnded(Outcome.CANCELLED)), cpu=0.5)
    seen = []
    for more in (300, 200, -250, -100):  # 300, 500, 250 and 150 are rejected in the window
        desk.controller.rejection_stats.count.add(desk.now, more)
        desk.controller.idle_connections.next_choice_at = 0
        desk.controller.choose_idle_timeout()
        seen.append(desk.controller.idle_connections.timeout // MS)
    assert seen == limits


def test_long_read_delay_is_overload_until_it_is_short():
    """Reading can't keep up, so that what is read is late and hardly rejected any more."""
    desk = Desk(cores=1, caller_count=500)
    for at in range(0, 16_000, 100):
        desk.at(at, desk.read(at, caller=at), cpu=0.5)
    seen = []
    for unread in (900, 1100, 400, 200):
        desk.at(17_000, desk.read(17_000 - unread, caller=unread))
        desk.controller.idle_connections.next_choice_at = 0
        desk.controller.choose_idle_timeout()
        seen.append(desk.controller.idle_connections.timeout // MS)
    assert seen == [100, 0, 0, 100]


def advertised(desk):
    return [told.value for told in desk.announcements if isinstance(told, AdvertiseCriticality)]


def test_criticality_level_rises_with_rejections_and_falls_to_zero():
    desk = Desk(profile(latency_objective=20_000, deadline=40_000), cores=1, sends_criticality=True)
    desk.at(0, desk.read(0), desk.read(0))
    desk.controller.rejections.reject(desk.read(0), desk.now)
    for at in range(50, 5_000, 50):
        desk.at(at, cpu=1.0)
    risen = advertised(desk)
    assert risen == sorted(risen)
    assert risen[-1] == HIGHEST_LEVEL
    for at in range(5_000, 20_000, 50):
        desk.at(at, cpu=0.0)
    assert advertised(desk)[-1] == 0.0


def test_criticality_level_is_not_sent_if_disabled_or_without_rejections():
    heedless, calm = Desk(cores=1), Desk(cores=1, sends_criticality=True)
    for desk, rejected in ((heedless, 1), (calm, 0)):
        desk.at(0, desk.read(0), desk.read(0))
        for _ in range(rejected):
            desk.controller.rejections.reject(desk.read(0), desk.now)
        for at in range(50, 2_000, 50):
            desk.at(at, cpu=1.0)
        assert advertised(desk) == []


@pytest.mark.parametrize(("callers", "last"), [(2, False), (500, True)], ids=["few", "many"])
def test_rejection_asks_to_stop_retrying_if_retry_needs_handshake(callers, last):
    desk = Desk(cores=1, caller_count=callers, sends_retry_after=True, max_retry_after=SECOND)
    for at in range(0, 16_000, 100):
        request = desk.read(at, caller=at // 100 % callers)
        desk.at(at, request).at(at + 50, (request, SERVED), cpu=0.5)
    assert desk.controller.rejections.reject(desk.read(16_000), desk.now).stop_retrying is last


def test_unknown_caller_count_assumes_mean_interval_for_new_callers():
    """A few callers that come every two seconds, once all of them have been heard for the first time."""
    desk = Desk(cores=1)
    for at in range(0, 6_000, 200):
        desk.at(at, desk.read(at, caller=at // 200 % 10), cpu=1.0)
    assert idle_limit(desk) == 0


def test_callers_are_dropped_after_keepalive_timeout():
    desk = Desk(cores=1, keepalive_timeout=5 * SECOND)
    for at in range(0, 20_000, 100):
        desk.at(at, desk.read(at, caller=at), cpu=0.5)
    returns = desk.controller.idle_connections.returns
    assert len(returns.last_seen) <= 51
    assert len(returns.gaps) == MAX_RETURN_GAPS
