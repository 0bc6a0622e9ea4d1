"""Needs at the design size, each with its arithmetic and the sources of the measured values in it."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, replace
from enum import Enum

from benchmarks.capacity.fits import FitError, Verdict, judge
from benchmarks.capacity.records import Figure, Series, Store


class Kind(Enum):
    """How a value was obtained; the page prints the values of this enum."""

    MEASURED = "measured"
    EXTRAPOLATED = "extrapolated"
    CALCULATED = "reckoned"  # only from settings, code and stated assumptions
    FLOOR = "at least"  # measured at the largest size, as the slope is too inaccurate to extrapolate
    MISSING = "not measured"


KINDS_WEAKEST_FIRST = (Kind.MISSING, Kind.FLOOR, Kind.CALCULATED, Kind.EXTRAPOLATED, Kind.MEASURED)


def format_exact(value: float) -> str:
    """Format a value exactly, with thousands separators."""
    return f"{value:,.10g}"


def format_rounded(value: float) -> str:
    """Format a measured or calculated value to three significant digits, with thousands separators."""
    if abs(value) >= 1000:
        digits = len(str(int(abs(value))))
        return f"{round(value, 3 - digits):,.0f}"
    return f"{value:.3g}"


@dataclass(slots=True, frozen=True)
class Need:
    """A value with its range, how it was obtained, and the arithmetic behind it."""

    value: float
    low: float
    high: float
    kind: Kind
    arithmetic: str
    sources: frozenset[str] = frozenset()

    def times(self, factor: float, why: str) -> Need:
        """Return the need scaled by a factor; `why` says what the factor is."""
        return replace(
            self, value=self.value * factor, low=self.low * factor, high=self.high * factor,
            arithmetic=f"({self.arithmetic}) x {format_rounded(factor)} ({why})",
        )  # fmt: skip

    def plus(self, other: Need) -> Need:
        """Return the sum, whose kind is the weaker of the two."""
        kind = min(self.kind, other.kind, key=KINDS_WEAKEST_FIRST.index)
        return Need(
            self.value + other.value, self.low + other.low, self.high + other.high, kind,
            f"{self.arithmetic} + {other.arithmetic}", self.sources | other.sources,
        )  # fmt: skip

    def calculated(self) -> Need:
        """Return the same need as calculated at best, for use where an assumption enters."""
        return replace(self, kind=min(self.kind, Kind.CALCULATED, key=KINDS_WEAKEST_FIRST.index))


def calculated(value: float, arithmetic: str) -> Need:
    """Return a need that comes only from settings and assumptions."""
    return Need(value, value, value, Kind.CALCULATED, arithmetic)


class Measured:
    """Looks up stored results by name."""

    def __init__(self, store: Store) -> None:
        self.store = store

    def verdict(self, name: str) -> Verdict | None:
        """Return a series' slope, or None if it was not measured or no slope can be fitted."""
        series = self.store.series.get(name)
        if series is None:
            return None
        try:
            return judge(series.points)
        except FitError:
            return None

    def at(self, name: str, size: float) -> Need:
        """Return the need of a series at a size.

        If its slope does not count, the need is interpolated, or beyond the largest measured size the lower bound
        measured there.
        """
        series, verdict = self.store.series.get(name), self.verdict(name)
        if series is None or verdict is None:
            return Need(0.0, 0.0, 0.0, Kind.MISSING, f"{name}: not measured")
        sources, largest = frozenset({format_source(series)}), max(series.points, key=lambda p: p.size)
        if not verdict.counts and size <= largest.size:
            return _interpolate(series, size)
        if not verdict.counts:
            arithmetic = f"{name} at {format_rounded(largest.size)}, beyond which its slope does not count"
            return Need(largest.value, largest.low, largest.high, Kind.FLOOR, arithmetic, sources)
        fitted = verdict.fit
        form = "" if not fitted.slope else f" + {format_rounded(fitted.slope)} x {fitted.form.value}"
        beyond = size / largest.size
        arithmetic = f"{name}: {format_rounded(fitted.base)}{form}, n = {format_rounded(size)}, {format_rounded(beyond)} times the largest measured"
        low, high = verdict.range_at(size)
        kind = Kind.EXTRAPOLATED if beyond > 1.0 else Kind.MEASURED
        return Need(fitted.at(size), low, high, kind, arithmetic, sources)

    def figure(self, name: str) -> Need:
        """Return a single measured value."""
        one = self.store.figures.get(name)
        if one is None:
            return Need(0.0, 0.0, 0.0, Kind.MISSING, f"{name}: not measured")
        return Need(
            one.value,
            one.low,
            one.high,
            Kind.MEASURED,
            f"{name} {format_rounded(one.value)}",
            frozenset({format_source(one)}),
        )

    def size_at_budget(self, name: str, budget: float) -> float:
        """Return the size at which a series reaches a budget, or infinity if none is known.

        If its slope does not count, only sizes between measured ones are considered.
        """
        series, verdict = self.store.series.get(name), self.verdict(name)
        if series is None or verdict is None:
            return float("inf")
        if verdict.counts:
            return verdict.fit.size_at(budget)
        ordered = sorted(series.points, key=lambda point: point.size)
        for before, after in itertools.pairwise(ordered):
            if before.value < budget <= after.value:
                fraction = (budget - before.value) / (after.value - before.value)
                return before.size + fraction * (after.size - before.size)
        return float("inf")


def _interpolate(series: Series, size: float) -> Need:
    """Return a need within the measured sizes by linear interpolation."""
    ordered = sorted(series.points, key=lambda point: point.size)
    before = max((p for p in ordered if p.size <= size), key=lambda p: p.size, default=ordered[0])
    after = min((p for p in ordered if p.size >= size), key=lambda p: p.size, default=ordered[-1])
    fraction = 0.0 if after.size == before.size else (size - before.size) / (after.size - before.size)
    value, low, high = (
        getattr(before, of) + fraction * (getattr(after, of) - getattr(before, of))
        for of in ("value", "low", "high")
    )
    arithmetic = f"{series.name} at {format_rounded(size)}, between those measured"
    return Need(value, low, high, Kind.MEASURED, arithmetic, frozenset({format_source(series)}))


def format_source(one: Series | Figure) -> str:
    """Return command and revision in short form."""
    return f"{one.command.removeprefix('python -m benchmarks.capacity ')} at {one.revision}"
