"""Decisions of the controller: quotas, the queue, the concurrency limit, calls downstream and health."""

import pytest

from birchslip.admission.types import (
    CallDownstream,
    CallEnded,
    CallerGone,
    CallNeeded,
    Downstream,
    Gauges,
    Idempotency,
    Outcome,
    Preemption,
    Reject,
    SetHealth,
    Tenant,
)

from .desk import MS, SERVED, Desk, profile


def test_queued_requests_start_by_latency_deadline():
    desk = Desk(profile(latency_objective=3000), profile(latency_objective=1000), cores=1)
    running, later, sooner = desk.read(0), desk.read(0), desk.read(0, 1)
    desk.at(0, running, later, sooner).at(100, (running, SERVED))
    assert desk.action_names(sooner) == ["StartRun"]
    assert desk.action_names(later) == []


# cases: measured for a whole window; not yet measured; not yet measured, but configured; cores not busy
@pytest.mark.parametrize(
    ("now_ms", "cpu", "quota", "binds"),
    [(12_000, 1, 0, True), (3_000, 1, 0, False), (3_000, 1, 1.0, True), (12_000, 0.5, 1.0, False)],
)
def test_quota_binds_only_if_known_and_saturated(now_ms, cpu, quota, binds):
    tenant = Tenant(quota)
    desk = Desk(cores=1, tenants=[tenant]).warm(until=now_ms, cpu=cpu)
    desk.at(now_ms, desk.read(now_ms), desk.read(now_ms)).at(now_ms + 350, cpu=cpu)
    request = desk.read(now_ms + 350, tenant=tenant)
    desk.controller.quotas.meter(request, desk.now).admitted.add(desk.now, 1_000_000_000)
    assert (desk.controller.quotas.count(request, desk.now, desk.controller.queue.is_saturated) > 0) is binds


@pytest.mark.parametrize(("excess", "actions"), [(50, ["Reject"]), (0, [])])
def test_configured_quota_affects_only_its_tenant(excess, actions):
    heavy, light = Tenant(quota=2.0), Tenant(quota=2.0)
    desk = Desk(cores=1, tenants=[heavy, light], sends_retry_after=True, max_retry_after=1000 * MS)
    desk.controller.queue.is_saturated = True
    desk.controller.quotas.tenants[heavy].admitted.add(0, 20 + excess)
    request, other = desk.read(0, tenant=heavy), desk.read(0, tenant=light)
    desk.at(0, desk.read(0), request, other)
    assert desk.action_names(request) == actions
    assert desk.action_names(other) == []


@pytest.mark.parametrize(("running", "busy"), [(9, False), (10, True)])
def test_cores_count_as_busy_at_limit_without_gauge(running, busy):
    desk = Desk(cores=10)
    desk.at(0, *(desk.read(0) for _ in range(running)))
    desk.driver.tick(Gauges(None))
    assert len(desk.controller.limit.running) == running
    assert desk.controller.limit.is_busy is busy


def test_disconnected_request_is_uncounted_from_quota_window():
    desk = Desk(cores=1)
    running, disconnected = desk.read(0), desk.read(0)
    desk.at(0, running, disconnected).at(10, (disconnected, CallerGone()))
    assert desk.controller.quotas.callers[0].admitted.total(desk.now) == running.size


def test_drops_requests_of_heaviest_caller_first():
    desk = Desk(cores=1).warm()
    heavy = [desk.read(12_000, caller=1) for _ in range(4)]
    light = desk.read(12_000, caller=2)
    desk.at(12_000, *heavy, light)
    rejected = [request for request in [*heavy, light] if "Reject" in desk.action_names(request)]
    assert rejected
    assert light not in rejected


