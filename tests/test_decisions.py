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

from .decision_harness import MS, SERVED, DecisionHarness, make_request_class


def test_queued_requests_start_by_latency_deadline():
    harness = DecisionHarness(
        make_request_class(latency_objective=3000), make_request_class(latency_objective=1000), cores=1
    )
    running, later, sooner = harness.make_request(0), harness.make_request(0), harness.make_request(0, 1)
    harness.process_at(0, running, later, sooner).process_at(100, (running, SERVED))
    assert harness.action_names(sooner) == ["StartRun"]
    assert harness.action_names(later) == []


# cases: measured for a whole window; not yet measured; not yet measured, but configured; cores not busy
@pytest.mark.parametrize(
    ("now_ms", "cpu", "quota", "binds"),
    [(12_000, 1, 0, True), (3_000, 1, 0, False), (3_000, 1, 1.0, True), (12_000, 0.5, 1.0, False)],
)
def test_quota_binds_only_if_known_and_saturated(now_ms, cpu, quota, binds):
    tenant = Tenant(quota)
    harness = DecisionHarness(cores=1, tenants=[tenant]).warm_up(until=now_ms, cpu=cpu)
    harness.process_at(now_ms, harness.make_request(now_ms), harness.make_request(now_ms)).process_at(
        now_ms + 350, cpu=cpu
    )
    request = harness.make_request(now_ms + 350, tenant=tenant)
    harness.controller.quotas.meter(request, harness.now).admitted.add(harness.now, 1_000_000_000)
    assert (
        harness.controller.quotas.count(request, harness.now, harness.controller.queue.is_saturated) > 0
    ) is binds


@pytest.mark.parametrize(("excess", "actions"), [(50, ["Reject"]), (0, [])])
def test_configured_quota_affects_only_its_tenant(excess, actions):
    heavy, light = Tenant(quota=2.0), Tenant(quota=2.0)
    harness = DecisionHarness(
        cores=1, tenants=[heavy, light], sends_retry_after=True, max_retry_after=1000 * MS
    )
    harness.controller.queue.is_saturated = True
    harness.controller.quotas.tenants[heavy].admitted.add(0, 20 + excess)
    request, other = harness.make_request(0, tenant=heavy), harness.make_request(0, tenant=light)
    harness.process_at(0, harness.make_request(0), request, other)
    assert harness.action_names(request) == actions
    assert harness.action_names(other) == []


@pytest.mark.parametrize(("running", "busy"), [(9, False), (10, True)])
def test_cores_count_as_busy_at_limit_without_gauge(running, busy):
    harness = DecisionHarness(cores=10)
    harness.process_at(0, *(harness.make_request(0) for _ in range(running)))
    harness.driver.tick(Gauges(None))
    assert len(harness.controller.limit.running) == running
    assert harness.controller.limit.is_busy is busy


def test_disconnected_request_is_uncounted_from_quota_window():
    harness = DecisionHarness(cores=1)
    running, disconnected = harness.make_request(0), harness.make_request(0)
    harness.process_at(0, running, disconnected).process_at(10, (disconnected, CallerGone()))
    assert harness.controller.quotas.callers[0].admitted.total(harness.now) == running.size


