"""A complete check: files are read, statements reasoned about, scenarios run and failures searched.

No socket is opened and no clock is read: the same files and seed give the same verdicts.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path

from ..errors import InvalidInputError
from ..lab.model.world import Setting
from .consistency import Conflict, find_conflicts
from .judge import Evaluation, Outcome, Verdict, combine_seeds
from .names import KnownNames
from .parse import ExpectationSyntaxError, parse
from .plays import RunOutcome, ScenarioRun, ScenarioRunner
from .reason import Contradiction, reason_about
from .search import Case, attribute_change, failure_history, shrink
from .situations import build_script
from .sources import Sources
from .words import Claim, Condition, Statement

SUFFIX = ".expect"
DEFAULT_SEED_COUNT = 3  # scenario runs of each condition
MAX_SEARCHED_FAILURES = 8  # further failures are reported without history and setting


@dataclass(slots=True)
class Report:
    """The result of a check.

    Attributes:
        verdicts: The verdict on each statement, in the order of the files.
        contradictions: Statements that cannot hold together.
        conflicts: Settings that contradict each other.
        run_count: How many scenarios were run.
        empty: Files without a statement.
    """

    verdicts: dict[Statement, Verdict] = field(default_factory=dict)
    contradictions: list[Contradiction] = field(default_factory=list)
    conflicts: list[Conflict] = field(default_factory=list)
    run_count: int = 0
    empty: list[str] = field(default_factory=list)

    def count(self, outcome: Outcome) -> int:
        """Return the number of statements with an outcome."""
        return sum(1 for verdict in self.verdicts.values() if verdict.outcome is outcome)

    @property
    def exit_code(self) -> int:
        """The exit code of the command.

        1 if a statement fails, or if settings or statements contradict each other; otherwise 2 if a statement
        is undecided or there is none; 0 if all hold.
        """
        if self.conflicts or self.contradictions or self.count(Outcome.FAILS):
            return 1
        return 2 if self.count(Outcome.UNDECIDED) or not self.verdicts else 0


def expectation_files(paths: Iterable[str | Path]) -> list[Path]:
    """Return the files to read, each once.

    A folder stands for all `*.expect` files below it, sorted by path. Other paths are not checked here.

    Raises:
        InvalidInputError: A folder holds no `*.expect` file.
    """
    found: list[Path] = []
    for path in map(Path, paths):
        files = sorted(path.rglob(f"*{SUFFIX}")) if path.is_dir() else [path]
        if not files:
            raise InvalidInputError(f"{path}: the folder holds no file whose name ends in {SUFFIX}")
        found += files
    return list(dict.fromkeys(found))


def read_statements(paths: Iterable[str | Path], sources: Sources) -> tuple[list[Statement], list[str]]:
    """Read all statements.

    Returns:
        The statements, and the files that hold none.

    Raises:
        InvalidInputError: A file or a statement is wrong; the message has a line for each error.
        OSError: A file cannot be read.
    """
    names = KnownNames(sources.setting)
    result: list[Statement] = []
    empty: list[str] = []
    errors: list[str] = []
    for path in expectation_files(paths):
        try:
            text = path.read_bytes().decode("utf-8")
        except UnicodeDecodeError as error:
            errors.append(f"{path}: the file is not UTF-8: {error.reason} at byte {error.start}")
            continue
        try:
            parsed = parse(text, str(path))
        except ExpectationSyntaxError as error:
            errors.append(str(error))
            continue
        if not parsed:
            empty.append(str(path))
        for statement in parsed:
            name_error = names.find_error(statement)
            if name_error:
                errors.append(f"{statement.location.describe()}: {name_error}")
        result += parsed
    seen: dict[str, Statement] = {}
    for statement in result:
        other = seen.setdefault(statement.name, statement)
        if other is not statement:
            errors.append(
                f"{statement.location.describe()}: the name {statement.name!r}"
                f" is already used at {other.location.describe()}"
            )
    if errors:
        raise InvalidInputError("\n".join(errors))
    return result, empty


class Check:
    """Checks statements against settings."""

    def __init__(
        self,
        sources: Sources,
        statements: Sequence[Statement],
        seed: int = 1,
        seeds: int = DEFAULT_SEED_COUNT,
        search: bool = True,
        capacity: float = 0.0,
        jobs: int = 0,
    ) -> None:
        """Prepare a check.

        Args:
            sources: The settings.
            statements: The statements.
            seed: The first seed.
            seeds: How many seeds each condition is run with.
            search: Whether to search for the history and the responsible setting of failures.
            capacity: What loads are multiples of, in requests per second; 0 for the capacity of the settings.
            jobs: How many scenarios run at a time; 0 for one for each core, at most `MAX_JOBS`.
        """
        self.sources, self.statements = sources, statements
        self.seeds = [seed + step for step in range(seeds)]
        self.search = search
        self.names = KnownNames(sources.setting)
        self.report = Report()
        self.searched_count = 0
        self.capacity = capacity or sources.setting.capacity()
        self.runner = ScenarioRunner(jobs)

    def run(self) -> Report:
        """Run the check and return its report."""
        setting = self.sources.setting
        reasoned = reason_about(
            self.statements, setting, (self.sources.file_labels[0], self.sources.file_labels[1])
        )
        verdicts: dict[Statement, Verdict] = {}
        self.report.contradictions = reasoned.contradictions
        self.report.conflicts = find_conflicts(self.sources)
        contradicting = {
            statement: contradiction
            for contradiction in reasoned.contradictions
            for statement in contradiction.statements
        }
        for statement in self.statements:
            if statement in contradicting:
                contradiction = contradicting[statement]
                others = [other.name for other in contradiction.statements if other is not statement]
                rest = ", ".join([*others, *contradiction.settings]) or "itself"
                verdicts[statement] = Verdict(
                    Outcome.FAILS, "reasoning", f"{contradiction.reason}; the statement contradicts {rest}"
                )
            elif statement in reasoned.fails:
                verdicts[statement] = Verdict(Outcome.FAILS, "reasoning", reasoned.fails[statement])
            elif statement in reasoned.holds:
                verdicts[statement] = Verdict(Outcome.HOLDS, "reasoning", reasoned.holds[statement])
        try:
            self.run_groups(
                [statement for statement in self.statements if statement not in verdicts], verdicts
            )
        finally:
            self.runner.close()
        self.report.run_count = self.runner.run_count
        self.report.verdicts = {statement: verdicts[statement] for statement in self.statements}
        return self.report

    def run_groups(self, statements: Sequence[Statement], verdicts: dict[Statement, Verdict]) -> None:
        """Run the scenarios of the statements and add their verdicts to `verdicts`.

        All statements with the same condition share their runs. Statements with `always` apply to every run.
        """
        groups: dict[Condition, list[Statement]] = {}
        always_statements = [statement for statement in statements if statement.condition.always]
        for statement in statements:
            if not statement.condition.always:
                groups.setdefault(statement.condition, []).append(statement)
        if always_statements:
            groups.setdefault(Condition(), [])
        always_claims = tuple(statement.claim for statement in always_statements)
        scenario_runs = [
            self.scenario_run(
                self.sources.setting,
                condition,
                seed,
                tuple(statement.claim for statement in group),
                always_claims,
            )
            for condition, group in groups.items()
            for seed in self.seeds
        ]
        outcomes = self.runner.run_all(scenario_runs)
        for index, statement in enumerate(always_statements):
            self.judge_always(
                statement,
                verdicts,
                [
                    (scenario_run, outcome.always_evaluations[index])
                    for scenario_run, outcome in zip(scenario_runs, outcomes, strict=True)
                ],
            )
        for group_index, group in enumerate(groups.values()):
            seed_outcomes = outcomes[group_index * len(self.seeds) : (group_index + 1) * len(self.seeds)]
            unmet_reason = next(
                (outcome.unmet_reason for outcome in seed_outcomes if outcome.unmet_reason), ""
            )
            for index, statement in enumerate(group):
                if unmet_reason:
                    reason = f"its condition never came true: {unmet_reason}"
                    verdicts[statement] = Verdict(Outcome.UNDECIDED, "play", reason)
                    continue
                evaluations = {
                    seed: outcome.evaluations[index]
                    for seed, outcome in zip(self.seeds, seed_outcomes, strict=True)
                }
                verdicts[statement] = verdict = combine_seeds(list(evaluations.items()))
                if verdict.outcome is Outcome.FAILS and verdict.seed is not None:
                    self.investigate(statement, verdict, evaluations[verdict.seed], statement.condition)

    def judge_always(
        self,
        statement: Statement,
        verdicts: dict[Statement, Verdict],
        outcomes: list[tuple[ScenarioRun, Evaluation]],
    ) -> None:
        """Add the verdict on a statement with `always`.

        The worst evaluation of each seed counts. Runs with too little to measure count only if there is no
        other.
        """
        worst: dict[int, tuple[ScenarioRun, Evaluation]] = {}
        for scenario_run, evaluation in outcomes:
            previous = worst.get(scenario_run.seed)
            if (
                previous is None
                or previous[1].held is None
                or (evaluation.held is not None and evaluation.excess > previous[1].excess)
            ):
                worst[scenario_run.seed] = (scenario_run, evaluation)
        verdicts[statement] = verdict = combine_seeds(
            [(seed, evaluation) for seed, (_, evaluation) in worst.items()]
        )
        if verdict.outcome is Outcome.FAILS and verdict.seed is not None:
            self.investigate(statement, verdict, worst[verdict.seed][1], worst[verdict.seed][0].condition)

    def scenario_run(
        self,
        setting: Setting,
        condition: Condition,
        seed: int,
        claims: tuple[Claim, ...],
        always_claims: tuple[Claim, ...] = (),
    ) -> ScenarioRun:
        """Return the scenario run of a condition with one seed."""
        return ScenarioRun(
            setting, condition, build_script(condition, setting), seed, claims, always_claims, self.capacity
        )

    def investigate(
        self, statement: Statement, verdict: Verdict, worst: Evaluation, condition: Condition
    ) -> None:
        """Search for the history and the responsible setting of a failure; they are added to the verdict.

        Args:
            statement: The statement that fails.
            verdict: Its verdict.
            worst: The evaluation of the deciding run.
            condition: The condition of that run.
        """
        if not self.search or self.searched_count >= MAX_SEARCHED_FAILURES:
            return
        self.searched_count += 1
        assert verdict.seed is not None
        own_claim: tuple[Claim, ...] = (statement.claim,)
        claims, always_claims = ((), own_claim) if statement.condition.always else (own_claim, ())
        failing_run = self.scenario_run(self.sources.setting, condition, verdict.seed, claims, always_claims)

        def evaluation_of(outcome: RunOutcome) -> Evaluation:
            return (outcome.evaluations or outcome.always_evaluations)[0]

        def run_cases(cases: Sequence[Case]) -> list[Evaluation]:
            return [
                evaluation_of(outcome)
                for outcome in self.runner.run_all([self.with_case(failing_run, case) for case in cases])
            ]

        case, smallest_evaluation = shrink(
            Case(failing_run.setting, failing_run.script, verdict.seed), worst, statement, run_cases
        )
        verdict.history = failure_history(
            case, smallest_evaluation, self.runner.run_all([self.with_case(failing_run, case)])[0].notes
        )

        def run_changed(changed_sources: Sequence[Sources]) -> list[Evaluation | None]:
            scenario_runs: list[ScenarioRun | None] = []
            for sources in changed_sources:
                try:
                    scenario_runs.append(
                        self.scenario_run(sources.setting, condition, case.seed, claims, always_claims)
                    )
                except InvalidInputError:
                    scenario_runs.append(None)
            outcomes = iter(self.runner.run_all([run for run in scenario_runs if run is not None]))
            return [
                evaluation_of(next(outcomes)) if scenario_run is not None else None
                for scenario_run in scenario_runs
            ]

        attribution = attribute_change(statement, worst, self.sources, run_changed)
        if attribution is not None:
            change, evaluation = attribution
            effect = "it holds" if evaluation.held else "it comes closer to its bound"
            verdict.responsible_setting = (
                f"{change.describe(self.sources)}; with {change.new} {effect} ({evaluation.reason})"
            )

    @staticmethod
    def with_case(scenario_run: ScenarioRun, case: Case) -> ScenarioRun:
        """Return a scenario run with the settings, script and seed of a case."""
        return replace(scenario_run, setting=case.setting, script=case.script, seed=case.seed)
