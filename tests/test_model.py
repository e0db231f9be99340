"""The model of the world: one seed one play, the four rules, what faults do in it."""

from collections import Counter

import pytest

from birchslip.admission.types import Outcome
from birchslip.lab.cores import Cores
from birchslip.lab.model.below import Below
from birchslip.lab.model.clock import SECOND, Clock
from birchslip.lab.model.habits import HABITS
from birchslip.lab.model.world import Series, Step, World

from .expectation_harness import sources


class Fixed:
    def uniform(self, a, b):
        return 1.0


def played(*steps, seed=1, until=12 * SECOND, load=0.7):
    world = World(sources().setting, seed)
    world.run([Step(20_000, "load", more=load), *steps], until)
    return world


def fate(world):
    return [(deed.born, deed.been, deed.honoured_at) for deed in world.deeds]


def test_one_seed_gives_one_play_and_another_seed_another():
    a, b, c = (played(Step(60_000, "lose", "north"), seed=seed) for seed in (1, 1, 2))
    assert fate(a) == fate(b) != fate(c)


@pytest.mark.parametrize("load", [0.5, 1.0, 2.5])
@pytest.mark.parametrize(
    "fault", ["none", "lose", "pause", "drain", "slow", "below-down", "release", "shrink"]
)
def test_no_fault_breaks_a_rule(load, fault):
    whom = {"lose": "north", "pause": "north", "drain": "toy-2", "slow": "south"}.get(fault, "")
    steps = [] if fault == "none" else [Step(50_000, fault, whom, 0.5 if fault == "shrink" else 3.0)]
    if fault == "pause":
        steps.append(Step(70_000, "resume", whom))
    launched = Counter()
    world = World(sources().setting, 3)
    for server in world.servers:

        def launch(transaction, run, server=server, inner=server.launch):
            launched[server.name, server.life, run.a_try.deed.label] += 1
            inner(transaction, run)

        server.launch = launch
    world.run([Step(20_000, "load", more=load), *steps], 12 * SECOND)
    for router in world.routers.values():
        router.stopped = True
    world.clock.run(20 * SECOND)
    assert [deed for deed in world.deeds if deed.open] == []
    silent = sum(router.counts["silent"] for router in world.routers.values())
    assert silent == 0 or fault == "pause"
    assert max((count for (_, _, label), count in launched.items() if label), default=1) == 1
    assert world.below.most <= 16
    assert not world.below.fallen
    assert len(world.deeds) > 100


def test_a_lost_site_is_evacuated_and_comes_back_in_steps():
    world = played(
        Step(50_000, "lose", "north"), Step(90_000, "restore", "north"), until=20 * SECOND, load=0.75
    )
    words = [event for _, event, _ in world.notes]
    stages = [more["stage"] for _, event, more in world.notes if event == "site_stage_changed"]
    assert "site_lost" in words
    assert stages[-1] == "home"
    assert stages.count("step") == 3
    assert world.service((50_000, 60_000)) < 0.95 < world.service((17 * SECOND, 19 * SECOND))


def test_a_release_goes_through_everybody_within_the_budget():
    world = played(Step(50_000, "release"), until=50 * SECOND, load=0.4)
    assert world.planners.phase == "done"
    assert set(world.planners.versions.values()) == {"2"}
    assert [event for _, event, _ in world.marks] == ["load", "release", "released"]
    out = Counter()
    for name, series in world.out.items():
        out[name] = max(value for at, value in zip(series.times, series.values, strict=True) if at > 40_000)
    assert set(out.values()) == {1}


def test_more_load_means_less_service_and_more_tries():
    worlds = [played(load=load, until=10 * SECOND) for load in (0.5, 1.3, 2.5)]
    service = [world.service((50_000, 90_000)) for world in worlds]
    assert service == sorted(service, reverse=True)
    assert service[0] > 0.99
    assert service[2] < 0.6


@pytest.mark.parametrize(
    ("cores", "now", "work", "on_cores", "duration"),
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
def test_work_takes_longer_on_cold_slowed_or_contended_cores(cores, now, work, on_cores, duration):
    assert cores.compute_duration(now, work, on_cores) == duration


def test_connections_and_reads_slow_the_cores_for_a_second():
    cores = Cores(2)
    cores.charge(0, SECOND)
    assert cores.compute_duration(0, 100, 1) == 200
    assert cores.compute_duration(2 * SECOND, 100, 1) == 100


@pytest.mark.parametrize(
    ("asked", "limit", "down", "ends"),
    [
        (1, 1_000, False, [(100, Outcome.SERVED)]),
        (1, 50, False, [(50, Outcome.TIMED_OUT)]),
        (4, 1_000, False, [(100, Outcome.SERVED)] * 2 + [(150, Outcome.SERVED), (200, Outcome.SERVED)]),
        (1, 1_000, True, [(10, Outcome.UNREACHABLE)]),
        (7, 1_000, False, [(0, Outcome.CONNECTION_LOST)] * 7),
    ],
)
def test_the_service_below_slows_refuses_and_falls(asked, limit, down, ends):
    clock, found = Clock(), []
    below = Below(clock, Fixed(), 100, holds=2, survives=6)
    below.down = down
    for _ in range(asked):
        below.ask("a", limit, lambda outcome: found.append((clock.now, outcome)))
    clock.run(10_000)
    assert found == ends
    assert below.in_hand == 0
    assert below.fallen is (asked == 7)


def test_calls_of_one_that_died_are_in_hand_no_more():
    below = Below(Clock(), Fixed(), 100)
    call = below.ask("a", 1_000, lambda outcome: None)
    below.ask("b", 1_000, lambda outcome: None)
    below.drop("a")
    below.unask(call)
    assert below.in_hand == 1


def test_a_series_tells_what_was_so_within():
    series = Series()
    for at, value in ((10, 1.0), (20, 3.0), (20, 2.0), (30, 2.0), (40, 0.0)):
        series.set(at, value)
    assert series.within((15, 35)) == [(15, 1.0), (20, 2.0)]
    assert series.within((0, 41)) == [(0, 0.0), (10, 1.0), (20, 2.0), (40, 0.0)]


class Chance:
    def random(self):
        return 0.5

    def choice(self, some):
        return some[-1]


@pytest.mark.parametrize(
    ("name", "picked", "heeds"), [("usual", 3, True), ("turns", 2, True), ("blind", 3, False)]
)
def test_habits_pick_and_heed(name, picked, heeds):
    habit = HABITS[name]
    assert habit.pick([1, 2, 3], lambda one: one, Chance(), 4) == picked
    assert habit.heeds(Chance()) is heeds
    assert habit.pick([], int, Chance(), 0) is None
    assert [habit.wait(tries, Chance()) for tries in (1, 2, 3)] == [500, 1_000, 2_000]
