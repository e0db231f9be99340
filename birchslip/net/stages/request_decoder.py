"""The request decoder: validates requests from routers, and answers malformed ones with an error.

Its counters are named `take_in.*`.
"""

from __future__ import annotations

from collections.abc import Callable

from ...admission.types import AdmissionSettings, Idempotency, Request, Tenant
from ...errors import InvalidInputError
from ..client import Client
from ..counters import Counters
from ..log import Log
from ..request_context import MAX_CLOCK_SKEW, DecodedRequest, RequestContext
from ..scheduler import Scheduler


class RequestDecoder:
    """Builds the context of each request and submits it for admission.

    Attributes:
        request_classes: The request classes by name.
        tenants: The tenants by name; empty if tenants are not configured.
        submit: Passes a request to the admission stage.
        is_id_in_use: Whether a request with this id is open, or was launched before.
        register: Records that a request is open.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        counters: Counters,
        log: Log,
        settings: AdmissionSettings,
        class_names: list[str],
        tenant_names: list[str],
    ) -> None:
        """Set up the lookup of request classes and tenants; the callbacks are set by the program.

        Args:
            scheduler: Gives the present time.
            counters: Where requests are counted.
            log: Where malformed requests and exceptions are logged.
            settings: The request classes and tenants.
            class_names: The names of the request classes, in the order of the settings.
            tenant_names: The names of the tenants, in the order of the settings.
        """
        self.scheduler, self.counters, self.log = scheduler, counters, log
        self.request_classes = dict(zip(class_names, settings.request_classes, strict=True))
        self.tenants = dict(zip(tenant_names, settings.tenants, strict=True))
        self.submit: Callable[[RequestContext], None]
        self.is_id_in_use: Callable[[str], bool]
        self.register: Callable[[RequestContext], None]

    def __call__(self, channel: Client, message_id: int, decode: Callable[[], DecodedRequest]) -> None:
        """Decode, register and submit one request.

        A malformed request, or one whose decoding raises any other exception, is answered with an error.

        Args:
            channel: The connection that it arrived on.
            message_id: The id of its message.
            decode: Decodes the message; raises `InvalidInputError` if it is malformed.
        """
        try:
            context = self.build_context(channel, message_id, decode())
        except InvalidInputError as error:
            self.counters.count("take_in.malformed")
            self.log.fault("malformed_request", why=str(error))
            channel.send_error(message_id, str(error))
            return
        except Exception as error:
            self.counters.count("book.faults")
            self.log.trace("request_decoding_failed", error)
            channel.send_error(message_id)
            return
        self.counters.count("take_in.taken")
        self.register(context)
        self.submit(context)

    def build_context(self, channel: Client, message_id: int, decoded: DecodedRequest) -> RequestContext:
        """Validate a request and build its context.

        Raises:
            InvalidInputError: The request is invalid; the message is sent to the router.
        """
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
            raise InvalidInputError("the id of one that is open or was launched before")
        # The time of receipt is never in the future. For the decisions it is also never longer ago than the
        # deadline of the class, or a single wrong timestamp would look like a backlog. Repeats of a key are
        # found by `received_at`, which has no such lower bound, however late they are processed.
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
        """Return the tenant of this name, or None if tenants are not configured.

        Raises:
            InvalidInputError: There is no tenant of this name.
        """
        if not self.tenants:
            return None
        if name not in self.tenants:
            raise InvalidInputError(f"no such tenant: {name[:40]!r}")
        return self.tenants[name]
