"""Text to statements. Every error names its place and what was meant; hostile text costs bounded work."""

from __future__ import annotations

from collections.abc import Iterable
from difflib import get_close_matches
from functools import lru_cache
from importlib.resources import files
from typing import Any

from lark import (
    Lark,
    Token,
    Transformer,
    UnexpectedCharacters,
    UnexpectedEOF,
    UnexpectedInput,
    UnexpectedToken,
)
from lark import v_args as shaped

from .words import (
    DEPTH_MOST,
    Both,
    Bound,
    Claim,
    Compare,
    Either,
    Event,
    Kind,
    Measure,
    Not,
    Order,
    Spot,
    Statement,
    Subject,
    Unit,
    When,
    depth_of,
)

TEXT_MOST = 8 << 20  # bytes of one file
STATEMENTS_MOST = 50_000
LONGEST = 600 * 10_000  # ten minutes: a span that is longer is a slip
SHRINK_USUAL, SURGE_USUAL = 0.5, 3.0
TIMES = {"ms": 10.0, "s": 10_000.0, "min": 600_000.0}
PARTS = {"%": 0.01, "percent": 0.01}
SAID = {
    "COMPARE": "<= or >=",
    "NUMBER": "a number",
    "NAME": "a name",
    "STRING": "a name in quotes",
    "UNIT": "a unit",
    "COLON": "':'",
    "LPAR": "'('",
    "RPAR": "')'",
    "COMMA": "','",
    "$END": "the end",
}


class Wrong(ValueError):
    """Something in the text that can't be meant; `spot` says where."""

    def __init__(self, spot: Spot, why: str) -> None:
        super().__init__(f"{spot.told()}: {why}")
        self.spot, self.why = spot, why


class Here(Exception):
    """The same before its file is known."""

    def __init__(self, token: Token, why: str) -> None:
        super().__init__(why)
        self.token, self.why = token, why


@lru_cache(1)
def grammar() -> Lark:
    text = files(__package__).joinpath("grammar.lark").read_text(encoding="utf-8")
    return Lark(text, parser="lalr", transformer=Reading(), keep_all_tokens=False, maybe_placeholders=True)


def bare(token: Any) -> str:
    return str(token).strip('"')


def join(claims: Iterable[Claim], made: type[Both] | type[Either]) -> Claim:
    """One level, however many there are of a kind side by side."""
    some: list[Claim] = []
    for one in claims:
        some += one.claims if isinstance(one, Both | Either) and type(one) is made else (one,)
    if len(some) == 1:
        return some[0]
    return made(tuple(some), 1 + max(depth_of(one) for one in some))


