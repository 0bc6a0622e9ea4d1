"""Fit the growth of a cost with a size, and check whether it may be extrapolated beyond the largest measured size.

A slope counts only if the fit without the largest size predicts the largest within `MAX_PREDICTION_ERROR`.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum

from benchmarks.capacity.records import Point

MAX_PREDICTION_ERROR = 0.2  # of the prediction for the largest size, relative to the measured value
MIN_SIZES = 4  # sizes of a series: three to fit and one to predict
MIN_RESIDUAL_GAIN = 0.01  # a steeper form is chosen only if its residual is smaller by more than this


class Form(Enum):
    """Forms of growth, flattest first; the page prints the values."""

    CONSTANT = "constant"
    LOG = "log n"
    LINEAR = "n"
    N_LOG_N = "n log n"
    SQUARE = "n squared"


GROWTH: dict[Form, Callable[[float], float]] = {
    Form.CONSTANT: lambda size: 0.0,
    Form.LOG: lambda size: math.log(size),
    Form.LINEAR: lambda size: size,
    Form.N_LOG_N: lambda size: size * math.log(size),
    Form.SQUARE: lambda size: size * size,
}


class FitError(ValueError):
    """No slope can be fitted to the series."""


@dataclass(slots=True, frozen=True)
class Fit:
    """The curve `base + slope * growth(size)`; neither coefficient is negative because costs are not."""

    form: Form
    base: float
    slope: float
    residual: float  # root mean square of the relative errors at the fitted points

    def at(self, size: float) -> float:
        """Return the cost at a size."""
        return self.base + self.slope * GROWTH[self.form](size)

    def size_at(self, cost: float) -> float:
        """Return the size at which the cost reaches a budget, or infinity if it never does."""
        if self.at(1.0) >= cost:
            return 1.0
        if self.slope == 0.0:
            return math.inf
        low, high = 1.0, 2.0
        while self.at(high) < cost:
            high *= 2.0
        while high - low > 0.001 * low:
            middle = (low + high) / 2
            low, high = (middle, high) if self.at(middle) < cost else (low, middle)
        return low


def fit(points: Sequence[Point], form: Form) -> Fit:
    """Fit one form by least squares of the relative errors. Raises FitError."""
    if not points or any(point.value <= 0 for point in points):
        raise FitError("a fit takes points above zero")
    growths = [GROWTH[form](point.size) for point in points]
    base, slope = _weighted_least_squares([point.value for point in points], growths)
    errors = [(base + slope * g) / p.value - 1 for g, p in zip(growths, points, strict=True)]
    return Fit(form, base, slope, math.sqrt(sum(e * e for e in errors) / len(errors)))


def _weighted_least_squares(values: list[float], growths: list[float]) -> tuple[float, float]:
    """Return base and slope by weighted least squares; errors are relative to the value."""
    weights = [1.0 / (v * v) for v in values]
    total = sum(weights)
    mean_growth = sum(w * g for w, g in zip(weights, growths, strict=True)) / total
    mean_value = sum(w * v for w, v in zip(weights, values, strict=True)) / total
    variance = sum(w * (g - mean_growth) ** 2 for w, g in zip(weights, growths, strict=True))
    if variance == 0.0:
        return mean_value, 0.0
    rows = list(zip(weights, growths, values, strict=True))
    slope = sum(w * (g - mean_growth) * (v - mean_value) for w, g, v in rows) / variance
    if slope <= 0.0:
        return mean_value, 0.0
    base = mean_value - slope * mean_growth
    if base >= 0.0:
        return base, slope
    return 0.0, sum(w * g * v for w, g, v in rows) / sum(w * g * g for w, g, _ in rows)


@dataclass(slots=True, frozen=True)
class Verdict:
    """The slope of a series, and its prediction of the largest size when fitted without it."""

    fit: Fit  # fitted to all sizes
    predicted: float  # cost of the largest size by the fit without it
    measured: float  # cost of the largest size
    accepted_fits: tuple[Fit, ...]  # all sizes; each form that predicted the largest within the limit

    @property
    def prediction_error(self) -> float:
        """Error of the prediction, relative to the measured value."""
        return self.predicted / self.measured - 1

    @property
    def counts(self) -> bool:
        """Whether the slope is accurate enough to be extrapolated."""
        return abs(self.prediction_error) <= MAX_PREDICTION_ERROR

    def range_at(self, size: float) -> tuple[float, float]:
        """Return the lowest and highest cost by the chosen fit and all accepted ones."""
        costs = [candidate.at(size) for candidate in (self.fit, *self.accepted_fits)]
        return min(costs), max(costs)


def judge(points: Sequence[Point], form: Form | None = None) -> Verdict:
    """Choose a form by the sizes below the largest, unless given, and check its prediction of the largest."""
    ordered = sorted(points, key=lambda point: point.size)
    if len({point.size for point in ordered}) < MIN_SIZES:
        raise FitError(f"a slope takes {MIN_SIZES} sizes or more")
    smaller, largest = ordered[:-1], ordered[-1]
    fits_without_largest = {candidate: fit(smaller, candidate) for candidate in ([form] if form else Form)}
    best = next(iter(fits_without_largest.values()))
    for candidate in fits_without_largest.values():
        if candidate.residual < best.residual - MIN_RESIDUAL_GAIN:
            best = candidate
    accepted_forms = [
        f
        for f, candidate in fits_without_largest.items()
        if abs(candidate.at(largest.size) / largest.value - 1) <= MAX_PREDICTION_ERROR
    ]
    return Verdict(
        fit(ordered, best.form), best.at(largest.size), largest.value,
        tuple(fit(ordered, candidate) for candidate in accepted_forms),
    )  # fmt: skip
