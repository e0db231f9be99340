"""Take in: what a peer told of a transaction becomes a passage, or an error that names what is wrong."""

from __future__ import annotations

from collections.abc import Callable

from ...admission.types import SECOND, AdmissionSettings, Idempotency, Request, Tenant
from ...errors import InvalidInputError
from ..clients import Client
from ..counters import Counters
from ..log import Log
from ..request_context import DecodedRequest, RequestContext
from ..scheduler import Scheduler

MAX_CLOCK_SKEW = 60 * SECOND  # told times lie within a minute of ours: one machine has one clock


class RequestDecoder:
    def __init__(
        self,
        scheduler: Scheduler,
        counters: Counters,
        log: Log,
        settings: AdmissionSettings,
        class_names: list[str],
        tenant_names: list[str],
    ) -> None:
        self.scheduler, self.counters, self.log = scheduler, counters, log
        self.request_classes = dict(zip(class_names, settings.request_classes, strict=True))
        self.tenants = dict(zip(tenant_names, settings.tenants, strict=True))
        self.submit: Callable[[RequestContext], None]
        self.is_id_in_use: Callable[[str], bool]
        self.register: Callable[[RequestContext], None]

    def __call__(self, channel: Client, message_id: int, decode: Callable[[], DecodedRequest]) -> None:
        """`decode` reads the message, and may find it malformed."""
        try:
            context = self.build_context(channel, message_id, decode())
        except InvalidInputError as error:
            self.counters.count("take_in.malformed")
            self.log.fault("a transaction that can't be taken in", why=str(error))
            channel.send_error(message_id, str(error))
            return
        except Exception as error:
            self.counters.count("book.faults")
            self.log.trace("a fault in taking in", error)
            channel.send_error(message_id)
            return
        self.counters.count("take_in.taken")
        self.register(context)
        self.submit(context)

    def build_context(self, channel: Client, message_id: int, decoded: DecodedRequest) -> RequestContext:
        if decoded.class_name not in self.request_classes:
            raise InvalidInputError(f"no such profile: {decoded.class_name[:40]!r}")
        request_class = self.request_classes[decoded.class_name]
        is_keyed = request_class.idempotency is Idempotency.KEYED
        if is_keyed != bool(decoded.idempotency_key):
            raise InvalidInputError(
                "a labelled transaction without its label" if is_keyed else "a label where none is due"
            )
        if is_keyed and decoded.has_subject:
            raise InvalidInputError("a labelled transaction that names what it reads")
        if self.is_id_in_use(decoded.request_id):
            raise InvalidInputError("the id of one that is open")
        # Never in the future; and for the decisions never longer ago than a client waits, or one absurd time
        # would look like a backlog. What a label repeats is found by the time told, however late it is read.
        now = self.scheduler.now
        if abs(decoded.router_timestamp - now) > MAX_CLOCK_SKEW:
            raise InvalidInputError("it came at a time that can't be")
        received_at = min(decoded.router_timestamp, now)
        arrived_at = max(now - request_class.deadline, received_at)
        deadline = max(now, arrived_at + min(decoded.timeout, request_class.deadline))
        request = Request(
            request_class,
            caller=decoded.caller,
            arrived_at=arrived_at,
            deadline=deadline,
            size=decoded.size,
            tenant=self.find_tenant(decoded.tenant),
            is_retry=decoded.is_retry,
        )
        context = RequestContext(
            channel,
            message_id,
            decoded.request_id,
            decoded.class_name,
            decoded.body,
            request,
            received_at,
            decoded.idempotency_key,
        )
        context.router_timestamp = decoded.router_timestamp
        return context

    def find_tenant(self, name: str) -> Tenant | None:
        if not self.tenants:
            return None
        if name not in self.tenants:
            raise InvalidInputError(f"no such tenant: {name[:40]!r}")
        return self.tenants[name]
