"""Measures of a scenario run: the figure of a subject over given spans of virtual time."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from ..lab.model.clock import SECOND
from ..lab.model.routers import ClientRequest
from ..lab.model.world import Series, World
from .words import Comparison, Measure, Subject, SubjectKind

Span = tuple[int, int]
UTILIZATION_WINDOW = SECOND
MAX_OUT_SHARE = 0.5  # an app server that is out for this share of a window does not count in it
MIN_REQUESTS = 20  # fewer requests give no meaningful share or mean


@dataclass(frozen=True, slots=True)
class Observation:
    """A measured figure.

    Attributes:
        value: The figure, in the unit of its measure.
        at: When it was reached, in units of 0.1 ms; 0 for figures of the whole span.
        sample_count: How many samples or requests it is taken from.
    """

    value: float
    at: int = 0
    sample_count: int = 0


def measure_world(
    world: World, subject: Subject, measure: Measure, compare: Comparison, spans: Sequence[Span]
) -> Observation | None:
    """Return the figure that a comparison refers to.

    For an instantaneous measure this is the maximum if it is bounded from above, otherwise the minimum.

    Args:
        world: The finished scenario run.
        subject: One subject, not `each`.
        measure: The measure.
        compare: The comparison with the bound.
        spans: The spans that count, as (start, end) in units of 0.1 ms.

    Returns:
        The observation, or `None` if there were no samples, or fewer than `MIN_REQUESTS` requests, or if all
        requests have a priority weight of 0 and the measure is that of their weight.

    Raises:
        ValueError: The measure is unknown.
    """
    match measure:
        case Measure.OUTSTANDING:
            return extreme(sum_series(outstanding_series(world, subject)), compare, spans)
        case Measure.CALLS:
            return extreme(sum_series(downstream_call_series(world, subject)), compare, spans)
        case Measure.OUT:
            return extreme(
                sum_series([world.unavailable[name] for name in member_names(world, subject)]), compare, spans
            )
        case Measure.ROOM:
            return core_utilization(world, subject, compare, spans)
        case Measure.ADVISED:
            return advised_wait(world, subject, compare, spans)
        case Measure.TRIES:
            requests = requests_started(world, subject, spans)
            return (
                Observation(
                    sum(request.attempt_count for request in requests) / len(requests),
                    sample_count=len(requests),
                )
                if len(requests) >= MIN_REQUESTS
                else None
            )
        case Measure.REFUSED:
            return share_of_requests(
                requests_started(world, subject, spans),
                lambda request: request.was_shed and request.honoured_at < 0,
            )
        case Measure.EARNED:
            requests = requests_started(world, subject, spans)
            total_weight = sum(request.request_class.priority_weight for request in requests)
            earned_weight = sum(
                request.request_class.priority_weight for request in requests if request.is_in_time
            )
            return (
                Observation(earned_weight / total_weight, sample_count=len(requests))
                if len(requests) >= MIN_REQUESTS and total_weight
                else None
            )
        case Measure.SERVED:
            return share_of_requests(
                requests_started(world, subject, spans), lambda request: request.is_in_time
            )
    raise ValueError(f"unknown measure: {measure}")


def member_names(world: World, subject: Subject) -> list[str]:
    """Return the names of the app servers that belong to a subject.

    These are the members of a site or group, the app servers that need a service, or else all of the fleet.
    """
    match subject.kind:
        case SubjectKind.SITE:
            return world.sites[subject.name]
        case SubjectKind.SERVER:
            return [subject.name]
        case SubjectKind.GROUP:
            fleet = world.setting.fleet
            assert fleet is not None
            group = next(group for group in fleet.budget_groups() if group.name == subject.name)
            return [name for name in world.servers_by_name if name in group.members]
        case SubjectKind.SERVICE:
            fleet = world.setting.fleet
            needs = fleet.required_services() if fleet is not None else {}
            return [name for name in world.servers_by_name if subject.name in needs.get(name, ())]
    return list(world.servers_by_name)


def outstanding_series(world: World, subject: Subject) -> list[Series]:
    """Return the series whose sum is the number of outstanding attempts of a subject."""
    if subject.kind is SubjectKind.ROUTER:
        return [world.outstanding[int(subject.name)]]
    if subject.kind is SubjectKind.FLEET:
        return list(world.outstanding.values())
    return [world.outstanding_by_server[name] for name in member_names(world, subject)]


def downstream_call_series(world: World, subject: Subject) -> list[Series]:
    """Return the series whose sum is the number of downstream calls in flight of a subject."""
    if subject.kind is SubjectKind.FLEET:
        return [world.downstream_calls]
    return [world.downstream_calls_by_server[name] for name in member_names(world, subject)]


def sum_series(series_list: list[Series]) -> Series:
    """Return the sum of several series at every moment."""
    if len(series_list) == 1:
        return series_list[0]
    summed = Series()
    changes = sorted(
        (at, index, value)
        for index, series in enumerate(series_list)
        for at, value in zip(series.times, series.values, strict=True)
    )
    current = [0.0] * len(series_list)
    total = 0.0
    for at, index, value in changes:
        total += value - current[index]
        current[index] = value
        summed.set(at, total)
    return summed


def extreme(series: Series, compare: Comparison, spans: Sequence[Span]) -> Observation | None:
    """Return the maximum of a series over the spans for an upper bound, otherwise the minimum.

    Returns:
        The observation, or `None` if there are no spans.
    """
    samples = [sample for span in spans for sample in series.within(span)]
    if not samples:
        return None
    choose: Callable[..., tuple[int, float]] = max if compare.is_upper_bound else min
    at, value = choose(samples, key=lambda sample: sample[1])
    return Observation(value, at, len(samples))


def core_utilization(
    world: World, subject: Subject, compare: Comparison, spans: Sequence[Span]
) -> Observation | None:
    """Return the maximum or minimum share of busy cores over whole windows of one second.

    App servers that are out for at least half of a window do not count in it. There is no figure if no span
    holds a window in which an app server counts.
    """
    names = member_names(world, subject)
    samples: list[tuple[int, float]] = []
    for begin, end in spans:
        for at in range(begin, end - UTILIZATION_WINDOW + 1, UTILIZATION_WINDOW):
            window = (at, at + UTILIZATION_WINDOW)
            available = [
                name for name in names if time_average(world.unavailable[name], window) < MAX_OUT_SHARE
            ]
            if available:
                samples.append(
                    (
                        at,
                        sum(time_average(world.core_use[name], window) for name in available)
                        / len(available),
                    )
                )
    if not samples:
        return None
    choose: Callable[..., tuple[int, float]] = max if compare.is_upper_bound else min
    at, value = choose(samples, key=lambda sample: sample[1])
    return Observation(value, at, len(samples))


def time_average(series: Series, span: Span) -> float:
    """Return the time-weighted mean of a series over a span, which must not be empty."""
    samples = series.within(span)
    total = 0.0
    for (at, value), end in zip(samples, [*(time for time, _ in samples[1:]), span[1]], strict=True):
        total += value * (end - at)
    return total / (span[1] - span[0])


def advised_wait(
    world: World, subject: Subject, compare: Comparison, spans: Sequence[Span]
) -> Observation | None:
    """Return the longest or shortest wait that rejections advised; rejections without advice do not count."""
    matches = request_filter(subject)
    samples = []
    for begin, end in spans:
        first = bisect_left(world.answers, begin, key=lambda answer: answer[0])
        last = bisect_right(world.answers, end, key=lambda answer: answer[0])
        samples += [
            (at, wait) for at, request, _, wait in world.answers[first:last] if wait and matches(request)
        ]
    if not samples:
        return None
    choose: Callable[..., tuple[int, int]] = max if compare.is_upper_bound else min
    at, value = choose(samples, key=lambda sample: sample[1])
    return Observation(value, at, len(samples))


def request_filter(subject: Subject) -> Callable[[ClientRequest], bool]:
    """Return a predicate that selects the requests of a caller subject; the fleet has all requests."""
    match subject.kind:
        case SubjectKind.ROUTER:
            return lambda request, number=int(subject.name): request.router_number == number  # type: ignore[misc]
        case SubjectKind.TENANT:
            return lambda request: request.tenant_name == subject.name
        case SubjectKind.PROFILE:
            return lambda request: request.class_name == subject.name
        case SubjectKind.SITE:
            return lambda request: request.home_site == subject.name
    return lambda request: True


def requests_started(world: World, subject: Subject, spans: Iterable[Span]) -> list[ClientRequest]:
    """Return the requests of a subject that started within the spans; the end of a span is excluded."""
    matches = request_filter(subject)
    return [request for span in spans for request in world.requests_started(span) if matches(request)]


def share_of_requests(
    requests: list[ClientRequest], is_counted: Callable[[ClientRequest], bool]
) -> Observation | None:
    """Return the share of requests that satisfy a predicate; `None` for fewer than `MIN_REQUESTS`."""
    if len(requests) < MIN_REQUESTS:
        return None
    return Observation(
        sum(1 for request in requests if is_counted(request)) / len(requests), sample_count=len(requests)
    )
