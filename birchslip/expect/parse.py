"""The parser of the expectation language.

Every error names its position and suggests what may have been meant. The limits on text, statements and
nesting bound the work that hostile text can cause.
"""

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
    v_args,
)

from ..admission.types import SECOND
from .words import (
    MAX_CLAIM_DEPTH,
    AllOf,
    AnyOf,
    Bound,
    Claim,
    Comparison,
    Condition,
    Event,
    Measure,
    Not,
    RefusalOrder,
    SourceLocation,
    Statement,
    Subject,
    SubjectKind,
    Unit,
    claim_depth,
)

MAX_TEXT_BYTES = 8 << 20  # of one file
MAX_STATEMENTS = 50_000  # of one file
MAX_SPAN = 600 * SECOND  # ten minutes; a longer span is taken for a mistake
DEFAULT_SHRINK, DEFAULT_SURGE_FACTOR = 0.5, 3.0  # if a statement gives no share or factor
MAX_LOAD = 100  # times the capacity
MAX_SURGE_FACTOR = 1000
MAX_TERMINALS_SHOWN = 8  # in a syntax error
TIME_UNITS = {"ms": 10.0, "s": float(SECOND), "min": 600_000.0}  # in units of 0.1 ms
SHARE_UNITS = {"%": 0.01, "percent": 0.01}
TERMINAL_LABELS = {  # what syntax errors call the terminals of the grammar that are no keywords
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


class ExpectationSyntaxError(ValueError):
    """An error in an expectation file.

    Attributes:
        location: Where the error is.
        reason: What is wrong, without the location.
    """

    def __init__(self, location: SourceLocation, reason: str) -> None:
        """Create an error whose message starts with its location."""
        super().__init__(f"{location.describe()}: {reason}")
        self.location, self.reason = location, reason


class TokenError(Exception):
    """An error at a token, raised while the file name is not known.

    `parse` turns it into an `ExpectationSyntaxError`.
    """

    def __init__(self, token: Token, reason: str) -> None:
        """Create an error at a token."""
        super().__init__(reason)
        self.token, self.reason = token, reason


@lru_cache(1)
def load_grammar() -> Lark:
    """Return the parser, built once for each process."""
    text = files(__package__).joinpath("grammar.lark").read_text(encoding="utf-8")
    return Lark(
        text,
        parser="lalr",
        transformer=StatementTransformer(),
        keep_all_tokens=False,
        maybe_placeholders=True,
    )


def unquote(token: Any) -> str:
    """Return the text of a token without any double quotes at its ends."""
    return str(token).strip('"')


def join_claims(claims: Iterable[Claim], operator: type[AllOf] | type[AnyOf]) -> Claim:
    """Combine claims with one operator; a single claim is returned as it is.

    Nested claims of the same operator are flattened, so that they add nothing to the nesting depth.
    """
    flattened: list[Claim] = []
    for claim in claims:
        flattened += (
            claim.claims if isinstance(claim, AllOf | AnyOf) and type(claim) is operator else (claim,)
        )
    if len(flattened) == 1:
        return flattened[0]
    return operator(tuple(flattened), 1 + max(claim_depth(claim) for claim in flattened))


class StatementTransformer(Transformer[Token, Any]):
    """Builds statements bottom-up while the text is parsed.

    No parse tree is kept and no method recurses, so that deep nesting cannot exhaust the stack. Each
    method is named after its rule in `grammar.lark`. Parts of a condition are dictionaries of `Condition`
    fields, with the token to report errors at under the key `token`.
    """

    def start(self, children: list[Any]) -> list[Any]:
        """Return all statements of the text."""
        return children

    def statement(self, children: list[Any]) -> tuple[Token | None, Claim, dict[str, Any]]:
        """Return the label, the claim and the fields of the condition.

        Several situations may each say how long they must have lasted; the last one counts.

        Raises:
            TokenError: The same part of the condition is given twice.
        """
        label = children[0] if isinstance(children[0], Token) else None
        rest = [item for item in children if item is not None and not isinstance(item, Token)]
        fields: dict[str, Any] = {}
        for item in rest[1:]:
            repeated = sorted(set(item) & set(fields) - {"settled"})
            if repeated:
                raise TokenError(
                    item["token"], f"the condition gives {repeated[0].replace('_', ' ')!r} twice"
                )
            fields |= {name: value for name, value in item.items() if name != "token"}
        return label, rest[0], fields

    def label(self, children: list[Token]) -> Token:
        """Return the token of a label."""
        return children[0]

    def either(self, children: list[Claim]) -> Claim:
        """Return the disjunction of claims."""
        return join_claims(children, AnyOf)

    def both(self, children: list[Claim]) -> Claim:
        """Return the conjunction of claims."""
        return join_claims(children, AllOf)

    def denied(self, children: list[Claim]) -> Claim:
        """Return the negation of a claim."""
        return Not(children[0], 1 + claim_depth(children[0]))

    @v_args(inline=True)
    def bound(self, subject: tuple[Subject, Token], measure: Measure, compare: Token, quantity: Any) -> Bound:
        """Return a bound with its value converted to the unit of the measure.

        Raises:
            TokenError: The subject does not have the measure, or the unit or value does not fit it.
        """
        target, token = subject
        value, unit, number = quantity
        definition = measure.definition
        if target.kind not in definition.subject_kinds:
            kinds = ", ".join(sorted(kind.value for kind in definition.subject_kinds))
            raise TokenError(
                token, f"{definition.word!r} can be measured for {kinds}, but not for {target.kind.value}"
            )
        if unit in TIME_UNITS and definition.unit is not Unit.TIME:
            raise TokenError(
                number, f"{definition.word!r} is {definition.unit.value}, but {unit!r} is a unit of time"
            )
        if unit in SHARE_UNITS and definition.unit is not Unit.SHARE:
            raise TokenError(
                number, f"{definition.word!r} is {definition.unit.value}, but {unit!r} is a unit of shares"
            )
        if definition.unit is Unit.TIME:
            if unit not in TIME_UNITS:
                raise TokenError(
                    number,
                    f"{definition.word!r} is a time and needs the unit ms, s or min after {number[:32]}",
                )
            value *= TIME_UNITS[unit]
        elif definition.unit is Unit.SHARE:
            value *= SHARE_UNITS.get(unit, 1.0)
            if value > 1:
                raise TokenError(
                    number,
                    f"a share is at most 1, not {number[:32]}; was {value:g}% meant?"
                    if not unit
                    else f"a share is at most 100%, not {number[:32]}%",
                )
        return Bound(target, measure, Comparison(str(compare)), value)

    @v_args(inline=True)
    def order(self, first: tuple[Subject, Token], then: tuple[Subject, Token]) -> RefusalOrder:
        """Return an order of refusals.

        Raises:
            TokenError: A subject has no refused requests or has `each`, or both subjects are the same.
        """
        for target, token in (first, then):
            if target.kind not in Measure.REFUSED.definition.subject_kinds:
                raise TokenError(token, f"'refused' can't be measured for {target.kind.value}")
            if target.each:
                raise TokenError(
                    token, "'refused before' compares two named subjects and does not allow 'each'"
                )
        if first[0] == then[0]:
            raise TokenError(then[1], f"{first[0].describe()} can't be refused before itself")
        return RefusalOrder(first[0], then[0])

    def subject(self, children: list[Any]) -> tuple[Subject, Token]:
        """Return a subject and the token of its kind.

        Raises:
            TokenError: Neither or both of a name and `each` are given.
        """
        each = children[0] if children[0] is not None and children[0].type == "EACH" else None
        word = next(item for item in children if item is not None and item.type not in ("EACH", "THE"))
        name = children[-1] if children[-1] is not word else None
        kind = SubjectKind.SERVER if word.type == "SERVER" else SubjectKind(str(word))
        if kind is SubjectKind.FLEET:
            return Subject(kind), word
        if (each is None) == (name is None):
            reason = (
                f"{kind.value!r} needs a name after it or 'each' before it"
                if name is None
                else f"{kind.value!r} has both 'each' and a name; only one of them is allowed"
            )
            raise TokenError(word, reason)
        return Subject(kind, unquote(name) if name is not None else "", each is not None), word

    def name(self, children: list[Token]) -> Token:
        """Return the token of a name."""
        return children[0]

    def outstanding(self, _: list[Any]) -> Measure:
        """Return the measure "outstanding"."""
        return Measure.OUTSTANDING

    def room(self, _: list[Any]) -> Measure:
        """Return the measure "share of room"."""
        return Measure.ROOM

    def refused(self, _: list[Any]) -> Measure:
        """Return the measure "refused"."""
        return Measure.REFUSED

    def served(self, _: list[Any]) -> Measure:
        """Return the measure "served"."""
        return Measure.SERVED

    def earned(self, _: list[Any]) -> Measure:
        """Return the measure "earned"."""
        return Measure.EARNED

    def advised(self, _: list[Any]) -> Measure:
        """Return the measure "advised wait"."""
        return Measure.ADVISED

    def calls(self, _: list[Any]) -> Measure:
        """Return the measure "calls below"."""
        return Measure.CALLS

    def out(self, _: list[Any]) -> Measure:
        """Return the measure "out at once"."""
        return Measure.OUT

    def tries(self, _: list[Any]) -> Measure:
        """Return the measure "tries each"."""
        return Measure.TRIES

    def quantity(self, children: list[Token]) -> tuple[float, str, Token]:
        """Return a number as written, its unit, or an empty string, and the token of the number."""
        return float(children[0]), str(children[1]) if len(children) > 1 and children[1] else "", children[0]

    def span(self, children: list[Token]) -> tuple[int, Token]:
        """Return a length of time in units of 0.1 ms, and the token of its number.

        Raises:
            TokenError: The unit is not one of time, or the span is longer than `MAX_SPAN`.
        """
        number, unit = children
        if str(unit) not in TIME_UNITS:
            raise TokenError(unit, f"a time in ms, s or min is expected, not in {str(unit)!r}")
        value = round(float(number) * TIME_UNITS[str(unit)])
        if value > MAX_SPAN:
            raise TokenError(number, f"{number[:32]} {unit} is too long; at most 10 min are allowed")
        return value, number

    # ---- conditions ------------------------------------------------------------------------------------

    @v_args(inline=True)
    def lasting(self, situation: dict[str, Any], span: tuple[int, Token] | None) -> dict[str, Any]:
        """Return the fields of a situation, and the time that it must have lasted if one is given."""
        return situation | ({"settled": span[0]} if span is not None else {})

    @v_args(inline=True)
    def loaded(self, number: Token) -> dict[str, Any]:
        """Return the field of an offered load.

        Raises:
            TokenError: The load is not above 0, or is above `MAX_LOAD`.
        """
        load = float(number)
        if not 0 < load <= MAX_LOAD:
            raise TokenError(
                number,
                f"a load must be more than 0 and at most {MAX_LOAD} times the capacity, not {number[:32]}",
            )
        return {"load": load, "token": number}

    @v_args(inline=True)
    def soon(self, span: tuple[int, Token], event: dict[str, Any]) -> dict[str, Any]:
        """Return the fields of an event, and the time after it during which the statement applies."""
        return event | {"within": span[0], "token": span[1]}

    def always(self, _: list[Any]) -> dict[str, Any]:
        """Return the field of a statement that applies to every run."""
        return {"always": True, "token": Token("ALWAYS", "always")}

    def event_site(self, children: list[Token]) -> Token:
        """Return the token of a site's name."""
        return children[-1]

    def event_tenant(self, children: list[Token]) -> Token:
        """Return the token of a tenant's name."""
        return children[-1]

    @v_args(inline=True)
    def site_lost(self, name: Token) -> dict[str, Any]:
        """Return the field of a lost site."""
        return {"lost": unquote(name), "token": name}

    def shrinking(self, children: list[Any]) -> dict[str, Any]:
        """Return the field of a shrinking fleet; `DEFAULT_SHRINK` if no remaining share is given.

        Raises:
            TokenError: The remaining share is a time, or does not lie between 0 and 1.
        """
        quantity: tuple[float, str, Token] | None = children[-1]
        if quantity is None:
            return {"shrink": DEFAULT_SHRINK, "token": Token("SHRINKING", "shrinking")}
        value, unit, number = quantity
        remaining = value * SHARE_UNITS.get(unit, 1.0)
        if unit in TIME_UNITS or not 0 < remaining < 1:
            raise TokenError(
                number,
                f"the remaining share of the fleet must be between 0 and 1, not {number[:32]}{unit}",
            )
        return {"shrink": remaining, "token": number}

    def releasing(self, _: list[Any]) -> dict[str, Any]:
        """Return the field of a running release."""
        return {"release": True, "token": Token("RELEASE", "release")}

    @v_args(inline=True)
    def surging(self, name: Token, number: Token | None) -> dict[str, Any]:
        """Return the fields of a tenant whose traffic surges.

        Raises:
            TokenError: The factor is not above 1, or is above `MAX_SURGE_FACTOR`.
        """
        factor = float(number) if number is not None else DEFAULT_SURGE_FACTOR
        if not 1 < factor <= MAX_SURGE_FACTOR:
            raise TokenError(
                number if number is not None else name,
                f"a surge must be by more than 1 and at most {MAX_SURGE_FACTOR}, not {factor:g}",
            )
        return {"surge": unquote(name), "surge_factor": factor, "token": name}

    def planners_gone(self, _: list[Any]) -> dict[str, Any]:
        """Return the field of planners that are gone."""
        return {"planners_gone": True, "token": Token("PLANNERS", "planners")}

    def below_down(self, _: list[Any]) -> dict[str, Any]:
        """Return the field of a downstream service that is down."""
        return {"below_down": True, "token": Token("SERVICE", "service")}

    @v_args(inline=True)
    def site_goes(self, name: Token) -> dict[str, Any]:
        """Return the fields of the event that a site is lost."""
        return {"event": Event.SITE_LOST, "event_subject": unquote(name), "lost": unquote(name)}

    @v_args(inline=True)
    def site_returns(self, name: Token) -> dict[str, Any]:
        """Return the fields of the event that a lost site returns."""
        return {"event": Event.SITE_RETURNS, "event_subject": unquote(name), "lost": unquote(name)}

    def release_begins(self, _: list[Any]) -> dict[str, Any]:
        """Return the fields of the event that a release begins."""
        return {"event": Event.RELEASE, "release": True}

    def shrink_begins(self, _: list[Any]) -> dict[str, Any]:
        """Return the fields of the event that the fleet begins to shrink to `DEFAULT_SHRINK`."""
        return {"event": Event.SHRINKING, "shrink": DEFAULT_SHRINK}

    def shrink_ends(self, _: list[Any]) -> dict[str, Any]:
        """Return the fields of the event that the fleet has shrunk to `DEFAULT_SHRINK`."""
        return {"event": Event.SHRUNK, "shrink": DEFAULT_SHRINK}

    @v_args(inline=True)
    def surge_begins(self, name: Token) -> dict[str, Any]:
        """Return the fields of the event that a tenant's surge by `DEFAULT_SURGE_FACTOR` begins."""
        return {
            "event": Event.SURGE,
            "event_subject": unquote(name),
            "surge": unquote(name),
            "surge_factor": DEFAULT_SURGE_FACTOR,
        }


def parse(text: str, file: str) -> list[Statement]:
    """Parse the text of an expectation file.

    Args:
        text: The text; it may hold no statement.
        file: The name of the file, for locations.

    Returns:
        The statements in the order of the text.

    Raises:
        ExpectationSyntaxError: The text is not valid, or is past a limit on its size, its statements or
            their nesting.
    """
    if len(text.encode("utf-8", "replace")) > MAX_TEXT_BYTES:
        raise ExpectationSyntaxError(
            SourceLocation(file, 1, 1), f"the file has more than {MAX_TEXT_BYTES >> 20} MB"
        )
    positions = statement_positions(text)
    try:
        parsed: Any = load_grammar().parse(text)
    except UnexpectedInput as error:
        raise describe_syntax_error(error, text, file) from None
    except Exception as error:
        cause = error.__cause__ or getattr(error, "orig_exc", error)
        if not isinstance(cause, TokenError):
            raise
        token = cause.token
        raise ExpectationSyntaxError(
            SourceLocation(file, token.line or 1, token.column or 1), cause.reason
        ) from None
    if len(parsed) > MAX_STATEMENTS:
        raise ExpectationSyntaxError(
            SourceLocation(file, 1, 1),
            f"the file has {len(parsed)} statements; at most {MAX_STATEMENTS} are allowed",
        )
    statements: list[Statement] = []
    first_locations: dict[str, SourceLocation] = {}
    for index, (label, claim, fields) in enumerate(parsed):
        location = SourceLocation(file, *positions[index])
        if claim_depth(claim) > MAX_CLAIM_DEPTH:
            raise ExpectationSyntaxError(
                location,
                f"claims are nested {claim_depth(claim)} deep; at most {MAX_CLAIM_DEPTH} levels are allowed",
            )
        name = unquote(label) if label is not None else f"{file.rpartition('/')[2]}:{location.line}"
        if label is not None and name in first_locations:
            raise ExpectationSyntaxError(
                location, f"the name {name!r} is already used at {first_locations[name].describe()}"
            )
        first_locations.setdefault(name, location)
        statements.append(
            Statement(name, claim, build_condition(fields, location), location, label is not None)
        )
    return statements


def build_condition(fields: dict[str, Any], location: SourceLocation) -> Condition:
    """Build the condition of a statement from its fields.

    Raises:
        ExpectationSyntaxError: `always` stands beside other parts, or `for` without a situation.
    """
    condition = Condition(**fields)
    if condition.always and condition != Condition(always=True):
        raise ExpectationSyntaxError(location, "'always' can't be combined with another condition")
    if condition.event is None and condition.settled and not has_situation(condition):
        raise ExpectationSyntaxError(
            location, "'for' needs a situation that lasts, such as 'while a release runs'"
        )
    return condition


def has_situation(condition: Condition) -> bool:
    """Return whether a condition includes a situation, which lasts, and not only a load or an event."""
    return bool(
        condition.lost
        or condition.shrink is not None
        or condition.release
        or condition.surge
        or condition.planners_gone
        or condition.below_down
    )


def statement_positions(text: str) -> list[tuple[int, int]]:
    """Return line and column of each `expect` that begins a statement.

    An `expect` within a comment, a quoted name or a longer word does not count.
    """
    found: list[tuple[int, int]] = []
    for number, line in enumerate(text.split("\n"), 1):
        if "expect" not in line:
            continue
        masked = mask_quotes_and_comments(line)
        column = masked.find("expect")
        while column >= 0:
            before, after = masked[column - 1 : column], masked[column + 6 : column + 7]
            if not (before.isalnum() or (before in ("_", ".", "-") and before)) and not (
                after.isalnum() or (after in ("_", ".", "-") and after)
            ):
                found.append((number, column + 1))
            column = masked.find("expect", column + 6)
    return found


def mask_quotes_and_comments(line: str) -> str:
    """Return a line without its comment and with quoted names replaced by spaces."""
    masked, quoted = [], False
    for char in line:
        if char == '"':
            quoted = not quoted
            masked.append(" ")
        elif char == "#" and not quoted:
            break
        else:
            masked.append(" " if quoted else char)
    return "".join(masked)


def describe_syntax_error(error: UnexpectedInput, text: str, file: str) -> ExpectationSyntaxError:
    """Convert an error of the parser.

    The message suggests the expected word that is most like the unexpected one, else it lists what is
    expected.
    """
    if isinstance(error, UnexpectedCharacters):
        location = SourceLocation(file, error.line, error.column)
        line = text.split("\n")[error.line - 1]
        word = line[error.column - 1 :].split(" ")[0][:32]
        allowed = sorted(error.allowed or ())
        close_matches = get_close_matches(word.lower(), [item.strip("_").lower() for item in allowed], 1, 0.6)
        hint = (
            f", was {close_matches[0]!r} meant?"
            if close_matches
            else f"; expected {describe_terminals(allowed)}"
        )
        return ExpectationSyntaxError(location, f"{word!r} can't be read here{hint}")
    if isinstance(error, UnexpectedToken):
        token = error.token
        expected = sorted(error.accepts or error.expected)
        if token.type == "$END":
            end = text.rstrip().split("\n")
            return ExpectationSyntaxError(
                SourceLocation(file, len(end), len(end[-1]) + 1),
                f"the file ends too soon; expected {describe_terminals(expected)}",
            )
        words = [item.strip("_").lower() for item in expected if item.strip("_").isalpha()]
        close_matches = get_close_matches(str(token).lower(), words, 1, 0.6)
        hint = f", was {close_matches[0]!r} meant?" if close_matches else ""
        return ExpectationSyntaxError(
            SourceLocation(file, token.line or 1, token.column or 1),
            f"{str(token)[:32]!r} is not expected{hint or '; expected ' + describe_terminals(expected)}",
        )
    if isinstance(error, UnexpectedEOF):
        return ExpectationSyntaxError(SourceLocation(file, 1, 1), "the file ends too soon")
    return ExpectationSyntaxError(SourceLocation(file, 1, 1), "the file can't be read")


def describe_terminals(names: Iterable[str]) -> str:
    """Return what a syntax error calls some terminals of the grammar, at most `MAX_TERMINALS_SHOWN`."""
    names_shown = sorted(
        {
            TERMINAL_LABELS.get(name, name.strip("_").lower())
            for name in names
            if name not in ("WS", "COMMENT")
        }
    )
    return ", ".join(names_shown[:MAX_TERMINALS_SHOWN]) + (
        " ..." if len(names_shown) > MAX_TERMINALS_SHOWN else ""
    )
