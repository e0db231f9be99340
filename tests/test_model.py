"""The emulated fleet: repeatable runs, invariants under faults, and the parts that it is built from."""

from collections import Counter

import pytest

from birchslip.admission.types import Outcome
from birchslip.lab.cores import Cores
from birchslip.lab.model.below import DownstreamService
from birchslip.lab.model.clock import SECOND, Clock
from birchslip.lab.model.habits import ROUTING_POLICIES
from birchslip.lab.model.world import Series, Step, World

from .expectation_harness import sources


class FixedUniform:
    def uniform(self, a, b):
        return 1.0


def run_world(*steps, seed=1, until=12 * SECOND, load=0.7):
    world = World(sources().setting, seed)
    world.run([Step(20_000, "load", value=load), *steps], until)
    return world


def request_histories(world):
    return [(request.started_at, request.tried_servers, request.honoured_at) for request in world.requests]


def test_same_seed_repeats_run_and_other_seed_changes_it():
    a, b, c = (run_world(Step(60_000, "lose", "north"), seed=seed) for seed in (1, 1, 2))
    assert request_histories(a) == request_histories(b) != request_histories(c)


@pytest.mark.parametrize("load", [0.5, 1.0, 2.5])
@pytest.mark.parametrize(
    "fault", ["none", "lose", "pause", "drain", "slow", "below-down", "release", "shrink"]
)
def test_invariants_hold_under_faults(load, fault):
    # Every attempt ends, unanswered only if its app server is paused; an incarnation runs an idempotency
    # key at most once; downstream calls stay within the limit.
    target = {"lose": "north", "pause": "north", "drain": "toy-2", "slow": "south"}.get(fault, "")
    steps = [] if fault == "none" else [Step(50_000, fault, target, 0.5 if fault == "shrink" else 3.0)]
    if fault == "pause":
        steps.append(Step(70_000, "resume", target))
    run_counts = Counter()
    world = World(sources().setting, 3)
    for server in world.servers:

        def start_run(request, run, server=server, inner=server.start_run):
            run_counts[server.name, server.incarnation, run.attempt.request.idempotency_key] += 1
            inner(request, run)

        server.start_run = start_run
    world.run([Step(20_000, "load", value=load), *steps], 12 * SECOND)
    for router in world.routers.values():
        router.stopped = True
    world.clock.run(20 * SECOND)
    assert [request for request in world.requests if request.open_attempts] == []
    silent = sum(router.counts["silent"] for router in world.routers.values())
    assert silent == 0 or fault == "pause"
    assert max((count for (_, _, key), count in run_counts.items() if key), default=1) == 1
    assert world.downstream.max_calls_in_flight <= 16
    assert not world.downstream.has_failed
    assert len(world.requests) > 100


def test_lost_site_is_evacuated_and_returns_in_steps():
    world = run_world(
        Step(50_000, "lose", "north"), Step(90_000, "restore", "north"), until=20 * SECOND, load=0.75
    )
    events = [event for _, event, _ in world.notes]
    stages = [fields["stage"] for _, event, fields in world.notes if event == "site_stage_changed"]
    assert "site_lost" in events
    assert stages[-1] == "home"
    assert stages.count("step") == 3
    assert world.service((50_000, 60_000)) < 0.95 < world.service((17 * SECOND, 19 * SECOND))


def test_rollout_updates_all_members_within_disruption_budget():
    world = run_world(Step(50_000, "release"), until=50 * SECOND, load=0.4)
    assert world.planners.rollout_phase == "done"
    assert set(world.planners.versions.values()) == {"2"}
    assert [event for _, event, _ in world.marks] == ["load", "release", "released"]
    max_unavailable = Counter()
    for name, series in world.unavailable.items():
        max_unavailable[name] = max(
            value for at, value in zip(series.times, series.values, strict=True) if at > 40_000
        )
    assert set(max_unavailable.values()) == {1}


def test_service_falls_as_load_rises():
    worlds = [run_world(load=load, until=10 * SECOND) for load in (0.5, 1.3, 2.5)]
    service = [world.service((50_000, 90_000)) for world in worlds]
    assert service == sorted(service, reverse=True)
    assert service[0] > 0.99
    assert service[2] < 0.6


