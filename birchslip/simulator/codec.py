"""Decodes lines of the simulator's wire and encodes actions; only this module uses the wire's names.

Absent values have defaults. Conversion is conservative: deadlines are rounded down, spans up. No state is
kept between lines.
"""

from __future__ import annotations

from typing import NamedTuple

from ..admission.log_events import DrainStarted, HealthChanged, LogEvent, PlanApplied, PlanExpired, QuotasBind
from ..admission.settings import (
    SettingsReader,
    is_absent,
    parse_count,
    parse_number,
    read_admission_settings,
    round_down_seconds,
    round_up_seconds,
)
from ..admission.types import (
    SECOND,
    Action,
    AdmissionSettings,
    AdvertiseCriticality,
    AttachToOriginal,
    CallDownstream,
    CallEnded,
    CallerGone,
    CallNeeded,
    Event,
    Fail,
    Gauges,
    Outcome,
    Reject,
    ReleaseKey,
    RunEnded,
    ServerAction,
    SetHealth,
    SetIdleTimeout,
    SetTimer,
    SkipCall,
    StartRun,
    StopRun,
    StoreKey,
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
ACTIONS_WITHOUT_ARGUMENTS: dict[type[Action], str] = {
    StartRun: "dispatch",
    SkipCall: "bypass",
    AttachToOriginal: "attach",
    StopRun: "preempt",
    ReleaseKey: "evict",
    Fail: "finish_error",
}
RETRY_FLAG = 2
REQUEST_PARTS = 13  # a shorter request line is padded with absent values
NO_ORIGINAL = "0"
BYTES_PER_KB = 1024


class RequestLine(NamedTuple):
    """A request line; an absent number is 0, an absent `original` is None."""

    request_id: int
    class_index: int
    tenant_index: int
    deadline: int
    cost_hint: int
    size: int
    is_retry: bool
    caller: int
    read_delay: int
    original: int | None


def required_part(parts: list[str], index: int) -> str:
    """Return one part of a line; raises `InvalidInputError` if the line is too short."""
    if index >= len(parts):
        raise InvalidInputError(f"{parts[0]} has {len(parts) - 1} parts, at least {index} required")
    return parts[index]


def decode_settings(seed: str, pairs: list[str]) -> AdmissionSettings:
    """Read the settings of a `hello` line."""
    number = parse_count(seed, "prng")
    values = []
    for pair in pairs:
        name, equals, value = pair.partition("=")
        if not equals:
            raise InvalidInputError(f"setting without a value: {pair[:40]!r}")
        values.append((name, value))
    return read_admission_settings(number, SettingsReader(values))


def decode_request(parts: list[str]) -> RequestLine:
    """Read a `call` line."""
    parts = parts + ["-"] * (REQUEST_PARTS - len(parts))
    _, request_id, priority, user_group, _, deadline, work, size, _, flags, caller, backlog, original = parts[
        :REQUEST_PARTS
    ]
    return RequestLine(
        request_id=parse_count(request_id, "request_id"),
        class_index=parse_count(priority, "priority"),
        read_delay=_duration_down(backlog, "backlog_time_s"),
        deadline=_duration_down(deadline, "client_deadline_s"),
        tenant_index=_count(user_group, "user_group"),
        original=_original(original),
        caller=_count(caller, "who"),
        size=_size(size),
        cost_hint=_duration_up(work, "work_s"),
        is_retry=bool(_count(flags, "flags") & RETRY_FLAG),
    )


def _original(text: str) -> int | None:
    return None if text == NO_ORIGINAL else _optional_count(text, "original")


def _size(text: str) -> int:
    if is_absent(text):
        return 0
    return -int(-parse_number(text, "kb") * BYTES_PER_KB // 1)  # rounded up


def _duration_up(text: str, name: str) -> int:
    return 0 if is_absent(text) else round_up_seconds(parse_number(text, name))


def _duration_down(text: str, name: str) -> int:
    return 0 if is_absent(text) else round_down_seconds(parse_number(text, name))


def _optional_count(text: str, name: str) -> int | None:
    return None if is_absent(text) else parse_count(text, name)


def _count(text: str, name: str) -> int:
    return 0 if is_absent(text) else parse_count(text, name)


def decode_request_event(parts: list[str]) -> Event | None:
    """Read an event of one request; None for a line of another kind."""
    match parts[0]:
        case "completed":
            return RunEnded(decode_outcome(required_part(parts, 2)), _elapsed(parts))
        case "ready_to_call":
            return CallNeeded()
        case "call_ended":
            return CallEnded(decode_outcome(required_part(parts, 2)), _elapsed(parts))
        case "hangup":
            return CallerGone()
    return None


def _elapsed(parts: list[str]) -> int:
    index = 3
    if len(parts) <= index or is_absent(parts[index]):
        return 0
    return round_up_seconds(parse_number(parts[index], "elapsed_s"))


def decode_outcome(text: str) -> Outcome:
    """Read how a run or a call ended; raises `InvalidInputError` for an unknown outcome."""
    if text not in OUTCOMES:
        raise InvalidInputError(f"unknown outcome: {text[:40]!r}")
    return OUTCOMES[text]


def decode_gauges(text: str) -> Gauges:
    """Read the gauges of a `wakeup` line: pairs `NAME:NUMBER`, separated by commas."""
    values: dict[str, float] = {}
    if not is_absent(text):
        for pair in text.split(","):
            name, _, value = pair.partition(":")
            values[name] = parse_number(value, f"gauge {name[:40]}")
    return Gauges(core_utilization=values.get("core_use"))


def encode_seconds(time: int) -> str:
    """Encode a time or span in seconds; four decimals keep it exact."""
    return f"{time / SECOND:.4f}"


def encode_action(request_id: int, action: Action) -> str | None:
    """Encode an action for one request; None for an action that is not sent."""
    action_name = ACTIONS_WITHOUT_ARGUMENTS.get(type(action))
    if action_name is not None:
        return f"{action_name}\t{request_id}"
    match action:
        case CallDownstream(timeout):
            return f"dial\t{request_id}\t{encode_seconds(timeout)}"
        case StoreKey(retention):
            return f"remember\t{request_id}\t{encode_seconds(retention)}"
        case Reject():
            return _encode_rejection(request_id, action)
    return None  # a wait


def _encode_rejection(request_id: int, rejection: Reject) -> str:
    retry_after = encode_seconds(rejection.retry_after) if rejection.retry_after else "-"
    return f"push_back\t{request_id}\t{retry_after}\t{int(rejection.stop_retrying)}"


def encode_server_action(action: ServerAction) -> str:
    """Encode an action for the app server as a whole."""
    match action:
        case SetTimer(at):
            return f"remind\t{encode_seconds(at)}\ttick"
        case SetHealth(is_healthy, is_store_healthy):
            return f"mark_health\t{int(is_healthy)}\t{int(is_store_healthy)}"
        case SetIdleTimeout(timeout):
            return f"idle_limit\t{encode_seconds(timeout)}"
        case AdvertiseCriticality(value):
            return f"advertise\t{value:.4f}"
        case QuotasBind() | HealthChanged() | PlanApplied() | PlanExpired() | DrainStarted():
            return f"record\t{_log_text(action)}"


def _log_text(event: LogEvent) -> str:
    """Return the text of a log event; operators rely on these lines, so their wording must not change."""
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
