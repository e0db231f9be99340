"""The wire's lines to the interface's types and back; the wire's names go no further than here."""

from __future__ import annotations

from ..deployment import Malformed, Setup, absent, number
from ..deployment import deployment as decode
from ..interface import (
    SECOND,
    Advertise,
    Attach,
    Call,
    Deployment,
    Forget,
    Gauges,
    Health,
    Idle,
    Log,
    Notice,
    Outcome,
    Remember,
    Shed,
    SkipCall,
    Start,
    Stop,
    Tick,
    Wait,
    Wish,
    WriteOff,
)

OUTCOMES = {
    "completed": Outcome.HONOURED,
    "errored": Outcome.ERRED,
    "overdue": Outcome.OVERDUE,
    "severed": Outcome.SEVERED,
    "recalled": Outcome.RECALLED,
    "saturated": Outcome.SATURATED,
    "refused_conn": Outcome.UNREACHED,
    "superseded": Outcome.MOOT,
}
AGAIN = 2  # the flag of a marked further try


def seconds(time: int) -> str:
    return f"{time / SECOND:.4f}"


def deployment(seed: int, pairs: list[str]) -> Deployment:
    values = []
    for pair in pairs:
        name, equals, value = pair.partition("=")
        if not equals:
            raise Malformed(f"setting without a value: {pair[:40]!r}")
        values.append((name, value))
    return decode(seed, Setup(values))


def gauges(text: str) -> Gauges:
    seen: dict[str, float] = {}
    if not absent(text):
        for pair in text.split(","):
            name, _, value = pair.partition(":")
            seen[name] = number(value, f"gauge {name[:40]}")
    return Gauges(cores_used=seen.get("core_use"))


def outcome(text: str) -> Outcome:
    if text not in OUTCOMES:
        raise Malformed(f"unknown outcome: {text[:40]!r}")
    return OUTCOMES[text]


def wish_line(number: int, wish: Wish) -> str | None:
    match wish:
        case Wait():
            return None
        case Start():
            return f"dispatch\t{number}"
        case Call(limit):
            return f"dial\t{number}\t{seconds(limit)}"
        case SkipCall():
            return f"bypass\t{number}"
        case Attach():
            return f"attach\t{number}"
        case Stop():
            return f"preempt\t{number}"
        case Remember(span):
            return f"remember\t{number}\t{seconds(span)}"
        case Forget():
            return f"evict\t{number}"
        case Shed(after, last):
            return f"push_back\t{number}\t{seconds(after) if after else '-'}\t{int(last)}"
        case WriteOff():
            return f"finish_error\t{number}"


def notice_line(notice: Notice) -> str:
    match notice:
        case Tick(at):
            return f"remind\t{seconds(at)}\ttick"
        case Health(good, stored):
            return f"mark_health\t{int(good)}\t{int(stored)}"
        case Idle(span):
            return f"idle_limit\t{seconds(span)}"
        case Advertise(value):
            return f"advertise\t{value:.4f}"
        case Log(text):
            return f"record\t{text}"
