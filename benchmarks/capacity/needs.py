"""Needs at full size, each with the arithmetic that it comes from and where its parts were measured."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, replace
from enum import Enum

from benchmarks.capacity.fits import FitError, Verdict, judge
from benchmarks.capacity.records import Figure, Series, Store


class Kind(Enum):
    """How far a figure may be trusted."""

    MEASURED = "measured"
    EXTRAPOLATED = "extrapolated"
    CALCULATED = "reckoned"  # from settings, code and stated assumptions alone
    FLOOR = "at least"  # the slope does not count: what was measured at the largest size
    MISSING = "not measured"


KINDS_WEAKEST_FIRST = (Kind.MISSING, Kind.FLOOR, Kind.CALCULATED, Kind.EXTRAPOLATED, Kind.MEASURED)


def format_exact(value: float) -> str:
    """A set value as it is, thousands apart."""
    return f"{value:,.10g}"


def format_rounded(value: float) -> str:
    """A measured or reckoned value: three digits, thousands apart."""
    if abs(value) >= 1000:
        digits = len(str(int(abs(value))))
        return f"{round(value, 3 - digits):,.0f}"
    return f"{value:.3g}"


@dataclass(slots=True, frozen=True)
class Need:
    """A figure: its value, its range, and how it came about."""

    value: float
    low: float
    high: float
    kind: Kind
    arithmetic: str
    sources: frozenset[str] = frozenset()

    def times(self, factor: float, why: str) -> Need:
        """Scaled; `why` says what the factor is."""
        return replace(
            self, value=self.value * factor, low=self.low * factor, high=self.high * factor,
            arithmetic=f"({self.arithmetic}) x {format_rounded(factor)} ({why})",
        )  # fmt: skip

    def plus(self, other: Need) -> Need:
        """The sum; as weak as the weaker of the two."""
        kind = min(self.kind, other.kind, key=KINDS_WEAKEST_FIRST.index)
        return Need(
            self.value + other.value, self.low + other.low, self.high + other.high, kind,
            f"{self.arithmetic} + {other.arithmetic}", self.sources | other.sources,
        )  # fmt: skip

    def calculated(self) -> Need:
        """The same, where an assumption came into it."""
        return replace(self, kind=min(self.kind, Kind.CALCULATED, key=KINDS_WEAKEST_FIRST.index))


def calculated(value: float, arithmetic: str) -> Need:
    """From settings and assumptions alone."""
    return Need(value, value, value, Kind.CALCULATED, arithmetic)


class Measured:
    """The stored figures, asked for by name."""

    def __init__(self, store: Store) -> None:
        self.store = store

    def verdict(self, name: str) -> Verdict | None:
        """A series' slope, or nothing where it was not measured or makes none."""
        series = self.store.series.get(name)
        if series is None:
            return None
        try:
            return judge(series.points)
        except FitError:
            return None

    def at(self, name: str, size: float) -> Need:
        """A series at a size; at least the largest measured where its slope does not count."""
        series, verdict = self.store.series.get(name), self.verdict(name)
        if series is None or verdict is None:
            return Need(0.0, 0.0, 0.0, Kind.MISSING, f"{name}: not measured")
        sources, largest = frozenset({format_source(series)}), max(series.points, key=lambda p: p.size)
        if not verdict.counts and size <= largest.size:
            return _between(series, size)
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
        """A single figure."""
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
        """The size at which a series reaches a budget; infinite where none is known.

        Where its slope does not count, only sizes between measured ones are looked at.
        """
        series, verdict = self.store.series.get(name), self.verdict(name)
        if series is None or verdict is None:
            return float("inf")
        if verdict.counts:
            return verdict.fit.size_at(budget)
        ordered = sorted(series.points, key=lambda point: point.size)
        for before, after in itertools.pairwise(ordered):
            if before.value < budget <= after.value:
                part = (budget - before.value) / (after.value - before.value)
                return before.size + part * (after.size - before.size)
        return float("inf")


def _between(series: Series, size: float) -> Need:
    """A size within those measured, on the straight line between its neighbours."""
    ordered = sorted(series.points, key=lambda point: point.size)
    before = max((p for p in ordered if p.size <= size), key=lambda p: p.size, default=ordered[0])
    after = min((p for p in ordered if p.size >= size), key=lambda p: p.size, default=ordered[-1])
    part = 0.0 if after.size == before.size else (size - before.size) / (after.size - before.size)
    value, low, high = (
        getattr(before, of) + part * (getattr(after, of) - getattr(before, of))
        for of in ("value", "low", "high")
    )
    arithmetic = f"{series.name} at {format_rounded(size)}, between those measured"
    return Need(value, low, high, Kind.MEASURED, arithmetic, frozenset({format_source(series)}))


def format_source(one: Series | Figure) -> str:
    """Command and revision, short."""
    return f"{one.command.removeprefix('python -m benchmarks.capacity ')} at {one.revision}"
