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
from .bounds import compute_bounds
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

GAUGES_LEAD = 50  # gauges are asked for 5 ms before the tick that reads them
CLOSE_LEAD = 800  # all that is open is answered 80 ms before the process would be killed
EXIT_LEAD = 250  # and closed 25 ms before, whoever has not read it
MAX_CLOSING_TIME = 10_000  # routers are waited for a second, where there is the time
SHUT_LEAD = 3_000  # and routers hear it 300 ms before, however long the grace
TASK_RESTART_DELAY = 1_000  # a task that had a fault begins again after 100 ms
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)


class Phase(Enum):
    STARTING = "starting"  # listening, checks are answered; the agent has not greeted yet
    SERVING = "serving"
    DRAINING = "draining"  # told to leave: what comes within the grace is taken as before
    SHUT = "shut"  # the grace is over: nobody new, all that was read is answered
    CLOSING = "closing"  # all is answered; what is written goes out
    ENDED = "ended"


PHASE_TRANSITIONS = {
    Phase.STARTING: (Phase.SERVING, Phase.CLOSING),
    Phase.SERVING: (Phase.DRAINING,),
    Phase.DRAINING: (Phase.SHUT, Phase.CLOSING),
    Phase.SHUT: (Phase.CLOSING,),
    Phase.CLOSING: (Phase.ENDED,),
    Phase.ENDED: (),
}


class FleetMember(Protocol):
    """What stands beside one app server for its fleet; without one nothing here is any different."""

    driver: AdmissionDriver | None
    status: Any
    on_listing_changed: Callable[[], None]

    def start(self) -> None: ...
    def record_arrival(self, context: RequestContext) -> None: ...
    def record_answer(self, context: RequestContext, what: str) -> None: ...
    def apply_lease(self) -> None: ...
    def update_listing(self) -> bool: ...


class DurableResultStore(ResultKeeper, Protocol):
    """Kept results, as the program has them beside it; off without a file of the operators'."""

    def set_resolution_listener(self, listener: Callable[[IdempotencyEntry, RunResult], None]) -> None: ...
    def start(self) -> None: ...
    def close(self) -> None: ...
    def capacity(self) -> tuple[int, int, int]: ...
    def health(self) -> dict[str, str]: ...
    def find_earlier_result(self, context: RequestContext) -> IdempotencyEntry | None: ...
    def complete_earlier_run(self, run_id: str, outcome: Outcome, result: bytes) -> None: ...


def read_memory_kb(field: str = "VmRSS") -> int:
    """Resident memory in KB, or its peak (`VmHWM`); the usage record would count the parent too."""
    with open("/proc/self/status", encoding="ascii") as status:
        return next((int(line.split()[1]) for line in status if line.startswith(f"{field}:")), 0)


