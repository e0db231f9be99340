"""The app server process: connects peers and pipeline stages, and runs its phases from start to exit.

All times are in tenths of a millisecond unless a name says otherwise.
"""

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
from .launched_ids import LaunchedIds
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

GAUGES_LEAD = 50  # gauges are requested 5 ms before the tick that reads them
CLOSE_LEAD = 800  # open requests get a response 80 ms before the process would be killed
EXIT_LEAD = 250  # connections are closed 25 ms before the kill, even if a router has not read everything
MAX_CLOSING_TIME = 10_000  # 1 s for routers to close their side, if the deadline allows
SHUT_LEAD = 3_000  # routers are notified at least 300 ms before the deadline, even within the drain grace
KEY_RETRY_DELAY = 10_000  # 1 s, advised while memory has no room for a new idempotency key
TASK_RESTART_DELAY = 1_000  # 100 ms between a task's exception and its restart
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)


class Phase(Enum):
    """Phases of the process; their values are logged."""

    STARTING = "starting"  # accepts connections and responds to health checks; waits for the agent's greeting
    SERVING = "serving"
    DRAINING = "draining"  # stop was requested: still accepts requests within the drain grace
    SHUT = "shut"  # the drain grace is over: accepts no new requests, finishes open ones
    CLOSING = "closing"  # every request has a response: sends what is unsent
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
    """The app server's membership in a fleet; optional, and nothing else depends on it.

    Attributes:
        driver: Admission control, once it has started.
        status: What the member reports of itself.
        on_listing_changed: Called when the member is to be listed in the catalog, or no longer.
    """

    driver: AdmissionDriver | None
    status: Any
    on_listing_changed: Callable[[], None]

    def start(self) -> None:
        """Start the tasks that link this app server to its planners."""
        ...

    def record_arrival(self, context: RequestContext) -> None:
        """Count a request that was decoded and passed to admission control."""
        ...

    def record_answer(self, context: RequestContext, outcome: str) -> None:
        """Count a request that got its response or lost its caller."""
        ...

    def apply_lease(self) -> None:
        """Limit downstream calls to those that the lease allows now; called before each batch of decisions.

        A lease that expired while this process was paused must not allow any later call.
        """
        ...

    def update_listing(self) -> bool:
        """Return whether the catalog may list this app server, and log a change."""
        ...


class DurableResultStore(ResultKeeper, Protocol):
    """The store of results of keyed requests that outlives the process; only used if a file configures it."""

    def set_resolution_listener(self, listener: Callable[[IdempotencyEntry, RunResult], None]) -> None:
        """Set the function called when the result of an earlier incarnation's run is known."""
        ...

    def start(self) -> None:
        """Start writing records; called once, before any request arrives."""
        ...

    def close(self) -> None:
        """Finish the pending writes and close the store, at exit."""
        ...

    def capacity(self) -> tuple[int, int, int]:
        """Return the arguments of `AdmissionDriver.limit_new_keys`."""
        ...

    def health(self) -> dict[str, str]:
        """Return why keyed requests are rejected now, as details for health checks; empty if they are not."""
        ...

    def find_earlier_result(self, context: RequestContext) -> IdempotencyEntry | None:
        """Return the entry of a request's key if an earlier incarnation started it, or None."""
        ...

    def complete_earlier_run(self, run_id: str, outcome: Outcome, result: bytes) -> None:
        """Complete a run of an earlier incarnation whose end the agent reports late; ignore other runs."""
        ...


def read_memory_kb(field: str = "VmRSS", process: int | str = "self") -> int:
    """Return a process's resident memory in KB, or its peak with `VmHWM`; 0 if it is not known.

    `getrusage` is not used: its peak includes the parent's memory before `exec`.
    """
    with open(f"/proc/{process}/status", encoding="ascii") as status:
        return next((int(line.split()[1]) for line in status if line.startswith(f"{field}:")), 0)


