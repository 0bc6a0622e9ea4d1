"""The table of bounds, and the result page that contains it."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

from benchmarks.fleet_scale.bounds import Bound, missed_bounds
from benchmarks.machine import describe_machine

TARGET = Path(__file__).parent.parent.parent / "docs" / "measurements" / "fleet_scale.md"


@dataclass
class Outcome:
    """The result of a run."""

    title: str  # the size of the fleet
    command: str
    bounds: list[Bound] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)  # unexpected, in the harness, a host or a process
    notes: list[str] = field(default_factory=list)  # how the figures were measured
    phases: list[str] = field(default_factory=list)  # descriptions of what was done

    @property
    def good(self) -> bool:
        return not self.failures and not missed_bounds(self.bounds)

    def last_line(self) -> str:
        """Summarize all figures in one line."""
        met = len(self.bounds) - len(missed_bounds(self.bounds))
        figures = ", ".join(f"{bound.title}: {bound.unit.show(bound.value)}" for bound in self.bounds)
        return f"fleet_scale {self.title}; {met} of {len(self.bounds)} bounds kept; {figures}"


def table(bounds: Sequence[Bound]) -> list[str]:
    """Return the lines of a Markdown table with each figure and its bound."""
    lines = ["| | bound | aim | measured | samples | |", "| --- | --- | --- | --- | --- | --- |"]
    for bound in bounds:
        aim = "" if bound.aim is None else bound.unit.show(bound.aim)
        lines.append(
            f"| {bound.title} | {bound.unit.show(bound.limit)} | {aim} | {bound.unit.show(bound.value)} "
            f"| {bound.samples} | {bound.verdict}{'; ' + bound.note if bound.note else ''} |"
        )
    return lines


def page(outcome: Outcome) -> str:
    """Return the result page in Markdown."""
    lines = [
        "# A large fleet, measured", "",
        f"{outcome.title}, on {describe_machine()}, by `{outcome.command}`. All processes shared this machine.", "",
        *table(outcome.bounds), "",
        "## What was done", "", *(f"- {phase}" for phase in outcome.phases), "",
        "## How the figures are made", "", *(f"- {note}" for note in outcome.notes), "",
    ]  # fmt: skip
    if outcome.failures:
        lines += ["## What broke", "", *(f"- {failure}" for failure in outcome.failures), ""]
    return "\n".join(lines)
