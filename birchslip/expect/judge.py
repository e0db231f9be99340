"""Evaluation of claims from measured figures, and verdicts over several seeds.

The module performs no I/O: a scenario run is passed in as a function that measures. A statement holds if it
held with every seed and fails if it failed with every seed. Where seeds differ, the bound lies within the
noise of the simulation and the verdict is undecided, so that no verdict depends on a single seed.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from enum import Enum

from .measures import Observation
from .words import (
    AllOf,
    AnyOf,
    Bound,
    Claim,
    Comparison,
    Measure,
    Not,
    RefusalOrder,
    Subject,
    format_figure,
)

MeasureFunction = Callable[[Subject, Measure, Comparison], Observation | None]
ExpandSubject = Callable[[Subject], list[Subject]]


class Outcome(Enum):
    """The outcome of a check of one statement."""

    HOLDS = "holds"
    FAILS = "fails"
    UNDECIDED = "can't be told"


@dataclass(frozen=True, slots=True)
class Evaluation:
    """The result of one claim in one scenario run.

    Attributes:
        held: Whether the claim held; `None` if there was too little to measure.
        reason: The deciding figure in words.
        value: The deciding figure, in the unit of its measure.
        bound: The bound that it was compared with.
        at: When the figure was reached, in units of 0.1 ms; 0 if it belongs to no moment.
        excess: How far the figure is past its bound, as a multiple of the bound; negative within it. For an
            order of refusals it is the difference of the two shares. Verdicts and the search for the
            responsible setting compare it.
    """

    held: bool | None
    reason: str
    value: float | None = None
    bound: float | None = None
    at: int = 0
    excess: float = 0.0


def evaluate(claim: Claim, measure: MeasureFunction, expand: ExpandSubject) -> Evaluation:
    """Evaluate a claim.

    Args:
        claim: The claim.
        measure: Returns the figure that a comparison refers to, or `None` if there was too little to measure.
        expand: Returns the subjects that a subject with `each` stands for.
    """
    match claim:
        case Bound():
            evaluations = [
                evaluate_bound(replace(claim, subject=subject), measure) for subject in expand(claim.subject)
            ]
            return worst_of(evaluations)
        case RefusalOrder(first, then):
            return evaluate_order(first, then, measure)
        case Not(inner):
            evaluation = evaluate(inner, measure, expand)
            if evaluation.held is None:
                return evaluation
            return replace(
                evaluation,
                held=not evaluation.held,
                reason=f"{evaluation.reason} ('not' negates this)",
                excess=-evaluation.excess,
            )
        case AllOf(claims):
            return worst_of([evaluate(inner, measure, expand) for inner in claims])
        case AnyOf(claims):
            evaluations = [evaluate(inner, measure, expand) for inner in claims]
            held = next((evaluation for evaluation in evaluations if evaluation.held), None)
            if held is not None:
                return held
            if any(evaluation.held is None for evaluation in evaluations):
                return next(evaluation for evaluation in evaluations if evaluation.held is None)
            return replace(
                min(evaluations, key=lambda evaluation: evaluation.excess),
                reason=" and ".join(evaluation.reason for evaluation in evaluations),
            )


def worst_of(evaluations: Sequence[Evaluation]) -> Evaluation:
    """Return the evaluation that decides a conjunction.

    This is the failure with the largest excess, else the first undecided one, else the largest excess.
    """
    failed = [evaluation for evaluation in evaluations if evaluation.held is False]
    if failed:
        return max(failed, key=lambda evaluation: evaluation.excess)
    undecided = next((evaluation for evaluation in evaluations if evaluation.held is None), None)
    if undecided is not None:
        return undecided
    return max(evaluations, key=lambda evaluation: evaluation.excess)


def evaluate_bound(bound: Bound, measure: MeasureFunction) -> Evaluation:
    """Evaluate a bound on one subject."""
    if bound.compare is Comparison.EXACTLY and bound.measure.definition.is_instantaneous:
        # The figure must equal the bound at every moment: it is neither above nor below it.
        return worst_of(
            [
                evaluate_bound(replace(bound, compare=compare), measure)
                for compare in (Comparison.AT_MOST, Comparison.AT_LEAST)
            ]
        )
    observation = measure(bound.subject, bound.measure, bound.compare)
    subject_label, word = bound.subject.describe(), bound.measure.definition.word
    if observation is None:
        # Without rejections no wait was advised, so that an upper bound holds.
        if bound.measure is Measure.ADVISED and bound.compare.is_upper_bound:
            return Evaluation(True, f"{subject_label}: no wait was advised", 0.0, bound.value, excess=-1.0)
        return Evaluation(None, f"{subject_label}: too few samples to measure {word!r}")
    value = observation.value
    held = {
        Comparison.AT_MOST: value <= bound.value,
        Comparison.UNDER: value < bound.value,
        Comparison.AT_LEAST: value >= bound.value,
        Comparison.OVER: value > bound.value,
        Comparison.EXACTLY: value == bound.value,
    }[bound.compare]
    scale = max(abs(bound.value), 0.01)  # not 0 for a bound of 0
    deviation = (value - bound.value) / scale
    excess = (
        deviation
        if bound.compare.is_upper_bound
        else -deviation
        if bound.compare is not Comparison.EXACTLY
        else abs(deviation)
    )
    expected = f"{bound.compare.value} {format_figure(bound.measure, bound.value)}"
    text = f"{subject_label} {word} is {format_figure(bound.measure, value)}; expected {expected}"
    return Evaluation(held, text, value, bound.value, observation.at, excess)


def evaluate_order(first: Subject, then: Subject, measure: MeasureFunction) -> Evaluation:
    """Evaluate an order of refusals.

    It is undecided if no request of either subject was refused, or if one had too few requests.
    """
    first_refused, then_refused = (
        measure(subject, Measure.REFUSED, Comparison.AT_MOST) for subject in (first, then)
    )
    if first_refused is None or then_refused is None:
        unmeasured = first if first_refused is None else then
        return Evaluation(None, f"{unmeasured.describe()}: too few requests to measure 'refused'")
    if not first_refused.value and not then_refused.value:
        return Evaluation(None, f"no request of {first.describe()} or {then.describe()} was refused")
    text = (
        f"{first.describe()} refused is {first_refused.value:.1%},"
        f" {then.describe()} refused is {then_refused.value:.1%}; expected the first to be no less"
    )
    return Evaluation(
        then_refused.value <= first_refused.value,
        text,
        then_refused.value,
        first_refused.value,
        0,
        then_refused.value - first_refused.value,
    )


@dataclass(slots=True)
class Verdict:
    """The verdict on a statement.

    Attributes:
        outcome: Whether it holds.
        method: How the verdict was reached: `reasoning` or `play` (a scenario run).
        reason: Why, in words.
        value: The deciding figure, if there is one.
        bound: The bound that it was compared with.
        seed: The seed of the deciding run.
        history: Lines that describe the smallest failing run that was found.
        responsible_setting: The setting that affects a failure most, and the value that would help.
    """

    outcome: Outcome
    method: str
    reason: str
    value: float | None = None
    bound: float | None = None
    seed: int | None = None
    history: list[str] = field(default_factory=list)
    responsible_setting: str = ""


def combine_seeds(evaluations: Sequence[tuple[int, Evaluation]]) -> Verdict:
    """Combine the evaluations of a claim over all seeds into a verdict.

    The claim holds or fails if it does so with every seed, and is undecided otherwise. The seed with the
    largest excess gives the verdict its figure and reason, unless too little was measured with a seed.

    Args:
        evaluations: Pairs of (seed, evaluation), at least one.
    """
    if all(evaluation.held for _, evaluation in evaluations):
        seed, worst = max(evaluations, key=lambda pair: pair[1].excess)
        return Verdict(Outcome.HOLDS, "play", worst.reason, worst.value, worst.bound, seed)
    if all(evaluation.held is False for _, evaluation in evaluations):
        seed, worst = max(evaluations, key=lambda pair: pair[1].excess)
        return Verdict(Outcome.FAILS, "play", worst.reason, worst.value, worst.bound, seed)
    empty = next((evaluation for _, evaluation in evaluations if evaluation.held is None), None)
    if empty is not None:
        return Verdict(Outcome.UNDECIDED, "play", empty.reason)
    held = sum(1 for _, evaluation in evaluations if evaluation.held)
    seed, worst = max(evaluations, key=lambda pair: pair[1].excess)
    reason = (
        f"it held with {held} of {len(evaluations)} seeds, so that the bound lies within the noise;"
        f" the worst: {worst.reason}"
    )
    return Verdict(Outcome.UNDECIDED, "play", reason, worst.value, worst.bound, seed)
