"""Log events of a controller, each with a stable name and typed fields.

The server around the controller writes them to its log in its own format.
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
    """The health that health checks report has changed."""

    name: ClassVar[str] = "health_changed"
    is_healthy: bool
    stall_ratio: float


@dataclass(slots=True)
class PlanApplied:
    """A fleet plan with notable changes has been applied."""

    name: ClassVar[str] = "plan_applied"
    term: int
    number: int
    serving_fraction: float
    evacuated_callers: tuple[int, ...]
    is_capacity_short: bool


@dataclass(slots=True)
class PlanExpired:
    """A fleet plan that was not renewed has faded completely."""

    name: ClassVar[str] = "plan_expired"
    term: int
    number: int


@dataclass(slots=True)
class DrainStarted:
    """The app server has started to drain."""

    name: ClassVar[str] = "drain_started"


LogEvent = QuotasBind | HealthChanged | PlanApplied | PlanExpired | DrainStarted
