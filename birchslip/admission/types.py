"""What the decisions in `controller.py` are told, what they may ask for, and what they hear back.

Types only, and no wire: a second protocol fills the same types. A time is a whole number of tenths of a
millisecond, a size is a whole number of bytes, and a share is a fraction.
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

SECOND = 10_000
MS = SECOND // 1000


class Idempotency(Enum):
    """What a profile's repeat may do."""

    IDEMPOTENT = "redoable"
    KEYED = "labelled"
    NON_IDEMPOTENT = "irreversible"


class Preemption(Enum):
    """What stopping a run does to the work it has done."""

    OFF = "off"
    DROP = "drop"
    PAUSE = "pause"


class Downstream(Enum):
    """What lies below the app server."""

    NONE = "off"
    SHARED = "shared"
    TIER = "tier"


@dataclass(eq=False, slots=True)
class RequestClass:
    """One profile. `window` counts for labelled ones, `skip_payoff` is what is earned without the call."""

    idempotency: Idempotency
    latency_objective: int
    deadline: int
    late_weight: float = 0.0
    key_retention: int = 0
    weight_without_call: float = 0.0
    priority_weight: float = 1.0


@dataclass(eq=False, slots=True)
class Tenant:
    """A told tenant; its quota is in transactions a second over the whole fleet, 0 for none."""

    quota: float = 0.0


@dataclass(eq=False, slots=True)
class AdmissionSettings:
    """What an app server is told at its start. The defaults hold where a setting is absent."""

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
    """Where a transaction is."""

    QUEUED = "hold"
    RUNNING = "cores"
    WAITING_FOR_CALL = "call queue"
    CALLING = "calling"
    ATTACHED = "attached"
    COMPLETED = "ended"


@dataclass(eq=False, slots=True, weakref_slot=True)
class Request:
    """One transaction, as read; what stands below the line belongs to the decisions."""

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
    quota_meter: Any = None
    downstream_calls: int = 0
    holds_key: bool = False
    running_since: int = 0
    core_time_used: int = 0
    call_started_at: int = 0
    memory_held: int = 0
    has_started: bool = False
    is_answered: bool = False
    steps: Generator[Action, Any, None] | None = None
    context: Any = None  # what the door keeps of it, until the path has ended


class Outcome(Enum):
    """How a run or a call ended. The last three prove that it never ran."""

    SERVED = "honoured"
    FAILED = "erred"
    TIMED_OUT = "overdue"
    CONNECTION_LOST = "severed"
    CANCELLED = "recalled"
    REJECTED = "saturated"
    UNREACHABLE = "unreached"
    SUPERSEDED = "moot"


NEVER_RAN_OUTCOMES = frozenset((Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.SUPERSEDED))


# What a transaction's generator is resumed with: the outside's news, and the decisions' own two signals.


@dataclass(slots=True)
class RunEnded:
    outcome: Outcome
    elapsed: int = 0


@dataclass(slots=True)
class CallNeeded:
    pass


@dataclass(slots=True)
class CallEnded:
    outcome: Outcome
    elapsed: int = 0


@dataclass(slots=True)
class CallerGone:
    pass


@dataclass(slots=True)
class TurnGranted:
    """Its turn has come."""


@dataclass(slots=True)
class WaitExpired:
    """It is no longer worth waiting for."""


Event = RunEnded | CallNeeded | CallEnded | CallerGone | TurnGranted | WaitExpired


# What a generator may yield. The first five wait for an event, the others are resumed at once.


@dataclass(slots=True)
class Wait:
    """Nothing to do until something happens; a held transaction stays held."""


@dataclass(slots=True)
class StartRun:
    pass


@dataclass(slots=True)
class CallDownstream:
    timeout: int


@dataclass(slots=True)
class SkipCall:
    pass


@dataclass(slots=True)
class AttachToOriginal:
    pass


@dataclass(slots=True)
class StopRun:
    pass


@dataclass(slots=True)
class StoreKey:
    retention: int


@dataclass(slots=True)
class ReleaseKey:
    pass


@dataclass(slots=True)
class Reject:
    """The final answer that it never ran; `after` 0 gives no advice, `last` asks not to try elsewhere."""

    retry_after: int = 0
    stop_retrying: bool = False


@dataclass(slots=True)
class Fail:
    """The final answer that it failed."""


# What the decisions may ask for the app server as a whole.


@dataclass(slots=True)
class SetTimer:
    at: int


@dataclass(slots=True)
class SetHealth:
    is_healthy: bool
    is_store_healthy: bool = True


@dataclass(slots=True)
class SetIdleTimeout:
    """Connections that have carried nothing for so long are closed."""

    timeout: int


@dataclass(slots=True)
class AdvertiseCriticality:
    """The free value that goes with every answer from now on, where the deployment's callers heed a level."""

    value: float


@dataclass(slots=True)
class LogEvent:
    text: str


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
    """What a plan may have refused before other work; the operators order them."""

    OVER_QUOTA = "beyond"  # beyond its tenant's share
    RETRY = "again"  # a further try or a second copy
    EVACUATED = "visitor"  # from the lost site, by payoff per work
    LOCAL = "home"


@dataclass(frozen=True, slots=True)
class PlanOverride:
    """A plan in force at this app server: quotas told anew while in service, and the order of refusal.

    `epoch` is that of the plan's leader and `number` counts its plans. It holds until `until` and then fades
    over `fade`. `quotas` are transactions a second here; `visitors` are callers whose home is lost, and
    `visits` is the quota of them all together. `level` is the share of the cores that may be used while it is
    let back in; `short` says that no one has room.
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
    """The app server's own gauges; None where it has no such gauge."""

    core_utilization: float | None = None
