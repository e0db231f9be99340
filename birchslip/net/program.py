"""The program: it puts peers and stages together and goes through its phases, from start to exit."""

from __future__ import annotations

import os
import resource
import signal
import socket
import time
from collections.abc import Callable
from dataclasses import asdict, replace
from enum import Enum
from typing import Any, Protocol

from ..admission.driver import AdmissionDriver
from ..admission.log_events import DrainStarted, HealthChanged, PlanApplied, PlanExpired, QuotasBind
from ..admission.types import (
    Gauges,
    Outcome,
    ServerAction,
    SetHealth,
    SetIdleTimeout,
    SetTimer,
)
from ..errors import InvalidInputError
from .bounds import bounds
from .catalog import Catalog
from .clients import Clients
from .counters import Counters
from .idempotency_table import IdempotencyTable
from .log import Log
from .request_context import IdempotencyEntry, RequestContext, RunResult
from .scheduler import READ, Scheduler
from .servers import Agent
from .site import RELOADABLE_FIELDS, ServerConfig, read_config
from .stages.action_dispatcher import ActionDispatcher
from .stages.admission_stage import AdmissionStage
from .stages.downstream_caller import DownstreamCaller
from .stages.request_decoder import RequestDecoder
from .stages.response_recorder import ResponseRecorder
from .stages.run_dispatcher import ResultKeeper, RunDispatcher
from .vault import Vault

SAMPLE_AHEAD = 50  # gauges are asked for 5 ms before the tick that reads them
END_AHEAD = 800  # all that is open is answered 80 ms before the process would be killed
LAST = 250  # and closed 25 ms before, whoever has not read it
LAST_WAIT = 10_000  # routers are waited for a second, where there is the time
SHUT_AHEAD = 3_000  # and routers hear it 300 ms before, however long the grace
AGAIN = 1_000  # a task that had a fault begins again after 100 ms
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)


class Phase(Enum):
    STARTING = "starting"  # listening, checks are answered; the agent has not greeted yet
    SERVING = "serving"
    DRAINING = "draining"  # told to leave: what comes within the grace is taken as before
    SHUT = "shut"  # the grace is over: nobody new, all that was read is answered
    CLOSING = "closing"  # all is answered; what is written goes out
    ENDED = "ended"


MOVES = {
    Phase.STARTING: (Phase.SERVING, Phase.CLOSING),
    Phase.SERVING: (Phase.DRAINING,),
    Phase.DRAINING: (Phase.SHUT, Phase.CLOSING),
    Phase.SHUT: (Phase.CLOSING,),
    Phase.CLOSING: (Phase.ENDED,),
    Phase.ENDED: (),
}


class Companion(Protocol):
    """What stands beside one app server for its fleet; without one nothing here is any different."""

    driver: AdmissionDriver | None
    status: Any
    on_listing_changed: Callable[[], None]

    def start(self) -> None: ...
    def record_arrival(self, context: RequestContext) -> None: ...
    def record_answer(self, context: RequestContext, what: str) -> None: ...
    def apply_lease(self) -> None: ...
    def update_listing(self) -> bool: ...


class Keep(ResultKeeper, Protocol):
    """Kept results, as the program has them beside it; off without a file of the operators'."""

    def set_resolution_listener(self, listener: Callable[[IdempotencyEntry, RunResult], None]) -> None: ...
    def start(self) -> None: ...
    def close(self) -> None: ...
    def capacity(self) -> tuple[int, int, int]: ...
    def health(self) -> dict[str, str]: ...
    def find_earlier_result(self, context: RequestContext) -> IdempotencyEntry | None: ...
    def complete_earlier_run(self, run_id: str, outcome: Outcome, result: bytes) -> None: ...


def memory(what: str = "VmRSS") -> int:
    """Resident memory in KB, or its peak (`VmHWM`); the usage record would count the parent too."""
    with open("/proc/self/status", encoding="ascii") as status:
        return next((int(line.split()[1]) for line in status if line.startswith(f"{what}:")), 0)