def test_drops_requests_of_heaviest_caller_first():
    harness = DecisionHarness(cores=1).warm_up()
    heavy = [harness.make_request(12_000, caller=1) for _ in range(4)]
    light = harness.make_request(12_000, caller=2)
    harness.process_at(12_000, *heavy, light)
    rejected = [request for request in [*heavy, light] if "Reject" in harness.action_names(request)]
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
    harness = DecisionHarness(make_request_class(latency_objective=5000, deadline=5000), cores=1)
    for run_time in (100, 100, 100, 500, 500):
        request = harness.make_request(harness.now // MS)
        harness.process_at(harness.now // MS, request).process_at(
            harness.now // MS + run_time, (request, SERVED)
        )
    now = harness.now // MS
    if busy:
        harness.process_at(now, harness.make_request(now))
    request = harness.make_request(now + 10, caller_timeout=time_left)
    harness.process_at(now + 10, request)
    assert harness.action_names(request) == action_names


def test_queue_is_swept_at_most_once_per_sweep_interval():
    harness = DecisionHarness(cores=1).warm_up()
    sweeps = []
    sweep = harness.controller.queue.sweep
    harness.controller.queue.sweep = lambda now: sweeps.append(now) or sweep(now)
    for ms in range(12_010, 12_030):
        harness.process_at(ms, harness.make_request(ms))
    assert len(sweeps) == 5


@pytest.mark.parametrize(("full_for", "cpu", "limit"), [(1400, 0.5, 2), (1600, 0.5, 3), (1600, 0.95, 2)])
def test_limit_rises_only_after_full_for_gauge_delay_with_free_cores(full_for, cpu, limit):
    harness = DecisionHarness(make_request_class(latency_objective=30_000, deadline=60_000))
    harness.process_at(0, *[harness.make_request(0) for _ in range(5)], cpu=cpu)
    for ms in range(50, full_for + 1, 50):
        harness.process_at(ms, cpu=cpu)
    assert int(harness.controller.limit.limit) == limit


def test_limit_falls_with_slow_runs_but_not_below_cores():
    harness = DecisionHarness().warm_up(until=40_000)
    harness.controller.limit.limit = 2.1
    for ms in range(40_000, 52_000, 1500):
        request = harness.make_request(ms, caller_timeout=4000)
        harness.process_at(ms, request).process_at(ms + 1400, (request, SERVED), cpu=1.0)
    assert harness.controller.limit.limit == 2.0


@pytest.mark.parametrize(("cpu", "multiple", "started"), [(1.0, 8.0, 3), (1.0, 1.5, 2), (0.5, 8.0, 10)])
def test_number_of_started_requests_is_bounded(cpu, multiple, started):
    """All started requests may return from their calls downstream at the same time and need cores."""
    harness = DecisionHarness(
        make_request_class(latency_objective=20_000, deadline=30_000),
        downstream=Downstream.SHARED,
        overload_multiple=multiple,
    ).warm_up(cpu=cpu)
    for ms in range(12_000, 12_500, 10):
        request = harness.make_request(ms)
        harness.process_at(ms, request).process_at(ms + 5, (request, CallNeeded()))
    assert harness.controller.limit.started_count == started


def test_one_long_run_with_cost_hint_keeps_health_good():
    harness = DecisionHarness(make_request_class(latency_objective=30_000, deadline=60_000)).warm_up(
        run_time=100
    )
    harness.controller.times.by_class[harness.request_classes[0]].mean = 1.0
    harness.process_at(12_000, harness.make_request(12_000, cost_hint=4000 * MS))
    for ms in range(12_050, 15_900, 50):
        harness.process_at(ms, cpu=0.5)
    assert SetHealth(False) not in harness.announcements


def test_calls_that_cannot_be_skipped_go_first():
    harness = DecisionHarness(
        make_request_class(weight_without_call=0.5),
        make_request_class(latency_objective=2000),
        cores=3,
        downstream=Downstream.SHARED,
    )
    calling, skippable, required = (
        harness.make_request(0),
        harness.make_request(0),
        harness.make_request(0, 1),
    )
    harness.process_at(0, calling, skippable, required).process_at(
        10, *[(request, CallNeeded()) for request in (calling, skippable, required)]
    )
    harness.process_at(60, (calling, CallEnded(Outcome.SERVED))).process_at(160)
    assert harness.action_names(skippable) == ["StartRun"]
    assert harness.action_names(required) == [
        "StartRun",
        "CallDownstream",
    ]


@pytest.mark.parametrize(("time_left", "action"), [(250, "CallDownstream"), (150, "SkipCall")])
def test_skippable_call_is_made_only_if_it_fits_with_margin(time_left, action):
    """Guards against skippable calls that time out, as call times vary.

    Such calls delay other calls and are skipped anyway.
    """
    harness = DecisionHarness(
        make_request_class(weight_without_call=0.3), downstream=Downstream.SHARED, downstream_quota=4.0
    )
    first, request = harness.make_request(0), harness.make_request(0)
    harness.process_at(0, first, request).process_at(0, (first, CallNeeded())).process_at(
        100, (first, CallEnded(Outcome.SERVED)), cpu=0.1
    )
    harness.process_at(1000 - time_left, (request, CallNeeded()), cpu=0.1)
    assert harness.action_names(request)[-1] == action


@pytest.mark.parametrize(("weight", "action"), [(0.3, "SkipCall"), (0.0, "Fail")])
def test_call_that_cannot_fit_is_skipped_or_fails_request(weight, action):
    harness = DecisionHarness(
        make_request_class(weight_without_call=weight), downstream=Downstream.SHARED, downstream_quota=1.0
    )
    calling, waiting = harness.make_request(0), harness.make_request(0)
    harness.process_at(0, calling, waiting).process_at(10, (calling, CallNeeded())).process_at(
        700, (calling, CallEnded(Outcome.SERVED)), cpu=0.5
    )
    other = harness.make_request(700)
    harness.process_at(710, other, (calling, SERVED)).process_at(720, (other, CallNeeded())).process_at(
        730, (waiting, CallNeeded())
    ).process_at(1001, cpu=0.5)
    assert harness.action_names(waiting)[-1] == action


@pytest.mark.parametrize(
    ("preemption", "queued", "stopped"), [("drop", 1, True), ("drop", 0, False), ("off", 1, False)]
)
def test_run_past_latency_deadline_is_stopped_only_if_others_wait(preemption, queued, stopped):
    harness = DecisionHarness(cores=1, preemption=Preemption(preemption))
    request = harness.make_request(0)
    harness.process_at(0, request).process_at(1050, *[harness.make_request(1050) for _ in range(queued)])
    assert ("StopRun" in harness.action_names(request)) is stopped


def test_health_turns_bad_while_no_run_ends_and_recovers():
    harness = DecisionHarness(cores=2).warm_up()
    harness.process_at(
        12_000,
        harness.make_request(12_000, caller_timeout=9000),
        harness.make_request(12_000, caller_timeout=9000),
    )
    for ms in range(12_050, 14_000, 50):
        harness.process_at(ms, cpu=1.0)
    assert harness.announcements.count(SetHealth(False)) == 1
    for request in list(harness.controller.limit.running):
        harness.process_at(14_000, (request, SERVED))
    for ms in range(14_050, 18_000, 50):
        harness.process_at(ms, cpu=0.0)
    assert harness.controller.health.is_healthy


def test_long_run_after_first_short_run_keeps_health_good():
    harness = DecisionHarness(cores=2)
    short, long = harness.make_request(0), harness.make_request(0)
    harness.process_at(0, short, long).process_at(10, (short, SERVED), cpu=1.0).process_at(1000, cpu=1.0)
    assert harness.controller.health.is_healthy


def test_idle_app_server_starts_request_despite_estimates():
    harness = DecisionHarness().warm_up(run_time=1500, until=14_000)
    assert harness.process_at(14_000, request := harness.make_request(14_000)).action_names(request) == [
        "StartRun"
    ]


def test_unhealthy_app_server_sends_longest_retry_after():
    harness = DecisionHarness(sends_retry_after=True, max_retry_after=900 * MS).warm_up()
    harness.process_at(
        12_000,
        harness.make_request(12_000, caller_timeout=9000),
        harness.make_request(12_000, caller_timeout=9000),
    )
    for ms in range(12_050, 14_000, 50):
        harness.process_at(ms, cpu=1.0)
    harness.process_at(14_000, harness.make_request(14_000))
    assert harness.actions[-1][1].retry_after > 600 * MS


def test_recent_call_time_drops_slow_calls_after_window():
    harness = DecisionHarness(
        make_request_class(latency_objective=9000, deadline=9000),
        downstream=Downstream.SHARED,
        downstream_quota=9.0,
    )
    for start, end in ((0, 2000), (4500, 4600)):
        request = harness.make_request(start, caller_timeout=9000)
        harness.process_at(start, request).process_at(start, (request, CallNeeded())).process_at(
            end, (request, CallEnded(Outcome.SERVED)), cpu=0.1
        )
    assert harness.controller.downstream.recent_time == 100 * MS


@pytest.mark.parametrize(("slowdown", "action"), [(1.0, "StartRun"), (1.5, "Reject")])
def test_free_core_accepts_at_low_run_time_without_slowdown(slowdown, action):
    harness = DecisionHarness(cores=2).warm_up(until=9000)
    harness.controller.times.by_class[harness.request_classes[0]].low = 200 * MS
    harness.controller.times.by_class[harness.request_classes[0]].mean = 1200 * MS
    harness.controller.health.slowdown = slowdown
    request = harness.make_request(9000)
    harness.process_at(9000, harness.make_request(9000, caller_timeout=9000), request)
    assert harness.action_names(request)[-1] == action


@pytest.mark.parametrize(("quota", "covers_delay"), [(2.0, False), (0.0, True)])
def test_retry_after_covers_delay_of_caller_but_not_of_tenant(quota, covers_delay):
    tenant = Tenant(quota)
    harness = DecisionHarness(
        cores=1, tenants=[tenant], sends_retry_after=True, max_retry_after=1000 * MS
    ).warm_up(until=12_000)
    harness.controller.queue.is_saturated = True
    for ms in range(12_000, 12_500):
        harness.controller.quotas.meter(harness.make_request(ms, tenant=tenant), harness.now).admitted.add(
            ms * MS, 10_000
        )
    request = harness.make_request(12_500, tenant=tenant)
    harness.process_at(12_500, request)
    assert harness.action_names(request) == ["Reject"]
    assert (harness.actions[-1][1].retry_after > 500 * MS) is covers_delay


# a quota below one call leaves a gap after each call; a quota of three calls of 300 ms each
@pytest.mark.parametrize(
    ("quota", "call_time", "early", "due"), [(0.5, 1000, 1900, 2000), (3.0, 300, 1030, 1060)]
)
def test_calls_are_paced_by_recent_call_time(quota, call_time, early, due):
    harness = DecisionHarness(
        make_request_class(latency_objective=9000, deadline=9000),
        cores=4,
        downstream=Downstream.SHARED,
        downstream_quota=quota,
    )
    first, second, third = (harness.make_request(0, caller_timeout=9000) for _ in range(3))
    harness.process_at(0, first, second, third).process_at(0, (first, CallNeeded()))
    harness.process_at(call_time, (first, CallEnded(Outcome.SERVED)), cpu=0.1)
    if quota > 1:
        harness.process_at(1000, (second, CallNeeded()))
    harness.process_at(max(call_time, 1000), (third, CallNeeded())).process_at(early)
    assert harness.action_names(third) == ["StartRun"]
    assert harness.process_at(due).action_names(third) == ["StartRun", "CallDownstream"]


@pytest.mark.parametrize(("call_time", "allowed"), [(100, 9.0), (200, 4.5), (9000, 9.0 * 0.33)])
def test_fewer_calls_in_flight_as_calls_slow_down_to_minimum(call_time, allowed):
    harness = DecisionHarness(downstream=Downstream.SHARED, downstream_quota=9.0)
    harness.controller.downstream.call_times.low, harness.controller.downstream.recent_time = (
        100.0,
        float(call_time),
    )
    assert harness.controller.downstream.concurrency(harness.now) == pytest.approx(allowed)


def test_rejected_call_counts_as_slow():
    harness = DecisionHarness(downstream=Downstream.SHARED)
    harness.controller.downstream.recent_time = 100.0 * MS
    request = harness.make_request(0)
    harness.process_at(0, request).process_at(1, (request, CallNeeded())).process_at(
        2, (request, CallEnded(Outcome.REJECTED, MS))
    )
    assert harness.controller.downstream.call_times.mean >= 200 * MS


def test_tenant_quota_is_at_least_even_share_of_throughput():
    light = Tenant(quota=0.1)
    harness = DecisionHarness(cores=1, tenants=[light]).warm_up(until=9000)
    harness.controller.queue.is_saturated = True
    harness.controller.quotas.tenants[light].admitted.add(9000 * MS, 9)
    assert (
        harness.controller.quotas.count(
            harness.make_request(9000, tenant=light), harness.now, harness.controller.queue.is_saturated
        )
        == 0
    )


@pytest.mark.parametrize(("light_requested", "is_retry"), [(5, False), (50, True)])
def test_drops_tenant_with_most_usage_first_and_retries_before_first_attempts(light_requested, is_retry):
    light, heavy = Tenant(1.0), Tenant(1.0)
    harness = DecisionHarness(cores=1, tenants=[light, heavy]).warm_up()
    harness.controller.quotas.tenants[light].requested.add(12_000 * MS, light_requested)
    harness.controller.quotas.tenants[heavy].requested.add(12_000 * MS, 50)
    first = harness.make_request(12_000, tenant=light)
    others = [harness.make_request(12_000, tenant=heavy, is_retry=is_retry) for _ in range(4)]
    harness.process_at(12_000, first, *others)
    assert "Reject" not in harness.action_names(first)
    assert any("Reject" in harness.action_names(request) for request in others)


@pytest.mark.parametrize(
    ("callers", "served", "bound"),
    [(4, 400, 200), (4, 4, 2), (40, 20, 2)],
    ids=["a hundred each", "one each", "less than one each"],
)
def test_derived_quota_is_twice_even_share_of_at_least_one_request(callers, served, bound):
    harness = DecisionHarness(cores=1)
    for caller in range(callers):
        harness.controller.quotas.meter(harness.make_request(0, caller=caller), harness.now)
    harness.controller.quotas.served_bytes.add(0, served * 1000)
    harness.controller.quotas.served_count.add(0, served)
    window_quota = harness.controller.quotas.quota(harness.controller.quotas.callers[0], harness.now) * 10
    assert window_quota == pytest.approx(bound * 1000)


def test_random_excess_does_not_drop_light_tenant_first():
    """Both tenants requested 1.2 times their quotas of 20 and 200 requests per window."""
    light, heavy = Tenant(2.0), Tenant(20.0)
    harness = DecisionHarness(cores=1, tenants=[light, heavy])
    harness.controller.quotas.tenants[light].requested.add(0, 24)
    harness.controller.quotas.tenants[heavy].requested.add(0, 239)
    requests = [harness.make_request(0, tenant=tenant) for tenant in (light, heavy)]
    for request in requests:
        harness.controller.quotas.count(request, harness.now, harness.controller.queue.is_saturated)
    assert (
        max(requests, key=lambda request: harness.controller.queue.shed_order(request, harness.now)).tenant
        is heavy
    )


def run_with_hints(harness, error):
    """Run requests whose cost hints are off by a factor of up to `error` in either direction.

    Returns:
        The time at the end in milliseconds.
    """
    now_ms = 0
    for run in range(60):
        run_time = 200 * 4 ** (run % 2)
        cost = run_time * MS * error ** ((-1, 0, 1)[run % 3])
        request = harness.make_request(now_ms, cost_hint=int(cost))
        harness.process_at(now_ms, request).process_at(now_ms + run_time, (request, SERVED))
        now_ms += run_time + 10
    return now_ms


@pytest.mark.parametrize(("error", "low", "high"), [(1, 3.9, 4.1), (2, 1.5, 3.0)], ids=["exact", "imprecise"])
def test_imprecise_cost_hints_have_less_effect_on_estimate(error, low, high):
    harness = DecisionHarness(cores=1)
    now_ms = run_with_hints(harness, error)
    small, large = (harness.make_request(now_ms, cost_hint=cost * MS) for cost in (200, 800))
    assert low < harness.controller.times.typical(large) / harness.controller.times.typical(small) < high


def test_estimate_without_cost_hint_is_mean_of_class():
    harness = DecisionHarness(cores=1).warm_up(run_time=300)
    assert (
        harness.controller.times.typical(harness.make_request(12_000))
        == harness.controller.times.overall.mean
    )


def test_retry_counts_as_old_as_mean_rejected_request():
    harness = DecisionHarness(cores=2).warm_up()
    harness.controller.rejection_stats.ages.add(12_000 * MS, 900 * MS)
    harness.controller.rejection_stats.count.add(12_000 * MS, 1)
    first, retry = harness.make_request(12_000), harness.make_request(12_000, is_retry=True)
    harness.process_at(12_000, first, retry)
    assert harness.action_names(first) == ["StartRun"]
    assert harness.action_names(retry) == ["Reject"]


def test_read_delay_counts_as_waiting_and_raises_retry_after():
    harness = DecisionHarness(cores=1, sends_retry_after=True, max_retry_after=5000 * MS).warm_up()
    request = harness.make_request(12_000)
    harness.process_at(12_990, request, harness.make_request(12_000), cpu=1.0)
    assert harness.controller.queue.is_saturated
    assert min(action.retry_after for _, action in harness.actions if isinstance(action, Reject)) > 700 * MS


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
    harness = DecisionHarness(
        make_request_class(kind, key_retention=5_000 * MS),
        cores=1,
        tenants=[tenant, other],
        sends_retry_after=True,
        max_retry_after=10**6,
    )
    harness.driver.limit_new_keys(remaining, 20, retry_delay)
    harness.controller.quotas.tenants[tenant].admitted.add(0, 20 + excess)
    harness.controller.quotas.tenants[other].admitted.add(0, others)
    before = harness.controller.quotas.tenants[tenant].admitted.total(0)
    request = harness.make_request(0, tenant=tenant)
    harness.process_at(0, harness.make_request(0, tenant=Tenant()), request)
    assert harness.action_names(request)[:1] == (
        action or ["StoreKey"] if kind is Idempotency.KEYED else action
    )
    if action:
        (rejected,) = [answer for answered, answer in harness.actions if answered is request]
        assert rejected.retry_after >= retry_delay * 3 // 4
        assert harness.controller.quotas.tenants[tenant].admitted.total(0) == before


def test_metrics_report_controller_figures():
    harness = DecisionHarness(cores=1, starts_cold=True, downstream=Downstream.SHARED)
    before = harness.driver.metrics()
    assert (before.mean_service_time, before.calls_in_flight, before.plan_weight) == (0.0, 0, 0.0)
    assert before.started_at == 0
    assert before.starts_cold
    assert before.is_healthy
    assert before.slowdown == 1.0
    harness.warm_up(run_time=300)
    request = harness.make_request(12_000)
    harness.process_at(12_000, request).process_at(12_010, (request, CallNeeded()))
    after = harness.driver.metrics()
    assert after.mean_service_time == 300 * MS
    assert after.calls_in_flight == 1


def test_limit_rises_by_a_quarter():
    harness = DecisionHarness(
        make_request_class(latency_objective=30_000, deadline=60_000), cores=8, overload_multiple=8.0
    )
    harness.process_at(0, *[harness.make_request(0) for _ in range(20)], cpu=0.5)
    for ms in range(50, 1_601, 50):
        harness.process_at(ms, cpu=0.5)
    assert harness.controller.limit.limit == 10.0


@pytest.mark.parametrize(("run_time", "limit"), [(500, 10.0), (700, 9.0)], ids=["under twice", "over twice"])
def test_limit_falls_to_nine_tenths_if_median_run_exceeds_twice_low_quantile(run_time, limit):
    harness = DecisionHarness(make_request_class(latency_objective=8_000, deadline=9_000)).warm_up(
        run_time=300, until=30_000
    )
    harness.controller.limit.limit = 10.0
    harness.controller.settings.overload_multiple = 20.0
    for ms in range(30_000, 41_000, 1_000):
        request = harness.make_request(ms)
        harness.process_at(ms, request).process_at(ms + run_time, (request, SERVED), cpu=1.0)
    assert harness.controller.limit.limit == limit


def test_call_timeout_is_at_least_one_millisecond():
    harness = DecisionHarness(
        downstream=Downstream.SHARED, downstream_quota=0.1, abandoned_call_linger=200 * MS
    )
    request = harness.make_request(0)
    harness.process_at(0, request).process_at(10, (request, CallNeeded()))
    assert [action.timeout for _, action in harness.actions if isinstance(action, CallDownstream)] == [MS]
