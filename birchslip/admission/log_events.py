"""Events that a controller has logged: a stable name and typed fields.

The server around the controller writes them; the text is made where it is written.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar


@dataclass(slots=True)
class QuotasBind:
    """Quotas bind: the cores are busy and requests wait."""

    name: ClassVar[str] = "quotas_bind"
    queued: int
    running: int


@dataclass(slots=True)
class HealthChanged:
    """The answer to health checks has changed."""

    name: ClassVar[str] = "health_changed"
    is_healthy: bool
    stall_ratio: float


@dataclass(slots=True)
class PlanApplied:
    """A plan of the fleet that says something new has come into force."""

    name: ClassVar[str] = "plan_applied"
    term: int
    number: int
    serving_fraction: float
    evacuated_callers: tuple[int, ...]
    is_capacity_short: bool


@dataclass(slots=True)
class PlanExpired:
    """A plan of the fleet that was not renewed has lost all its weight."""

    name: ClassVar[str] = "plan_expired"
    term: int
    number: int


@dataclass(slots=True)
class DrainStarted:
    """The app server has started to drain."""

    name: ClassVar[str] = "drain_started"


LogEvent = QuotasBind | HealthChanged | PlanApplied | PlanExpired | DrainStarted