class Program:
    """One app server: its peers, its pipeline stages and its phase.

    Attributes:
        stop_deadline: When the process would be killed, once a stop was requested.
        exit_deadline: When connections are closed at the latest, once closing has begun.
        signals: Read end of the signal wakeup descriptor; `wakeup` is its write end.
        fleet_member: The membership in a fleet, if there is one.
        result_store: The store of results, if there is one.
    """

    def __init__(self, config: ServerConfig) -> None:
        """Create all parts and connect their callbacks; open no connection."""
        self.config = config
        self.phase = Phase.STARTING
        self.stop_deadline = self.exit_deadline = 0
        self.scheduler = Scheduler(self.finish_pass, self.on_task_error)
        self.log = Log(self.scheduler, config.name)
        self.counters = Counters()
        scheduler, counters, log = self.scheduler, self.counters, self.log
        descriptors = min(config.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        self.bounds = compute_bounds(config.memory_bytes, read_memory_kb() << 10, descriptors)
        # peers
        self.clients = Clients(scheduler, counters, log, self.bounds)
        self.agent = Agent(scheduler, counters, log, config.agent, config.gauge_names, self.bounds.orders)
        self.vault = Vault(scheduler, counters, log, config.vault, self.bounds.calls)
        self.catalog = Catalog(scheduler, counters, log, config.catalog, config.name, self.is_passing)
        # stages
        max_deadline = max(request_class.deadline for request_class in config.settings.request_classes)
        self.idempotency_table = IdempotencyTable(max_deadline, self.bounds.keys)
        self.launched_ids = LaunchedIds(max_deadline, self.bounds.launched_ids)
        self.request_decoder = RequestDecoder(
            scheduler, counters, log, config.settings, config.class_names, config.tenant_names
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
            self.launched_ids,
        )
        self.action_dispatcher = ActionDispatcher(
            scheduler,
            self.idempotency_table,
            self.run_dispatcher,
            self.downstream_caller,
            self.response_recorder,
        )
        # callbacks
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
        self.agent.on_reply_unconfirmed = guard(self.downstream_caller.on_reply_unconfirmed)
        self.vault.on_call_ended = guard(self.downstream_caller.on_call_ended)
        self.downstream_caller.guarded_on_timeout = guard(self.downstream_caller.on_timeout)
        self.signals, self.wakeup = socket.socketpair()
        self.fleet_member: FleetMember | None = None
        self.result_store: DurableResultStore | None = None

    def attach_fleet_member(self, fleet_member: FleetMember) -> None:
        """Connect the membership in a fleet; to be called before `run`."""
        self.fleet_member = fleet_member
        fleet_member.on_listing_changed = self.catalog.report_now
        submit = self.request_decoder.submit

        def submit_and_record(context: RequestContext) -> None:
            submit(context)
            self.scheduler.guard(lambda: fleet_member.record_arrival(context), "companion")

        def record_answer(context: RequestContext, outcome: str) -> None:
            self.scheduler.guard(lambda: fleet_member.record_answer(context, outcome), "companion")

        self.request_decoder.submit, self.response_recorder.on_answered = submit_and_record, record_answer

    def attach_result_store(self, result_store: DurableResultStore) -> None:
        """Connect the store of results of keyed requests; to be called before `run`."""
        self.result_store = self.run_dispatcher.result_keeper = result_store
        result_store.set_resolution_listener(self.response_recorder.resolve_entry)
        self.idempotency_table.find_earlier = result_store.find_earlier_result
        self.agent.on_unknown_run_ended = result_store.complete_earlier_run
        self.clients.health_details = result_store.health

    # ---- phases --------------------------------------------------------------------------------------------

    def enter_phase(self, phase: Phase) -> None:
        """Change the phase, log this and report it to the fleet.

        Raises:
            RuntimeError: If that is no allowed transition.
        """
        if phase not in PHASE_TRANSITIONS[self.phase]:
            raise RuntimeError(f"phase {self.phase.value} cannot be followed by {phase.value}")
        self.log.info("phase", left=self.phase.value, now=phase.value)
        self.phase = phase
        if self.fleet_member is not None:
            self.fleet_member.status.is_serving = phase is Phase.SERVING
            self.fleet_member.status.is_draining = phase not in (Phase.STARTING, Phase.SERVING)

    def run(self) -> None:
        """Serve until the process is to exit."""
        self.install_signal_handlers()
        host, port = self.clients.listen(self.config.listen)
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
            # The process exits already: the default action of a further signal would change its exit code.
            for number in SIGNALS:
                signal.signal(number, signal.SIG_IGN)
            if self.result_store is not None:
                self.result_store.close()
            self.log_counters()
            self.log.writer.flush()

    def spawn_supervised(self, name: str, function: Callable[[], None]) -> None:
        """Start a task that the process needs; when it raises, log the error and restart it after 100 ms."""

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
        """Start admission control, with empty state, on the agent's first greeting.

        Args:
            is_cold: Whether the agent was cold when it started.
            started_at: When the agent started. It is used for the slow start of a cold agent only: with the
                start time of a warm agent, quotas would bind before their windows had been filled once.
        """
        if self.phase is Phase.STARTING:
            self.enter_phase(Phase.SERVING)
            self.admission_stage.start(
                replace(self.config.settings, starts_cold=is_cold),
                started_at if is_cold else self.scheduler.now,
            )
            if self.fleet_member is not None:
                self.fleet_member.driver = self.admission_stage.driver

    def begin_drain(self) -> None:
        """Handle a stop request.

        The first one starts the drain; a second one ends it: open requests get a response, and the process
        exits.
        """
        if self.phase in (Phase.CLOSING, Phase.ENDED):
            return
        if self.phase in (Phase.DRAINING, Phase.SHUT):
            self.begin_close()
            return
        self.stop_deadline = deadline = self.scheduler.now + self.config.stop_timeout
        if self.phase is Phase.STARTING:
            self.begin_close()
            return
        self.enter_phase(Phase.DRAINING)
        self.admission_stage.start_drain(deadline)
        # Routers learn late that this app server drains. Requests that it rejected meanwhile would overload
        # the others.
        grace_over = self.scheduler.now + self.config.settings.drain_grace
        self.scheduler.at(min(grace_over, deadline - SHUT_LEAD), self.stop_accepting)
        self.scheduler.at(deadline - CLOSE_LEAD, self.begin_close)

    def stop_accepting(self) -> None:
        """End the drain grace: reject new requests and notify routers that their connections close."""
        if self.phase is Phase.DRAINING:
            self.enter_phase(Phase.SHUT)
            self.admission_stage.rejects_new_requests = True
            self.clients.start_draining()

    def begin_close(self) -> None:
        """Send a response to each open request and close the connections gracefully.

        No request runs afterwards. Called once a drain has no connection left, at the latest `CLOSE_LEAD`
        before the deadline, and at once on a second stop request or if the agent has not greeted yet.
        """
        if self.phase in (Phase.STARTING, Phase.DRAINING, Phase.SHUT):
            self.enter_phase(Phase.CLOSING)
            self.admission_stage.rejects_new_requests = True
            self.clients.start_draining()
            self.clients.close_all_gracefully("process exits")
            now = self.scheduler.now
            self.exit_deadline = min(
                now + MAX_CLOSING_TIME, max(now + EXIT_LEAD, self.stop_deadline - EXIT_LEAD)
            )
            self.scheduler.at(now, self.finish_close)

    def finish_close(self) -> None:
        """Stop the scheduler once all connections are closed or at `exit_deadline`; else retry in 1 ms."""
        for client in list(self.clients.active):
            self.clients.close_if_idle(client, "process exits")  # accepted from the system's queue meanwhile
        if self.clients.has_open_sockets() and self.scheduler.now < self.exit_deadline:
            self.scheduler.at(self.scheduler.now + 10, self.finish_close)
            return
        self.clients.close_all()
        self.enter_phase(Phase.ENDED)
        self.scheduler.stop()

    def finish_pass(self) -> None:
        """Run admission control on what a pass has received, and end a drain that is complete.

        Called at the end of each pass.
        """
        if self.fleet_member is not None:
            # An error in the fleet's part must not stop the batch.
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
        """Route signals to the wakeup descriptor, which `handle_signals` reads."""
        self.signals.setblocking(False)
        self.wakeup.setblocking(False)
        signal.set_wakeup_fd(self.wakeup.fileno(), warn_on_full_buffer=False)
        for number in SIGNALS:
            signal.signal(number, lambda *_: None)
        signal.signal(signal.SIGPIPE, signal.SIG_IGN)

    def handle_signals(self) -> None:
        """Handle signals as they arrive, as a task: stop, reload or log the counters."""
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
        """Read the configuration again; the old one stays in force if the new one is invalid.

        Only changes of `RELOADABLE_FIELDS` take effect; other changes are logged, as they need a restart.
        """
        try:
            new_config = read_config(os.environ)
        except (InvalidInputError, OSError) as error:
            self.counters.count("program.not_reloaded")
            self.log.info("configuration_rejected", why=str(error))
            return
        fixed_parts = self.config.changes_needing_restart(new_config)
        if fixed_parts:
            self.log.info("configuration_change_needs_restart", parts=",".join(fixed_parts))
        new_values = {part: getattr(new_config, part) for part in RELOADABLE_FIELDS}
        self.config = replace(self.config, **new_values)
        self.agent.change_address(new_config.agent)
        self.vault.change_address(new_config.vault)
        self.catalog.change_address(new_config.catalog)
        self.counters.count("program.reloads")
        peers = {"agent": new_config.agent, "catalog": new_config.catalog, "vault": new_config.vault}
        addresses = {
            name: f"{address[0]}:{address[1]}" for name, address in peers.items() if address is not None
        }
        self.log.info("configuration_applied", **addresses)

    def log_counters(self) -> None:
        """Log a line of counters for each peer and stage and for the process; on request and at exit."""
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

    # ---- callbacks of admission control, peers and the scheduler -------------------------------------------

    def apply_server_action(self, server_action: ServerAction) -> None:
        """Carry out an action of admission control that concerns no single request."""
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
        """Pass gauges and the room for keys to admission control, at the time set by its `SetTimer`."""
        if self.admission_stage.driver is not None:
            self.admission_stage.driver.limit_new_keys(*self.key_capacity())
        self.admission_stage.tick(Gauges(self.agent.core_utilization()))

    def key_capacity(self) -> tuple[float, int, int]:
        """Return how many new keys memory and the store take, and the rest as in `limit_new_keys`."""
        in_memory = self.idempotency_table.remaining_keys(self.scheduler.now)
        if self.result_store is None:
            return in_memory, 0, KEY_RETRY_DELAY
        stored, scarce_below, time_until_room = self.result_store.capacity()
        if in_memory < stored:
            return in_memory, 0, KEY_RETRY_DELAY
        return stored, scarce_below, time_until_room

    def is_passing(self) -> bool:
        """Return whether the catalog is to list this app server as available to routers."""
        if self.fleet_member is not None and not self.fleet_member.update_listing():
            return False
        return self.clients.healthy and self.phase in (Phase.STARTING, Phase.SERVING)

    def is_id_in_use(self, request_id: str) -> bool:
        """Return whether a request with this id is open, still runs or was launched before."""
        return (
            request_id in self.response_recorder.open_request_ids
            or request_id in self.agent.runs
            or request_id in self.launched_ids
        )

    def on_disconnected(self, context: RequestContext) -> None:
        """Cancel the call of a request whose caller is gone, and close the request without a response."""
        self.downstream_caller.cancel_call(context)
        self.response_recorder.on_caller_gone(context)
        self.run_dispatcher.withdraw_unwritten(context)

    def on_abandoned(self, context: RequestContext) -> None:
        """Send a response to a request whose connection is about to close."""
        if self.admission_stage.driver is not None:
            self.admission_stage.look_up_entry(context)  # read in this pass, it has no entry yet
        self.downstream_caller.cancel_call(context)
        self.response_recorder.abandon(context)

    def on_task_error(self, name: str, error: Exception) -> None:
        """Count and log an exception that a task or a timer raised; it ends only that task or timer."""
        self.counters.count("program.faults")
        self.log.trace("unhandled_exception", error, task=name)
