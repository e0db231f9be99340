"""The whole check: files are read, statements are reasoned about, what is left is played, failures searched.

No socket is opened and no clock is read: the same files and seed give the same verdicts.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path

from ..errors import InvalidInputError
from ..lab.model.world import Setting
from .consistency import Conflict, conflicts
from .judge import Outcome, Said, Verdict, verdict
from .names import Names
from .parse import Wrong, parse
from .plays import Came, Plays, Task
from .reason import Clash, reason
from .search import Case, blame, history, shrink
from .situations import script
from .sources import Sources
from .words import Claim, Statement, When

SUFFIX = ".expect"
SEEDS = 3  # plays of each situation
SEARCHED_MOST = 8  # failures whose history and setting are looked for; others are told without


@dataclass(slots=True)
class Report:
    """`verdicts` in the order of the files; `clashes` are contradictions."""

    verdicts: dict[Statement, Verdict] = field(default_factory=dict)
    clashes: list[Clash] = field(default_factory=list)
    conflicts: list[Conflict] = field(default_factory=list)  # of settings alone
    plays: int = 0
    empty: list[str] = field(default_factory=list)  # files without a statement

    def count(self, outcome: Outcome) -> int:
        return sum(1 for one in self.verdicts.values() if one.outcome is outcome)

    @property
    def code(self) -> int:
        """0: all hold; 1: something fails; 2: something can't be told."""
        if self.conflicts or self.clashes or self.count(Outcome.FAILS):
            return 1
        return 2 if self.count(Outcome.UNTOLD) or not self.verdicts else 0


def files_of(paths: Iterable[str | Path]) -> list[Path]:
    """Folders stand for their `*.expect` files, in order of their names."""
    found: list[Path] = []
    for one in map(Path, paths):
        some = sorted(one.rglob(f"*{SUFFIX}")) if one.is_dir() else [one]
        if not some:
            raise InvalidInputError(f"{one}: no file ends in {SUFFIX}")
        found += some
    return list(dict.fromkeys(found))


def read_statements(paths: Iterable[str | Path], sources: Sources) -> tuple[list[Statement], list[str]]:
    """All statements, and the files that hold none.

    `InvalidInputError` names every wrong place, a line each.
    """
    names = Names(sources.setting)
    made: list[Statement] = []
    empty: list[str] = []
    wrong: list[str] = []
    for path in files_of(paths):
        try:
            text = path.read_bytes().decode("utf-8")
        except UnicodeDecodeError as trouble:
            wrong.append(f"{path}: not UTF-8: {trouble.reason} at byte {trouble.start}")
            continue
        try:
            some = parse(text, str(path))
        except Wrong as trouble:
            wrong.append(str(trouble))
            continue
        if not some:
            empty.append(str(path))
        for statement in some:
            trouble_here = names.trouble(statement)
            if trouble_here:
                wrong.append(f"{statement.spot.told()}: {trouble_here}")
        made += some
    seen: dict[str, Statement] = {}
    for statement in made:
        other = seen.setdefault(statement.name, statement)
        if other is not statement:
            wrong.append(f"{statement.spot.told()}: {statement.name!r} stands at {other.spot.told()} too")
    if wrong:
        raise InvalidInputError("\n".join(wrong))
    return made, empty


