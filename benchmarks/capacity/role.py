"""A role of a relay at the design size: its needs, and the size at which it reaches its limit."""

from __future__ import annotations

import math
from dataclasses import dataclass

from benchmarks.capacity import demand as d
from benchmarks.capacity.needs import Kind, Need

# Servers that one relay sees (assumption). The role of a relay's decisions also states how many it may see.
SERVERS_PER_RELAY = 1_500
US_PER_CORE_SECOND = 1e6  # us of processor time that one core has in a second
CHANGES_PER_SECOND = d.CHANGES_PER_DAY / d.SECONDS_PER_DAY
RESTARTS_PER_SECOND = (d.RESTARTS_PER_DAY + d.FAILURES_PER_DAY) / d.SECONDS_PER_DAY
RELEASE_RESTARTS_PER_SECOND = d.RELAYS / (d.RELEASE_DURATION_HOURS * 3600)


@dataclass(slots=True, frozen=True)
class Row:
    """One need of a role; a need without a budget is for information only."""

    what: str
    unit: str
    need: Need
    budget: float | None = None

    @property
    def budget_ratio(self) -> float | None:
        """Need divided by budget, or None without a budget."""
        return None if self.budget is None else self.need.value / self.budget


@dataclass(slots=True, frozen=True)
class Role:
    """One kind of work of a relay. The page prints the texts and rows."""

    name: str
    control: bool  # False for data roles, which the control budget does not cover
    holds: str
    mechanism: str
    rows: tuple[Row, ...]
    moments: str  # effect of losing a rack or zone, a release, and a region cut off and healed, where no row has it
    breaks: str  # size at which a limit or budget is reached
    impossible: str = ""  # why the role can't exist at the design size at any cost; empty if it can
    total: bool = False  # True for a sum of other roles

    @property
    def worst(self) -> Row | None:
        """The row with the highest need relative to its budget, or None if no row has a measured need and a budget."""
        budgeted_rows = [
            row for row in self.rows if row.budget_ratio is not None and row.need.kind is not Kind.MISSING
        ]
        return max(budgeted_rows, key=lambda row: row.budget_ratio or 0.0, default=None)


def describe_limit(value: float, what: str) -> str:
    """Describe the size `value` at which the budget or limit `what` is used up; infinity means unknown."""
    if math.isinf(value):
        return f"no measured size spends {what}, and no slope that counts says which does"
    return f"{value:,.0f} spend {what}"
