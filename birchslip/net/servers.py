"""Link to the agent, which owns the cores and executes the runs: JSON messages, one per line.

The connection is opened again whenever it is lost. The agent numbers its notices, and each is processed once.
On a new connection the agent first repeats the notices that were missed. A gauge sample that is requested at
the beginning, with a fence as its tag, marks where they end: only after its answer are orders sent again that
no notice has answered, but for a reply that a run may have received (`PendingOrder.may_be_repeated`). No run
is started twice by this: the agent ignores the launch of a run that is active already, and the outcome of a
run that has ended is among the repeated notices.

All times are in tenths of a millisecond unless a name says otherwise.
"""

from __future__ import annotations

from base64 import b64encode
from collections.abc import Callable

from ..admission.types import MS, Outcome
from .agent_messages import (
    AgentMessage,
    CallRequest,
    Greeting,
    Notice,
    Refusal,
    Remark,
    RunEnd,
    Sample,
    parse_message,
)
from .agent_orders import OrderKind, PendingOrder, encode_line
from .buffer import Buffer
from .connection import Connection, Connector
from .counters import Counters
from .log import Log
from .request_context import RequestContext
from .scheduler import Scheduler

MAX_LINE_BYTES = 65_536
INITIAL_RECONNECT_DELAY, MAX_RECONNECT_DELAY = 200, 10_000  # 20 ms, doubled after each failure up to 1 s
# Samples requested, one per tick, without any message from the agent: more than this means that the link is
# dead, even if its connection is still open.
MAX_UNANSWERED_SAMPLES = 40
MAX_GAUGE_AGE = 5_000  # 500 ms; older gauge values are not used
START_TIME_TOLERANCE = 20_000  # 2 s; an agent that reports a start time later by more than this has restarted


