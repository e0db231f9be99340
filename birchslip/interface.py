"""What the decisions in `brain.py` are told, what they may ask for, and what they hear back.

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


class Kind(Enum):
    """What a profile's repeat may do."""

    REDOABLE = "redoable"
    LABELLED = "labelled"
    IRREVERSIBLE = "irreversible"


class Halt(Enum):
    """What stopping a run does to the work it has done."""

    OFF = "off"
    DROP = "drop"
    PAUSE = "pause"


class Below(Enum):
    """What lies below the app server."""

    OFF = "off"
    SHARED = "shared"
    TIER = "tier"


@dataclass(eq=False, slots=True)
class Profile:
    """One profile. `window` counts for labelled ones, `skip_payoff` is what is earned without the call."""

    kind: Kind
    goal: int
    deadline: int
    late_payoff: float = 0.0
    window: int = 0
    skip_payoff: float = 0.0
    payoff: float = 1.0


@dataclass(eq=False, slots=True)
class Tenant:
    """A told tenant; its quota is in transactions a second over the whole fleet, 0 for none."""

    quota: float = 0.0


@dataclass(eq=False, slots=True)
class Deployment:
    """What an app server is told at its start. The defaults hold where a setting is absent."""

    profiles: list[Profile]
    tenants: list[Tenant] = field(default_factory=list)
    cores: int = 1
    memory: int = 1 << 30
    run_factor: float = 1.0
    key_size: int = 0
    halt: Halt = Halt.OFF
    fleet: int = 1
    cold: bool = False
    cold_from: float = 1.0
    cold_span: int = 0
    crowd_multiple: float = 3.0
    grace: int = 0
    below: Below = Below.OFF
    calls_share: float = 1.0
    calls_span: int = SECOND
    linger: int = 0
    advises: bool = False
    longest_advice: int = 0
    keepalive: int = 30 * SECOND
    callers: int = 0
    levels: bool = False
    seed: int = 1


class Place(Enum):
    """Where a transaction is."""

    HOLD = "hold"
    CORES = "cores"
    CALL_QUEUE = "call queue"
    CALLING = "calling"
    ATTACHED = "attached"
    ENDED = "ended"


@dataclass(eq=False, slots=True, weakref_slot=True)
class Transaction:
    """One transaction, as read; what stands below the line belongs to the decisions."""

    profile: Profile
    caller: int
    arrived: int
    due: int
    size: int
    work: int = 0
    tenant: Tenant | None = None
    original: Transaction | None = None
    again: bool = False

    place: Place = Place.ENDED
    by: int = 0
    ready: int = 0
    serial: int = 0
    counted_at: int = 0
    meter: Any = None
    calls: int = 0
    remembered: bool = False
    on_since: int = 0
    core_time: int = 0
    call_at: int = 0
    memory: int = 0
    has_run: bool = False
    answered: bool = False
    path: Generator[Wish, Any, None] | None = None
    outside: Any = None  # what the door keeps of it, until the path has ended


class Outcome(Enum):
    """How a run or a call ended. The last three prove that it never ran."""

    HONOURED = "honoured"
    ERRED = "erred"
    OVERDUE = "overdue"
    SEVERED = "severed"
    RECALLED = "recalled"
    SATURATED = "saturated"
    UNREACHED = "unreached"
    MOOT = "moot"


NEVER_RAN = frozenset((Outcome.SATURATED, Outcome.UNREACHED, Outcome.MOOT))


# What a transaction's generator is resumed with: the outside's news, and the decisions' own two signals.


@dataclass(slots=True)
class Ended:
    outcome: Outcome
    elapsed: int = 0


@dataclass(slots=True)
class NeedsCall:
    pass


@dataclass(slots=True)
class CallEnded:
    outcome: Outcome
    elapsed: int = 0


@dataclass(slots=True)
class Gone:
    pass


@dataclass(slots=True)
class Go:
    """Its turn has come."""


@dataclass(slots=True)
class GiveUp:
    """It is no longer worth waiting for."""


Event = Ended | NeedsCall | CallEnded | Gone | Go | GiveUp


# What a generator may yield. The first five wait for an event, the others are resumed at once.


@dataclass(slots=True)
class Wait:
    """Nothing to do until something happens; a held transaction stays held."""


@dataclass(slots=True)
class Start:
    pass


@dataclass(slots=True)
class Call:
    limit: int


@dataclass(slots=True)
class SkipCall:
    pass


@dataclass(slots=True)
class Attach:
    pass


@dataclass(slots=True)
class Stop:
    pass


@dataclass(slots=True)
class Remember:
    span: int


@dataclass(slots=True)
class Forget:
    pass


@dataclass(slots=True)
class Shed:
    """The final answer that it never ran; `after` 0 gives no advice, `last` asks not to try elsewhere."""

    after: int = 0
    last: bool = False


@dataclass(slots=True)
class WriteOff:
    """The final answer that it failed."""


# What the decisions may ask for the app server as a whole.


@dataclass(slots=True)
class Tick:
    at: int


@dataclass(slots=True)
class Health:
    good: bool
    stored: bool = True


@dataclass(slots=True)
class Idle:
    """Connections that have carried nothing for so long are closed."""

    span: int


@dataclass(slots=True)
class Advertise:
    """The free value that goes with every answer from now on, where the deployment's callers heed a level."""

    value: float


@dataclass(slots=True)
class Log:
    text: str


Wish = Wait | Start | Call | SkipCall | Attach | Stop | Remember | Forget | Shed | WriteOff
Notice = Tick | Health | Idle | Advertise | Log
WAITS = (Wait, Start, Call, SkipCall, Attach)


class Refusal(Enum):
    """What a plan may have refused before other work; the operators order them."""

    BEYOND = "beyond"  # beyond its tenant's share
    AGAIN = "again"  # a further try or a second copy
    VISITOR = "visitor"  # from the lost site, by payoff per work
    HOME = "home"


@dataclass(frozen=True, slots=True)
class Override:
    """A plan in force at this app server: quotas told anew while in service, and the order of refusal.

    `epoch` is that of the plan's leader and `number` counts its plans. It holds until `until` and then fades
    over `fade`. `quotas` are transactions a second here; `visitors` are callers whose home is lost, and
    `visits` is the quota of them all together. `level` is the share of the cores that may be used while it is
    let back in; `short` says that no one has room.
    """

    epoch: int
    number: int
    until: int
    fade: int
    quotas: dict[Tenant, float] = field(default_factory=dict)
    visitors: frozenset[int] = frozenset()
    visits: float = 0.0
    order: tuple[Refusal, ...] = tuple(Refusal)
    level: float = 1.0
    short: bool = False


@dataclass(slots=True)
class Gauges:
    """The app server's own gauges; None where it has no such gauge."""

    cores_used: float | None = None