@pytest.mark.parametrize(
    ("busy", "time_left", "action_names"),
    [
        (True, 800, []),
        (True, 600, ["Reject"]),  # enough for two mean runs of 260 ms, but not for one and a slow one
        (False, 400, ["StartRun"]),  # an idle app server accepts it
    ],
)
def test_request_behind_others_needs_high_quantile_of_run_time_left(busy, time_left, action_names):
    desk = Desk(profile(latency_objective=5000, deadline=5000), cores=1)
    for run_time in (100, 100, 100, 500, 500):
        request = desk.read(desk.now // MS)
        desk.at(desk.now // MS, request).at(desk.now // MS + run_time, (request, SERVED))
    now = desk.now // MS
    if busy:
        desk.at(now, desk.read(now))
    request = desk.read(now + 10, wait=time_left)
    desk.at(now + 10, request)
    assert desk.action_names(request) == action_names


def test_queue_is_swept_at_most_once_per_sweep_interval():
    desk = Desk(cores=1).warm()
    sweeps = []
    sweep = desk.controller.queue.sweep
    desk.controller.queue.sweep = lambda now: sweeps.append(now) or sweep(now)
    for ms in range(12_010, 12_030):
        desk.at(ms, desk.read(ms))
    assert len(sweeps) == 5


@pytest.mark.parametrize(("full_for", "cpu", "limit"), [(1400, 0.5, 2), (1600, 0.5, 3), (1600, 0.95, 2)])
def test_limit_rises_only_after_full_for_gauge_delay_with_free_cores(full_for, cpu, limit):
    desk = Desk(profile(latency_objective=30_000, deadline=60_000))
    desk.at(0, *[desk.read(0) for _ in range(5)], cpu=cpu)
    for ms in range(50, full_for + 1, 50):
        desk.at(ms, cpu=cpu)
    assert int(desk.controller.limit.limit) == limit


def test_limit_falls_with_slow_runs_but_not_below_cores():
    desk = Desk().warm(until=40_000)
    desk.controller.limit.limit = 2.1
    for ms in range(40_000, 52_000, 1500):
        request = desk.read(ms, wait=4000)
        desk.at(ms, request).at(ms + 1400, (request, SERVED), cpu=1.0)
    assert desk.controller.limit.limit == 2.0


@pytest.mark.parametrize(("cpu", "multiple", "started"), [(1.0, 8.0, 3), (1.0, 1.5, 2), (0.5, 8.0, 10)])
def test_number_of_started_requests_is_bounded(cpu, multiple, started):
    desk = Desk(
        profile(latency_objective=20_000, deadline=30_000),
        downstream=Downstream.SHARED,
        overload_multiple=multiple,
    ).warm(cpu=cpu)
    for ms in range(12_000, 12_500, 10):
        request = desk.read(ms)
        desk.at(ms, request).at(ms + 5, (request, CallNeeded()))
    assert desk.controller.limit.started_count == started


def test_one_long_run_with_cost_hint_keeps_health_good():
    desk = Desk(profile(latency_objective=30_000, deadline=60_000)).warm(took=100)
    desk.controller.times.by_class[desk.profiles[0]].mean = 1.0
    desk.at(12_000, desk.read(12_000, cost_hint=4000 * MS))
    for ms in range(12_050, 15_900, 50):
        desk.at(ms, cpu=0.5)
    assert SetHealth(False) not in desk.announcements


def test_calls_that_cannot_be_skipped_go_first():
    desk = Desk(
        profile(weight_without_call=0.5),
        profile(latency_objective=2000),
        cores=3,
        downstream=Downstream.SHARED,
    )
    calling, skippable, required = desk.read(0), desk.read(0), desk.read(0, 1)
    desk.at(0, calling, skippable, required).at(
        10, *[(request, CallNeeded()) for request in (calling, skippable, required)]
    )
    desk.at(60, (calling, CallEnded(Outcome.SERVED))).at(160)
    assert desk.action_names(skippable) == ["StartRun"]
    assert desk.action_names(required) == [
        "StartRun",
        "CallDownstream",
    ]


@pytest.mark.parametrize(("time_left", "action"), [(250, "CallDownstream"), (150, "SkipCall")])
def test_skippable_call_is_made_only_if_it_fits_with_margin(time_left, action):
    """Guards against skippable calls that time out: they delay other calls and are skipped anyway."""
    desk = Desk(profile(weight_without_call=0.3), downstream=Downstream.SHARED, downstream_quota=4.0)
    first, request = desk.read(0), desk.read(0)
    desk.at(0, first, request).at(0, (first, CallNeeded())).at(
        100, (first, CallEnded(Outcome.SERVED)), cpu=0.1
    )
    desk.at(1000 - time_left, (request, CallNeeded()), cpu=0.1)
    assert desk.action_names(request)[-1] == action


@pytest.mark.parametrize(("weight", "action"), [(0.3, "SkipCall"), (0.0, "Fail")])
def test_call_that_cannot_fit_is_skipped_or_fails_request(weight, action):
    desk = Desk(profile(weight_without_call=weight), downstream=Downstream.SHARED, downstream_quota=1.0)
    calling, waiting = desk.read(0), desk.read(0)
    desk.at(0, calling, waiting).at(10, (calling, CallNeeded())).at(
        700, (calling, CallEnded(Outcome.SERVED)), cpu=0.5
    )
    other = desk.read(700)
    desk.at(710, other, (calling, SERVED)).at(720, (other, CallNeeded())).at(730, (waiting, CallNeeded())).at(
        1001, cpu=0.5
    )
    assert desk.action_names(waiting)[-1] == action


@pytest.mark.parametrize(
    ("preemption", "queued", "stopped"), [("drop", 1, True), ("drop", 0, False), ("off", 1, False)]
)
def test_late_run_is_stopped_only_if_others_wait(preemption, queued, stopped):
    desk = Desk(cores=1, preemption=Preemption(preemption))
    request = desk.read(0)
    desk.at(0, request).at(1050, *[desk.read(1050) for _ in range(queued)])
    assert ("StopRun" in desk.action_names(request)) is stopped


def test_health_turns_bad_while_no_run_ends_and_recovers():
    desk = Desk(cores=2).warm()
    desk.at(12_000, desk.read(12_000, wait=9000), desk.read(12_000, wait=9000))
    for ms in range(12_050, 14_000, 50):
        desk.at(ms, cpu=1.0)
    assert desk.announcements.count(SetHealth(False)) == 1
    for request in list(desk.controller.limit.running):
        desk.at(14_000, (request, SERVED))
    for ms in range(14_050, 18_000, 50):
        desk.at(ms, cpu=0.0)
    assert desk.controller.health.is_healthy


def test_long_run_after_first_short_run_keeps_health_good():
    desk = Desk(cores=2)
    short, long = desk.read(0), desk.read(0)
    desk.at(0, short, long).at(10, (short, SERVED), cpu=1.0).at(1000, cpu=1.0)
    assert desk.controller.health.is_healthy


def test_idle_app_server_starts_request_despite_estimates():
    desk = Desk().warm(took=1500, until=14_000)
    assert desk.at(14_000, request := desk.read(14_000)).action_names(request) == ["StartRun"]


def test_unhealthy_app_server_sends_longest_retry_after():
    desk = Desk(sends_retry_after=True, max_retry_after=900 * MS).warm()
    desk.at(12_000, desk.read(12_000, wait=9000), desk.read(12_000, wait=9000))
    for ms in range(12_050, 14_000, 50):
        desk.at(ms, cpu=1.0)
    desk.at(14_000, desk.read(14_000))
    assert desk.actions[-1][1].retry_after > 600 * MS


def test_recent_call_time_drops_slow_calls_after_window():
    desk = Desk(
        profile(latency_objective=9000, deadline=9000), downstream=Downstream.SHARED, downstream_quota=9.0
    )
    for start, end in ((0, 2000), (4500, 4600)):
        request = desk.read(start, wait=9000)
        desk.at(start, request).at(start, (request, CallNeeded())).at(
            end, (request, CallEnded(Outcome.SERVED)), cpu=0.1
        )
    assert desk.controller.downstream.recent_time == 100 * MS


@pytest.mark.parametrize(("slowdown", "action"), [(1.0, "StartRun"), (1.5, "Reject")])
def test_free_core_accepts_at_low_run_time_without_slowdown(slowdown, action):
    desk = Desk(cores=2).warm(until=9000)
    desk.controller.times.by_class[desk.profiles[0]].low = 200 * MS
    desk.controller.times.by_class[desk.profiles[0]].mean = 1200 * MS
    desk.controller.health.slowdown = slowdown
    request = desk.read(9000)
    desk.at(9000, desk.read(9000, wait=9000), request)
    assert desk.action_names(request)[-1] == action


@pytest.mark.parametrize(("quota", "covers_delay"), [(2.0, False), (0.0, True)])
def test_retry_after_covers_delay_of_caller_but_not_of_tenant(quota, covers_delay):
    tenant = Tenant(quota)
    desk = Desk(cores=1, tenants=[tenant], sends_retry_after=True, max_retry_after=1000 * MS).warm(
        until=12_000
    )
    desk.controller.queue.is_saturated = True
    for ms in range(12_000, 12_500):
        desk.controller.quotas.meter(desk.read(ms, tenant=tenant), desk.now).admitted.add(ms * MS, 10_000)
    request = desk.read(12_500, tenant=tenant)
    desk.at(12_500, request)
    assert desk.action_names(request) == ["Reject"]
    assert (desk.actions[-1][1].retry_after > 500 * MS) is covers_delay


# a quota below one call leaves a gap after each call; a quota of three calls of 300 ms each
@pytest.mark.parametrize(
    ("quota", "call_time", "early", "due"), [(0.5, 1000, 1900, 2000), (3.0, 300, 1030, 1060)]
)
def test_calls_are_paced_by_recent_call_time(quota, call_time, early, due):
    desk = Desk(
        profile(latency_objective=9000, deadline=9000),
        cores=4,
        downstream=Downstream.SHARED,
        downstream_quota=quota,
    )
    first, second, third = (desk.read(0, wait=9000) for _ in range(3))
    desk.at(0, first, second, third).at(0, (first, CallNeeded()))
    desk.at(call_time, (first, CallEnded(Outcome.SERVED)), cpu=0.1)
    if quota > 1:
        desk.at(1000, (second, CallNeeded()))
    desk.at(max(call_time, 1000), (third, CallNeeded())).at(early)
    assert desk.action_names(third) == ["StartRun"]
    assert desk.at(due).action_names(third) == ["StartRun", "CallDownstream"]


@pytest.mark.parametrize(("call_time", "allowed"), [(100, 9.0), (200, 4.5), (9000, 9.0 * 0.33)])
def test_fewer_calls_in_flight_as_calls_slow_down_to_minimum(call_time, allowed):
    desk = Desk(downstream=Downstream.SHARED, downstream_quota=9.0)
    desk.controller.downstream.call_times.low, desk.controller.downstream.recent_time = (
        100.0,
        float(call_time),
    )
    assert desk.controller.downstream.concurrency(desk.now) == pytest.approx(allowed)


def test_rejected_call_counts_as_slow():
    desk = Desk(downstream=Downstream.SHARED)
    desk.controller.downstream.recent_time = 100.0 * MS
    request = desk.read(0)
    desk.at(0, request).at(1, (request, CallNeeded())).at(2, (request, CallEnded(Outcome.REJECTED, MS)))
    assert desk.controller.downstream.call_times.mean >= 200 * MS


def test_tenant_quota_is_at_least_even_share_of_throughput():
    light = Tenant(quota=0.1)
    desk = Desk(cores=1, tenants=[light]).warm(until=9000)
    desk.controller.queue.is_saturated = True
    desk.controller.quotas.tenants[light].admitted.add(9000 * MS, 9)
    assert (
        desk.controller.quotas.count(
            desk.read(9000, tenant=light), desk.now, desk.controller.queue.is_saturated
        )
        == 0
    )


@pytest.mark.parametrize(("light_requested", "is_retry"), [(5, False), (50, True)])
def test_drops_tenant_with_most_usage_first_and_retries_before_first_attempts(light_requested, is_retry):
    light, heavy = Tenant(1.0), Tenant(1.0)
    desk = Desk(cores=1, tenants=[light, heavy]).warm()
    desk.controller.quotas.tenants[light].requested.add(12_000 * MS, light_requested)
    desk.controller.quotas.tenants[heavy].requested.add(12_000 * MS, 50)
    first = desk.read(12_000, tenant=light)
    others = [desk.read(12_000, tenant=heavy, is_retry=is_retry) for _ in range(4)]
    desk.at(12_000, first, *others)
    assert "Reject" not in desk.action_names(first)
    assert any("Reject" in desk.action_names(request) for request in others)


@pytest.mark.parametrize(
    ("callers", "served", "bound"),
    [(4, 400, 200), (4, 4, 2), (40, 20, 2)],
    ids=["a hundred each", "one each", "less than one each"],
)
def test_derived_quota_is_twice_even_share_of_at_least_one_request(callers, served, bound):
    desk = Desk(cores=1)
    for caller in range(callers):
        desk.controller.quotas.meter(desk.read(0, caller=caller), desk.now)
    desk.controller.quotas.served_bytes.add(0, served * 1000)
    desk.controller.quotas.served_count.add(0, served)
    window_quota = desk.controller.quotas.quota(desk.controller.quotas.callers[0], desk.now) * 10
    assert window_quota == pytest.approx(bound * 1000)


def test_random_excess_does_not_drop_light_tenant_first():
    """Both tenants requested 1.2 times their quotas of 20 and 200 requests per window."""
    light, heavy = Tenant(2.0), Tenant(20.0)
    desk = Desk(cores=1, tenants=[light, heavy])
    desk.controller.quotas.tenants[light].requested.add(0, 24)
    desk.controller.quotas.tenants[heavy].requested.add(0, 239)
    requests = [desk.read(0, tenant=tenant) for tenant in (light, heavy)]
    for request in requests:
        desk.controller.quotas.count(request, desk.now, desk.controller.queue.is_saturated)
    assert (
        max(requests, key=lambda request: desk.controller.queue.shed_order(request, desk.now)).tenant is heavy
    )


def run_with_hints(desk, error):
    """Run requests whose cost hints are off by a factor of up to `error` in either direction.

    Returns the time in ms at the end.
    """
    now_ms = 0
    for run in range(60):
        run_time = 200 * 4 ** (run % 2)
        cost = run_time * MS * error ** ((-1, 0, 1)[run % 3])
        request = desk.read(now_ms, cost_hint=int(cost))
        desk.at(now_ms, request).at(now_ms + run_time, (request, SERVED))
        now_ms += run_time + 10
    return now_ms


@pytest.mark.parametrize(("error", "low", "high"), [(1, 3.9, 4.1), (2, 1.5, 3.0)], ids=["exact", "imprecise"])
def test_imprecise_cost_hints_have_less_effect_on_estimate(error, low, high):
    desk = Desk(cores=1)
    now_ms = run_with_hints(desk, error)
    small, large = (desk.read(now_ms, cost_hint=cost * MS) for cost in (200, 800))
    assert low < desk.controller.times.typical(large) / desk.controller.times.typical(small) < high


def test_estimate_without_cost_hint_is_mean_of_class():
    desk = Desk(cores=1).warm(took=300)
    assert desk.controller.times.typical(desk.read(12_000)) == desk.controller.times.overall.mean


def test_retry_counts_as_old_as_mean_rejected_request():
    desk = Desk(cores=2).warm()
    desk.controller.rejection_stats.ages.add(12_000 * MS, 900 * MS)
    desk.controller.rejection_stats.count.add(12_000 * MS, 1)
    first, retry = desk.read(12_000), desk.read(12_000, is_retry=True)
    desk.at(12_000, first, retry)
    assert desk.action_names(first) == ["StartRun"]
    assert desk.action_names(retry) == ["Reject"]


def test_read_delay_counts_as_waiting_and_raises_retry_after():
    desk = Desk(cores=1, sends_retry_after=True, max_retry_after=5000 * MS).warm()
    request = desk.read(12_000)
    desk.at(12_990, request, desk.read(12_000), cpu=1.0)
    assert desk.controller.queue.is_saturated
    assert min(action.retry_after for _, action in desk.actions if isinstance(action, Reject)) > 700 * MS


# much room; scarce room, within the quota and past it; no room
@pytest.mark.parametrize(
    ("remaining", "excess", "others", "kind", "action"),
    [
        (21, 50, 0, Idempotency.KEYED, []),
        (20, -5, 0, Idempotency.KEYED, []),
        (20, 50, 0, Idempotency.KEYED, ["Reject"]),
        (20, -5, 16, Idempotency.KEYED, []),
        (
            20,
            -5,
            15,
            Idempotency.KEYED,
            ["Reject"],
        ),  # within its quota, but it has used a larger part of it than the other tenant
        (21, -5, 1, Idempotency.KEYED, []),
        (0, -5, 0, Idempotency.KEYED, ["Reject"]),
        (0, 50, 0, Idempotency.IDEMPOTENT, []),
    ],
)
def test_scarce_result_store_room_is_reserved_for_tenants_within_quota(
    remaining, excess, others, kind, action
):
    tenant, other, retry_delay = Tenant(quota=2.0), Tenant(quota=2.0), 700 * MS
    desk = Desk(
        profile(kind, key_retention=5_000 * MS),
        cores=1,
        tenants=[tenant, other],
        sends_retry_after=True,
        max_retry_after=10**6,
    )
    desk.driver.limit_new_keys(remaining, 20, retry_delay)
    desk.controller.quotas.tenants[tenant].admitted.add(0, 20 + excess)
    desk.controller.quotas.tenants[other].admitted.add(0, others)
    before = desk.controller.quotas.tenants[tenant].admitted.total(0)
    request = desk.read(0, tenant=tenant)
    desk.at(0, desk.read(0, tenant=Tenant()), request)
    assert desk.action_names(request)[:1] == (action or ["StoreKey"] if kind is Idempotency.KEYED else action)
    if action:
        (rejected,) = [answer for answered, answer in desk.actions if answered is request]
        assert rejected.retry_after >= retry_delay * 3 // 4
        assert desk.controller.quotas.tenants[tenant].admitted.total(0) == before


def test_metrics_report_controller_figures():
    desk = Desk(cores=1, starts_cold=True, downstream=Downstream.SHARED)
    before = desk.driver.metrics()
    assert (before.mean_service_time, before.calls_in_flight, before.plan_weight) == (0.0, 0, 0.0)
    assert before.started_at == 0
    assert before.starts_cold
    assert before.is_healthy
    assert before.slowdown == 1.0
    desk.warm(took=300)
    request = desk.read(12_000)
    desk.at(12_000, request).at(12_010, (request, CallNeeded()))
    after = desk.driver.metrics()
    assert after.mean_service_time == 300 * MS
    assert after.calls_in_flight == 1


def test_limit_rises_by_a_quarter():
    desk = Desk(profile(latency_objective=30_000, deadline=60_000), cores=8, overload_multiple=8.0)
    desk.at(0, *[desk.read(0) for _ in range(20)], cpu=0.5)
    for ms in range(50, 1_601, 50):
        desk.at(ms, cpu=0.5)
    assert desk.controller.limit.limit == 10.0


@pytest.mark.parametrize(("run_time", "limit"), [(500, 10.0), (700, 9.0)], ids=["under twice", "over twice"])
def test_limit_falls_to_nine_tenths_if_median_run_exceeds_twice_low_quantile(run_time, limit):
    desk = Desk(profile(latency_objective=8_000, deadline=9_000)).warm(took=300, until=30_000)
    desk.controller.limit.limit = 10.0
    desk.controller.settings.overload_multiple = 20.0
    for ms in range(30_000, 41_000, 1_000):
        request = desk.read(ms)
        desk.at(ms, request).at(ms + run_time, (request, SERVED), cpu=1.0)
    assert desk.controller.limit.limit == limit


def test_call_timeout_is_at_least_one_millisecond():
    desk = Desk(downstream=Downstream.SHARED, downstream_quota=0.1, abandoned_call_linger=200 * MS)
    request = desk.read(0)
    desk.at(0, request).at(10, (request, CallNeeded()))
    assert [action.timeout for _, action in desk.actions if isinstance(action, CallDownstream)] == [MS]