class Program:
    def __init__(self, site: ServerConfig) -> None:
        self.site = site
        self.phase = Phase.STARTING
        self.stop_deadline = self.exit_deadline = 0
        self.scheduler = Scheduler(self.finish_pass, self.on_task_error)
        self.log = Log(self.scheduler, site.name)
        self.counters = Counters()
        scheduler, counters, log = self.scheduler, self.counters, self.log
        descriptors = min(site.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        self.bounds = compute_bounds(site.memory_bytes, read_memory_kb() << 10, descriptors)
        # peers
        self.clients = Clients(scheduler, counters, log, self.bounds)
        self.agent = Agent(scheduler, counters, log, site.agent, site.gauge_names, self.bounds.orders)
        self.vault = Vault(scheduler, counters, log, site.vault, self.bounds.calls)
        self.catalog = Catalog(scheduler, counters, log, site.catalog, site.name, self.is_passing)
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
        self.clients.on_request, self.clients.on_disconnected = self.request_decoder, self.on_disconnected
        self.clients.on_abandoned = self.on_abandoned
        self.request_decoder.submit, self.request_decoder.register = (
            self.admission_stage.submit,
            self.response_recorder.open,
        )
        self.request_decoder.is_id_in_use = self.is_id_in_use
        self.admission_stage.perform, self.admission_stage.announce = (
            self.action_dispatcher.perform,
            self.apply_server_action,
        )
        self.admission_stage.on_not_ready, self.admission_stage.on_fault = (
            self.response_recorder.send_rejection,
            self.response_recorder.handle_fault,
        )
        self.admission_stage.on_key_mismatch = self.response_recorder.send_error
        guard = self.response_recorder.guard
        self.agent.on_handshake, self.agent.on_call_needed = (
            self.on_agent_greeting,
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
        self.fleet_member: FleetMember | None = None
        self.result_store: DurableResultStore | None = None

    def attach_fleet_member(self, fleet_member: FleetMember) -> None:
        """Before `run`: the fleet's side of it."""
        self.fleet_member = fleet_member
        fleet_member.on_listing_changed = self.catalog.report_now
        submit = self.request_decoder.submit

        def submit_and_record(context: RequestContext) -> None:
            submit(context)
            self.scheduler.guard(lambda: fleet_member.record_arrival(context), "companion")

        def record_answer(context: RequestContext, what: str) -> None:
            self.scheduler.guard(lambda: fleet_member.record_answer(context, what), "companion")

        self.request_decoder.submit, self.response_recorder.on_answered = submit_and_record, record_answer

    def attach_result_store(self, result_store: DurableResultStore) -> None:
        """Before `run`: what labelled transactions come to survives this process."""
        self.result_store = self.run_dispatcher.result_keeper = result_store
        result_store.set_resolution_listener(self.response_recorder.resolve_entry)
        self.idempotency_table.find_earlier = result_store.find_earlier_result
        self.agent.on_unknown_run_ended = result_store.complete_earlier_run
        self.clients.health_details = result_store.health

    # ---- phases --------------------------------------------------------------------------------------------

    def enter_phase(self, phase: Phase) -> None:
        if phase not in PHASE_TRANSITIONS[self.phase]:
            raise RuntimeError(f"no way from {self.phase.value} to {phase.value}")
        self.log.info("phase", left=self.phase.value, now=phase.value)
        self.phase = phase
        if self.fleet_member is not None:
            self.fleet_member.status.is_serving = phase is Phase.SERVING
            self.fleet_member.status.is_draining = phase not in (Phase.STARTING, Phase.SERVING)

    def run(self) -> None:
        self.install_signal_handlers()
        host, port = self.clients.listen(self.site.listen)
        self.log.info("listening", address=f"{host}:{port}")
        self.log.info("bounds", **asdict(self.bounds))
        self.spawn_supervised("signals", self.handle_signals)
        self.spawn_supervised("agent", self.agent.maintain_link)
        self.spawn_supervised("catalog", self.catalog.keep_reporting)
        self.spawn_supervised("listener", self.clients.accept)
        if self.result_store is not None:
            self.result_store.start()
        if self.fleet_member is not None:
            self.fleet_member.status.address = f"{host}:{port}"
            self.fleet_member.start()
        try:
            self.scheduler.run()
        finally:
            for number in SIGNALS:  # their defaults would end what is ending already, with a code above 0
                signal.signal(number, signal.SIG_IGN)
            if self.result_store is not None:
                self.result_store.close()
            self.log_counters()
            self.log.writer.flush()

    def spawn_supervised(self, name: str, function: Callable[[], None]) -> None:
        """A task that the program can't do without: a fault in it is logged, and it begins again."""

        def run_supervised() -> None:
            while True:
                try:
                    function()
                    return
                except Exception as error:
                    self.on_task_error(name, error)
                self.scheduler.sleep(self.scheduler.now + TASK_RESTART_DELAY)

        self.scheduler.spawn(name, run_supervised)

    def on_agent_greeting(self, is_cold: bool, started_at: int) -> None:
        """The agent is up: the decisions begin, empty. Its age counts for its warmth alone.

        Begun with the age of a warm one, the quota would bind before its windows had been filled once.
        """
        if self.phase is Phase.STARTING:
            self.enter_phase(Phase.SERVING)
            self.admission_stage.start(
                replace(self.site.settings, starts_cold=is_cold),
                started_at if is_cold else self.scheduler.now,
            )
            if self.fleet_member is not None:
                self.fleet_member.driver = self.admission_stage.driver

    def begin_drain(self) -> None:
        """The notice to leave; a second one means now: what is open is answered, and the program ends."""
        if self.phase in (Phase.CLOSING, Phase.ENDED):
            return
        if self.phase in (Phase.DRAINING, Phase.SHUT):
            self.begin_close()
            return
        self.stop_deadline = deadline = self.scheduler.now + self.site.stop_timeout
        if self.phase is Phase.STARTING:
            self.begin_close()
            return
        self.enter_phase(Phase.DRAINING)
        self.admission_stage.start_drain(deadline)
        # Routers learn late that this one leaves. Turned away meanwhile, they would crowd those that stay.
        grace_over = self.scheduler.now + self.site.settings.drain_grace
        self.scheduler.at(min(grace_over, deadline - SHUT_LEAD), self.stop_accepting)
        self.scheduler.at(deadline - CLOSE_LEAD, self.begin_close)

    def stop_accepting(self) -> None:
        if self.phase is Phase.DRAINING:
            self.enter_phase(Phase.SHUT)
            self.admission_stage.rejects_new_requests = True
            self.clients.start_draining()

    def begin_close(self) -> None:
        """Nothing more is owed, or the time is up: what has no answer yet gets one, and nothing runs."""
        if self.phase in (Phase.STARTING, Phase.DRAINING, Phase.SHUT):
            self.enter_phase(Phase.CLOSING)
            self.admission_stage.rejects_new_requests = True
            self.clients.start_draining()
            self.clients.close_all_gracefully("the program ends")
            now = self.scheduler.now
            self.exit_deadline = min(
                now + MAX_CLOSING_TIME, max(now + EXIT_LEAD, self.stop_deadline - EXIT_LEAD)
            )
            self.scheduler.at(now, self.finish_close)

    def finish_close(self) -> None:
        """Once all has gone out and the routers have ended their side too, or at the last moment."""
        for client in list(self.clients.active):
            self.clients.close_if_idle(client, "the program ends")  # taken from the system's queue meanwhile
        if self.clients.has_open_sockets() and self.scheduler.now < self.exit_deadline:
            self.scheduler.at(self.scheduler.now + 10, self.finish_close)
            return
        self.clients.close_all()
        self.enter_phase(Phase.ENDED)
        self.scheduler.stop()

    def finish_pass(self) -> None:
        """Once a pass."""
        if self.fleet_member is not None:
            # Whatever is wrong with the fleet's side, the batch goes on.
            self.scheduler.guard(self.fleet_member.apply_lease, "companion")
        self.admission_stage.process_pending()
        if (
            self.phase in (Phase.DRAINING, Phase.SHUT)
            and not self.clients.active
            and not self.admission_stage.pending_events
        ):
            self.begin_close()

    # ---- signals -------------------------------------------------------------------------------------------

    def install_signal_handlers(self) -> None:
        self.signals.setblocking(False)
        self.wakeup.setblocking(False)
        signal.set_wakeup_fd(self.wakeup.fileno(), warn_on_full_buffer=False)
        for number in SIGNALS:
            signal.signal(number, lambda *_: None)
        signal.signal(signal.SIGPIPE, signal.SIG_IGN)

    def handle_signals(self) -> None:
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
                    self.log_counters()
                elif number in (signal.SIGTERM, signal.SIGINT):
                    self.begin_drain()

    def reload(self) -> None:
        """The configuration is read again; one that can't be read leaves the old one in force."""
        try:
            later = read_config(os.environ)
        except (InvalidInputError, OSError) as error:
            self.counters.count("program.not_reloaded")
            self.log.info("the configuration is left as it was", why=str(error))
            return
        fixed_parts = self.site.changes_needing_restart(later)
        if fixed_parts:
            self.log.info("not taken over while running", parts=",".join(fixed_parts))
        new_values = {part: getattr(later, part) for part in RELOADABLE_FIELDS}
        self.site = replace(self.site, **new_values)
        self.agent.change_address(later.agent)
        self.vault.change_address(later.vault)
        self.catalog.change_address(later.catalog)
        self.counters.count("program.reloads")
        peers = {"agent": later.agent, "catalog": later.catalog, "vault": later.vault}
        named = {what: f"{where[0]}:{where[1]}" for what, where in peers.items() if where is not None}
        self.log.info("configuration taken over", **named)

    def log_counters(self) -> None:
        """The counters, on request and at exit: a line for each peer and stage."""
        for part, counts in self.counters.report().items():
            self.log.info("counters", part=part, **counts)
        cpu_ms, dropped = time.process_time_ns() // 1_000_000, self.log.writer.dropped
        self.log.info(
            "counters",
            part="process",
            memory_kb_most=read_memory_kb("VmHWM"),
            cpu_ms=cpu_ms,
            log_lines_dropped=dropped,
        )

    # ---- what concerns the whole app server ----------------------------------------------------------------

    def apply_server_action(self, server_action: ServerAction) -> None:
        match server_action:
            case SetTimer(at):
                self.scheduler.at(at - GAUGES_LEAD, self.agent.request_gauges)
                self.scheduler.at(at, self.tick)
            case SetHealth(healthy):
                self.clients.healthy = healthy
            case SetIdleTimeout(span):
                self.clients.set_idle_timeout(span)
            case QuotasBind() | HealthChanged() | PlanApplied() | PlanExpired() | DrainStarted():
                self.log.info(server_action.name, **asdict(server_action))

    def tick(self) -> None:
        if self.result_store is not None and self.admission_stage.driver is not None:
            self.admission_stage.driver.limit_new_keys(*self.result_store.capacity())
        self.admission_stage.tick(Gauges(self.agent.cores_used()))

    def is_passing(self) -> bool:
        if self.fleet_member is not None and not self.fleet_member.update_listing():
            return False
        return self.clients.healthy and self.phase in (Phase.STARTING, Phase.SERVING)

    def is_id_in_use(self, name: str) -> bool:
        return name in self.response_recorder.open_request_ids or name in self.agent.runs

    def on_disconnected(self, context: RequestContext) -> None:
        self.downstream_caller.cancel_call(context)
        self.response_recorder.on_caller_gone(context)

    def on_abandoned(self, context: RequestContext) -> None:
        if self.admission_stage.driver is not None:
            self.admission_stage.look_up_entry(context)  # it may have been read just now
        self.downstream_caller.cancel_call(context)
        self.response_recorder.abandon(context)

    def on_task_error(self, name: str, error: Exception) -> None:
        """What a task or a timer raised: it ends that alone."""
        self.counters.count("program.faults")
        self.log.trace("a fault", error, task=name)
