"""A role of a relay at the size to design for: its needs, and where it breaks."""

from __future__ import annotations

import math
from dataclasses import dataclass

from benchmarks.capacity import demand as d
from benchmarks.capacity.needs import Kind, Need

SERVERS_SEEN = 1_500  # that one relay sees: an assumption; the row of the most it may see stands beside it
CORE_US = 1e6
CHANGE_RATE = d.CHANGES_A_DAY / d.DAY
RESTART_RATE = (d.RESTARTS_A_DAY + d.FAILURES_A_DAY) / d.DAY
RELEASE_RATE = d.RELAYS / (d.RELEASE_HOURS * 3600)


@dataclass(slots=True, frozen=True)
class Row:
    """One need of a role; without a budget it only informs."""

    what: str
    unit: str
    need: Need
    budget: float | None = None

    @property
    def over(self) -> float | None:
        """Need over budget."""
        return None if self.budget is None else self.need.value / self.budget


@dataclass(slots=True, frozen=True)
class Role:
    """One kind of work."""

    name: str
    control: bool  # else it is the data's, which the control budget does not cover
    holds: str
    mechanism: str
    rows: tuple[Row, ...]
    moments: str  # what a rack, a zone, a release, and a region cut off and healed do, where no row says it
    breaks: str
    impossible: str = ""  # why it can't exist at full size, whatever it costs
    total: bool = False  # a sum of other roles

    @property
    def worst(self) -> Row | None:
        """The row that is furthest over its budget."""
        held = [row for row in self.rows if row.over is not None and row.need.kind is not Kind.MISSING]
        return max(held, key=lambda row: row.over or 0.0, default=None)


def size(value: float, what: str) -> str:
    """Where something breaks, in words."""
    if math.isinf(value):
        return f"no measured size spends {what}, and no slope that counts says which does"
    return f"{value:,.0f} spend {what}"
