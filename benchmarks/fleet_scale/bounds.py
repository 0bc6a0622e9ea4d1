"""What is wanted of the figures, and whether it was reached."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Unit:
    """How a figure is shown."""

    text: str
    factor: float = 1.0  # of the figure, before it is shown
    decimals: int = 1

    def show(self, value: float) -> str:
        """The figure with its unit."""
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
    """A figure that must not be larger than a limit."""

    title: str
    unit: Unit
    limit: float
    value: float
    samples: int = 1  # that the figure was made of; none: nothing was shown
    aim: float | None = None  # a smaller limit that is aimed at
    note: str = ""

    @property
    def met(self) -> bool:
        return self.samples > 0 and self.value <= self.limit

    @property
    def verdict(self) -> str:
        """Whether it was kept, and by how much not."""
        if not self.samples:
            return "**not shown: nothing was measured**"
        if not self.met:
            return f"**missed by {self.unit.show(self.value - self.limit)}**"
        if self.aim is not None and self.value > self.aim:
            return "kept, the aim missed"
        return "kept"


def missed_bounds(bounds: Sequence[Bound]) -> list[Bound]:
    """Those that were not kept."""
    return [bound for bound in bounds if not bound.met]