class Program:
    def __init__(self, site: ServerConfig) -> None:
        self.site = site
        self.phase = Phase.STARTING
        self.stops_at = self.last_moment = 0
        self.scheduler = Scheduler(self.settle, self.fault)
        self.log = Log(self.scheduler, site.name)
        self.counters = Counters()
        scheduler, counters, log = self.scheduler, self.counters, self.log
        descriptors = min(site.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        self.bounds = bounds(site.memory_bytes, memory() << 10, descriptors)
        # peers
        self.clients = Clients(scheduler, counters, log, self.bounds)
        self.agent = Agent(scheduler, counters, log, site.agent, site.gauge_names, self.bounds.orders)
        self.vault = Vault(scheduler, counters, log, site.vault, self.bounds.calls)
        self.catalog = Catalog(scheduler, counters, log, site.catalog, site.name, self.passing)
        # stages
        self.idempotency_table = IdempotencyTable(
            max(profile.deadline for profile in site.settings.request_classes)
        )
        self.request_decoder = RequestDecoder(
            scheduler, counters, log, site.settings, site.class_names, site.tenant_names
        )
        self.admission_stage = AdmissionStage(scheduler, counters, self.idempotency_table)
        self.response_recorder = ResponseRecorder(counters, log, self.idempotency_table, self.admission_stage)
        self.downstream_caller = DownstreamCaller(
            scheduler, counters, self.agent, self.vault, self.admission_stage
        )
        self.run_dispatcher = RunDispatcher(
            counters,
            log,
            self.agent,
            self.idempotency_table,
            self.admission_stage,
            self.downstream_caller,
            self.response_recorder,
        )
        self.action_dispatcher = ActionDispatcher(
            scheduler,
            self.idempotency_table,
            self.run_dispatcher,
            self.downstream_caller,
            self.response_recorder,
        )
        # who hears whom
        self.clients.on_request, self.clients.gone = self.request_decoder, self.gone
        self.clients.given_up = self.given_up
        self.request_decoder.submit, self.request_decoder.register = (
            self.admission_stage.submit,
            self.response_recorder.open,
        )
        self.request_decoder.is_id_in_use = self.in_use
        self.admission_stage.perform, self.admission_stage.announce = (
            self.action_dispatcher.perform,
            self.tell,
        )
        self.admission_stage.on_not_ready, self.admission_stage.on_fault = (
            self.response_recorder.send_rejection,
            self.response_recorder.handle_fault,
        )
        self.admission_stage.on_key_mismatch = self.response_recorder.send_error
        guard = self.response_recorder.guard
        self.agent.on_handshake, self.agent.on_call_needed = (
            self.greeted,
            guard(self.downstream_caller.on_call_needed),
        )
        self.agent.on_run_ended, self.agent.on_outcome_unknown = (
            guard(self.run_dispatcher.on_run_ended),
            guard(self.run_dispatcher.mark_outcome_unknown),
        )
        self.agent.on_launch_refused = guard(self.run_dispatcher.on_launch_refused)
        self.vault.on_call_ended = guard(self.downstream_caller.on_call_ended)
        self.downstream_caller.guarded_on_timeout = guard(self.downstream_caller.on_timeout)
        self.signals, self.wakeup = socket.socketpair()
        self.companion: Companion | None = None
        self.keeper: Keep | None = None

    def accompany(self, companion: Companion) -> None:
        """Before `run`: the fleet's side of it."""
        self.companion = companion
        companion.on_listing_changed = self.catalog.report_now
        taken = self.request_decoder.submit

        def seen(context: RequestContext) -> None:
            taken(context)
            self.scheduler.guard(lambda: companion.record_arrival(context), "companion")

        def answered(context: RequestContext, what: str) -> None:
            self.scheduler.guard(lambda: companion.record_answer(context, what), "companion")

        self.request_decoder.submit, self.response_recorder.on_answered = seen, answered

    def keep_results(self, keeper: Keep) -> None:
        """Before `run`: what labelled transactions come to survives this process."""
        self.keeper = self.run_dispatcher.result_keeper = keeper
        keeper.set_resolution_listener(self.response_recorder.resolve_entry)
        self.idempotency_table.find_earlier = keeper.find_earlier_result
        self.agent.on_unknown_run_ended = keeper.complete_earlier_run
        self.clients.health = keeper.health

    # ---- phases --------------------------------------------------------------------------------------------

    def move(self, phase: Phase) -> None:
        if phase not in MOVES[self.phase]:
            raise RuntimeError(f"no way from {self.phase.value} to {phase.value}")
        self.log.info("phase", left=self.phase.value, now=phase.value)
        self.phase = phase
        if self.companion is not None:
            self.companion.status.is_serving = phase is Phase.SERVING
            self.companion.status.is_draining = phase not in (Phase.STARTING, Phase.SERVING)

    def run(self) -> None:
        self.hear_signals()
        host, port = self.clients.listen(self.site.listen)
        self.log.info("listening", address=f"{host}:{port}")
        self.log.info("bounds", **asdict(self.bounds))
        self.keep("signals", self.take_signals)
        self.keep("agent", self.agent.maintain_link)
        self.keep("catalog", self.catalog.keep_reporting)
        self.keep("listener", self.clients.accept)
        if self.keeper is not None:
            self.keeper.start()
        if self.companion is not None:
            self.companion.status.address = f"{host}:{port}"
            self.companion.start()
        try:
            self.scheduler.run()
        finally:
            for number in SIGNALS:  # their defaults would end what is ending already, with a code above 0
                signal.signal(number, signal.SIG_IGN)
            if self.keeper is not None:
                self.keeper.close()
            self.report()
            self.log.sink.finish()

    def keep(self, name: str, work: Callable[[], None]) -> None:
        """A task that the program can't do without: a fault in it is logged, and it begins again."""

        def kept() -> None:
            while True:
                try:
                    work()
                    return
                except Exception as trouble:
                    self.fault(name, trouble)
                self.scheduler.sleep(self.scheduler.now + AGAIN)

        self.scheduler.spawn(name, kept)

    def greeted(self, cold: bool, began: int) -> None:
        """The agent is up: the decisions begin, empty. Its age counts for its warmth alone.

        Begun with the age of a warm one, the quota would bind before its windows had been filled once.
        """
        if self.phase is Phase.STARTING:
            self.move(Phase.SERVING)
            self.admission_stage.start(
                replace(self.site.settings, starts_cold=cold), began if cold else self.scheduler.now
            )
            if self.companion is not None:
                self.companion.driver = self.admission_stage.driver

    def leave(self) -> None:
        """The notice to leave; a second one means now: what is open is answered, and the program ends."""
        if self.phase in (Phase.CLOSING, Phase.ENDED):
            return
        if self.phase in (Phase.DRAINING, Phase.SHUT):
            self.close()
            return
        self.stops_at = end = self.scheduler.now + self.site.stop_timeout
        if self.phase is Phase.STARTING:
            self.close()
            return
        self.move(Phase.DRAINING)
        self.admission_stage.start_drain(end)
        # Routers learn late that this one leaves. Turned away meanwhile, they would crowd those that stay.
        grace_over = self.scheduler.now + self.site.settings.drain_grace
        self.scheduler.at(min(grace_over, end - SHUT_AHEAD), self.shut)
        self.scheduler.at(end - END_AHEAD, self.close)

    def shut(self) -> None:
        if self.phase is Phase.DRAINING:
            self.move(Phase.SHUT)
            self.admission_stage.rejects_new_requests = True
            self.clients.leave()

    def close(self) -> None:
        """Nothing more is owed, or the time is up: what has no answer yet gets one, and nothing runs."""
        if self.phase in (Phase.STARTING, Phase.DRAINING, Phase.SHUT):
            self.move(Phase.CLOSING)
            self.admission_stage.rejects_new_requests = True
            self.clients.leave()
            self.clients.end("the program ends")
            now = self.scheduler.now
            self.last_moment = min(now + LAST_WAIT, max(now + LAST, self.stops_at - LAST))
            self.scheduler.at(now, self.end)

    def end(self) -> None:
        """Once all has gone out and the routers have ended their side too, or at the last moment."""
        for client in list(self.clients.all):
            self.clients.finish(client, "the program ends")  # taken from the system's queue meanwhile
        if self.clients.remain() and self.scheduler.now < self.last_moment:
            self.scheduler.at(self.scheduler.now + 10, self.end)
            return
        self.clients.close_all()
        self.move(Phase.ENDED)
        self.scheduler.stop()

    def settle(self) -> None:
        """Once a pass."""
        if self.companion is not None:
            # Whatever is wrong with the fleet's side, the batch goes on.
            self.scheduler.guard(self.companion.apply_lease, "companion")
        self.admission_stage.process_pending()
        if (
            self.phase in (Phase.DRAINING, Phase.SHUT)
            and not self.clients.all
            and not self.admission_stage.pending_events
        ):
            self.close()

    # ---- signals -------------------------------------------------------------------------------------------

    def hear_signals(self) -> None:
        self.signals.setblocking(False)
        self.wakeup.setblocking(False)
        signal.set_wakeup_fd(self.wakeup.fileno(), warn_on_full_buffer=False)
        for number in SIGNALS:
            signal.signal(number, lambda *_: None)
        signal.signal(signal.SIGPIPE, signal.SIG_IGN)

    def take_signals(self) -> None:
        while True:
            self.scheduler.wait(self.signals.fileno(), READ)
            try:
                numbers = self.signals.recv(64)
            except BlockingIOError:
                continue
            if signal.SIGHUP in numbers:
                self.reload()
            for number in numbers:
                if number == signal.SIGUSR1:
                    self.report()
                elif number in (signal.SIGTERM, signal.SIGINT):
                    self.leave()

    def reload(self) -> None:
        """The configuration is read again; one that can't be read leaves the old one in force."""
        try:
            later = read_config(os.environ)
        except (InvalidInputError, OSError) as trouble:
            self.counters.count("program.not_reloaded")
            self.log.info("the configuration is left as it was", why=str(trouble))
            return
        fixed = self.site.changes_needing_restart(later)
        if fixed:
            self.log.info("not taken over while running", parts=",".join(fixed))
        taken = {part: getattr(later, part) for part in RELOADABLE_FIELDS}
        self.site = replace(self.site, **taken)
        self.agent.change_address(later.agent)
        self.vault.change_address(later.vault)
        self.catalog.change_address(later.catalog)
        self.counters.count("program.reloads")
        peers = {"agent": later.agent, "catalog": later.catalog, "vault": later.vault}
        named = {what: f"{where[0]}:{where[1]}" for what, where in peers.items() if where is not None}
        self.log.info("configuration taken over", **named)

    def report(self) -> None:
        """The counters, on request and at exit: a line for each peer and stage."""
        for part, counts in self.counters.report().items():
            self.log.info("counters", part=part, **counts)
        cpu_ms, dropped = time.process_time_ns() // 1_000_000, self.log.sink.dropped
        self.log.info(
            "counters",
            part="process",
            memory_kb_most=memory("VmHWM"),
            cpu_ms=cpu_ms,
            log_lines_dropped=dropped,
        )

    # ---- what concerns the whole app server ----------------------------------------------------------------

    def tell(self, notice: ServerAction) -> None:
        match notice:
            case SetTimer(at):
                self.scheduler.at(at - SAMPLE_AHEAD, self.agent.request_gauges)
                self.scheduler.at(at, self.tick)
            case SetHealth(good):
                self.clients.good = good
            case SetIdleTimeout(span):
                self.clients.set_idle(span)
            case QuotasBind() | HealthChanged() | PlanApplied() | PlanExpired() | DrainStarted():
                self.log.info(notice.name, **asdict(notice))

    def tick(self) -> None:
        if self.keeper is not None and self.admission_stage.driver is not None:
            self.admission_stage.driver.limit_new_keys(*self.keeper.capacity())
        self.admission_stage.tick(Gauges(self.agent.cores_used()))

    def passing(self) -> bool:
        if self.companion is not None and not self.companion.update_listing():
            return False
        return self.clients.good and self.phase in (Phase.STARTING, Phase.SERVING)

    def in_use(self, name: str) -> bool:
        return name in self.response_recorder.open_request_ids or name in self.agent.runs

    def gone(self, context: RequestContext) -> None:
        self.downstream_caller.cancel_call(context)
        self.response_recorder.on_caller_gone(context)

    def given_up(self, context: RequestContext) -> None:
        if self.admission_stage.driver is not None:
            self.admission_stage.look_up_entry(context)  # it may have been read just now
        self.downstream_caller.cancel_call(context)
        self.response_recorder.abandon(context)

    def fault(self, name: str, trouble: Exception) -> None:
        """What a task or a timer raised: it ends that alone."""
        self.counters.count("program.faults")
        self.log.trace("a fault", trouble, task=name)
