"""Settings to `AdmissionSettings`: one decoding for the simulator's wire and for the program on sockets.

Settings are pairs of a path and a text, as the wire gives them; `flatten` brings nested JSON to the same
paths. Conversion errs on the safe side: due times are rounded down, timers and spans up.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace
from math import ceil, floor
from typing import TypeVar

from ..errors import InvalidInputError
from .types import (
    SECOND,
    AdmissionSettings,
    Downstream,
    Idempotency,
    Preemption,
    RequestClass,
    Tenant,
)

KINDS = {
    "repeatable": Idempotency.IDEMPOTENT,
    "by_key": Idempotency.KEYED,
    "once": Idempotency.NON_IDEMPOTENT,
}
HALTS = {"off": Preemption.OFF, "drop": Preemption.DROP, "pause": Preemption.PAUSE}
Word = TypeVar("Word")
BELOW = {"off": Downstream.NONE, "shared": Downstream.SHARED, "tier": Downstream.TIER}


def parse_number(text: str, what: str) -> float:
    try:
        value = float(text)
    except ValueError:
        raise InvalidInputError(f"{what} is not a number: {text[:40]!r}") from None
    if not -1e15 < value < 1e15:
        raise InvalidInputError(f"{what} is out of range: {text[:40]!r}")
    return value


def parse_count(text: str, what: str) -> int:
    if not text.isascii() or not text.isdigit() or len(text) > 20:
        raise InvalidInputError(f"{what} is not a whole number: {text[:40]!r}")
    return int(text)


def is_absent(text: str) -> bool:
    return text in ("", "-")


def round_down_seconds(seconds: float) -> int:
    """Seconds to tenths of a millisecond, rounded down; the inner rounding mends what floats add."""
    return floor(round(seconds * SECOND, 3))


def round_up_seconds(seconds: float) -> int:
    return ceil(round(seconds * SECOND, 3))


class SettingsReader:
    """The pairs of a start, read with a default for what is absent."""

    def __init__(self, pairs: Iterable[tuple[str, str]]) -> None:
        self.values = dict(pairs)

    def text(self, name: str, default: str) -> str:
        value = self.values.get(name, default)
        return default if is_absent(value) else value

    def real(self, name: str, default: float) -> float:
        value = self.values.get(name, "-")
        return default if is_absent(value) else parse_number(value, name)

    def least(self, name: str, default: float, least: float = 0.0) -> float:
        """One that a rule hangs on: a value that can't be meant is not passed over."""
        value = self.real(name, default)
        if value < least:
            raise InvalidInputError(f"{name} is under {least:g}: {self.text(name, '')[:40]!r}")
        return value

    def known(self, name: str, words: Mapping[str, Word], default: str) -> Word:
        """One of some words, where another could break a rule."""
        word = self.text(name, default)
        if word not in words:
            raise InvalidInputError(f"{name} is unknown: {word[:40]!r}")
        return words[word]

    def flag(self, name: str, unclear: bool = False) -> bool:
        """`unclear` is what a value means that is neither."""
        text = self.text(name, "false")
        return text in ("true", "1") or (unclear and text not in ("false", "0"))

    def count(self, name: str) -> int:
        return int(self.real(f"{name}.count", 0))

    def listed(self, name: str, place: int, default: str) -> str:
        values = self.text(name, "").split(",")
        return values[place] if place < len(values) and not is_absent(values[place]) else default

    def names(self, name: str) -> list[str]:
        """The names of a list of objects, in the order of their places; any text is one."""
        return [self.values.get(f"{name}.{place}.name", "") for place in range(self.count(name))]


