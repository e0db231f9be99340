"""The wire's lines to the interface's types and back; the wire's names go no further than here.

Conversion errs on the safe side: due times are rounded down, timers and spans up.
"""

from __future__ import annotations

from dataclasses import replace
from math import ceil, floor

from ..interface import (
    SECOND,
    Attach,
    Below,
    Call,
    Deployment,
    Forget,
    Gauges,
    Halt,
    Health,
    Idle,
    Kind,
    Log,
    Notice,
    Outcome,
    Profile,
    Remember,
    Shed,
    SkipCall,
    Start,
    Stop,
    Tenant,
    Tick,
    Wait,
    Wish,
    WriteOff,
)

KINDS = {"repeatable": Kind.REDOABLE, "by_key": Kind.LABELLED, "once": Kind.IRREVERSIBLE}
HALTS = {"off": Halt.OFF, "drop": Halt.DROP, "pause": Halt.PAUSE}
BELOW = {"off": Below.OFF, "shared": Below.SHARED, "tier": Below.TIER}
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


class Malformed(ValueError):
    """A line that can't be what it says it is; the text names what is wrong."""


def number(text: str, what: str) -> float:
    try:
        value = float(text)
    except ValueError:
        raise Malformed(f"{what} is not a number: {text[:40]!r}") from None
    if not -1e15 < value < 1e15:
        raise Malformed(f"{what} is out of range: {text[:40]!r}")
    return value


def whole(text: str, what: str) -> int:
    if not text.isascii() or not text.isdigit():
        raise Malformed(f"{what} is not a whole number: {text[:40]!r}")
    return int(text)


def absent(text: str) -> bool:
    return text in ("", "-")


def early(seconds: float) -> int:
    """Seconds to tenths of a millisecond, rounded down; the inner rounding mends what floats add."""
    return floor(round(seconds * SECOND, 3))


def late(seconds: float) -> int:
    return ceil(round(seconds * SECOND, 3))


def seconds(time: int) -> str:
    return f"{time / SECOND:.4f}"


class Setup:
    """The pairs of a start message, read with a default for what is absent."""

    def __init__(self, pairs: list[str]) -> None:
        self.values: dict[str, str] = {}
        for pair in pairs:
            name, equals, value = pair.partition("=")
            if not equals:
                raise Malformed(f"setting without a value: {pair[:40]!r}")
            self.values[name] = value

    def text(self, name: str, default: str) -> str:
        value = self.values.get(name, default)
        return default if absent(value) else value

    def real(self, name: str, default: float) -> float:
        value = self.values.get(name, "-")
        return default if absent(value) else number(value, name)

    def flag(self, name: str) -> bool:
        return self.text(name, "false") in ("true", "1")

    def count(self, name: str) -> int:
        return int(self.real(f"{name}.count", 0))

    def listed(self, name: str, place: int, default: str) -> str:
        values = self.text(name, "").split(",")
        return values[place] if place < len(values) and not absent(values[place]) else default


def deployment(seed: int, pairs: list[str]) -> Deployment:
    told = Setup(pairs)
    profiles = []
    for place in range(told.count("classes")):
        name = f"classes.{place}"
        effect = told.text(f"{name}.effect", "once")
        if effect not in KINDS:
            raise Malformed(f"{name}.effect is unknown: {effect[:40]!r}")
        outer = told.real(f"{name}.hard_limit_s", 1.0)
        profiles.append(
            Profile(
                kind=KINDS[effect],
                goal=early(told.real(f"{name}.aim_s", outer)),
                outer=early(outer),
                late_payoff=told.real(f"{name}.late_worth", 0.0),
                window=late(told.real(f"{name}.window_s", 0.0)),
                skip_payoff=number(
                    told.listed("family_info.class_skip_worth", place, "0"), "family_info.class_skip_worth"
                ),
            )
        )
    tenants = [
        Tenant(told.real(f"tenants.{place}.quota_per_s", 0.0)) for place in range(told.count("tenants"))
    ]
    plain = Deployment(profiles)
    longest = told.real("ceilings.max_retry_after_s", 0.0)
    return replace(
        plain,
        seed=seed,
        tenants=tenants,
        cores=max(1, int(told.real("family_info.cores", plain.cores))),
        memory=floor(told.real("family_info.mem_limit_kb", plain.memory / 1024) * 1024),
        run_factor=told.real("family_info.run_factor", plain.run_factor),
        key_size=ceil(told.real("family_info.key_kb", 0.0) * 1024),
        halt=HALTS.get(told.text("family_info.halt", "off"), Halt.OFF),
        fleet=max(1, int(told.real("group_size", plain.fleet))),
        cold=told.flag("family_info.cold"),
        cold_from=told.real("contract.cold_from", plain.cold_from),
        cold_span=late(told.real("contract.cold_s", 0.0)),
        crowd_multiple=told.real("contract.fall_multiple", plain.crowd_multiple),
        grace=early(told.real("contract.drain_grace_s", 0.0)),
        below=BELOW.get(told.text("family_info.downstream", "off"), Below.OFF),
        calls_share=told.real("family_info.calls_out", plain.calls_share),
        calls_span=early(told.real("family_info.share_span_s", plain.calls_span / SECOND)),
        linger=late(told.real("family_info.linger_s", 0.0)),
        advises=told.flag("ceilings.retry_after") and longest > 0,
        longest_advice=early(longest),
    )


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
        case Log(text):
            return f"record\t{text}"
