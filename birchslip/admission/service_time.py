"""Estimates of the core time of requests, from measured runs and the cost hints of requests.

This module owns the measured times. It makes no decisions and reads no clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import exp, log

from .types import Request, RequestClass
from .windows import QuantileWindow

HINT_WINDOW_RUNS = 200  # runs over which the precision of hints is averaged
EXACT_HINT_PRIOR = 3.0  # weight of the assumption that hints are exact
MIN_VARIANCE = 1e-9


@dataclass(slots=True)
class LogMeans:
    """Running means of the logarithms of cost hints and service times of one request class."""

    count: int = 0
    cost: float = 0.0
    time: float = 0.0


class CostModel:
    """Fits service times to cost hints: time ~ hint ** power, by least squares within each request class.

    The power is below 1 if hints are imprecise, since part of a large hint is then its own error.
    """

    def __init__(self, request_classes: list[RequestClass]) -> None:
        """Start with a power of 1: hints are assumed to be exact."""
        self.means = {request_class: LogMeans() for request_class in request_classes}
        self.variance = EXACT_HINT_PRIOR
        self.covariance = EXACT_HINT_PRIOR
        self.power = 1.0

    def add(self, request_class: RequestClass, cost_hint: int, service_time: float) -> None:
        """Update the model with one run."""
        means = self.means[request_class]
        count = min(means.count + 1, HINT_WINDOW_RUNS)
        cost_deviation = log(max(1, cost_hint)) - means.cost
        time_deviation = log(max(1.0, service_time)) - means.time
        means.count = count
        means.cost += cost_deviation / count
        means.time += time_deviation / count
        self.variance += cost_deviation * cost_deviation * (1 - 1 / count) - self.variance / HINT_WINDOW_RUNS
        self.covariance += (
            cost_deviation * time_deviation * (1 - 1 / count) - self.covariance / HINT_WINDOW_RUNS
        )
        self.power = min(1.0, max(0.0, self.covariance / max(MIN_VARIANCE, self.variance)))

    def factor(self, request_class: RequestClass, cost_hint: int) -> float:
        """Return the service time expected for a hint, relative to the mean of its class."""
        return exp(self.power * (log(max(1, cost_hint)) - self.means[request_class].cost))


class ServiceTimes:
    """Core times of runs, without their calls downstream, for each request class and over all."""

    def __init__(self, request_classes: list[RequestClass]) -> None:
        """Start without measurements; all estimates are 0."""
        self.by_class = {request_class: QuantileWindow() for request_class in request_classes}
        self.calls_by_class = {request_class: QuantileWindow() for request_class in request_classes}
        self.overall = QuantileWindow()
        self.cost_model = CostModel(request_classes)

    def add(self, request: Request, now: int) -> None:
        """Record a run that went to its end."""
        request_class = request.request_class
        self.cost_model.add(request_class, request.cost_hint, request.core_time_used)
        factor = self.cost_model.factor(request_class, request.cost_hint)
        self.by_class[request_class].add(now, request.core_time_used / factor)
        self.calls_by_class[request_class].add(now, request.downstream_calls)
        self.overall.add(now, request.core_time_used)

    def typical(self, request: Request) -> float:
        """Return the mean core time for the class and cost hint of a request."""
        factor = self.cost_model.factor(request.request_class, request.cost_hint)
        return self.by_class[request.request_class].mean * factor

    def low(self, request: Request) -> float:
        """Return the low quantile of core times for the class and cost hint of a request."""
        factor = self.cost_model.factor(request.request_class, request.cost_hint)
        return self.by_class[request.request_class].low * factor

    def high(self, request: Request) -> float:
        """Return the high quantile of core times for the class and cost hint of a request."""
        factor = self.cost_model.factor(request.request_class, request.cost_hint)
        return self.by_class[request.request_class].high * factor

    def remaining(self, request: Request, slowdown: float) -> float:
        """Return the core time that a request is expected to need still, at the given slowdown."""
        return max(0.0, self.typical(request) * slowdown - request.core_time_used)

    def mean_calls(self, request: Request) -> float:
        """Return the mean number of calls downstream for the class of a request."""
        return self.calls_by_class[request.request_class].mean