def flatten(settings: object, path: str = "") -> Iterable[tuple[str, str]]:
    """Nested JSON as the wire's pairs: dotted paths, lists of objects with a count, plain lists joined."""
    if isinstance(settings, dict):
        for name, value in settings.items():
            yield from flatten(value, f"{path}.{name}" if path else str(name))
    elif isinstance(settings, list) and any(isinstance(item, dict) for item in settings):
        yield f"{path}.count", str(len(settings))
        for place, item in enumerate(settings):
            yield from flatten(item, f"{path}.{place}")
    elif isinstance(settings, list):
        yield path, ",".join(plain(item) for item in settings)
    else:
        yield path, plain(settings)


def plain(value: object) -> str:
    if value is None:
        return "-"
    return str(value).lower() if isinstance(value, bool) else str(value)


def read_admission_settings(seed: int, told: SettingsReader) -> AdmissionSettings:
    profiles = []
    for place in range(told.count("classes")):
        name = f"classes.{place}"
        kind = told.known(f"{name}.effect", KINDS, "once")
        deadline = told.least(f"{name}.hard_limit_s", 1.0, 0.001)
        # Where no window is told, a label's repeat may come for as long as its caller waits.
        window = told.least(f"{name}.window_s", deadline) if kind is Idempotency.KEYED else 0.0
        profiles.append(
            RequestClass(
                idempotency=kind,
                latency_objective=round_down_seconds(told.real(f"{name}.aim_s", deadline)),
                deadline=round_down_seconds(deadline),
                late_weight=told.real(f"{name}.late_worth", 0.0),
                key_retention=round_up_seconds(window),
                priority_weight=told.real(f"{name}.credit", 1.0),
                weight_without_call=parse_number(
                    told.listed("family_info.class_skip_worth", place, "0"), "family_info.class_skip_worth"
                ),
            )
        )
    tenants = [
        Tenant(max(0.0, told.real(f"tenants.{place}.quota_per_s", 0.0)))
        for place in range(told.count("tenants"))
    ]
    usual = AdmissionSettings(profiles)
    longest = told.real("ceilings.max_retry_after_s", 0.0)
    below = told.known("family_info.downstream", BELOW, "off")
    shared = below is Downstream.SHARED  # elsewhere what is told of a share means nothing
    share = told.least("family_info.calls_out", usual.downstream_quota) if shared else usual.downstream_quota
    usual_span = usual.downstream_quota_window / SECOND
    span = told.least("family_info.share_span_s", usual_span, 0.001) if shared else usual_span
    return replace(
        usual,
        seed=seed,
        tenants=tenants,
        cores=max(1, int(told.least("family_info.cores", usual.cores))),
        memory_limit=floor(told.least("family_info.mem_limit_kb", usual.memory_limit / 1024) * 1024),
        running_memory_factor=told.least("family_info.run_factor", usual.running_memory_factor),
        idempotency_key_size=ceil(told.least("family_info.key_kb", 0.0) * 1024),
        preemption=HALTS.get(
            told.text("family_info.halt", "off"), Preemption.OFF
        ),  # what is unknown is not used
        fleet_size=max(1, int(told.least("group_size", usual.fleet_size))),
        starts_cold=told.flag("family_info.cold", unclear=True),
        cold_start_speed=told.least("contract.cold_from", 0.0),
        warm_up_span=round_up_seconds(told.least("contract.cold_s", 0.0)),
        overload_multiple=told.least("contract.fall_multiple", usual.overload_multiple),
        drain_grace=round_down_seconds(told.least("contract.drain_grace_s", 0.0)),
        downstream=below,
        downstream_quota=share,
        downstream_quota_window=round_down_seconds(span),
        abandoned_call_linger=round_up_seconds(told.least("family_info.linger_s", span if shared else 0.0)),
        sends_retry_after=told.flag("ceilings.retry_after") and longest > 0,
        max_retry_after=round_down_seconds(longest),
        caller_count=max(0, int(told.real("family_info.clients_total", usual.caller_count))),
        sends_criticality=told.text("family_info.signal", "off") == "level",
        keepalive_timeout=round_up_seconds(
            max(0.01, told.real("family_info.keepalive_max_s", usual.keepalive_timeout / SECOND))
        ),
    )