class Agent:
    """Maintains the link to the agent: sends orders and dispatches the agent's messages to callbacks.

    Attributes:
        address: Address of the agent.
        gauge_names: Names of the sampled gauges, in the order of the values of a sample.
        max_unsent_bytes: Unsent bytes of orders past which the connection is closed.
        connector: Latest attempt to connect; None before the first.
        link: Current connection, or None.
        last_notice: Number of the last notice processed.
        fence_number: Number of the newest fence; one fence is sent after each greeting.
        unanswered_samples: Samples requested since the last message of any kind.
        is_synchronized: Whether the agent has repeated all missed notices on this connection.
        has_notice_gap: Whether notices were lost that the agent can no longer repeat.
        agent_started_at: Scheduler time of the agent's start, by its last greeting; None before the first.
        gauge_values: Values of the last sample, by gauge name.
        gauges_received_at: Scheduler time of the last sample.
        runs: Runs ordered and not ended, by request id.
        on_handshake: Called at the first greeting with whether the agent is cold, and its start time.
        on_call_needed: Called when a run needs a downstream call, with the number of the notice and the body
            of the call.
        on_run_ended: Called when a run has ended, with its outcome, result and duration.
        on_launch_refused: Called for a run that the agent refused to start.
        on_outcome_unknown: Called for a run whose outcome can no longer be known.
        on_reply_unconfirmed: Called on a new link for a run that may or may not have received the reply of
            its call on an earlier one, and that is not to be stopped. The reply is not sent again.
        on_unknown_run_ended: Called with the id, outcome and result of a run that is not among `runs`, as of
            an earlier incarnation of this app server.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        counters: Counters,
        log: Log,
        address: tuple[str, int],
        gauge_names: list[str],
        max_unsent_bytes: int,
    ) -> None:
        """Create an unconnected link; `maintain_link` opens it, and the callbacks must be set before."""
        self.scheduler, self.counters, self.log = scheduler, counters, log
        self.address, self.gauge_names, self.max_unsent_bytes = address, gauge_names, max_unsent_bytes
        self.connector: Connector | None = None
        self.link: Connection | None = None
        self.last_notice = 0
        self.fence_number = 0
        self.unanswered_samples = 0
        self.is_synchronized = False
        self.has_notice_gap = False
        self.agent_started_at: int | None = None
        self.gauge_values: dict[str, float] = {}
        self.gauges_received_at = 0
        self.runs: dict[str, RequestContext] = {}
        self.on_handshake: Callable[[bool, int], None]
        self.on_call_needed: Callable[[RequestContext, int, bytes], None]
        self.on_run_ended: Callable[[RequestContext, Outcome, bytes, int], None]
        self.on_launch_refused: Callable[[RequestContext], None]
        self.on_outcome_unknown: Callable[[RequestContext], None]
        self.on_reply_unconfirmed: Callable[[RequestContext], None]
        self.on_unknown_run_ended: Callable[[str, Outcome, bytes], None] = (
            lambda request_id, outcome, result: None
        )

    # ---- orders --------------------------------------------------------------------------------------------

    def send_order(self, kind: OrderKind, context: RequestContext, **parts: object) -> PendingOrder:
        """Create an order about the run of a request, and send it if the link is synchronized.

        Returns:
            The order. The caller keeps it among the pending orders of the run, which are sent again on the
            next connection.
        """
        order = PendingOrder(kind, encode_line(op=kind.value, id=context.request_id, **parts))
        if self.link is not None and self.is_synchronized:
            order.write_to(self.link, self.scheduler.now)
        return order

    def launch(self, context: RequestContext) -> None:
        """Order the agent to start the run of a request."""
        self.runs[context.request_id] = context
        body = b64encode(context.body).decode()
        order = self.send_order(OrderKind.LAUNCH, context, **{"class": context.class_name}, body=body)
        context.pending_orders = [order]

    def withdraw_launch(self, context: RequestContext) -> bool:
        """Withdraw the launch of a run if it was never written to a link; return whether it is withdrawn."""
        orders = context.pending_orders
        if self.runs.get(context.request_id) is not context or not orders:
            return False
        if orders[0].kind is not OrderKind.LAUNCH or orders[0].written_at is not None:
            return False
        del self.runs[context.request_id]
        context.pending_orders = []
        return True

    def stop_run(self, context: RequestContext) -> None:
        """Order the agent to stop the run of a request."""
        # Appended, since the launch may not have reached the agent: both are sent again in that case.
        context.pending_orders.append(self.send_order(OrderKind.STOP, context))

    def deliver(self, context: RequestContext, reply: bytes) -> None:
        """Order the agent to pass the reply of a downstream call to the run that waits for it."""
        body = b64encode(reply).decode()
        context.pending_orders = [self.send_order(OrderKind.DELIVER, context, body=body)]

    def skip_call(self, context: RequestContext) -> None:
        """Order the agent to let a run continue without the downstream call that it waits for."""
        order = self.send_order(OrderKind.SKIP_CALL, context, seq=context.call_notice_number)
        context.pending_orders = [order]

    def request_gauges(self) -> None:
        """Request a sample of the gauges; close a link on which no message has arrived for too long.

        This detects a connection that is open but dead, as after half a message or when the agent's host
        vanished without closing it. Silence is counted in requested samples and not in time, since the clock
        advances while this process is paused.
        """
        link = self.link
        if link is None or self.agent_started_at is None:
            return
        self.unanswered_samples += 1
        if self.unanswered_samples > MAX_UNANSWERED_SAMPLES:
            link.read(lambda buffer: self.read_messages(link, buffer))  # an answer may wait unread
        if self.unanswered_samples > MAX_UNANSWERED_SAMPLES and link.open:
            self.counters.count("agent.silent")
            link.close("no message from the agent")
        if link.open and self.is_synchronized:
            link.write(encode_line(op="sample", tag="tick"))

    def core_utilization(self) -> float | None:
        """Return the fraction of the cores in use, from 0 to 1, or None if no recent sample has it."""
        is_fresh = self.scheduler.now - self.gauges_received_at <= MAX_GAUGE_AGE
        return self.gauge_values.get("core_use") if is_fresh else None

    # ---- the link ------------------------------------------------------------------------------------------

    def maintain_link(self) -> None:
        """Open the link, process messages until it is lost, and open it again; never return.

        The delay before the next attempt grows while attempts fail, and starts again after a connection that
        brought a notice or was synchronized. After a change of address there is no delay.
        """
        delay = INITIAL_RECONNECT_DELAY
        while True:
            address = self.address
            self.connector = Connector(self.scheduler, address)
            try:
                # A reply sent after the agent has closed is lost, but looks as if it might have arrived.
                link = Connection(
                    self.scheduler,
                    self.connector.open(),
                    2 * MAX_LINE_BYTES,
                    self.max_unsent_bytes,
                    sends_after_peer_closed=False,
                )
            except OSError as error:
                self.log.fault("agent_unreachable", why=str(error))
                if address == self.address:
                    self.scheduler.sleep(self.scheduler.now + delay)
                    delay = min(2 * delay, MAX_RECONNECT_DELAY)
                continue
            if address != self.address:
                link.close("address of the agent changed")
                continue
            last_notice_before = self.last_notice
            why = self.serve_link(link)
            if link.malformed:
                self.counters.count("agent.malformed")
            if address == self.address:
                self.counters.count("agent.lost")
                self.log.fault("agent_link_lost", why=why, last=self.last_notice, runs=len(self.runs))
                delay = (
                    INITIAL_RECONNECT_DELAY
                    if self.last_notice > last_notice_before or self.is_synchronized
                    else min(2 * delay, MAX_RECONNECT_DELAY)
                )
            self.link, self.is_synchronized = None, False
            if address == self.address:
                self.scheduler.sleep(self.scheduler.now + delay)

    def change_address(self, address: tuple[str, int]) -> None:
        """Close the link and open it to another address, where the same sequence of notices continues."""
        if address != self.address:
            self.address = address
            self.log.info("agent_address_changed", last=self.last_notice, runs=len(self.runs))
            if self.link is not None:
                self.link.close("address of the agent changed")
            if self.connector is not None:
                self.connector.cancel()

    def serve_link(self, link: Connection) -> str:
        """Subscribe to the notices after the last one and process messages until the link is closed.

        Returns:
            The reason of the close.
        """
        self.link, self.is_synchronized, self.unanswered_samples = link, False, 0
        self.counters.count("agent.links")
        link.write(encode_line(op="subscribe", seq=self.last_notice))
        try:
            return link.serve(lambda buffer: self.read_messages(link, buffer))
        finally:
            link.close("unhandled exception")
            for context in self.runs.values():
                for order in context.pending_orders:
                    order.handle_link_lost(link)

    def read_messages(self, link: Connection, buffer: Buffer) -> None:
        """Process the complete messages in the buffer.

        Raises:
            MalformedMessageError: If a message is not valid; the messages before it have been processed.
        """
        while link.open and (line := buffer.read_line(MAX_LINE_BYTES)) is not None:
            self.unanswered_samples = 0
            self.handle_message(parse_message(line))

    # ---- messages of the agent -----------------------------------------------------------------------------

    def handle_message(self, message: AgentMessage) -> None:
        """Process a message by its kind."""
        match message:
            case Greeting():
                self.handle_greeting(message)
            case Sample():
                self.handle_sample(message)
            case Refusal():
                self.handle_refusal(message)
            case notice:
                self.handle_notice(notice)

    def handle_refusal(self, refusal: Refusal) -> None:
        """Handle the agent's message that it did not carry out an order.

        After a refused `launch` the run never starts. After a refused `deliver` or `forgo` the agent no
        longer knows the run, so its outcome stays unknown. A refusal of another order is only counted and
        logged.
        """
        order, request_id = refusal.order, refusal.request_id
        self.counters.count("agent.declined")
        self.log.fault("agent_order_refused", order=order, id=request_id)
        context = self.runs.get(request_id)
        if context is not None and order in (OrderKind.LAUNCH, OrderKind.DELIVER, OrderKind.SKIP_CALL):
            del self.runs[request_id]
            context.pending_orders = []
            (self.on_launch_refused if order == OrderKind.LAUNCH else self.on_outcome_unknown)(context)

    def handle_greeting(self, greeting: Greeting) -> None:
        """Handle the first message of a connection, and send the fence that marks the last repeated notice.

        An agent that started later than the one before has lost its runs, and numbers its notices from 1.
        """
        started_at = self.scheduler.now - max(0, greeting.age)
        if self.agent_started_at is None:
            self.on_handshake(greeting.is_cold, started_at)
        elif started_at > self.agent_started_at + START_TIME_TOLERANCE:
            self.log.fault("agent_restarted")
            self.has_notice_gap, self.last_notice = True, 0
        self.agent_started_at = started_at
        self.fence_number += 1
        if self.link is not None:
            self.link.write(encode_line(op="sample", tag=f"fence-{self.fence_number}"))

    def handle_notice(self, notice: Notice) -> None:
        """Process a notice once, by its number.

        If notices before it are missing, a synchronized link is closed instead, and the agent repeats them on
        the next connection. On a link that is not synchronized they are lost, and the notice is processed.
        """
        number = notice.notice_number
        if number <= self.last_notice:
            return
        if number > self.last_notice + 1:
            self.counters.count("agent.gaps")
            if self.is_synchronized and self.link is not None:
                # The agent still has the missing notices, and repeats them on a new connection.
                self.link.close(f"received notice {number} after {self.last_notice}")
                return
            self.log.fault("agent_notices_missing", last=self.last_notice, next=number)
            self.has_notice_gap = True
        self.last_notice = number
        match notice:
            case Remark(text=text):
                self.counters.count("agent.asides")
                self.log.fault("agent_remark", text=text)
            case CallRequest(request_id=request_id) if request_id in self.runs:
                self.handle_call_request(notice)
            case RunEnd(request_id=request_id) if request_id in self.runs:
                self.handle_run_end(notice)
            case RunEnd():
                self.counters.count("agent.unknown")
                self.on_unknown_run_ended(notice.request_id, notice.outcome, notice.result)
            case CallRequest():
                self.counters.count("agent.unknown")

    def handle_call_request(self, call_request: CallRequest) -> None:
        """Handle the notice that a run needs a downstream call; its pending orders are thereby answered."""
        context = self.runs[call_request.request_id]
        context.pending_orders = []
        self.on_call_needed(context, call_request.notice_number, call_request.body)

    def handle_run_end(self, run_end: RunEnd) -> None:
        """Handle the notice that a run has ended; its pending orders are thereby answered."""
        context = self.runs.pop(run_end.request_id)
        context.pending_orders = []
        self.on_run_ended(context, run_end.outcome, run_end.result, run_end.elapsed)

    def handle_sample(self, sample: Sample) -> None:
        """Store the gauges of a sample; one with the newest fence as its tag completes synchronization."""
        if sample.tag == f"fence-{self.fence_number}":
            self.finish_synchronization()
        self.counters.count("agent.samples")
        self.gauge_values = dict(zip(self.gauge_names, sample.values, strict=False))
        self.gauges_received_at = self.scheduler.now

    def finish_synchronization(self) -> None:
        """Send pending orders again, once the agent has repeated all notices that were missed.

        After a gap in the notices, the outcome of every run may be among the lost ones: all are given up.
        """
        self.is_synchronized = True
        if self.link is None:
            return
        if self.fence_number > 1:
            self.log.info("agent_link_restored", last=self.last_notice, runs=len(self.runs))
        for context in list(self.runs.values()):
            if self.has_notice_gap:
                # The outcome of the run may be among the notices that are lost for good.
                del self.runs[context.request_id]
                self.on_outcome_unknown(context)
            else:
                self.repeat_orders(self.link, context)
        self.has_notice_gap = False

    def repeat_orders(self, link: Connection, context: RequestContext) -> None:
        """Send the pending orders of a run on a new link, but for a reply that may have arrived before.

        Orders that may have arrived, and are repeated nevertheless, are counted and logged.
        """
        unconfirmed_replies = [order for order in context.pending_orders if not order.may_be_repeated]
        context.pending_orders = [order for order in context.pending_orders if order.may_be_repeated]
        for order in context.pending_orders:
            if order.may_have_arrived:
                self.counters.count(f"agent.repeated_{order.kind.value}")
                self.log_earlier_order("agent_order_repeated", context, order)
            order.write_to(link, self.scheduler.now)
        for order in unconfirmed_replies:
            self.counters.count("agent.unconfirmed_replies")
            self.log_earlier_order("agent_reply_unconfirmed", context, order)
            if not context.pending_orders:
                self.on_reply_unconfirmed(context)

    def log_earlier_order(self, event: str, context: RequestContext, order: PendingOrder) -> None:
        """Log an event about an order that was written to an earlier link."""
        ms_ago = (self.scheduler.now - (order.written_at or 0)) // MS
        self.log.info(event, order=order.kind.value, id=context.request_id, ms_ago=ms_ago)
