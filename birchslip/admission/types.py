"""Requests, settings, the events that the decisions receive, and the actions that they return.

These types do not depend on a protocol: each protocol decodes its messages into them. A time is a whole
number of tenths of a millisecond, a size is a whole number of bytes, and a share is a fraction.
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple

from .log_events import LogEvent
from .quota_meter import UNMETERED, QuotaMeter
from .units import MS as MS
from .units import SECOND as SECOND


class Idempotency(Enum):
    """How often a request may run: any number of times, once per idempotency key, or at most once."""

    IDEMPOTENT = "idempotent"
    KEYED = "keyed"
    NON_IDEMPOTENT = "non_idempotent"


class Preemption(Enum):
    """Whether a run can be stopped, and whether its work is then lost or kept."""

    OFF = "off"
    DROP = "drop"
    PAUSE = "pause"


class Downstream(Enum):
    """The kind of downstream service; the calls to a shared one are bounded by a quota."""

    NONE = "off"
    SHARED = "shared"
    TIER = "tier"


@dataclass(eq=False, slots=True)
class RequestClass:
    """A class of requests with the same value, deadlines and idempotency.

    `late_weight` is the value of an answer past the latency objective, `weight_without_call` the value of an
    answer without its call downstream. `key_retention` applies to keyed requests.
    """

    idempotency: Idempotency
    latency_objective: int
    deadline: int
    late_weight: float = 0.0
    key_retention: int = 0
    weight_without_call: float = 0.0
    priority_weight: float = 1.0

    @property
    def may_skip_calls(self) -> bool:
        """Whether a run of this class may continue without its call downstream."""
        return self.weight_without_call > 0


@dataclass(eq=False, slots=True)
class Tenant:
    """A configured tenant; its quota is in requests a second for the whole fleet, 0 for none."""

    quota: float = 0.0


@dataclass(eq=False, slots=True)
class AdmissionSettings:
    """Settings of an app server at its start; the defaults apply to absent settings.

    The app server survives `overload_multiple` running requests per core. After a cold start it survives
    fewer: of those beyond one per core, the share `cold_start_speed`, which rises to 1 over `warm_up_span`.
    An abandoned call counts as in flight for `abandoned_call_linger`. A `caller_count` of 0 means that the
    number of callers is unknown.
    """

    request_classes: list[RequestClass]
    tenants: list[Tenant] = field(default_factory=list)
    cores: int = 1
    memory_limit: int = 1 << 30
    running_memory_factor: float = 1.0
    idempotency_key_size: int = 0
    preemption: Preemption = Preemption.OFF
    fleet_size: int = 1
    starts_cold: bool = False
    cold_start_speed: float = 1.0
    warm_up_span: int = 0
    overload_multiple: float = 3.0
    drain_grace: int = 0
    downstream: Downstream = Downstream.NONE
    downstream_quota: float = 1.0
    downstream_quota_window: int = SECOND
    abandoned_call_linger: int = 0
    sends_retry_after: bool = False
    max_retry_after: int = 0
    keepalive_timeout: int = 30 * SECOND
    caller_count: int = 0
    sends_criticality: bool = False
    seed: int = 1


class RequestState(Enum):
    """The state of a request; a request that is not yet admitted is in state `COMPLETED` as well.

    COMPLETED        -> QUEUED (admitted) | ATTACHED (a repeat)
    QUEUED           -> RUNNING (turn granted) | COMPLETED (rejected, caller gone)
    RUNNING          -> WAITING_FOR_CALL (needs a call) | COMPLETED (run ended)
    WAITING_FOR_CALL -> CALLING (turn granted) | RUNNING (call skipped) | COMPLETED (run ended)
    CALLING          -> RUNNING (served, skipped) | WAITING_FOR_CALL (retried) | COMPLETED (run ended)
    ATTACHED         -> COMPLETED (original ended, deadline)
    """

    QUEUED = "queued"
    RUNNING = "running"
    WAITING_FOR_CALL = "waiting_for_call"
    CALLING = "calling"
    ATTACHED = "attached"
    COMPLETED = "completed"


@dataclass(eq=False, slots=True, weakref_slot=True)
class Request:
    """One request as it was read; the fields from `state` on are set by the decisions.

    `arrived_at` is when the request was received, which may be long before it was read. On sockets this is
    the router's timestamp, bounded: it is never longer ago than the deadline of the class, or a single wrong
    timestamp would look like a backlog. `RequestContext.received_at` is the time without that bound.

    `context` holds the server's own data of the request; it is dropped together with `steps` once the request
    is over.
    """

    request_class: RequestClass
    caller: int
    arrived_at: int
    deadline: int
    size: int
    cost_hint: int = 0
    tenant: Tenant | None = None
    original: Request | None = None
    is_retry: bool = False

    state: RequestState = RequestState.COMPLETED
    latency_deadline: int = 0
    eligible_at: int = 0
    sequence: int = 0
    counted_at: int = 0
    quota_meter: QuotaMeter = UNMETERED
    downstream_calls: int = 0
    holds_key: bool = False
    running_since: int = 0
    core_time_used: int = 0
    call_started_at: int = 0
    memory_held: int = 0
    has_started: bool = False
    is_answered: bool = False
    steps: Generator[Action, Event, None] | None = None
    context: Any = None


class Outcome(Enum):
    """How a run or a call ended; with one of the last three it certainly never ran.

    The values are parts of counter names.
    """

    SERVED = "honoured"
    FAILED = "erred"
    TIMED_OUT = "overdue"
    CONNECTION_LOST = "severed"
    CANCELLED = "recalled"
    REJECTED = "saturated"
    UNREACHABLE = "unreached"
    SUPERSEDED = "moot"


NEVER_RAN_OUTCOMES = frozenset((Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.SUPERSEDED))


# Events that resume the steps of a request: the first four come from the server, the last two from `settle`.


@dataclass(slots=True)
class RunEnded:
    """The run of the request has ended.

    `elapsed` is the time since the run's start. `frees_key` says that the run never began and that its
    idempotency key can be used again.
    """

    outcome: Outcome
    elapsed: int = 0
    frees_key: bool = False


@dataclass(slots=True)
class CallNeeded:
    """The run of the request has released its core and needs a call downstream."""


@dataclass(slots=True)
class CallEnded:
    """The call of the request has ended; `elapsed` is the time since the call's start."""

    outcome: Outcome
    elapsed: int = 0


