"""The wire's lines to the interface's types and back; the wire's names go no further than here."""

from __future__ import annotations

from ..admission.settings import SettingsReader, is_absent, parse_number
from ..admission.settings import read_admission_settings as decode
from ..admission.types import (
    SECOND,
    Action,
    AdmissionSettings,
    AdvertiseCriticality,
    AttachToOriginal,
    CallDownstream,
    DrainStarted,
    Fail,
    Gauges,
    HealthChanged,
    LogEvent,
    Outcome,
    PlanApplied,
    PlanExpired,
    QuotasBind,
    Reject,
    ReleaseKey,
    ServerAction,
    SetHealth,
    SetIdleTimeout,
    SetTimer,
    SkipCall,
    StartRun,
    StopRun,
    StoreKey,
    Wait,
)
from ..errors import InvalidInputError

OUTCOMES = {
    "completed": Outcome.SERVED,
    "errored": Outcome.FAILED,
    "overdue": Outcome.TIMED_OUT,
    "severed": Outcome.CONNECTION_LOST,
    "recalled": Outcome.CANCELLED,
    "saturated": Outcome.REJECTED,
    "refused_conn": Outcome.UNREACHABLE,
    "superseded": Outcome.SUPERSEDED,
}
AGAIN = 2  # the flag of a marked further try


def seconds(time: int) -> str:
    return f"{time / SECOND:.4f}"


def deployment(seed: int, pairs: list[str]) -> AdmissionSettings:
    values = []
    for pair in pairs:
        name, equals, value = pair.partition("=")
        if not equals:
            raise InvalidInputError(f"setting without a value: {pair[:40]!r}")
        values.append((name, value))
    return decode(seed, SettingsReader(values))


def gauges(text: str) -> Gauges:
    seen: dict[str, float] = {}
    if not is_absent(text):
        for pair in text.split(","):
            name, _, value = pair.partition(":")
            seen[name] = parse_number(value, f"gauge {name[:40]}")
    return Gauges(core_utilization=seen.get("core_use"))


def outcome(text: str) -> Outcome:
    if text not in OUTCOMES:
        raise InvalidInputError(f"unknown outcome: {text[:40]!r}")
    return OUTCOMES[text]


def wish_line(number: int, wish: Action) -> str | None:
    match wish:
        case Wait():
            return None
        case StartRun():
            return f"dispatch\t{number}"
        case CallDownstream(limit):
            return f"dial\t{number}\t{seconds(limit)}"
        case SkipCall():
            return f"bypass\t{number}"
        case AttachToOriginal():
            return f"attach\t{number}"
        case StopRun():
            return f"preempt\t{number}"
        case StoreKey(span):
            return f"remember\t{number}\t{seconds(span)}"
        case ReleaseKey():
            return f"evict\t{number}"
        case Reject(after, last):
            return f"push_back\t{number}\t{seconds(after) if after else '-'}\t{int(last)}"
        case Fail():
            return f"finish_error\t{number}"


def notice_line(notice: ServerAction) -> str:
    match notice:
        case SetTimer(at):
            return f"remind\t{seconds(at)}\ttick"
        case SetHealth(good, stored):
            return f"mark_health\t{int(good)}\t{int(stored)}"
        case SetIdleTimeout(span):
            return f"idle_limit\t{seconds(span)}"
        case AdvertiseCriticality(value):
            return f"advertise\t{value:.4f}"
        case QuotasBind() | HealthChanged() | PlanApplied() | PlanExpired() | DrainStarted():
            return f"record\t{record_text(notice)}"


def record_text(event: LogEvent) -> str:
    """Return the text of a log event; operators read these lines, so their wording stays."""
    match event:
        case QuotasBind(queued, running):
            return f"quota binds: {queued} held, {running} on the cores"
        case HealthChanged(is_healthy, stall_ratio):
            health = "good" if is_healthy else "bad"
            return f"health {health}: runs take {stall_ratio:.1f} times the usual"
        case PlanApplied(term, number, fraction, callers, is_short):
            change = f"level {fraction:.2f}, visitors {list(callers)}, short {is_short}"
            return f"plan {term}.{number} in force: {change}"
        case PlanExpired(term, number):
            return f"plan {term}.{number} has run out"
        case DrainStarted():
            return "leaving"
