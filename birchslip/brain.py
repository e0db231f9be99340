"""All decisions of birchslip. `docs/design.md` says why; the types are in `interface.py`.

`driver.py` makes one `Brain` for each app server. It sets the time with `clock`, makes a generator of `path`
for each transaction read and resumes it with what happens to it, passes on `tick` and `leave`, and after each
batch resumes whom `settle` names. Two Brains share nothing; the same events bring the same decisions.
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
from .interface import (
    NEVER_RAN, SECOND, Advertise, Attach, Below, Call, CallEnded, Deployment, Ended, Event, Forget, Gauges,
    GiveUp, Go, Gone, Halt, Health, Idle, Kind, Log, NeedsCall, Notice, Outcome, Override, Place, Profile,
    Refusal, Remember, Shed, SkipCall, Start, Stop, Tick, Transaction, Wait, Wish, WriteOff,
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


class Ring:
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


class Times:
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


class CostHint:
    """How closely run times follow told costs: time ~ cost ** power, by least squares within each profile.

    A rough hint says less than it seems to: what is told as large is large by the hint's error, too.
    """

    def __init__(self, profiles: list[Profile]) -> None:
        self.means = {profile: (0, 0.0, 0.0) for profile in profiles}
        self.variance = self.covariance = HINT_PRIOR
        self.power = 1.0

    def add(self, profile: Profile, cost: int, took: float) -> None:
        number, cost_mean, took_mean = self.means[profile]
        number = min(number + 1, HINT_RUNS)
        from_cost, from_took = log(max(1, cost)) - cost_mean, log(max(1.0, took)) - took_mean
        self.means[profile] = (number, cost_mean + from_cost / number, took_mean + from_took / number)
        self.variance += from_cost * from_cost * (1 - 1 / number) - self.variance / HINT_RUNS
        self.covariance += from_cost * from_took * (1 - 1 / number) - self.covariance / HINT_RUNS
        self.power = min(1.0, max(0.0, self.covariance / max(1e-9, self.variance)))

    def factor(self, profile: Profile, cost: int) -> float:
        """The time that such a cost stands for, against the profile's usual one."""
        return exp(self.power * (log(max(1, cost)) - self.means[profile][1]))


class Meter:
    """The source's sensor for one caller or tenant."""

    def __init__(self, told: float = 0.0) -> None:
        self.ring, self.asked = Ring(WINDOWS, WINDOW), Ring(WINDOWS, WINDOW)
        self.told, self.heard = told, 0
        self.planned = 0.0  # the quota of the plan in force, 0 where it names none

    def delay(self, now: int, quota: float) -> int:
        """delay = (window total - bound) / quota per second."""
        if quota <= 0:
            return 0
        bound = quota * SPAN / SECOND
        return max(0, ceil((self.ring.total(now) - bound) / quota * SECOND))