@dataclass(slots=True)
class CallerGone:
    """The caller of the request has disconnected or no longer waits."""


@dataclass(slots=True)
class TurnGranted:
    """The request may now run, or make its call."""


@dataclass(slots=True)
class WaitExpired:
    """The request can't be answered in time any more, or has to be answered now."""


Event = RunEnded | CallNeeded | CallEnded | CallerGone | TurnGranted | WaitExpired


class WakeUp(NamedTuple):
    """A waiting request and the event that it is resumed with."""

    request: Request
    event: Event


# Actions that the steps of a request may yield. After each of the first five, the steps wait for an event.


@dataclass(slots=True)
class Wait:
    """Do nothing until the next event of the request."""


@dataclass(slots=True)
class StartRun:
    """Start the run of the request."""


@dataclass(slots=True)
class CallDownstream:
    """Make the call downstream, and abandon it after the timeout."""

    timeout: int


@dataclass(slots=True)
class SkipCall:
    """Continue the run without its call."""


@dataclass(slots=True)
class AttachToOriginal:
    """Answer the request with the outcome of its original."""


@dataclass(slots=True)
class StopRun:
    """Stop the run of the request."""


@dataclass(slots=True)
class StoreKey:
    """Store the idempotency key of the request for the time `retention` from now on."""

    retention: int


@dataclass(slots=True)
class ReleaseKey:
    """Delete the idempotency key of a request that never ran."""


@dataclass(slots=True)
class Reject:
    """Answer that the request never ran; with a `retry_after` of 0 the answer has no Retry-After.

    `stop_retrying` asks the caller not to retry on another app server.
    """

    retry_after: int = 0
    stop_retrying: bool = False


@dataclass(slots=True)
class Fail:
    """Answer that the request failed."""


# Actions for the app server as a whole.


@dataclass(slots=True)
class SetTimer:
    """Call `tick` at the time `at`."""

    at: int


@dataclass(slots=True)
class SetHealth:
    """Set the health of the app server, and of its store, that health checks report."""

    is_healthy: bool
    is_store_healthy: bool = True


@dataclass(slots=True)
class SetIdleTimeout:
    """Close connections that have been idle for `timeout`; with 0 only callers close them."""

    timeout: int


@dataclass(slots=True)
class AdvertiseCriticality:
    """Send the criticality level `value` with every answer from now on."""

    value: float


Action = (
    Wait
    | StartRun
    | CallDownstream
    | SkipCall
    | AttachToOriginal
    | StopRun
    | StoreKey
    | ReleaseKey
    | Reject
    | Fail
)
ServerAction = SetTimer | SetHealth | SetIdleTimeout | AdvertiseCriticality | LogEvent
WAITING_ACTIONS = (Wait, StartRun, CallDownstream, SkipCall, AttachToOriginal)


class SheddingTier(Enum):
    """Tiers of requests that a plan drops one after the other, in an order set by the operators.

    The values are the words of the fleet file.
    """

    OVER_QUOTA = "beyond"  # past its tenant's quota
    RETRY = "again"  # a retry or a duplicate
    EVACUATED = "visitor"  # from the lost site, by priority weight per service time
    LOCAL = "home"


@dataclass(frozen=True, slots=True)
class PlanOverride:
    """The part of a fleet plan that applies to this app server: quotas and the shedding order.

    `term` is the term of the leader that made the plan, and `number` counts that leader's plans. The plan
    applies until `expires_at` and then fades over `fade_span`. `quotas` are in requests a second on this app
    server. `evacuated_callers` come from a lost site and share the quota `evacuated_quota`.
    `serving_fraction` is the share of the cores that may be used during a recovery ramp, and
    `is_capacity_short` is set if no app server has room.
    """

    term: int
    number: int
    expires_at: int
    fade_span: int
    quotas: dict[Tenant, float] = field(default_factory=dict)
    evacuated_callers: frozenset[int] = frozenset()
    evacuated_quota: float = 0.0
    shedding_order: tuple[SheddingTier, ...] = tuple(SheddingTier)
    serving_fraction: float = 1.0
    is_capacity_short: bool = False


@dataclass(slots=True)
class Gauges:
    """Gauges of the app server, from 0 to 1; None for a gauge that it does not have."""

    core_utilization: float | None = None
