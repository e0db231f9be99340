"""Requests and settings, the events that decisions receive, and the actions that they return.

Types only, and no wire: each protocol fills the same types. A time is a whole number of tenths of a
millisecond, a size is a whole number of bytes, and a share is a fraction.
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
    """What a repeat of a request may do: any harm, none, or none with its idempotency key."""

    IDEMPOTENT = "idempotent"
    KEYED = "keyed"
    NON_IDEMPOTENT = "non_idempotent"


class Preemption(Enum):
    """What stopping a run does to the work it has done."""

    OFF = "off"
    DROP = "drop"
    PAUSE = "pause"


class Downstream(Enum):
    """The service below the app server."""

    NONE = "off"
    SHARED = "shared"
    TIER = "tier"


@dataclass(eq=False, slots=True)
class RequestClass:
    """A class of requests with the same worth and effect.

    `late_weight` is what an answer past the latency objective earns, `weight_without_call` what one earns
    without its call downstream; `key_retention` counts for keyed requests.
    """

    idempotency: Idempotency
    latency_objective: int
    deadline: int
    late_weight: float = 0.0
    key_retention: int = 0
    weight_without_call: float = 0.0
    priority_weight: float = 1.0


@dataclass(eq=False, slots=True)
class Tenant:
    """A configured tenant; its quota is in requests a second over the whole fleet, 0 for none."""

    quota: float = 0.0


@dataclass(eq=False, slots=True)
class AdmissionSettings:
    """Settings of an app server at its start. The defaults apply where a setting is absent."""

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
    """Where a request is; `COMPLETED` also before it is queued, when nothing of it is here.

    COMPLETED        -> QUEUED (admitted) | ATTACHED (a repeat)
    QUEUED           -> RUNNING (its turn) | COMPLETED (rejected, caller gone)
    RUNNING          -> WAITING_FOR_CALL (needs a call) | COMPLETED (run ended)
    WAITING_FOR_CALL -> CALLING (its turn) | RUNNING (call skipped) | COMPLETED (run ended)
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
    """One request as it was read; the fields from `state` on belong to the decisions.

    `context` is what the server stores with it; it is dropped with `steps` once the request is over.
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
    """How a run or a call ended. The last three prove that it never ran.

    The values are part of the names of counters.
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


# Events that a request's steps are resumed with: four from outside, two from the decisions themselves.


@dataclass(slots=True)
class RunEnded:
    """Its run has ended; `elapsed` is the time since its start."""

    outcome: Outcome
    elapsed: int = 0


@dataclass(slots=True)
class CallNeeded:
    """It has left its core and needs a call downstream."""


@dataclass(slots=True)
class CallEnded:
    """Its call has ended; `elapsed` is the time since the call."""

    outcome: Outcome
    elapsed: int = 0


@dataclass(slots=True)
class CallerGone:
    """Its caller waits no longer."""


@dataclass(slots=True)
class TurnGranted:
    """Its turn to run or to call has come."""


@dataclass(slots=True)
class WaitExpired:
    """Waiting for it is useless, or its deadline has come."""


Event = RunEnded | CallNeeded | CallEnded | CallerGone | TurnGranted | WaitExpired


class WakeUp(NamedTuple):
    """A waiting request and the event that it is resumed with."""

    request: Request
    event: Event


# Actions that a request's steps may yield. After the first five they wait for an event.


@dataclass(slots=True)
class Wait:
    """Do nothing until something happens to it."""


@dataclass(slots=True)
class StartRun:
    """Start its run."""


@dataclass(slots=True)
class CallDownstream:
    """Make its call, and give it up after the timeout."""

    timeout: int


@dataclass(slots=True)
class SkipCall:
    """Let its run go on without its call."""


@dataclass(slots=True)
class AttachToOriginal:
    """Answer it with the outcome of its original."""


@dataclass(slots=True)
class StopRun:
    """Stop its run."""


@dataclass(slots=True)
class StoreKey:
    """Store its idempotency key for this long from now on."""

    retention: int


@dataclass(slots=True)
class ReleaseKey:
    """Forget its idempotency key: it never ran."""


@dataclass(slots=True)
class Reject:
    """Answer that it never ran; a `retry_after` of 0 gives no advice."""

    retry_after: int = 0
    stop_retrying: bool = False


@dataclass(slots=True)
class Fail:
    """Answer that it failed."""


# Actions for the app server as a whole.


@dataclass(slots=True)
class SetTimer:
    """Send a tick at this time."""

    at: int


@dataclass(slots=True)
class SetHealth:
    """Answer health checks from now on as said."""

    is_healthy: bool
    is_store_healthy: bool = True


@dataclass(slots=True)
class SetIdleTimeout:
    """Close connections that have carried nothing for so long; 0 leaves them to their callers."""

    timeout: int


@dataclass(slots=True)
class AdvertiseCriticality:
    """Send this criticality level with every answer from now on."""

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
    """Requests that a plan may have dropped before others; the operators order them.

    The values are the words of the fleet file.
    """

    OVER_QUOTA = "beyond"  # past its tenant's quota
    RETRY = "again"  # a further try or a second copy
    EVACUATED = "visitor"  # from the lost site, by priority weight per service time
    LOCAL = "home"


@dataclass(frozen=True, slots=True)
class PlanOverride:
    """A plan of the fleet for this app server: quotas in service, and the order in which requests drop.

    `term` is that of the leader who made the plan, and `number` counts its plans. It applies until
    `expires_at` and then fades over `fade_span`. `quotas` are requests a second here;
    `evacuated_callers` come from a lost site, and `evacuated_quota` is the quota of them all together.
    `serving_fraction` is the share of the cores that may be used while this app server is let back in;
    `is_capacity_short` says that no app server has room.
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
    """Gauges of the app server itself; None where it has no such gauge."""

    core_utilization: float | None = None