class Reading(Transformer[Token, Any]):
    """Built from below as the text is read: no tree is kept, and nothing here calls itself."""

    def start(self, children: list[Any]) -> list[Any]:
        return children

    def statement(self, children: list[Any]) -> tuple[Token | None, Claim, dict[str, Any]]:
        label = children[0] if isinstance(children[0], Token) else None
        rest = [one for one in children if one is not None and not isinstance(one, Token)]
        told: dict[str, Any] = {}
        for one in rest[1:]:
            twice = sorted(set(one) & set(told) - {"settled"})
            if twice:
                raise Here(one["token"], f"{twice[0].replace('_', ' ')} is said twice")
            told |= {name: value for name, value in one.items() if name != "token"}
        return label, rest[0], told

    def label(self, children: list[Token]) -> Token:
        return children[0]

    def either(self, children: list[Claim]) -> Claim:
        return join(children, Either)

    def both(self, children: list[Claim]) -> Claim:
        return join(children, Both)

    def denied(self, children: list[Claim]) -> Claim:
        return Not(children[0], 1 + depth_of(children[0]))

    @shaped(inline=True)
    def bound(self, subject: tuple[Subject, Token], measure: Measure, compare: Token, quantity: Any) -> Bound:
        told, token = subject
        value, unit, at = quantity
        form = measure.form
        if told.kind not in form.kinds:
            kinds = ", ".join(sorted(kind.value for kind in form.kinds))
            raise Here(token, f"{form.word!r} is told of {kinds}, not of a {told.kind.value}")
        if unit in TIMES and form.unit is not Unit.TIME:
            raise Here(at, f"{form.word!r} is {form.unit.value}, and {unit!r} is a unit of time")
        if unit in PARTS and form.unit is not Unit.PART:
            raise Here(at, f"{form.word!r} is {form.unit.value}, and {unit!r} is a share")
        if form.unit is Unit.TIME:
            if unit not in TIMES:
                raise Here(at, f"{form.word!r} is a time: say {at} ms, s or min")
            value *= TIMES[unit]
        elif form.unit is Unit.PART:
            value *= PARTS.get(unit, 1.0)
            if value > 1:
                raise Here(
                    at, f"a share above 1: was {value:g}% meant?" if not unit else f"a share above 100%: {at}"
                )
        return Bound(told, measure, Compare(str(compare)), value)

    @shaped(inline=True)
    def order(self, first: tuple[Subject, Token], then: tuple[Subject, Token]) -> Order:
        for told, token in (first, then):
            if told.kind not in Measure.REFUSED.form.kinds:
                raise Here(token, f"a {told.kind.value} is not refused anything")
            if told.each:
                raise Here(token, "an order is between two that are named")
        if first[0] == then[0]:
            raise Here(then[1], f"{first[0].told()} can't be refused before itself")
        return Order(first[0], then[0])

    def subject(self, children: list[Any]) -> tuple[Subject, Token]:
        each = children[0] if children[0] is not None and children[0].type == "EACH" else None
        word = next(one for one in children if one is not None and one.type not in ("EACH", "THE"))
        name = children[-1] if children[-1] is not word else None
        kind = Kind.SERVER if word.type == "SERVER" else Kind(str(word))
        if kind is Kind.FLEET:
            return Subject(kind), word
        if (each is None) == (name is None):
            why = (
                f"which {kind.value}? Name it, or say each"
                if name is None
                else f"each {kind.value}, or the one named?"
            )
            raise Here(word, why)
        return Subject(kind, bare(name) if name is not None else "", each is not None), word

    def name(self, children: list[Token]) -> Token:
        return children[0]

    def outstanding(self, _: list[Any]) -> Measure:
        return Measure.OUTSTANDING

    def room(self, _: list[Any]) -> Measure:
        return Measure.ROOM

    def refused(self, _: list[Any]) -> Measure:
        return Measure.REFUSED

    def served(self, _: list[Any]) -> Measure:
        return Measure.SERVED

    def earned(self, _: list[Any]) -> Measure:
        return Measure.EARNED

    def advised(self, _: list[Any]) -> Measure:
        return Measure.ADVISED

    def calls(self, _: list[Any]) -> Measure:
        return Measure.CALLS

    def out(self, _: list[Any]) -> Measure:
        return Measure.OUT

    def tries(self, _: list[Any]) -> Measure:
        return Measure.TRIES

    def quantity(self, children: list[Token]) -> tuple[float, str, Token]:
        return float(children[0]), str(children[1]) if len(children) > 1 and children[1] else "", children[0]

    def span(self, children: list[Token]) -> tuple[int, Token]:
        number, unit = children
        if str(unit) not in TIMES:
            raise Here(unit, f"a time is meant, in ms, s or min, not {unit}")
        value = round(float(number) * TIMES[str(unit)])
        if value > LONGEST:
            raise Here(number, "longer than ten minutes")
        return value, number

    # ---- when ------------------------------------------------------------------------------------------

    @shaped(inline=True)
    def lasting(self, situation: dict[str, Any], span: tuple[int, Token] | None) -> dict[str, Any]:
        return situation | ({"settled": span[0]} if span is not None else {})

    @shaped(inline=True)
    def loaded(self, number: Token) -> dict[str, Any]:
        load = float(number)
        if not 0 < load <= 100:
            raise Here(number, "a load is more than 0 and at most 100 times the capacity")
        return {"load": load, "token": number}

    @shaped(inline=True)
    def soon(self, span: tuple[int, Token], event: dict[str, Any]) -> dict[str, Any]:
        return event | {"within": span[0], "token": span[1]}

    def always(self, _: list[Any]) -> dict[str, Any]:
        return {"always": True, "token": Token("ALWAYS", "always")}

    def event_site(self, children: list[Token]) -> Token:
        return children[-1]

    def event_tenant(self, children: list[Token]) -> Token:
        return children[-1]

    @shaped(inline=True)
    def site_lost(self, name: Token) -> dict[str, Any]:
        return {"lost": bare(name), "token": name}

    def shrinking(self, children: list[Any]) -> dict[str, Any]:
        quantity: tuple[float, str, Token] | None = children[-1]
        if quantity is None:
            return {"shrink": SHRINK_USUAL, "token": Token("SHRINKING", "shrinking")}
        value, unit, at = quantity
        left = value * PARTS.get(unit, 1.0)
        if unit in TIMES or not 0 < left < 1:
            raise Here(at, "what is left of the fleet is a share between 0 and 1")
        return {"shrink": left, "token": at}

    def releasing(self, _: list[Any]) -> dict[str, Any]:
        return {"release": True, "token": Token("RELEASE", "release")}

    @shaped(inline=True)
    def surging(self, name: Token, times: Token | None) -> dict[str, Any]:
        by = float(times) if times is not None else SURGE_USUAL
        if not 1 < by <= 1000:
            raise Here(times if times is not None else name, "a surge is by more than 1 and at most 1000")
        return {"surge": bare(name), "times": by, "token": name}

    def planners_gone(self, _: list[Any]) -> dict[str, Any]:
        return {"planners_gone": True, "token": Token("PLANNERS", "planners")}

    def below_down(self, _: list[Any]) -> dict[str, Any]:
        return {"below_down": True, "token": Token("SERVICE", "service")}

    @shaped(inline=True)
    def site_goes(self, name: Token) -> dict[str, Any]:
        return {"event": Event.SITE_LOST, "whom": bare(name), "lost": bare(name)}

    @shaped(inline=True)
    def site_returns(self, name: Token) -> dict[str, Any]:
        return {"event": Event.SITE_RETURNS, "whom": bare(name), "lost": bare(name)}

    def release_begins(self, _: list[Any]) -> dict[str, Any]:
        return {"event": Event.RELEASE, "release": True}

    def shrink_begins(self, _: list[Any]) -> dict[str, Any]:
        return {"event": Event.SHRINKING, "shrink": SHRINK_USUAL}

    def shrink_ends(self, _: list[Any]) -> dict[str, Any]:
        return {"event": Event.SHRUNK, "shrink": SHRINK_USUAL}

    @shaped(inline=True)
    def surge_begins(self, name: Token) -> dict[str, Any]:
        return {"event": Event.SURGE, "whom": bare(name), "surge": bare(name), "times": SURGE_USUAL}


