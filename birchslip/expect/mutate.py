"""Which single breaks of the settings no expectation sees.

A break changes one value: a number becomes a quarter or four times of it, a switch is turned, an entry is
taken out, an order is turned round. The settings' own checks may refuse it, an expectation may fail or become
untold; what is left is listed with why nobody saw it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from enum import Enum

from ..errors import InvalidInputError
from .check import Check, Report
from .judge import Outcome
from .search import Change
from .sources import Path_, Sources
from .words import Statement

FACTOR = 4
SILENT = ("listen", "agent", "directory", "vault", "seed", "name", "address", "stop_ms")  # nothing of routing
SILENT_UNDER = ("limits", "gauges", "planners")
NAMES = ("name", "from", "to")


class Seen(Enum):
    REFUSED = "refused by the settings' own checks"
    CONFLICT = "settings contradict each other"
    FAILED = "an expectation fails"
    UNTOLD = "an expectation can't be told any more"
    SAME = "nothing that is played changes"
    UNBOUND = "figures change, and no expectation bounds them"


@dataclass(frozen=True, slots=True)
class Broken:
    """One break and what came of it; `by` names who saw it."""

    change: Change
    place: str
    seen: Seen
    by: str = ""

    @property
    def found(self) -> bool:
        return self.seen in (Seen.REFUSED, Seen.CONFLICT, Seen.FAILED, Seen.UNTOLD)


def breaks(sources: Sources) -> Iterator[Change]:
    """All single breaks of what bears on routing, in the files' order."""
    for which, path, value in sources.values():
        if which == "world" or silent(which, path):
            continue
        for then in broken(path, value):
            yield Change(which, path, value, then)
    if sources.fleet is not None and len(sources.fleet.get("refuse", ())) > 1:
        refuse = sources.fleet["refuse"]
        yield Change("fleet", ("refuse",), refuse, [*reversed(refuse[:-1]), refuse[-1]])


def silent(which: str, path: Path_) -> bool:
    if which == "config" and len(path) == 1:
        return True  # where it stands and whom it talks to
    return path[-1] in SILENT or any(part in SILENT_UNDER for part in path) or path[0] == "refuse"


def broken(path: Path_, value: object) -> list[object]:
    if isinstance(value, bool):
        return [not value]
    if isinstance(value, int):
        return [value * FACTOR, value // FACTOR] if value else [1]
    if isinstance(value, float):
        return [value * FACTOR, value / FACTOR] if value else [0.5]
    if isinstance(value, str) and path[-1] not in NAMES:
        return ["off" if value != "off" else "drop"]
    return []


def figures(report: Report) -> list[float | None]:
    return [one.value for one in report.verdicts.values()]


def mutate(
    sources: Sources,
    statements: Sequence[Statement],
    seed: int = 1,
    seeds: int = 1,
    tell: Callable[[Broken], None] = lambda broken: None,
    some: Sequence[Change] | None = None,
) -> list[Broken]:
    """Each break in turn; the traffic stays what it was."""
    usual = Check(sources, statements, seed, seeds, search=False)
    before = usual.run()
    found = []
    for change in breaks(sources) if some is None else some:
        one = try_out(sources, statements, change, before, seed, seeds, usual.capacity)
        tell(one)
        found.append(one)
    return found


def try_out(
    sources: Sources,
    statements: Sequence[Statement],
    change: Change,
    before: Report,
    seed: int,
    seeds: int,
    capacity: float,
) -> Broken:
    place = sources.place(change.which, change.path)
    then = sources.with_value(change.which, change.path, change.then)
    try:
        _ = then.setting
        check = Check(then, statements, seed, seeds, search=False, capacity=capacity)
        trouble = next((said for one in statements if (said := check.names.trouble(one))), "")
    except InvalidInputError as why:
        return Broken(change, place, Seen.REFUSED, str(why).splitlines()[0])
    if trouble:
        return Broken(change, place, Seen.REFUSED, trouble)
    after = check.run()
    new = next((one for one in after.conflicts if one not in before.conflicts), None)
    if new is not None:
        return Broken(change, place, Seen.CONFLICT, f"{', '.join(new.places)}: {new.why}")
    for outcome, seen in ((Outcome.FAILS, Seen.FAILED), (Outcome.UNTOLD, Seen.UNTOLD)):
        for statement, verdict in after.verdicts.items():
            if verdict.outcome is outcome and before.verdicts[statement].outcome is not outcome:
                return Broken(change, place, seen, statement.name)
    same = figures(before) == figures(after)
    return Broken(change, place, Seen.SAME if same else Seen.UNBOUND)
