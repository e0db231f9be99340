"""All decisions of birchslip. `docs/design.md` says why; the types are in `types.py`.

`driver.py` makes one `AdmissionController` for each app server. It sets the time with `clock`, makes a
generator of `path` for each request read and resumes it with what happens to it, passes on `tick` and
`leave`, and after each batch resumes whom `settle` names. Two controllers share nothing; the same events
bring the same decisions.
"""

from __future__ import annotations

import heapq
from bisect import bisect_left, insort
from collections import deque
from collections.abc import Generator, Iterator
from math import ceil, exp, inf, log, sqrt
from typing import Any

# fmt: off
# isort: off
from .types import (
    NEVER_RAN_OUTCOMES,
    SECOND,
    AdvertiseCriticality,
    AttachToOriginal,
    Downstream,
    CallDownstream,
    CallEnded,
    AdmissionSettings,
    RunEnded,
    Event,
    ReleaseKey,
    Gauges,
    WaitExpired,
    TurnGranted,
    CallerGone,
    Preemption,
    SetHealth,
    SetIdleTimeout,
    Idempotency,
    LogEvent,
    CallNeeded,
    ServerAction,
    Outcome,
    PlanOverride,
    RequestState,
    RequestClass,
    SheddingTier,
    StoreKey,
    Reject,
    SkipCall,
    StartRun,
    StopRun,
    SetTimer,
    Request,
    Wait,
    Action,
    Fail,
)
# isort: on
# fmt: on