def parse(text: str, file: str) -> list[Statement]:
    """`Wrong` says where and what was meant. A file without a statement holds none: no error here."""
    if len(text.encode("utf-8", "replace")) > TEXT_MOST:
        raise Wrong(Spot(file, 1, 1), f"more than {TEXT_MOST >> 20} MB")
    lines = starts(text)
    try:
        read: Any = grammar().parse(text)
    except UnexpectedInput as trouble:
        raise unexpected(trouble, text, file) from None
    except Exception as trouble:
        here = trouble.__cause__ or getattr(trouble, "orig_exc", trouble)
        if not isinstance(here, Here):
            raise
        token = here.token
        raise Wrong(Spot(file, token.line or 1, token.column or 1), here.why) from None
    if len(read) > STATEMENTS_MOST:
        raise Wrong(Spot(file, 1, 1), f"{len(read)} statements, and {STATEMENTS_MOST} are the most")
    made: list[Statement] = []
    seen: dict[str, Spot] = {}
    for place, (label, claim, told) in enumerate(read):
        spot = Spot(file, *lines[place])
        if depth_of(claim) > DEPTH_MOST:
            raise Wrong(spot, f"claims within claims, {depth_of(claim)} deep; {DEPTH_MOST} is the most")
        name = bare(label) if label is not None else f"{file.rpartition('/')[2]}:{spot.line}"
        if label is not None and name in seen:
            raise Wrong(spot, f"{name!r} stands at {seen[name].told()} too")
        seen.setdefault(name, spot)
        made.append(Statement(name, claim, when_of(told, spot), spot, label is not None))
    return made


