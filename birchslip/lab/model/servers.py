"""App servers of the model: the program's decisions, with what the program does around them played out.

What a stage of the program does to a transaction is done here in the same order (`net/stages/`), with no
link between them: labels are claimed, a run goes on the cores, a call goes below and comes back.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from ...admission.driver import AdmissionDriver
from ...admission.types import (
    Action,
    AdmissionSettings,
    AttachToOriginal,
    CallDownstream,
    CallEnded,
    CallerGone,
    CallNeeded,
    Event,
    Fail,
    Gauges,
    Outcome,
    Reject,
    ReleaseKey,
    Request,
    RequestState,
    RunEnded,
    ServerAction,
    SetHealth,
    SetIdleTimeout,
    SetTimer,
    SkipCall,
    StartRun,
    StopRun,
    StoreKey,
)
from ..cores import SECOND, Cores
from .below import Below, CallBelow
from .clock import Clock

if TYPE_CHECKING:
    from .routers import Try

STOP = 2 * SECOND  # from the notice to leave to the end, where nothing else is told


@dataclass(eq=False, slots=True)
class Label:
    """Of one label, for its window: who ran, and who waits for what comes of it."""

    original: Request
    until: int
    outcome: Outcome | None = None
    waiting: list[Request] = field(default_factory=list)


@dataclass(eq=False, slots=True)
class Run:
    """A transaction on this side of the door, and what is left of its run."""

    a_try: Try
    rest: int  # of its work, on one core
    calls: bool
    launched: bool = False
    launched_at: int = 0
    over: bool = False
    number: int = 0  # of the piece that is on the cores: one that was stopped does not end
    call: CallBelow | None = None


class AppServer:
    """`deployment` is what each of its lives is told; `answer` hears each final answer once."""

    def __init__(
        self,
        clock: Clock,
        name: str,
        site: str,
        deployment: AdmissionSettings,
        cores: Cores,
        below: Below,
        answer: Callable[[Try, str, int, bool], None],
    ) -> None:
        self.clock, self.name, self.site, self.deployment = clock, name, site, deployment
        self.cores, self.below, self.answer = cores, below, answer
        self.life = 0
        self.up = self.paused = self.leaving = self.good = False
        self.idle = -1
        self.counts: Counter[str] = Counter()
        self.seen: Callable[[Request], None] = lambda transaction: None
        self.answered: Callable[[Request, str, int], None] = lambda transaction, what, ran: None
        self.before: Callable[[], None] = lambda: None  # each batch: leases that have ended bind
        self.held: list[tuple[int, Callable[[], None]]] = []  # while it is paused, with the life it is for
        self.driver: AdmissionDriver | None = None

    # ---- lives -----------------------------------------------------------------------------------------

    def start(self, cold: bool) -> None:
        now = self.clock.now
        self.life += 1
        self.up, self.paused, self.leaving, self.good, self.idle = True, False, False, True, -1
        self.cores.start(now, cold)
        self.labels: dict[str, Label] = {}
        self.open: dict[Request, Run] = {}
        self.on_cores = 0
        self.began = now
        self.dozes = False
        self.held.clear()
        told = replace(self.deployment, starts_cold=cold, seed=self.deployment.seed + 7919 * self.life)
        self.driver = AdmissionDriver(told, now, self.carry, self.tell)

    def die(self) -> None:
        """At once: what it held is gone, and nobody hears of it but by the broken link."""
        self.up = self.paused = False
        self.life += 1
        self.driver = None
        self.below.drop(self.name)
        for run in self.open.values():
            self.answer(run.a_try, "cut", 0, False)
        self.open = {}
        self.on_cores = 0

    def pause(self) -> None:
        self.paused = True

    def resume(self) -> None:
        self.paused = False
        held, self.held = self.held, []
        for life, act in held:
            if life == self.life:
                act()

    def leave(self, stop: int = STOP) -> None:
        if self.driver is None or self.leaving:
            return
        self.leaving = True
        self.driver.advance_clock(self.clock.now)
        self.driver.drain(self.clock.now + stop)
        self.settle()

    @property
    def warm(self) -> bool:
        return self.up and (not self.cores.is_cold or self.clock.now - self.began >= self.cores.warm_up_span)

    @property
    def serving(self) -> bool:
        return self.up and not self.paused and not self.leaving

    def awake(self, act: Callable[[], None]) -> Callable[[], None]:
        """Nothing happens while it is paused, and nothing of an earlier life happens at all."""
        life = self.life

        def guarded() -> None:
            if life != self.life:
                return
            if self.paused:
                self.held.append((life, guarded))
            else:
                act()

        return guarded

    # ---- what comes in ---------------------------------------------------------------------------------

    def receive(self, a_try: Try) -> None:
        """What a router has sent; one that was on its way to an earlier life finds its link broken."""
        if a_try.life != self.life:
            self.answer(a_try, "cut", 0, False)
        else:
            self.awake(lambda: self.read(a_try))()

    def read(self, a_try: Try) -> None:
        now = self.clock.now
        if self.driver is None:
            return
        told = a_try.deed
        original = None
        if told.label:
            label = self.labels.get(told.label)
            if label is not None and label.until > now:
                original = label.original
        transaction = Request(
            told.profile,
            caller=a_try.router,
            arrived_at=min(now, a_try.at),
            deadline=max(now, a_try.due),
            size=told.size,
            tenant=told.tenant,
            original=original,
            is_retry=a_try.again,
        )
        run = self.open[transaction] = Run(a_try, told.work, told.calls)
        transaction.context = run
        self.seen(transaction)
        self.batch()
        if self.dozes:
            self.dozes = False
            self.tick(self.life)
        self.driver.admit(transaction)
        self.settle()

    def abort(self, a_try: Try) -> None:
        """Its caller waits no longer."""
        for transaction, run in self.open.items():
            if run.a_try is a_try:
                self.closed(transaction, run, "gone")
                self.hear(transaction, CallerGone())
                return

    def batch(self) -> None:
        assert self.driver is not None
        self.before()
        self.driver.advance_clock(self.clock.now)

    def hear(self, transaction: Request, event: Event) -> None:
        if self.driver is not None:
            self.batch()
            self.driver.deliver(transaction, event)
            self.settle()

    def settle(self) -> None:
        if self.driver is not None:
            self.driver.settle()

    # ---- what the decisions wish -----------------------------------------------------------------------

    def carry(self, transaction: Request, wish: Action) -> None:
        run: Run = transaction.context
        match wish:
            case StartRun():
                self.launch(transaction, run)
            case CallDownstream(limit):
                self.call(transaction, run, limit)
            case SkipCall():
                self.work(transaction, run)
            case AttachToOriginal():
                self.attach(transaction, run)
            case StopRun():
                if run.launched and not run.over:
                    self.clock.after(0, self.awake(lambda: self.end(transaction, run, Outcome.CANCELLED)))
            case StoreKey(span):
                label = run.a_try.deed.label
                self.labels[label] = Label(transaction, self.clock.now + span)
            case ReleaseKey():
                self.forget(run.a_try.deed.label, transaction)
            case Reject(after, last):
                self.close(transaction, run, "shed", after, last)
            case Fail():
                self.drop_call(run)
                self.close(transaction, run, "written_off")

    def tell(self, notice: ServerAction) -> None:
        match notice:
            case SetTimer(at):
                self.clock.at(at, self.tick, self.life)
            case SetHealth(good):
                self.good = good
            case SetIdleTimeout(span):
                self.idle = span

    def tick(self, life: int) -> None:
        """One that has nothing in hand sleeps until something comes: its ticks would change nothing."""
        if life != self.life or self.driver is None:
            return
        if self.paused:
            self.held.append((life, lambda: self.tick(life)))
            return
        metrics = self.driver.metrics()
        if not self.open and metrics.is_healthy and not metrics.plan_weight and not self.leaving:
            self.dozes = True
            return
        self.batch()
        self.driver.tick(Gauges(min(1.0, self.on_cores / self.cores.count)))
        self.settle()

    # ---- runs ------------------------------------------------------------------------------------------

    def launch(self, transaction: Request, run: Run) -> None:
        run.launched, run.launched_at = True, self.clock.now
        self.counts["launched"] += 1
        if run.calls:
            half = run.rest // 2
            run.rest -= half
            self.piece(transaction, run, half, self.wants_call)
        else:
            self.work(transaction, run)

    def work(self, transaction: Request, run: Run) -> None:
        self.piece(transaction, run, run.rest, self.done)

    def piece(self, transaction: Request, run: Run, span: int, then: Callable[[Request, Run], None]) -> None:
        """On the cores until it is over, as long as nobody stops it."""
        self.on_cores += 1
        run.number += 1
        number = run.number
        took = self.cores.compute_duration(self.clock.now, span, self.on_cores)

        def over() -> None:
            if run.number == number and not run.over:
                self.on_cores -= 1
                run.number += 1
                then(transaction, run)

        self.clock.after(max(1, took), self.awake(over))

    def wants_call(self, transaction: Request, run: Run) -> None:
        self.hear(transaction, CallNeeded())

    def call(self, transaction: Request, run: Run, limit: int) -> None:
        self.counts["called"] += 1

        def ended(outcome: Outcome) -> None:
            run.call = None
            life = self.awake(lambda: self.call_ended(transaction, run, outcome))
            life()

        run.call = self.below.ask(self.name, limit, ended)

    def call_ended(self, transaction: Request, run: Run, outcome: Outcome) -> None:
        if outcome is not Outcome.SERVED:
            self.counts["calls_bad"] += 1
        self.hear(transaction, CallEnded(outcome, 0))
        if outcome is Outcome.SERVED and not run.over and transaction.state is RequestState.RUNNING:
            self.work(transaction, run)

    def drop_call(self, run: Run) -> None:
        if run.call is not None:
            self.below.unask(run.call)
            run.call = None

    def done(self, transaction: Request, run: Run) -> None:
        self.end(transaction, run, Outcome.SERVED)

    def end(self, transaction: Request, run: Run, outcome: Outcome) -> None:
        """The run is over, however: all who wait for it hear what came of it."""
        if run.over:
            return
        if run.number % 2:
            self.on_cores -= 1  # it was on them
        run.over = True
        self.drop_call(run)
        label = self.labels.get(run.a_try.deed.label)
        waiting: list[Request] = []
        if label is not None and label.original is transaction:
            label.outcome = outcome
            waiting, label.waiting = label.waiting, []
        self.share(transaction, run, outcome)
        for repeat in waiting:
            if repeat in self.open:
                self.share(repeat, self.open[repeat], outcome)

    def share(self, transaction: Request, run: Run, outcome: Outcome) -> None:
        good = outcome is Outcome.SERVED
        self.close(transaction, run, "honoured" if good else "written_off")
        self.hear(transaction, RunEnded(outcome, 0))

    def attach(self, transaction: Request, run: Run) -> None:
        """It shares what the try that it repeats comes to, or has come to."""
        label = self.labels.get(run.a_try.deed.label)
        if label is None or label.outcome is not None:
            outcome = Outcome.FAILED if label is None or label.outcome is None else label.outcome
            self.clock.after(0, self.awake(lambda: self.share(transaction, run, outcome)))
        else:
            label.waiting.append(transaction)

    def forget(self, name: str, transaction: Request) -> None:
        label = self.labels.get(name)
        if label is None or label.original is not transaction:
            return
        del self.labels[name]
        for repeat in label.waiting:
            if repeat in self.open:
                run = self.open[repeat]
                self.clock.after(0, self.awake(lambda r=repeat, n=run: self.share(r, n, Outcome.FAILED)))  # type: ignore[misc]

    # ---- final answers ---------------------------------------------------------------------------------

    def close(self, transaction: Request, run: Run, what: str, after: int = 0, last: bool = False) -> None:
        if self.closed(transaction, run, what):
            self.answer(run.a_try, what, after, last)

    def closed(self, transaction: Request, run: Run, what: str) -> bool:
        """Whether this is the final answer: there is one, and none once the caller has gone."""
        if self.open.pop(transaction, None) is None:
            return False
        self.counts[what] += 1
        ran = self.clock.now - run.launched_at if run.launched else -1
        self.answered(transaction, what, ran)
        return True
