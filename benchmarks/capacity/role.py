"""A role of a relay at the size to design for: its needs, and where it breaks."""

from __future__ import annotations

import math
from dataclasses import dataclass

from benchmarks.capacity import demand as d
from benchmarks.capacity.needs import Kind, Need

SERVERS_PER_RELAY = (
    1_500  # that one relay sees: an assumption; the row of the most it may see stands beside it
)
US_PER_CORE_SECOND = 1e6
CHANGES_PER_SECOND = d.CHANGES_PER_DAY / d.SECONDS_PER_DAY
RESTARTS_PER_SECOND = (d.RESTARTS_PER_DAY + d.FAILURES_PER_DAY) / d.SECONDS_PER_DAY
RELEASE_RESTARTS_PER_SECOND = d.RELAYS / (d.RELEASE_DURATION_HOURS * 3600)


@dataclass(slots=True, frozen=True)
class Row:
    """One need of a role; without a budget it only informs."""

    what: str
    unit: str
    need: Need
    budget: float | None = None

    @property
    def budget_ratio(self) -> float | None:
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
        budgeted_rows = [
            row for row in self.rows if row.budget_ratio is not None and row.need.kind is not Kind.MISSING
        ]
        return max(budgeted_rows, key=lambda row: row.budget_ratio or 0.0, default=None)


def describe_limit(value: float, what: str) -> str:
    """Where something breaks, in words."""
    if math.isinf(value):
        return f"no measured size spends {what}, and no slope that counts says which does"
    return f"{value:,.0f} spend {what}"