def when_of(told: dict[str, Any], spot: Spot) -> When:
    when = When(**told)
    if when.always and when != When(always=True):
        raise Wrong(spot, "'always' leaves nothing to say of when")
    if when.event is None and when.settled and not situations(when):
        raise Wrong(spot, "'for' says how long something lasts, and nothing is said to last")
    return when


def situations(when: When) -> bool:
    return bool(
        when.lost
        or when.shrink is not None
        or when.release
        or when.surge
        or when.planners_gone
        or when.below_down
    )


def starts(text: str) -> list[tuple[int, int]]:
    """Line and column of each `expect` that begins a statement: outside comments and quotes, as a word."""
    found: list[tuple[int, int]] = []
    for number, line in enumerate(text.split("\n"), 1):
        if "expect" not in line:
            continue
        code = blank(line)
        at = code.find("expect")
        while at >= 0:
            before, after = code[at - 1 : at], code[at + 6 : at + 7]
            if not (before.isalnum() or (before in ("_", ".", "-") and before)) and not (
                after.isalnum() or (after in ("_", ".", "-") and after)
            ):
                found.append((number, at + 1))
            at = code.find("expect", at + 6)
    return found


def blank(line: str) -> str:
    """Without comments, and nothing but room where a quoted name stands."""
    made, quoted = [], False
    for sign in line:
        if sign == '"':
            quoted = not quoted
            made.append(" ")
        elif sign == "#" and not quoted:
            break
        else:
            made.append(" " if quoted else sign)
    return "".join(made)


def unexpected(trouble: UnexpectedInput, text: str, file: str) -> Wrong:
    """What stands there, what could, and the nearest of it."""
    if isinstance(trouble, UnexpectedCharacters):
        spot = Spot(file, trouble.line, trouble.column)
        line = text.split("\n")[trouble.line - 1]
        word = line[trouble.column - 1 :].split(" ")[0][:32]
        allowed = sorted(trouble.allowed or ())
        near = get_close_matches(word.lower(), [one.strip("_").lower() for one in allowed], 1, 0.6)
        hint = f", was {near[0]!r} meant?" if near else f"; expected {told(allowed)}"
        return Wrong(spot, f"{word!r} can't be read here{hint}")
    if isinstance(trouble, UnexpectedToken):
        token = trouble.token
        expected = sorted(trouble.accepts or trouble.expected)
        if token.type == "$END":
            end = text.rstrip().split("\n")
            return Wrong(
                Spot(file, len(end), len(end[-1]) + 1), f"it ends too soon; expected {told(expected)}"
            )
        words = [one.strip("_").lower() for one in expected if one.strip("_").isalpha()]
        near = get_close_matches(str(token).lower(), words, 1, 0.6)
        hint = f", was {near[0]!r} meant?" if near else ""
        return Wrong(
            Spot(file, token.line or 1, token.column or 1),
            f"{str(token)[:32]!r} is not expected{hint or '; expected ' + told(expected)}",
        )
    if isinstance(trouble, UnexpectedEOF):
        return Wrong(Spot(file, 1, 1), "it ends too soon")
    return Wrong(Spot(file, 1, 1), "it can't be read")


def told(names: Iterable[str]) -> str:
    some = sorted(
        {SAID.get(name, name.strip("_").lower()) for name in names if name not in ("WS", "COMMENT")}
    )
    return ", ".join(some[:8]) + (" ..." if len(some) > 8 else "")