@pytest.mark.parametrize(
    ("cores", "now", "work", "on_cores", "expected"),
    [
        (Cores(2), 0, 100, 1, 100),
        (Cores(2), 0, 100, 2, 100),
        (Cores(2), 0, 100, 4, 200),
        (Cores(2, slowdown=3.0), 0, 100, 1, 300),
        (Cores(2, 0.5, 1_000, is_cold=True), 0, 100, 1, 200),
        (Cores(2, 0.5, 1_000, is_cold=True), 500, 150, 1, 200),
        (Cores(2, 0.5, 1_000, is_cold=True), 5_000, 100, 1, 100),
        (Cores(2, contention_threshold=4, contention_loss=0.25), 0, 100, 6, 600),
    ],
)
def test_cores_take_longer_when_cold_slow_or_crowded(cores, now, work, on_cores, expected):
    assert cores.compute_duration(now, work, on_cores) == expected


def test_connection_cost_slows_cores_for_a_second():
    cores = Cores(2)
    cores.charge(0, SECOND)
    assert cores.compute_duration(0, 100, 1) == 200
    assert cores.compute_duration(2 * SECOND, 100, 1) == 100


@pytest.mark.parametrize(
    ("call_count", "timeout", "down", "expected"),
    [
        (1, 1_000, False, [(100, Outcome.SERVED)]),
        (1, 50, False, [(50, Outcome.TIMED_OUT)]),
        (4, 1_000, False, [(100, Outcome.SERVED)] * 2 + [(150, Outcome.SERVED), (200, Outcome.SERVED)]),
        (1, 1_000, True, [(10, Outcome.UNREACHABLE)]),
        (7, 1_000, False, [(0, Outcome.CONNECTION_LOST)] * 7),
    ],
)
def test_downstream_service_slows_times_out_and_goes_down(call_count, timeout, down, expected):
    clock, results = Clock(), []
    downstream = DownstreamService(clock, FixedUniform(), 100, full_speed_limit=2, failure_limit=6)
    downstream.is_down = down
    for _ in range(call_count):
        downstream.start_call("a", timeout, lambda outcome: results.append((clock.now, outcome)))
    clock.run(10_000)
    assert results == expected
    assert downstream.calls_in_flight == 0
    assert downstream.has_failed is (call_count == 7)


def test_calls_of_crashed_server_are_removed_once():
    downstream = DownstreamService(Clock(), FixedUniform(), 100)
    call = downstream.start_call("a", 1_000, lambda outcome: None)
    downstream.start_call("b", 1_000, lambda outcome: None)
    downstream.drop_calls("a")
    downstream.remove_call(call)
    assert downstream.calls_in_flight == 1


def test_series_within_span_has_start_value_and_changes():
    series = Series()
    for at, value in ((10, 1.0), (20, 3.0), (20, 2.0), (30, 2.0), (40, 0.0)):
        series.set(at, value)
    assert series.within((15, 35)) == [(15, 1.0), (20, 2.0)]
    assert series.within((0, 41)) == [(0, 0.0), (10, 1.0), (20, 2.0), (40, 0.0)]


class FixedRandom:
    def random(self):
        return 0.5

    def choice(self, candidates):
        return candidates[-1]


@pytest.mark.parametrize(
    ("name", "chosen", "follows_advice"), [("usual", 3, True), ("turns", 2, True), ("blind", 3, False)]
)
def test_routing_policies_choose_follow_advice_and_back_off(name, chosen, follows_advice):
    policy = ROUTING_POLICIES[name]
    assert policy.choose([1, 2, 3], lambda server: server, FixedRandom(), 4) == chosen
    assert policy.follows_advice(FixedRandom()) is follows_advice
    assert policy.choose([], int, FixedRandom(), 0) is None
    assert [policy.retry_delay(attempt_count, FixedRandom()) for attempt_count in (1, 2, 3)] == [
        500,
        1_000,
        2_000,
    ]