TICK = 500  # one coarse timer: 50 ms
LOOK = 40  # the hold is looked through at most once in 4 ms: under pressure that costs as much as the rest
WINDOWS, WINDOW = 10, SECOND  # the source's windows
SPAN = WINDOWS * WINDOW
QUOTA_SHARES = 2.0  # a derived quota, in even shares of the bytes honoured
BUSY = 0.9  # the core gauge shows no room from here on
SHORT_WAIT = 3000  # work held for longer than 300 ms counts as waiting
LIMIT_TICK = 3 * SECOND // 2  # the core gauge fades over half a second: thrice that shows what is new
RISE, CUT = 0.25, 0.9  # the running limit's step and its cut
SLOWED = 2.0  # how far past its base a median run, and past the usual the pace, may be
LOW, HIGH, MEMORY_SLICES = 0.25, 0.8, 60  # shares, over a minute, below the base and the high value of a time
CELL = 100  # times kept of one second: more say no more, and a fast server would keep and sort them all
PACE_SLICE = 2000  # recent pace: ten slices of 200 ms, on every core; the recent time of calls too
FEW = 2  # usual runs that stand in for what has not been seen; thrice as many for the pace
STUCK, MENDED = 4.0, 2.0  # pace, against the usual, at which health turns bad and good again
STEADY = 1.3  # pace, against the usual, up to which runs are taken to go as usual
BEGUN = 1.5  # running limits that may have begun: those at calls come back beside what runs
CROWD_USED, MEMORY_USED = 0.6, 0.9  # of what the app server survives
IDLE_LIMITS = tuple(SECOND // 10 << step for step in range(7, -1, -1))  # those weighed: 12.8 to 0.1 s
HANDSHAKE_WORTH = SPAN // 2  # on busy cores a new connection costs what an idle one does in this time
HINT_RUNS, HINT_PRIOR = 200, 3.0  # runs that tell how good hints are; the weight of their being exact
FLOOD, FLOOD_OVER, UNREAD = 2.0, 1.0, SECOND  # a flood: shed over what the cores could serve; waited unread
RETURNS = 100  # the last returns of callers, by which idle limits are weighed
LEVEL_SHED, LEVEL_STEP, LEVEL_MOST = 0.1, 0.02, 0.9  # shed over served at which the level rises, by a tick
CALL_ROOM = 2.0  # recent times of calls that must fit where a call may be left out: times scatter
CALLS_KEPT = 0.33  # of the calls share, however slow calls are: by themselves or for the crowd


class WindowedCounter:
    """Amounts in fixed buckets of time, used again in a ring."""

    def __init__(self, count: int, span: int) -> None:
        self.cells = [0] * count
        self.span = span
        self.slot = 0
        self.sum = 0

    def total(self, now: int) -> int:
        slot, count = now // self.span, len(self.cells)
        if slot <= self.slot:
            return self.sum
        for passed in range(max(self.slot + 1, slot - count + 1), slot + 1):
            self.sum -= self.cells[passed % count]
            self.cells[passed % count] = 0
        self.slot = slot
        return self.sum

    def add(self, now: int, amount: int) -> None:
        self.total(now)
        self.cells[self.slot % len(self.cells)] += amount
        self.sum += amount

    def take(self, now: int, then: int, amount: int) -> None:
        """Take back what was added at `then`, if that has not run out by itself."""
        self.total(now)
        if then // self.span > self.slot - len(self.cells):
            self.cells[then // self.span % len(self.cells)] -= amount
            self.sum -= amount


class QuantileWindow:
    """What runs or calls took, in one-second buckets used again in a ring: mean, a low and a high value."""

    def __init__(self) -> None:
        self.cells: list[list[float]] = [[] for _ in range(MEMORY_SLICES)]
        self.slot = self.number = 0
        self.ordered: list[float] = []
        self.sum = self.usual = self.base = self.high = 0.0

    def add(self, now: int, value: float) -> None:
        slot = now // SECOND
        for passed in range(max(self.slot + 1, slot - MEMORY_SLICES + 1), slot + 1):
            cell = self.cells[passed % MEMORY_SLICES]
            for old in cell:
                del self.ordered[bisect_left(self.ordered, old)]
                self.sum -= old
            cell.clear()
        self.slot, self.number, cell = slot, self.number + 1, self.cells[slot % MEMORY_SLICES]
        if len(cell) >= CELL:
            return
        cell.append(value)
        insort(self.ordered, value)
        self.sum += value
        self.usual = self.sum / len(self.ordered)
        self.base, self.high = (self.ordered[int(len(self.ordered) * share)] for share in (LOW, HIGH))

    def recent(self, now: int) -> list[float]:
        """The last window's values in order."""
        slots = range(max(now // SECOND - WINDOWS, self.slot - MEMORY_SLICES) + 1, self.slot + 1)
        return sorted(value for slot in slots for value in self.cells[slot % MEMORY_SLICES])


class CallerReturns:
    """After how long callers come back, by which an idle connection is weighed against a new one."""

    def __init__(self, now: int, keepalive: int, callers: int) -> None:
        self.started, self.keepalive, self.callers = now, keepalive, callers
        self.last_heard: dict[int, int] = {}
        self.gaps: deque[int] = deque(maxlen=RETURNS)
        self.heard = 0

    def hear(self, caller: int, now: int) -> None:
        self.heard += 1
        gap = now - self.last_heard.pop(caller, now - 2 * self.keepalive)
        self.last_heard[caller] = now
        uptime = now - self.started
        if gap > self.keepalive > uptime:  # not heard since the start: taken to come as often as all do
            gap = min(gap, (self.callers or len(self.last_heard)) * max(SECOND, uptime) // self.heard)
        self.gaps.append(gap)

    def forget(self, now: int) -> None:
        while self.last_heard and next(iter(self.last_heard.values())) <= now - self.keepalive:
            del self.last_heard[next(iter(self.last_heard))]

    def cheapest_limit(self, handshake: float) -> int:
        """The idle limit at which the time that connections stood idle and the handshakes cost least."""

        def price(limit: int) -> float:
            return sum(gap if gap <= limit else limit + handshake for gap in self.gaps)

        return min((self.keepalive, *(limit for limit in IDLE_LIMITS if limit < self.keepalive)), key=price)


class CostModel:
    """How closely run times follow told costs: time ~ cost ** power, by least squares within each profile.

    A rough hint says less than it seems to: what is told as large is large by the hint's error, too.
    """

    def __init__(self, profiles: list[RequestClass]) -> None:
        self.means = {profile: (0, 0.0, 0.0) for profile in profiles}
        self.variance = self.covariance = HINT_PRIOR
        self.power = 1.0

    def add(self, profile: RequestClass, cost: int, took: float) -> None:
        number, cost_mean, took_mean = self.means[profile]
        number = min(number + 1, HINT_RUNS)
        from_cost, from_took = log(max(1, cost)) - cost_mean, log(max(1.0, took)) - took_mean
        self.means[profile] = (number, cost_mean + from_cost / number, took_mean + from_took / number)
        self.variance += from_cost * from_cost * (1 - 1 / number) - self.variance / HINT_RUNS
        self.covariance += from_cost * from_took * (1 - 1 / number) - self.covariance / HINT_RUNS
        self.power = min(1.0, max(0.0, self.covariance / max(1e-9, self.variance)))

    def factor(self, profile: RequestClass, cost: int) -> float:
        """The time that such a cost stands for, against the profile's usual one."""
        return exp(self.power * (log(max(1, cost)) - self.means[profile][1]))


class QuotaMeter:
    """The source's sensor for one caller or tenant."""

    def __init__(self, told: float = 0.0) -> None:
        self.ring, self.asked = WindowedCounter(WINDOWS, WINDOW), WindowedCounter(WINDOWS, WINDOW)
        self.told, self.heard = told, 0
        self.planned = 0.0  # the quota of the plan in force, 0 where it names none

    def delay(self, now: int, quota: float) -> int:
        """delay = (window total - bound) / quota per second."""
        if quota <= 0:
            return 0
        bound = quota * SPAN / SECOND
        return max(0, ceil((self.ring.total(now) - bound) / quota * SECOND))


class AdmissionController:
    """The decisions of one app server."""

    def __init__(self, deployment: AdmissionSettings, now: int) -> None:
        self.site = deployment
        self.now = self.started = now
        self.notices: list[ServerAction] = [SetHealth(True), SetTimer(now + TICK)]
        self.chance, self.serial, self.logged = deployment.seed, 0, now
        # the source's windows
        self.callers: dict[int, QuotaMeter] = {}
        self.tenants = {
            tenant: QuotaMeter(tenant.quota / deployment.fleet_size) for tenant in deployment.tenants
        }
        self.honoured, self.honoured_number = (
            WindowedCounter(WINDOWS, WINDOW),
            WindowedCounter(WINDOWS, WINDOW),
        )
        self.crowded = self.busy = self.storm = self.flood = self.reconnects = self.look = False
        # the hold, the cores and the calls below
        self.limit = float(deployment.cores)
        self.limit_moved = self.limit_cut = self.next_call = self.next_idle = now
        self.hold: list[tuple[int, int, Request]] = []
        self.queue: list[tuple[bool, int, int, Request]] = []
        self.on_cores: dict[Request, None] = {}
        self.lingering: list[int] = []
        self.in_hand = self.begun = 0
        # what things take
        self.runs, self.calls_made = (
            {p: QuantileWindow() for p in deployment.request_classes} for _ in range(2)
        )
        self.all_runs, self.calls, self.hint = (
            QuantileWindow(),
            QuantileWindow(),
            CostModel(deployment.request_classes),
        )
        self.calls_took, self.calls_ended = (
            WindowedCounter(WINDOWS, PACE_SLICE),
            WindowedCounter(WINDOWS, PACE_SLICE),
        )
        pace_slice = PACE_SLICE * deployment.cores
        self.spent, self.done = WindowedCounter(WINDOWS, pace_slice), WindowedCounter(WINDOWS, pace_slice)
        self.call_time, self.level, self.core_clock, self.memory, self.next_look = 0.0, 0.0, 0, 0, 0
        self.stretch = self.stuck = self.allowed = self.use = 1.0
        # memory, labels, health and drain
        self.labels: list[tuple[int, int, Request]] = []
        self.watch: list[tuple[int, int, Request]] = []
        self.turned, self.shed_ages = (WindowedCounter(WINDOWS, WINDOW) for _ in range(2))
        self.returns = CallerReturns(now, deployment.keepalive_timeout, deployment.caller_count)
        self.good, self.idle, self.backlog, self.shut = True, -1, 0, inf
        self.end: int | None = None
        # the plan of the fleet, how far it holds still, and the share of the calls below
        self.plan, self.visiting = PlanOverride(0, 0, now, 1), QuotaMeter()
        self.force, self.calls_share = 0.0, deployment.downstream_quota
        # what a store of results still takes, where there is one, from when on that is little, until when
        self.labels_left, self.labels_scarce, self.labels_wait = inf, 0, 0

    # ---- the path of a transaction ---------------------------------------------------------------------

    def path(self, tx: Request) -> Generator[Action, Any, None]:
        """The ordinary path, from the reading to the final answer."""
        self.take_in(tx)
        if tx.original is not None and (
            tx.original.has_started or tx.original.state is not RequestState.COMPLETED
        ):
            yield from self.repeat(tx)
            return
        if not self.has_room(tx):
            yield self.shed(tx)
            return
        delay = self.count(tx)
        if not self.may_keep(tx):
            self.uncount(tx)
            yield self.shed(tx, self.labels_wait)
            return
        if not self.fits(tx, delay):
            self.uncount(tx)
            # The advice keeps away all that its caller carries: a tenant's delay is not its caller's. All
            # that a visitor carries is visiting.
            yield self.shed(tx, 0 if tx.quota_meter.told and tx.quota_meter is not self.visiting else delay)
            return
        self.enter_hold(tx, delay)
        if tx.request_class.idempotency is Idempotency.KEYED:
            yield StoreKey(tx.request_class.key_retention)
        event = yield Wait()
        self.hold.remove((tx.latency_deadline, tx.sequence, tx))
        if not isinstance(event, TurnGranted):
            self.uncount(tx)
            self.weigh(tx, 0)
            tx.state = RequestState.COMPLETED
            if tx.request_class.idempotency is Idempotency.KEYED:
                self.forget(tx)
                yield ReleaseKey()
            if isinstance(event, WaitExpired):
                yield self.shed(tx)
            return
        tx.has_started = True
        self.begun += 1
        self.weigh(tx, ceil(tx.size * self.site.running_memory_factor))
        self.to_cores(tx)
        event = yield StartRun()
        while not isinstance(event, RunEnded):
            if isinstance(event, CallNeeded):
                event = yield from self.call_below(tx)
            else:
                event = yield from self.cut_off(tx, event)
        self.off_cores(tx)
        self.begun -= 1
        self.weigh(tx, 0)
        tx.state = RequestState.COMPLETED
        self.learn(tx, event)

    def repeat(self, tx: Request) -> Generator[Action, Any, None]:
        """A repeat of what is held, runs or has run shares that outcome: no effect and no work twice."""
        if self.memory + tx.size > self.site.memory_limit:
            yield Fail()
            return
        self.weigh(tx, tx.size)
        tx.state = RequestState.ATTACHED
        self.watch_over(tx)
        event = yield AttachToOriginal()
        tx.state = RequestState.COMPLETED
        self.weigh(tx, 0)
        if isinstance(event, WaitExpired):
            yield Fail()

    def call_below(self, tx: Request) -> Generator[Action, Any, Event]:
        """Wait for a turn, call, and go on; where it can't fit, leave the call out or end the transaction."""
        self.off_cores(tx)
        tx.state = RequestState.WAITING_FOR_CALL
        # Calls that can't be left out go first: the others earn a part all the same.
        place = (tx.request_class.weight_without_call > 0, tx.latency_deadline, tx.sequence, tx)
        insort(self.queue, place)
        event: Event = yield Wait()
        self.queue.remove(place)
        if isinstance(event, TurnGranted):
            tx.state = RequestState.CALLING
            self.in_hand += 1
            limit = self.call_limit(tx)
            tx.call_started_at = self.now
            tx.downstream_calls += 1
            event = yield CallDownstream(limit)
            while isinstance(event, WaitExpired | CallerGone):
                event = yield from self.cut_off(tx, event)
            self.call_over(tx, event)
        if isinstance(event, CallEnded) and event.outcome is Outcome.SERVED:
            self.to_cores(tx)
            event = yield Wait()
            return event
        if isinstance(event, CallEnded) and self.may_call_again(tx, event.outcome):
            return CallNeeded()
        if isinstance(event, CallEnded | WaitExpired):
            if (
                tx.request_class.weight_without_call > 0
                and not tx.is_answered
                and self.now < tx.deadline - TICK
            ):
                self.to_cores(tx)
                event = yield SkipCall()
                return event
            return (yield from self.cut_off(tx, WaitExpired()))
        return event

    def cut_off(self, tx: Request, event: Event) -> Generator[Action, Any, Event]:
        """The final answer of one that has begun, at once; its run is stopped where that frees something."""
        if isinstance(event, WaitExpired) and not tx.is_answered:
            tx.is_answered = True
            yield Fail()
        elif isinstance(event, CallerGone):
            tx.is_answered = True
        # A labelled run goes on: its repeat shares its outcome, and a stopped one may not start again.
        if tx.is_answered and tx.state is RequestState.RUNNING and self.may_stop(tx):
            yield StopRun()
        event = yield Wait()
        return event

    # ---- quota: the source's windows and delay ---------------------------------------------------------

    def meter(self, tx: Request) -> QuotaMeter:
        """Its tenant's, where a quota is told, or else its caller's."""
        # The last heard stands last, so that the tick finds those who have fallen silent at the head.
        meter = self.callers.pop(tx.caller) if tx.caller in self.callers else QuotaMeter()
        self.callers[tx.caller] = meter
        meter.heard = self.now
        self.returns.hear(tx.caller, self.now)
        if self.force and tx.caller in self.plan.evacuated_callers:
            return self.visiting
        return self.tenants[tx.tenant] if tx.tenant is not None and tx.tenant.quota > 0 else meter

    def count(self, tx: Request) -> int:
        """Count it in the windows; the delay that they ask for while the quota binds."""
        meter = tx.quota_meter = self.meter(tx)
        tx.counted_at = self.now
        for ring in (meter.ring, meter.asked):
            ring.add(self.now, 1 if meter.told else tx.size)
        # A derived quota is learned over one full window; a told one is known at once.
        binds = self.crowded and (meter.told or self.now - self.started >= SPAN)
        return meter.delay(self.now, self.quota(meter)) if binds else 0

    def uncount(self, tx: Request) -> None:
        """What never ran is taken out again, or a caller that goes on asking would be shut out whole."""
        tx.quota_meter.ring.take(self.now, tx.counted_at, 1 if tx.quota_meter.told else tx.size)

    def quota(self, meter: QuotaMeter) -> float:
        """A second's quota: the tenant's as told, or twice the caller's even share of the bytes honoured.

        Never under an even share of what the running limit could serve, nor is a share less than one of them.
        None, that is 0, where nothing has been honoured: the cores are stuck, no caller is to blame.
        """
        could_serve = self.could_serve()
        if meter is self.visiting:
            return meter.told / max(0.01, self.force)
        if meter.told:
            heard = max(1, sum(1 for peer in self.tenants.values() if peer.ring.total(self.now) > 0))
            usual = max(meter.told, could_serve / heard)
            return usual + (meter.planned - usual) * self.force if meter.planned else usual
        honoured, number = self.honoured.total(self.now), max(1, self.honoured_number.total(self.now))
        rate = max(QUOTA_SHARES * max(1.0, len(self.callers) / number) / WINDOWS, could_serve / number)
        return rate * honoured / max(1, len(self.callers))

    def could_serve(self) -> float:
        """Runs a second under the running limit, each of the usual time; 0 while that is not known."""
        return self.limit * SECOND / self.all_runs.usual if self.all_runs.usual else 0.0

    def heaviness(self, tx: Request) -> float:
        """What its caller asked for, shed or not, beyond what chance alone explains, against its quota."""
        asked = tx.quota_meter.asked.total(self.now)
        beyond_chance = max(0.0, asked - sqrt(asked * (1 if tx.quota_meter.told else tx.size)))
        return float(beyond_chance / (tx.quota_meter.told or max(1.0, self.quota(tx.quota_meter))))

    # ---- the plan of the fleet: quotas told anew while in service --------------------------------------

    def take_over(self, plan: PlanOverride) -> bool:
        """A plan comes into force, or the one in force is told on; an older or late one changes nothing."""
        age, held = (plan.term, plan.number), (self.plan.term, self.plan.number)
        if age < held or (age == held and plan.expires_at <= self.plan.expires_at):
            return False
        news = not self.force or any(
            getattr(plan, part) != getattr(self.plan, part)
            for part in ("serving_fraction", "is_capacity_short", "evacuated_callers")
        )
        if plan.evacuated_callers - self.plan.evacuated_callers or not self.force:
            # As if they had been here at their quota all along: they come all at once, and not to an empty
            # window.
            self.visiting = QuotaMeter()
            for ago in range(WINDOWS):
                self.visiting.ring.add(
                    self.now - (WINDOWS - 1 - ago) * WINDOW, ceil(plan.evacuated_quota * WINDOW / SECOND)
                )
        self.plan, self.visiting.told = plan, max(0.1, plan.evacuated_quota)
        for tenant, meter in self.tenants.items():
            meter.planned = plan.quotas.get(tenant, 0.0)
        self.weaken()
        if news:
            self.log(
                f"plan {plan.term}.{plan.number} in force: level {plan.serving_fraction:.2f}, "
                f"visitors {sorted(plan.evacuated_callers)}, short {plan.is_capacity_short}"
            )
        return True

    def weaken(self) -> None:
        """A plan that is not told on fades out: at once, all that it kept away would come in one step."""
        left = 1 - (self.now - self.plan.expires_at) / self.plan.fade_span
        force = min(1.0, max(0.0, left))
        if self.force and not force:
            self.log(f"plan {self.plan.term}.{self.plan.number} has run out")
        self.force = force

    def refusal(self, tx: Request) -> tuple[int, float, bool]:
        """Who goes first: by the order of the plan in force, then who has come furthest against its quota."""
        heavy = self.heaviness(tx)
        if not self.force:
            return 0, heavy, tx.is_retry
        visits, order = tx.caller in self.plan.evacuated_callers, self.plan.shedding_order
        for place, kind in enumerate(order):
            # Of one kind those from the lost site go before those at home.
            rank = 2 * (len(order) - place) + visits
            if kind is SheddingTier.OVER_QUOTA and tx.quota_meter.delay(self.now, self.quota(tx.quota_meter)):
                return rank, heavy, tx.is_retry
            if kind is SheddingTier.RETRY and tx.is_retry:
                return rank, heavy, True
            if kind is SheddingTier.EVACUATED and visits:
                # By payoff per work: the least goes first.
                return rank, self.typical(tx) / max(1e-9, tx.request_class.priority_weight), tx.is_retry
        return 0, heavy, tx.is_retry

    # ---- the hold --------------------------------------------------------------------------------------

    def take_in(self, tx: Request) -> None:
        """By when it is wanted; a further try, whose age does not show, is as old as sheds here have been."""
        self.serial = tx.sequence = self.serial + 1
        self.backlog = self.now - tx.arrived_at
        spent = tx.is_retry and self.shed_age()
        tx.latency_deadline = min(
            tx.deadline, tx.arrived_at + tx.request_class.latency_objective - int(spent)
        )

    def shed_age(self) -> float:
        return self.shed_ages.total(self.now) / max(1, self.turned.total(self.now))

    def has_room(self, tx: Request) -> bool:
        """Not past the grace of a drain, and within the memory, what its label will take included."""
        if tx.arrived_at > self.shut:
            return False
        label = self.site.idempotency_key_size if tx.request_class.idempotency is Idempotency.KEYED else 0
        return self.memory + tx.size + label <= MEMORY_USED * self.site.memory_limit

    def may_keep(self, tx: Request) -> bool:
        """Whether what comes of it can be kept: the last of the room is not for who is past its quota, nor
        for who has had more of its quota than all have together, so that no surge fills the store."""
        if tx.request_class.idempotency is not Idempotency.KEYED or self.labels_left > self.labels_scarce:
            return True
        if self.labels_left < 1 or tx.quota_meter.delay(self.now, self.quota(tx.quota_meter)):
            return False
        # A store may hold less than one quota's window: nobody need be past its own when it is full.
        heard = [peer for peer in self.tenants.values() if peer.ring.total(self.now) > 0]
        had, told = sum(peer.ring.sum for peer in heard), sum(peer.told for peer in heard)
        return not tx.quota_meter.told or bool(tx.quota_meter.ring.sum * told <= had * tx.quota_meter.told)

    def typical(self, tx: Request) -> float:
        """The time on a core that one like it usually takes, from its cost where that is told."""
        return self.runs[tx.request_class].usual * self.hint.factor(tx.request_class, tx.cost_hint)

    def rest(self, tx: Request) -> float:
        return max(0.0, self.typical(tx) * self.stretch - tx.core_time_used)

    def needs(self, tx: Request) -> float:
        """The time from its start to its answer, as things go now: cores, calls and the wait for a call."""
        # A high run time: begun with the usual one left, run after run is stopped half-way, as times scatter.
        call = self.call_time * (1 + len(self.queue) / self.allowed)
        run = (
            self.runs[tx.request_class].high * self.hint.factor(tx.request_class, tx.cost_hint) * self.stretch
        )
        return run + self.calls_made[tx.request_class].usual * call

    def wanted(self, tx: Request) -> int:
        return tx.latency_deadline if self.end is None else min(tx.latency_deadline, self.end - 2 * TICK)

    def least(self, tx: Request, before: int) -> float:
        """The time it is tried at with so many before it.

        On empty cores none, whatever the figures say, for nothing else would mend them; where a core is free
        its base time, while the pace is usual; else what it needs.
        """
        if before < int(self.limit) and (not before or self.stretch < STEADY):
            return (
                self.runs[tx.request_class].base * self.hint.factor(tx.request_class, tx.cost_hint)
                if before
                else 0.0
            )
        return self.needs(tx)

    def fits(self, tx: Request, delay: float) -> bool:
        needed = self.needs(tx) if delay else self.least(tx, len(self.on_cores) + len(self.hold))
        return self.now + delay + needed < self.wanted(tx)

    def enter_hold(self, tx: Request, delay: int) -> None:
        tx.state = RequestState.QUEUED
        tx.eligible_at = self.now + delay
        self.look = True
        insort(self.hold, (tx.latency_deadline, tx.sequence, tx))
        self.weigh(tx, tx.size)
        self.watch_over(tx)
        if tx.request_class.idempotency is Idempotency.KEYED:
            self.memory += self.site.idempotency_key_size
            tx.holds_key = True
            heapq.heappush(self.labels, (self.now + tx.request_class.key_retention + TICK, tx.sequence, tx))

    def forget(self, tx: Request) -> None:
        if tx.holds_key:
            tx.holds_key = False
            self.memory -= self.site.idempotency_key_size

    def weigh(self, tx: Request, size: int) -> None:
        self.memory += size - tx.memory_held
        tx.memory_held = size

    def watch_over(self, tx: Request) -> None:
        heapq.heappush(self.watch, (tx.deadline - TICK, tx.sequence, tx))

    def shed(self, tx: Request, delay: float = 0) -> Reject:
        """It says when to come back; in overload and in a storm of tries, also not to try elsewhere."""
        # A visitor past its quota goes at the door: that says nothing of how old sheds are that were held.
        age = self.shed_age() if tx.quota_meter is self.visiting else self.now - tx.arrived_at
        self.turned.add(self.now, 1)
        self.shed_ages.add(self.now, int(age))
        if not self.site.sends_retry_after:
            return Reject()
        wait = (
            max(delay, self.wait_for_core(), self.backlog, TICK) if self.good else self.site.max_retry_after
        )
        # A linear congruential generator; its high bits spread the moments at which callers come back.
        self.chance = (self.chance * 6364136223846793005 + 1442695040888963407) % (1 << 64)
        after = min(ceil(wait * (0.75 + (self.chance >> 40) / (1 << 25))), self.site.max_retry_after)
        # Where the plan says that no app server has room, a try elsewhere is a try in vain.
        full = (
            self.crowded or self.storm or self.reconnects or (self.plan.is_capacity_short and self.force > 0)
        )
        return Reject(after, full and self.stretch < SLOWED)

    def wait_for_core(self) -> float:
        full = len(self.on_cores) >= int(self.limit)
        return self.all_runs.usual * self.stretch / self.limit if full else 0.0

    def sweep(self) -> Iterator[tuple[Request, Event]]:
        """What can no longer be answered in time is answered at once, not kept.

        Where the hold, run in due order, would leave one behind, the transaction that goes is one of the
        caller that has come furthest against its quota, of those up to the one left behind.
        """
        self.look, self.next_look = False, self.now + LOOK
        ahead = self.wait_for_core()
        kept: list[Request] = []
        lost: list[Request] = []
        for _, _, tx in self.hold:
            least = self.least(tx, len(self.on_cores) + len(kept))
            if self.now + least >= self.wanted(tx):
                lost.append(tx)
                continue
            kept.append(tx)
            while self.now + ahead + least >= self.wanted(tx):
                heavy = max(reversed(kept), key=self.refusal)
                kept.remove(heavy)
                lost.append(heavy)
                if heavy is tx:
                    break
                ahead -= self.rest(heavy) / self.limit
            else:
                ahead += self.rest(tx) / self.limit
        for tx in lost:
            yield tx, WaitExpired()

    def starts(self) -> Iterator[tuple[Request, Event]]:
        """Held transactions start by due time, those under a delay once it has passed or binds no more."""
        # All that has begun may come back to the cores at once; while they show room, calls keep it away.
        bound = min(CROWD_USED * self.crowd(), BEGUN * self.limit if self.busy else inf)
        while len(self.on_cores) < int(self.limit) and self.begun < bound:
            tx = next((t for _, _, t in self.hold if t.eligible_at <= self.now or not self.crowded), None)
            if tx is None:
                return
            if (
                self.memory + tx.size * (self.site.running_memory_factor - 1)
                > MEMORY_USED * self.site.memory_limit
            ):
                return
            yield tx, TurnGranted()

    def crowd(self) -> float:
        """How many on the cores the app server survives; while it warms up, fewer."""
        grown = (
            min(1.0, (self.now - self.started) / max(1, self.site.warm_up_span))
            if self.site.starts_cold
            else 1.0
        )
        warm = self.site.cold_start_speed + (1 - self.site.cold_start_speed) * grown
        return (1 + (self.site.overload_multiple - 1) * warm) * self.site.cores

    # ---- runs ------------------------------------------------------------------------------------------

    def to_cores(self, tx: Request) -> None:
        tx.state = RequestState.RUNNING
        tx.running_since = self.now
        self.on_cores[tx] = None

    def off_cores(self, tx: Request) -> None:
        if tx in self.on_cores:
            del self.on_cores[tx]
            tx.core_time_used += self.now - tx.running_since

    def learn(self, tx: Request, ended: RunEnded) -> None:
        """Run times without the calls; a stopped run counts as far as it got."""
        typical = self.typical(tx)
        if ended.outcome not in (Outcome.SERVED, Outcome.FAILED):
            self.done.add(self.core_clock, min(tx.core_time_used, ceil(typical)))
            return
        self.hint.add(tx.request_class, tx.cost_hint, tx.core_time_used)
        self.runs[tx.request_class].add(
            self.now, tx.core_time_used / self.hint.factor(tx.request_class, tx.cost_hint)
        )
        self.calls_made[tx.request_class].add(self.now, tx.downstream_calls)
        self.all_runs.add(self.now, tx.core_time_used)
        self.done.add(self.core_clock, ceil(typical) or tx.core_time_used)
        if ended.outcome is Outcome.SERVED and not tx.is_answered:
            self.honoured.add(self.now, tx.size)
            self.honoured_number.add(self.now, 1)

    def may_stop(self, tx: Request) -> bool:
        return (
            self.site.preemption is not Preemption.OFF
            and tx.request_class.idempotency is Idempotency.IDEMPOTENT
        )

    def overdue(self) -> Iterator[tuple[Request, Event]]:
        """No transaction is lost: what has no answer at its due time or the process's end gets one."""
        ending = self.end is not None and self.now >= self.end - 2 * TICK
        while self.watch and (ending or self.watch[0][0] <= self.now):
            tx = heapq.heappop(self.watch)[2]
            if tx.state is not RequestState.COMPLETED and not tx.is_answered:
                yield tx, WaitExpired()
        if self.hold and self.site.preemption is not Preemption.OFF:
            # A run past its latency goal earns nothing: while others wait for its core, it gives way to them.
            for tx in [
                t for t in self.on_cores if self.now >= t.latency_deadline and not t.request_class.late_weight
            ]:
                if not tx.is_answered and self.may_stop(tx):
                    yield tx, WaitExpired()

    # ---- calls below -----------------------------------------------------------------------------------

    def allowed_calls(self) -> float:
        """How many calls may be in hand: the share told, less as they take longer than their base."""
        shared = self.site.downstream is Downstream.SHARED
        own = max(0.01, self.calls_share) if shared else CROWD_USED * self.crowd()
        if not self.call_time or not self.calls.base:
            return own
        return max(min(1.0, own), own * CALLS_KEPT, own * min(1.0, self.calls.base / self.call_time))

    def next_calls(self) -> Iterator[tuple[Request, Event]]:
        """Calls go out in turn at a rate that follows their recent time; abandoned ones count too.

        A call that can't fit is left out where a part of the payoff is still earned.
        """
        while self.lingering and self.lingering[0] <= self.now:
            heapq.heappop(self.lingering)
        space = self.call_time / (allowed := self.allowed_calls())
        for place, (*_, tx) in enumerate(list(self.queue)):
            answer_at = self.now + place * space + CALL_ROOM * self.call_time + self.rest(tx)
            no_time = tx.request_class.weight_without_call and self.call_time and answer_at >= self.wanted(tx)
            if no_time or (self.now >= tx.latency_deadline and not tx.request_class.late_weight):
                yield tx, WaitExpired()
            elif self.in_hand + len(self.lingering) + 1 <= max(1.0, allowed) and self.next_call <= self.now:
                self.next_call = max(self.next_call, self.now - TICK) + ceil(space)
                yield tx, TurnGranted()

    def call_limit(self, tx: Request) -> int:
        left = tx.deadline - self.now - TICK
        if tx.request_class.weight_without_call:
            left = min(left, self.wanted(tx) - self.now - ceil(self.rest(tx)))
        if self.site.downstream is Downstream.SHARED and self.calls_share < 1:
            # A share under one call: one alone may not fill the span by itself.
            left = min(
                left,
                ceil(self.calls_share * self.site.downstream_quota_window) - self.site.abandoned_call_linger,
            )
        return max(10, left)

    def call_over(self, tx: Request, event: Event) -> None:
        self.in_hand -= 1
        took = self.now - tx.call_started_at
        if not isinstance(event, CallEnded) or event.outcome is Outcome.TIMED_OUT:
            heapq.heappush(self.lingering, self.now + self.site.abandoned_call_linger)
            took += self.site.abandoned_call_linger
        elif event.outcome is not Outcome.SERVED:
            # A refused or cut call says that what lies below is in trouble, however quickly it says so.
            took = max(took, ceil(2 * self.call_time))
        self.calls.add(self.now, took)
        self.calls_took.add(self.now, took)
        self.calls_ended.add(self.now, 1)
        share = self.allowed_calls()
        if share < 1:
            self.next_call = max(self.next_call, tx.call_started_at + ceil(took / share))

    def may_call_again(self, tx: Request, outcome: Outcome) -> bool:
        """Where the earlier call is known not to have run, or was cut and may be made twice."""
        cut = outcome is Outcome.CONNECTION_LOST and tx.request_class.idempotency is Idempotency.IDEMPOTENT
        return (
            (outcome in NEVER_RAN_OUTCOMES or cut) and not tx.is_answered and self.now < tx.latency_deadline
        )

    # ---- time, health and drain ------------------------------------------------------------------------

    def clock(self, now: int) -> None:
        # The pace is kept over core time: a slow spell is not forgotten while little runs.
        spent = len(self.on_cores) * (now - self.now)
        self.core_clock += spent + now - self.now
        self.spent.add(self.core_clock, spent)
        self.now = now

    def tick(self, gauges: Gauges) -> None:
        now, self.look = self.now, True
        self.notices.append(SetTimer(now + TICK))
        while self.callers and next(iter(self.callers.values())).heard <= now - SPAN:
            del self.callers[next(iter(self.callers))]
        self.returns.forget(now)
        while self.labels and self.labels[0][0] <= now:
            self.forget(heapq.heappop(self.labels)[2])
        if self.all_runs.number >= 3 * self.site.cores:
            spent, done = self.spent.total(self.core_clock), self.done.total(self.core_clock)
            few, some = FEW * self.all_runs.usual, 3 * FEW * self.all_runs.usual
            # A run that goes on is no sign of trouble until it is past what it usually takes.
            going = ((tx.core_time_used + now - tx.running_since, self.typical(tx)) for tx in self.on_cores)
            self.stretch = (spent + some) / (done + some)
            overdue = spent - sum(took for took, usual in going if took < usual)
            self.stuck = (overdue + few) / (done + few)
        ended = self.calls_ended.total(now)
        self.call_time = self.calls_took.total(now) / ended if ended else self.calls.usual
        self.allowed = self.allowed_calls()
        used = (
            len(self.on_cores) >= int(self.limit)
            if gauges.core_utilization is None
            else gauges.core_utilization
        )
        self.busy = used >= BUSY
        self.use += (used - self.use) * TICK / SPAN
        # What waited unread has waited as well; by the time it is read it may be too late to be held.
        waits = max((now - tx.eligible_at for _, _, tx in self.hold), default=0)
        self.crowded = self.busy and max(waits, self.backlog) > SHORT_WAIT
        if self.crowded and now - self.logged >= SPAN:
            self.logged = now
            self.log(f"quota binds: {len(self.hold)} held, {len(self.on_cores)} on the cores")
        if self.force:
            self.weaken()
        self.move_limit()
        self.judge_health()
        self.close_idle()
        self.set_level()

    def move_limit(self) -> None:
        """Up while the cores show room and work is held for longer than the gauge lags; down as runs slow."""
        now, cores = self.now, self.site.cores
        if not self.hold or len(self.on_cores) < int(self.limit):
            self.limit_moved = now
        if not self.busy and self.good and now - self.limit_moved >= LIMIT_TICK:
            self.limit, self.limit_moved = self.limit + max(1.0, self.limit * RISE), now
        elif self.busy and self.limit > cores and now - self.limit_cut >= SPAN and self.runs_slowed():
            self.limit, self.limit_cut = self.limit * CUT, now
        self.limit = max(float(cores), min(self.limit, CROWD_USED * self.crowd()))
        if self.force and self.plan.serving_fraction < 1:
            # Let back in by steps: only so many of its cores as the plan says, and more as the plan fades.
            self.limit = max(1.0, cores * (1 - (1 - self.plan.serving_fraction) * self.force))

    def runs_slowed(self) -> bool:
        recents = ((times.recent(self.now), times.base) for times in self.runs.values())
        return any(recent and recent[len(recent) // 2] > SLOWED * base for recent, base in recents)

    def judge_health(self) -> None:
        """Checks hear that runs hardly end here any more, for whatever reason, and when that is over."""
        good = self.end is None and self.stuck < (STUCK if self.good else MENDED)
        if good != self.good:
            self.good = good
            self.notices.append(SetHealth(good))
            self.log(f"health {'good' if good else 'bad'}: runs take {self.stuck:.1f} times the usual")

    def close_idle(self) -> None:
        """Idle connections are closed where that costs less than the handshakes that it brings.

        In a flood all stay: a full table refuses what would cost a handshake and a reading before it is shed.
        """
        shed, could_serve = self.turned.total(self.now), self.could_serve() * WINDOWS
        self.storm = shed > self.honoured_number.total(self.now)
        bound, wait = (FLOOD_OVER, SHORT_WAIT) if self.flood else (FLOOD, UNREAD)
        self.flood = self.backlog > wait or 0 < could_serve * bound < shed
        if self.now < self.next_idle or len(self.returns.gaps) < 3 * FEW:
            return
        self.next_idle = self.now + SECOND
        limit = self.returns.cheapest_limit(HANDSHAKE_WORTH / max(0.01, self.use))
        self.reconnects = 2 * sum(gap > limit for gap in self.returns.gaps) > len(self.returns.gaps)
        idle = limit if limit < self.site.keepalive_timeout and not self.flood else 0
        if idle != self.idle:
            self.idle = idle
            self.notices.append(SetIdleTimeout(idle))

    def set_level(self) -> None:
        """Callers that heed it keep lower ranks away: up while more than a little is shed, else down."""
        much = self.hold and self.turned.total(self.now) > LEVEL_SHED * self.honoured_number.total(self.now)
        level = min(LEVEL_MOST, max(0.0, self.level + (LEVEL_STEP if much else -LEVEL_STEP / 2)))
        if self.site.sends_criticality and level != self.level:
            self.level = level
            self.notices.append(AdvertiseCriticality(level))

    def leave(self, end: int) -> None:
        self.shut, self.end = self.now + self.site.drain_grace, end
        self.log("leaving")
        self.judge_health()

    def log(self, text: str) -> None:
        self.notices.append(LogEvent(text))

    def settle(self) -> Iterator[tuple[Request, Event]]:
        """After each batch, who goes on: the final answers that are due, then calls, then starts."""
        yield from self.overdue()
        look = self.look and self.next_look <= self.now
        if look:
            yield from self.sweep()
        if self.queue and (look or self.next_call <= self.now):
            yield from self.next_calls()
        if self.hold:
            yield from self.starts()