class Check:
    """`search` looks for histories and settings of what fails; `jobs` plays at a time, 0 for as many as there
    are cores.
    """

    def __init__(
        self,
        sources: Sources,
        statements: Sequence[Statement],
        seed: int = 1,
        seeds: int = SEEDS,
        search: bool = True,
        capacity: float = 0.0,
        jobs: int = 0,
    ) -> None:
        self.sources, self.statements = sources, statements
        self.seeds = [seed + step for step in range(seeds)]
        self.search = search
        self.names = Names(sources.setting)
        self.report = Report()
        self.searched = 0
        self.capacity = capacity or sources.setting.capacity()
        self.plays = Plays(jobs)

    def run(self) -> Report:
        setting = self.sources.setting
        reasoned = reason(self.statements, setting, (self.sources.names[0], self.sources.names[1]))
        found: dict[Statement, Verdict] = {}
        self.report.clashes, self.report.conflicts = reasoned.clashes, conflicts(self.sources)
        clashing = {one: clash for clash in reasoned.clashes for one in clash.statements}
        for statement in self.statements:
            if statement in clashing:
                clash = clashing[statement]
                others = [one.name for one in clash.statements if one is not statement]
                rest = ", ".join([*others, *clash.settings])
                found[statement] = Verdict(Outcome.FAILS, "reasoning", f"{clash.why}: with {rest}")
            elif statement in reasoned.fails:
                found[statement] = Verdict(Outcome.FAILS, "reasoning", reasoned.fails[statement])
            elif statement in reasoned.holds:
                found[statement] = Verdict(Outcome.HOLDS, "reasoning", reasoned.holds[statement])
        try:
            self.play([one for one in self.statements if one not in found], found)
        finally:
            self.plays.close()
        self.report.plays = self.plays.count
        self.report.verdicts = {statement: found[statement] for statement in self.statements}
        return self.report

    def play(self, statements: Sequence[Statement], found: dict[Statement, Verdict]) -> None:
        """All that is said of one situation goes by the same plays; what is always to hold goes by all."""
        groups: dict[When, list[Statement]] = {}
        wide = [one for one in statements if one.when.always]
        for statement in statements:
            if not statement.when.always:
                groups.setdefault(statement.when, []).append(statement)
        if wide:
            groups.setdefault(When(), [])
        always = tuple(one.claim for one in wide)
        tasks = [
            self.task(self.sources.setting, when, seed, tuple(one.claim for one in some), always)
            for when, some in groups.items()
            for seed in self.seeds
        ]
        came = self.plays.all(tasks)
        for nth, statement in enumerate(wide):
            self.judge_always(
                statement, found, [(task, one.always[nth]) for task, one in zip(tasks, came, strict=True)]
            )
        for place, some in enumerate(groups.values()):
            mine = came[place * len(self.seeds) : (place + 1) * len(self.seeds)]
            never = next((one.never for one in mine if one.never), "")
            for nth, statement in enumerate(some):
                if never:
                    why = f"its condition never came true: {never}"
                    found[statement] = Verdict(Outcome.UNTOLD, "play", why)
                    continue
                said = {seed: one.said[nth] for seed, one in zip(self.seeds, mine, strict=True)}
                found[statement] = one = verdict(list(said.items()))
                if one.outcome is Outcome.FAILS and one.seed is not None:
                    self.look_into(statement, one, said[one.seed], statement.when)

    def judge_always(
        self, statement: Statement, found: dict[Statement, Verdict], came: list[tuple[Task, Said]]
    ) -> None:
        """Over all plays of each seed: the worst counts, and where there was nothing to measure none does."""
        worst: dict[int, tuple[Task, Said]] = {}
        for task, said in came:
            was = worst.get(task.seed)
            if was is None or was[1].held is None or (said.held is not None and said.over > was[1].over):
                worst[task.seed] = (task, said)
        found[statement] = one = verdict([(seed, said) for seed, (_, said) in worst.items()])
        if one.outcome is Outcome.FAILS and one.seed is not None:
            self.look_into(statement, one, worst[one.seed][1], worst[one.seed][0].when)

    def task(
        self,
        setting: Setting,
        when: When,
        seed: int,
        claims: tuple[Claim, ...],
        always: tuple[Claim, ...] = (),
    ) -> Task:
        return Task(setting, when, script(when, setting), seed, claims, always, self.capacity)

    def look_into(self, statement: Statement, one: Verdict, worst: Said, when: When) -> None:
        """How little it takes, and which setting bears it. `when` is the situation it failed in."""
        if not self.search or self.searched >= SEARCHED_MOST:
            return
        self.searched += 1
        assert one.seed is not None
        own: tuple[Claim, ...] = (statement.claim,)
        claims, always = ((), own) if statement.when.always else (own, ())
        first = self.task(self.sources.setting, when, one.seed, claims, always)

        def of(came: Came) -> Said:
            return (came.said or came.always)[0]

        def fails(cases: Sequence[Case]) -> list[Said]:
            return [of(came) for came in self.plays.all([self.of_case(first, case) for case in cases])]

        case, least = shrink(Case(first.setting, first.script, one.seed), worst, statement, fails)
        one.history = history(case, least, self.plays.all([self.of_case(first, case)])[0].notes)

        def changed(some: Sequence[Sources]) -> list[Said | None]:
            tasks: list[Task | None] = []
            for sources in some:
                try:
                    tasks.append(self.task(sources.setting, when, case.seed, claims, always))
                except InvalidInputError:
                    tasks.append(None)
            came = iter(self.plays.all([task for task in tasks if task is not None]))
            return [of(next(came)) if task is not None else None for task in tasks]

        found = blame(statement, worst, self.sources, changed)
        if found is not None:
            change, then = found
            good = "it holds" if then.held else "it comes closer"
            one.setting = f"{change.told(self.sources)}; with {change.then} {good} ({then.why})"

    @staticmethod
    def of_case(task: Task, case: Case) -> Task:
        return replace(task, setting=case.setting, script=case.script, seed=case.seed)
