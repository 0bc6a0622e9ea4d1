"""Upper bounds of the measured figures, and whether each was met."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Unit:
    """How a figure is formatted."""

    text: str  # suffix after the number
    factor: float = 1.0  # converts the stored value to this unit
    decimals: int = 1

    def show(self, value: float) -> str:
        """Format a value with its unit."""
        if value == float("inf"):
            return "never"
        return f"{value * self.factor:.{self.decimals}f}{self.text}"


SECONDS = Unit(" s", decimals=2)
KILOBYTES_PER_SECOND = Unit(" KB/s", 0.001, 2)
PERCENT = Unit("%", 100.0, 2)
MEBIBYTES = Unit(" MiB")
COUNT = Unit("", decimals=0)


@dataclass(frozen=True, slots=True)
class Bound:
    """A measured value and the limit that it must not exceed."""

    title: str
    unit: Unit
    limit: float
    value: float
    samples: int = 1  # number of samples behind `value`; with 0 the bound is not met
    aim: float | None = None  # stricter limit that is desired but not required
    note: str = ""

    @property
    def met(self) -> bool:
        return self.samples > 0 and self.value <= self.limit

    @property
    def verdict(self) -> str:
        """Describe whether the bound was met, and by how much it was missed."""
        if not self.samples:
            return "**not shown: nothing was measured**"
        if not self.met:
            return f"**missed by {self.unit.show(self.value - self.limit)}**"
        if self.aim is not None and self.value > self.aim:
            return "kept, the aim missed"
        return "kept"


def missed_bounds(bounds: Sequence[Bound]) -> list[Bound]:
    """Return the bounds that were not met."""
    return [bound for bound in bounds if not bound.met]
