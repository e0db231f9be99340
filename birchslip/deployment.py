"""Settings to `Deployment`: one decoding for the simulator's wire and for the program on sockets.

Settings are pairs of a path and a text, as the wire gives them; `flatten` brings nested JSON to the same
paths. Conversion errs on the safe side: due times are rounded down, timers and spans up.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace
from math import ceil, floor
from typing import TypeVar

from .interface import SECOND, Below, Deployment, Halt, Kind, Profile, Tenant

KINDS = {"repeatable": Kind.REDOABLE, "by_key": Kind.LABELLED, "once": Kind.IRREVERSIBLE}
HALTS = {"off": Halt.OFF, "drop": Halt.DROP, "pause": Halt.PAUSE}
Word = TypeVar("Word")
BELOW = {"off": Below.OFF, "shared": Below.SHARED, "tier": Below.TIER}


class Malformed(ValueError):
    """Something that can't be what it says it is; the text names what is wrong."""


def number(text: str, what: str) -> float:
    try:
        value = float(text)
    except ValueError:
        raise Malformed(f"{what} is not a number: {text[:40]!r}") from None
    if not -1e15 < value < 1e15:
        raise Malformed(f"{what} is out of range: {text[:40]!r}")
    return value


def whole(text: str, what: str) -> int:
    if not text.isascii() or not text.isdigit() or len(text) > 20:
        raise Malformed(f"{what} is not a whole number: {text[:40]!r}")
    return int(text)


def absent(text: str) -> bool:
    return text in ("", "-")


def early(seconds: float) -> int:
    """Seconds to tenths of a millisecond, rounded down; the inner rounding mends what floats add."""
    return floor(round(seconds * SECOND, 3))


def late(seconds: float) -> int:
    return ceil(round(seconds * SECOND, 3))


class Setup:
    """The pairs of a start, read with a default for what is absent."""

    def __init__(self, pairs: Iterable[tuple[str, str]]) -> None:
        self.values = dict(pairs)

    def text(self, name: str, default: str) -> str:
        value = self.values.get(name, default)
        return default if absent(value) else value

    def real(self, name: str, default: float) -> float:
        value = self.values.get(name, "-")
        return default if absent(value) else number(value, name)

    def least(self, name: str, default: float, least: float = 0.0) -> float:
        """One that a rule hangs on: a value that can't be meant is not passed over."""
        value = self.real(name, default)
        if value < least:
            raise Malformed(f"{name} is under {least:g}: {self.text(name, '')[:40]!r}")
        return value

    def known(self, name: str, words: Mapping[str, Word], default: str) -> Word:
        """One of some words, where another could break a rule."""
        word = self.text(name, default)
        if word not in words:
            raise Malformed(f"{name} is unknown: {word[:40]!r}")
        return words[word]

    def flag(self, name: str, unclear: bool = False) -> bool:
        """`unclear` is what a value means that is neither."""
        text = self.text(name, "false")
        return text in ("true", "1") or (unclear and text not in ("false", "0"))

    def count(self, name: str) -> int:
        return int(self.real(f"{name}.count", 0))

    def listed(self, name: str, place: int, default: str) -> str:
        values = self.text(name, "").split(",")
        return values[place] if place < len(values) and not absent(values[place]) else default

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


def deployment(seed: int, told: Setup) -> Deployment:
    profiles = []
    for place in range(told.count("classes")):
        name = f"classes.{place}"
        kind = told.known(f"{name}.effect", KINDS, "once")
        deadline = told.least(f"{name}.hard_limit_s", 1.0, 0.001)
        # Where no window is told, a label's repeat may come for as long as its caller waits.
        window = told.least(f"{name}.window_s", deadline) if kind is Kind.LABELLED else 0.0
        profiles.append(
            Profile(
                kind=kind,
                goal=early(told.real(f"{name}.aim_s", deadline)),
                deadline=early(deadline),
                late_payoff=told.real(f"{name}.late_worth", 0.0),
                window=late(window),
                payoff=told.real(f"{name}.credit", 1.0),
                skip_payoff=number(
                    told.listed("family_info.class_skip_worth", place, "0"), "family_info.class_skip_worth"
                ),
            )
        )
    tenants = [
        Tenant(max(0.0, told.real(f"tenants.{place}.quota_per_s", 0.0)))
        for place in range(told.count("tenants"))
    ]
    usual = Deployment(profiles)
    longest = told.real("ceilings.max_retry_after_s", 0.0)
    below = told.known("family_info.downstream", BELOW, "off")
    shared = below is Below.SHARED  # elsewhere what is told of a share means nothing
    share = told.least("family_info.calls_out", usual.calls_share) if shared else usual.calls_share
    usual_span = usual.calls_span / SECOND
    span = told.least("family_info.share_span_s", usual_span, 0.001) if shared else usual_span
    return replace(
        usual,
        seed=seed,
        tenants=tenants,
        cores=max(1, int(told.least("family_info.cores", usual.cores))),
        memory=floor(told.least("family_info.mem_limit_kb", usual.memory / 1024) * 1024),
        run_factor=told.least("family_info.run_factor", usual.run_factor),
        key_size=ceil(told.least("family_info.key_kb", 0.0) * 1024),
        halt=HALTS.get(told.text("family_info.halt", "off"), Halt.OFF),  # what is unknown is not used
        fleet=max(1, int(told.least("group_size", usual.fleet))),
        cold=told.flag("family_info.cold", unclear=True),
        cold_from=told.least("contract.cold_from", 0.0),
        cold_span=late(told.least("contract.cold_s", 0.0)),
        crowd_multiple=told.least("contract.fall_multiple", usual.crowd_multiple),
        grace=early(told.least("contract.drain_grace_s", 0.0)),
        below=below,
        calls_share=share,
        calls_span=early(span),
        linger=late(told.least("family_info.linger_s", span if shared else 0.0)),
        advises=told.flag("ceilings.retry_after") and longest > 0,
        longest_advice=early(longest),
        callers=max(0, int(told.real("family_info.clients_total", usual.callers))),
        levels=told.text("family_info.signal", "off") == "level",
        keepalive=late(max(0.01, told.real("family_info.keepalive_max_s", usual.keepalive / SECOND))),
    )