class Brain:
    """The decisions of one app server."""

    def __init__(self, deployment: Deployment, now: int) -> None:
        self.site = deployment
        self.now = self.started = now
        self.notices: list[Notice] = [Health(True), Tick(now + TICK)]
        self.chance, self.serial, self.logged = deployment.seed, 0, now
        # the source's windows
        self.callers: dict[int, Meter] = {}
        self.tenants = {tenant: Meter(tenant.quota / deployment.fleet) for tenant in deployment.tenants}
        self.honoured, self.honoured_number = Ring(WINDOWS, WINDOW), Ring(WINDOWS, WINDOW)
        self.crowded = self.busy = self.storm = self.flood = self.reconnects = self.look = False
        # the hold, the cores and the calls below
        self.limit = float(deployment.cores)
        self.limit_moved = self.limit_cut = self.next_call = self.next_idle = now
        self.hold: list[tuple[int, int, Transaction]] = []
        self.queue: list[tuple[bool, int, int, Transaction]] = []
        self.on_cores: dict[Transaction, None] = {}
        self.lingering: list[int] = []
        self.in_hand = self.begun = 0
        # what things take
        self.runs, self.calls_made = ({p: Times() for p in deployment.profiles} for _ in range(2))
        self.all_runs, self.calls, self.hint = Times(), Times(), CostHint(deployment.profiles)
        self.calls_took, self.calls_ended = Ring(WINDOWS, PACE_SLICE), Ring(WINDOWS, PACE_SLICE)
        pace_slice = PACE_SLICE * deployment.cores
        self.spent, self.done = Ring(WINDOWS, pace_slice), Ring(WINDOWS, pace_slice)
        self.call_time, self.level, self.core_clock, self.memory, self.next_look = 0.0, 0.0, 0, 0, 0
        self.stretch = self.stuck = self.allowed = self.use = 1.0
        # memory, labels, health and drain
        self.labels: list[tuple[int, int, Transaction]] = []
        self.watch: list[tuple[int, int, Transaction]] = []
        self.turned, self.shed_ages = (Ring(WINDOWS, WINDOW) for _ in range(2))
        self.returns = CallerReturns(now, deployment.keepalive, deployment.callers)
        self.good, self.idle, self.backlog, self.shut = True, -1, 0, inf
        self.end: int | None = None
        # the plan of the fleet, how far it holds still, and the share of the calls below
        self.plan, self.visiting = Override(0, 0, now, 1), Meter()
        self.force, self.calls_share = 0.0, deployment.calls_share
        # what a store of results still takes, where there is one, from when on that is little, until when
        self.labels_left, self.labels_scarce, self.labels_wait = inf, 0, 0

    # ---- the path of a transaction ---------------------------------------------------------------------

    def path(self, tx: Transaction) -> Generator[Wish, Any, None]:
        """The ordinary path, from the reading to the final answer."""
        self.take_in(tx)
        if tx.original is not None and (tx.original.has_run or tx.original.place is not Place.ENDED):
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
            yield self.shed(tx, 0 if tx.meter.told and tx.meter is not self.visiting else delay)
            return
        self.enter_hold(tx, delay)
        if tx.profile.kind is Kind.LABELLED:
            yield Remember(tx.profile.window)
        event = yield Wait()
        self.hold.remove((tx.by, tx.serial, tx))
        if not isinstance(event, Go):
            self.uncount(tx)
            self.weigh(tx, 0)
            tx.place = Place.ENDED
            if tx.profile.kind is Kind.LABELLED:
                self.forget(tx)
                yield Forget()
            if isinstance(event, GiveUp):
                yield self.shed(tx)
            return
        tx.has_run = True
        self.begun += 1
        self.weigh(tx, ceil(tx.size * self.site.run_factor))
        self.to_cores(tx)
        event = yield Start()
        while not isinstance(event, Ended):
            if isinstance(event, NeedsCall):
                event = yield from self.call_below(tx)
            else:
                event = yield from self.cut_off(tx, event)
        self.off_cores(tx)
        self.begun -= 1
        self.weigh(tx, 0)
        tx.place = Place.ENDED
        self.learn(tx, event)

    def repeat(self, tx: Transaction) -> Generator[Wish, Any, None]:
        """A repeat of what is held, runs or has run shares that outcome: no effect and no work twice."""
        if self.memory + tx.size > self.site.memory:
            yield WriteOff()
            return
        self.weigh(tx, tx.size)
        tx.place = Place.ATTACHED
        self.watch_over(tx)
        event = yield Attach()
        tx.place = Place.ENDED
        self.weigh(tx, 0)
        if isinstance(event, GiveUp):
            yield WriteOff()

    def call_below(self, tx: Transaction) -> Generator[Wish, Any, Event]:
        """Wait for a turn, call, and go on; where it can't fit, leave the call out or end the transaction."""
        self.off_cores(tx)
        tx.place = Place.CALL_QUEUE
        # Calls that can't be left out go first: the others earn a part all the same.
        place = (tx.profile.skip_payoff > 0, tx.by, tx.serial, tx)
        insort(self.queue, place)
        event: Event = yield Wait()
        self.queue.remove(place)
        if isinstance(event, Go):
            tx.place = Place.CALLING
            self.in_hand += 1
            limit = self.call_limit(tx)
            tx.call_at = self.now
            tx.calls += 1
            event = yield Call(limit)
            while isinstance(event, GiveUp | Gone):
                event = yield from self.cut_off(tx, event)
            self.call_over(tx, event)
        if isinstance(event, CallEnded) and event.outcome is Outcome.HONOURED:
            self.to_cores(tx)
            event = yield Wait()
            return event
        if isinstance(event, CallEnded) and self.may_call_again(tx, event.outcome):
            return NeedsCall()
        if isinstance(event, CallEnded | GiveUp):
            if tx.profile.skip_payoff > 0 and not tx.answered and self.now < tx.due - TICK:
                self.to_cores(tx)
                event = yield SkipCall()
                return event
            return (yield from self.cut_off(tx, GiveUp()))
        return event

    def cut_off(self, tx: Transaction, event: Event) -> Generator[Wish, Any, Event]:
        """The final answer of one that has begun, at once; its run is stopped where that frees something."""
        if isinstance(event, GiveUp) and not tx.answered:
            tx.answered = True
            yield WriteOff()
        elif isinstance(event, Gone):
            tx.answered = True
        # A labelled run goes on: its repeat shares its outcome, and a stopped one may not start again.
        if tx.answered and tx.place is Place.CORES and self.may_stop(tx):
            yield Stop()
        event = yield Wait()
        return event

    # ---- quota: the source's windows and delay ---------------------------------------------------------

    def meter(self, tx: Transaction) -> Meter:
        """Its tenant's, where a quota is told, or else its caller's."""
        # The last heard stands last, so that the tick finds those who have fallen silent at the head.
        meter = self.callers.pop(tx.caller) if tx.caller in self.callers else Meter()
        self.callers[tx.caller] = meter
        meter.heard = self.now
        self.returns.hear(tx.caller, self.now)
        if self.force and tx.caller in self.plan.visitors:
            return self.visiting
        return self.tenants[tx.tenant] if tx.tenant is not None and tx.tenant.quota > 0 else meter

    def count(self, tx: Transaction) -> int:
        """Count it in the windows; the delay that they ask for while the quota binds."""
        meter = tx.meter = self.meter(tx)
        tx.counted_at = self.now
        for ring in (meter.ring, meter.asked):
            ring.add(self.now, 1 if meter.told else tx.size)
        # A derived quota is learned over one full window; a told one is known at once.
        binds = self.crowded and (meter.told or self.now - self.started >= SPAN)
        return meter.delay(self.now, self.quota(meter)) if binds else 0

    def uncount(self, tx: Transaction) -> None:
        """What never ran is taken out again, or a caller that goes on asking would be shut out whole."""
        tx.meter.ring.take(self.now, tx.counted_at, 1 if tx.meter.told else tx.size)

    def quota(self, meter: Meter) -> float:
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

    def heaviness(self, tx: Transaction) -> float:
        """What its caller asked for, shed or not, beyond what chance alone explains, against its quota."""
        asked = tx.meter.asked.total(self.now)
        beyond_chance = max(0.0, asked - sqrt(asked * (1 if tx.meter.told else tx.size)))
        return float(beyond_chance / (tx.meter.told or max(1.0, self.quota(tx.meter))))

    # ---- the plan of the fleet: quotas told anew while in service --------------------------------------

    def take_over(self, plan: Override) -> bool:
        """A plan comes into force, or the one in force is told on; an older or late one changes nothing."""
        age, held = (plan.epoch, plan.number), (self.plan.epoch, self.plan.number)
        if age < held or (age == held and plan.until <= self.plan.until):
            return False
        news = not self.force or any(
            getattr(plan, part) != getattr(self.plan, part) for part in ("level", "short", "visitors")
        )
        if plan.visitors - self.plan.visitors or not self.force:
            # As if they had been here at their quota all along: they come all at once, and not to an empty
            # window.
            self.visiting = Meter()
            for ago in range(WINDOWS):
                self.visiting.ring.add(
                    self.now - (WINDOWS - 1 - ago) * WINDOW, ceil(plan.visits * WINDOW / SECOND)
                )
        self.plan, self.visiting.told = plan, max(0.1, plan.visits)
        for tenant, meter in self.tenants.items():
            meter.planned = plan.quotas.get(tenant, 0.0)
        self.weaken()
        if news:
            self.log(
                f"plan {plan.epoch}.{plan.number} in force: level {plan.level:.2f}, "
                f"visitors {sorted(plan.visitors)}, short {plan.short}"
            )
        return True

    def weaken(self) -> None:
        """A plan that is not told on fades out: at once, all that it kept away would come in one step."""
        left = 1 - (self.now - self.plan.until) / self.plan.fade
        force = min(1.0, max(0.0, left))
        if self.force and not force:
            self.log(f"plan {self.plan.epoch}.{self.plan.number} has run out")
        self.force = force

    def refusal(self, tx: Transaction) -> tuple[int, float, bool]:
        """Who goes first: by the order of the plan in force, then who has come furthest against its quota."""
        heavy = self.heaviness(tx)
        if not self.force:
            return 0, heavy, tx.again
        visits, order = tx.caller in self.plan.visitors, self.plan.order
        for place, kind in enumerate(order):
            # Of one kind those from the lost site go before those at home.
            rank = 2 * (len(order) - place) + visits
            if kind is Refusal.BEYOND and tx.meter.delay(self.now, self.quota(tx.meter)):
                return rank, heavy, tx.again
            if kind is Refusal.AGAIN and tx.again:
                return rank, heavy, True
            if kind is Refusal.VISITOR and visits:
                # By payoff per work: the least goes first.
                return rank, self.typical(tx) / max(1e-9, tx.profile.payoff), tx.again
        return 0, heavy, tx.again

    # ---- the hold --------------------------------------------------------------------------------------

    def take_in(self, tx: Transaction) -> None:
        """By when it is wanted; a further try, whose age does not show, is as old as sheds here have been."""
        self.serial = tx.serial = self.serial + 1
        self.backlog = self.now - tx.arrived
        spent = tx.again and self.shed_age()
        tx.by = min(tx.due, tx.arrived + tx.profile.goal - int(spent))

    def shed_age(self) -> float:
        return self.shed_ages.total(self.now) / max(1, self.turned.total(self.now))

    def has_room(self, tx: Transaction) -> bool:
        """Not past the grace of a drain, and within the memory, what its label will take included."""
        if tx.arrived > self.shut:
            return False
        label = self.site.key_size if tx.profile.kind is Kind.LABELLED else 0
        return self.memory + tx.size + label <= MEMORY_USED * self.site.memory

    def may_keep(self, tx: Transaction) -> bool:
        """Whether what comes of it can be kept: the last of the room is not for who is past its quota, nor
        for who has had more of its quota than all have together, so that no surge fills the store."""
        if tx.profile.kind is not Kind.LABELLED or self.labels_left > self.labels_scarce:
            return True
        if self.labels_left < 1 or tx.meter.delay(self.now, self.quota(tx.meter)):
            return False
        # A store may hold less than one quota's window: nobody need be past its own when it is full.
        heard = [peer for peer in self.tenants.values() if peer.ring.total(self.now) > 0]
        had, told = sum(peer.ring.sum for peer in heard), sum(peer.told for peer in heard)
        return not tx.meter.told or bool(tx.meter.ring.sum * told <= had * tx.meter.told)

    def typical(self, tx: Transaction) -> float:
        """The time on a core that one like it usually takes, from its cost where that is told."""
        return self.runs[tx.profile].usual * self.hint.factor(tx.profile, tx.work)

    def rest(self, tx: Transaction) -> float:
        return max(0.0, self.typical(tx) * self.stretch - tx.core_time)

    def needs(self, tx: Transaction) -> float:
        """The time from its start to its answer, as things go now: cores, calls and the wait for a call."""
        # A high run time: begun with the usual one left, run after run is stopped half-way, as times scatter.
        call = self.call_time * (1 + len(self.queue) / self.allowed)
        run = self.runs[tx.profile].high * self.hint.factor(tx.profile, tx.work) * self.stretch
        return run + self.calls_made[tx.profile].usual * call

    def wanted(self, tx: Transaction) -> int:
        return tx.by if self.end is None else min(tx.by, self.end - 2 * TICK)

    def least(self, tx: Transaction, before: int) -> float:
        """The time it is tried at with so many before it.

        On empty cores none, whatever the figures say, for nothing else would mend them; where a core is free
        its base time, while the pace is usual; else what it needs.
        """
        if before < int(self.limit) and (not before or self.stretch < STEADY):
            return self.runs[tx.profile].base * self.hint.factor(tx.profile, tx.work) if before else 0.0
        return self.needs(tx)

    def fits(self, tx: Transaction, delay: float) -> bool:
        needed = self.needs(tx) if delay else self.least(tx, len(self.on_cores) + len(self.hold))
        return self.now + delay + needed < self.wanted(tx)

    def enter_hold(self, tx: Transaction, delay: int) -> None:
        tx.place = Place.HOLD
        tx.ready = self.now + delay
        self.look = True
        insort(self.hold, (tx.by, tx.serial, tx))
        self.weigh(tx, tx.size)
        self.watch_over(tx)
        if tx.profile.kind is Kind.LABELLED:
            self.memory += self.site.key_size
            tx.remembered = True
            heapq.heappush(self.labels, (self.now + tx.profile.window + TICK, tx.serial, tx))

    def forget(self, tx: Transaction) -> None:
        if tx.remembered:
            tx.remembered = False
            self.memory -= self.site.key_size

    def weigh(self, tx: Transaction, size: int) -> None:
        self.memory += size - tx.memory
        tx.memory = size

    def watch_over(self, tx: Transaction) -> None:
        heapq.heappush(self.watch, (tx.due - TICK, tx.serial, tx))

    def shed(self, tx: Transaction, delay: float = 0) -> Shed:
        """It says when to come back; in overload and in a storm of tries, also not to try elsewhere."""
        # A visitor past its quota goes at the door: that says nothing of how old sheds are that were held.
        age = self.shed_age() if tx.meter is self.visiting else self.now - tx.arrived
        self.turned.add(self.now, 1)
        self.shed_ages.add(self.now, int(age))
        if not self.site.advises:
            return Shed()
        wait = max(delay, self.wait_for_core(), self.backlog, TICK) if self.good else self.site.longest_advice
        # A linear congruential generator; its high bits spread the moments at which callers come back.
        self.chance = (self.chance * 6364136223846793005 + 1442695040888963407) % (1 << 64)
        after = min(ceil(wait * (0.75 + (self.chance >> 40) / (1 << 25))), self.site.longest_advice)
        # Where the plan says that no app server has room, a try elsewhere is a try in vain.
        full = self.crowded or self.storm or self.reconnects or (self.plan.short and self.force > 0)
        return Shed(after, full and self.stretch < SLOWED)

    def wait_for_core(self) -> float:
        full = len(self.on_cores) >= int(self.limit)
        return self.all_runs.usual * self.stretch / self.limit if full else 0.0

    def sweep(self) -> Iterator[tuple[Transaction, Event]]:
        """What can no longer be answered in time is answered at once, not kept.

        Where the hold, run in due order, would leave one behind, the transaction that goes is one of the
        caller that has come furthest against its quota, of those up to the one left behind.
        """
        self.look, self.next_look = False, self.now + LOOK
        ahead = self.wait_for_core()
        kept: list[Transaction] = []
        lost: list[Transaction] = []
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
            yield tx, GiveUp()

    def starts(self) -> Iterator[tuple[Transaction, Event]]:
        """Held transactions start by due time, those under a delay once it has passed or binds no more."""
        # All that has begun may come back to the cores at once; while they show room, calls keep it away.
        bound = min(CROWD_USED * self.crowd(), BEGUN * self.limit if self.busy else inf)
        while len(self.on_cores) < int(self.limit) and self.begun < bound:
            tx = next((t for _, _, t in self.hold if t.ready <= self.now or not self.crowded), None)
            if tx is None:
                return
            if self.memory + tx.size * (self.site.run_factor - 1) > MEMORY_USED * self.site.memory:
                return
            yield tx, Go()

    def crowd(self) -> float:
        """How many on the cores the app server survives; while it warms up, fewer."""
        grown = min(1.0, (self.now - self.started) / max(1, self.site.cold_span)) if self.site.cold else 1.0
        warm = self.site.cold_from + (1 - self.site.cold_from) * grown
        return (1 + (self.site.crowd_multiple - 1) * warm) * self.site.cores

    # ---- runs ------------------------------------------------------------------------------------------

    def to_cores(self, tx: Transaction) -> None:
        tx.place = Place.CORES
        tx.on_since = self.now
        self.on_cores[tx] = None

    def off_cores(self, tx: Transaction) -> None:
        if tx in self.on_cores:
            del self.on_cores[tx]
            tx.core_time += self.now - tx.on_since

    def learn(self, tx: Transaction, ended: Ended) -> None:
        """Run times without the calls; a stopped run counts as far as it got."""
        typical = self.typical(tx)
        if ended.outcome not in (Outcome.HONOURED, Outcome.ERRED):
            self.done.add(self.core_clock, min(tx.core_time, ceil(typical)))
            return
        self.hint.add(tx.profile, tx.work, tx.core_time)
        self.runs[tx.profile].add(self.now, tx.core_time / self.hint.factor(tx.profile, tx.work))
        self.calls_made[tx.profile].add(self.now, tx.calls)
        self.all_runs.add(self.now, tx.core_time)
        self.done.add(self.core_clock, ceil(typical) or tx.core_time)
        if ended.outcome is Outcome.HONOURED and not tx.answered:
            self.honoured.add(self.now, tx.size)
            self.honoured_number.add(self.now, 1)

    def may_stop(self, tx: Transaction) -> bool:
        return self.site.halt is not Halt.OFF and tx.profile.kind is Kind.REDOABLE

    def overdue(self) -> Iterator[tuple[Transaction, Event]]:
        """No transaction is lost: what has no answer at its due time or the process's end gets one."""
        ending = self.end is not None and self.now >= self.end - 2 * TICK
        while self.watch and (ending or self.watch[0][0] <= self.now):
            tx = heapq.heappop(self.watch)[2]
            if tx.place is not Place.ENDED and not tx.answered:
                yield tx, GiveUp()
        if self.hold and self.site.halt is not Halt.OFF:
            # A run past its latency goal earns nothing: while others wait for its core, it gives way to them.
            for tx in [t for t in self.on_cores if self.now >= t.by and not t.profile.late_payoff]:
                if not tx.answered and self.may_stop(tx):
                    yield tx, GiveUp()

    # ---- calls below -----------------------------------------------------------------------------------

    def allowed_calls(self) -> float:
        """How many calls may be in hand: the share told, less as they take longer than their base."""
        shared = self.site.below is Below.SHARED
        own = max(0.01, self.calls_share) if shared else CROWD_USED * self.crowd()
        if not self.call_time or not self.calls.base:
            return own
        return max(min(1.0, own), own * CALLS_KEPT, own * min(1.0, self.calls.base / self.call_time))

    def next_calls(self) -> Iterator[tuple[Transaction, Event]]:
        """Calls go out in turn at a rate that follows their recent time; abandoned ones count too.

        A call that can't fit is left out where a part of the payoff is still earned.
        """
        while self.lingering and self.lingering[0] <= self.now:
            heapq.heappop(self.lingering)
        space = self.call_time / (allowed := self.allowed_calls())
        for place, (*_, tx) in enumerate(list(self.queue)):
            answer_at = self.now + place * space + CALL_ROOM * self.call_time + self.rest(tx)
            no_time = tx.profile.skip_payoff and self.call_time and answer_at >= self.wanted(tx)
            if no_time or (self.now >= tx.by and not tx.profile.late_payoff):
                yield tx, GiveUp()
            elif self.in_hand + len(self.lingering) + 1 <= max(1.0, allowed) and self.next_call <= self.now:
                self.next_call = max(self.next_call, self.now - TICK) + ceil(space)
                yield tx, Go()

    def call_limit(self, tx: Transaction) -> int:
        left = tx.due - self.now - TICK
        if tx.profile.skip_payoff:
            left = min(left, self.wanted(tx) - self.now - ceil(self.rest(tx)))
        if self.site.below is Below.SHARED and self.calls_share < 1:
            # A share under one call: one alone may not fill the span by itself.
            left = min(left, ceil(self.calls_share * self.site.calls_span) - self.site.linger)
        return max(10, left)

    def call_over(self, tx: Transaction, event: Event) -> None:
        self.in_hand -= 1
        took = self.now - tx.call_at
        if not isinstance(event, CallEnded) or event.outcome is Outcome.OVERDUE:
            heapq.heappush(self.lingering, self.now + self.site.linger)
            took += self.site.linger
        elif event.outcome is not Outcome.HONOURED:
            # A refused or cut call says that what lies below is in trouble, however quickly it says so.
            took = max(took, ceil(2 * self.call_time))
        self.calls.add(self.now, took)
        self.calls_took.add(self.now, took)
        self.calls_ended.add(self.now, 1)
        share = self.allowed_calls()
        if share < 1:
            self.next_call = max(self.next_call, tx.call_at + ceil(took / share))

    def may_call_again(self, tx: Transaction, outcome: Outcome) -> bool:
        """Where the earlier call is known not to have run, or was cut and may be made twice."""
        cut = outcome is Outcome.SEVERED and tx.profile.kind is Kind.REDOABLE
        return (outcome in NEVER_RAN or cut) and not tx.answered and self.now < tx.by

    # ---- time, health and drain ------------------------------------------------------------------------

    def clock(self, now: int) -> None:
        # The pace is kept over core time: a slow spell is not forgotten while little runs.
        spent = len(self.on_cores) * (now - self.now)
        self.core_clock += spent + now - self.now
        self.spent.add(self.core_clock, spent)
        self.now = now

    def tick(self, gauges: Gauges) -> None:
        now, self.look = self.now, True
        self.notices.append(Tick(now + TICK))
        while self.callers and next(iter(self.callers.values())).heard <= now - SPAN:
            del self.callers[next(iter(self.callers))]
        self.returns.forget(now)
        while self.labels and self.labels[0][0] <= now:
            self.forget(heapq.heappop(self.labels)[2])
        if self.all_runs.number >= 3 * self.site.cores:
            spent, done = self.spent.total(self.core_clock), self.done.total(self.core_clock)
            few, some = FEW * self.all_runs.usual, 3 * FEW * self.all_runs.usual
            # A run that goes on is no sign of trouble until it is past what it usually takes.
            going = ((tx.core_time + now - tx.on_since, self.typical(tx)) for tx in self.on_cores)
            self.stretch = (spent + some) / (done + some)
            overdue = spent - sum(took for took, usual in going if took < usual)
            self.stuck = (overdue + few) / (done + few)
        ended = self.calls_ended.total(now)
        self.call_time = self.calls_took.total(now) / ended if ended else self.calls.usual
        self.allowed = self.allowed_calls()
        used = len(self.on_cores) >= int(self.limit) if gauges.cores_used is None else gauges.cores_used
        self.busy = used >= BUSY
        self.use += (used - self.use) * TICK / SPAN
        # What waited unread has waited as well; by the time it is read it may be too late to be held.
        waits = max((now - tx.ready for _, _, tx in self.hold), default=0)
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
        if self.force and self.plan.level < 1:
            # Let back in by steps: only so many of its cores as the plan says, and more as the plan fades.
            self.limit = max(1.0, cores * (1 - (1 - self.plan.level) * self.force))

    def runs_slowed(self) -> bool:
        recents = ((times.recent(self.now), times.base) for times in self.runs.values())
        return any(recent and recent[len(recent) // 2] > SLOWED * base for recent, base in recents)

    def judge_health(self) -> None:
        """Checks hear that runs hardly end here any more, for whatever reason, and when that is over."""
        good = self.end is None and self.stuck < (STUCK if self.good else MENDED)
        if good != self.good:
            self.good = good
            self.notices.append(Health(good))
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
        idle = limit if limit < self.site.keepalive and not self.flood else 0
        if idle != self.idle:
            self.idle = idle
            self.notices.append(Idle(idle))

    def set_level(self) -> None:
        """Callers that heed it keep lower ranks away: up while more than a little is shed, else down."""
        much = self.hold and self.turned.total(self.now) > LEVEL_SHED * self.honoured_number.total(self.now)
        level = min(LEVEL_MOST, max(0.0, self.level + (LEVEL_STEP if much else -LEVEL_STEP / 2)))
        if self.site.levels and level != self.level:
            self.level = level
            self.notices.append(Advertise(level))

    def leave(self, end: int) -> None:
        self.shut, self.end = self.now + self.site.grace, end
        self.log("leaving")
        self.judge_health()

    def log(self, text: str) -> None:
        self.notices.append(Log(text))

    def settle(self) -> Iterator[tuple[Transaction, Event]]:
        """After each batch, who goes on: the final answers that are due, then calls, then starts."""
        yield from self.overdue()
        look = self.look and self.next_look <= self.now
        if look:
            yield from self.sweep()
        if self.queue and (look or self.next_call <= self.now):
            yield from self.next_calls()
        if self.hold:
            yield from self.starts()
