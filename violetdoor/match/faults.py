"""Faults in a rules file: each with its place, what stood there and what was expected."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass, field

FAULTS_MOST = 100  # that are written out; the rest is counted
SHOWN_MOST = 60  # characters of what stood there


@dataclass(slots=True, frozen=True)
class Span:
    """A part of the source, in characters from its start."""

    start: int
    end: int


@dataclass(slots=True, frozen=True)
class Fault:
    """One fault; line and column count from 1."""

    file: str
    line: int
    column: int
    found: str
    expected: str

    def __str__(self) -> str:
        found = f" found {self.found}," if self.found else ""
        return f"{self.file}:{self.line}:{self.column}:{found} {self.expected}"


def shown(text: str) -> str:
    """A piece of the source as it is shown: one line, bounded, nothing that a terminal would act on."""
    text = " ".join(text.split())
    if len(text) > SHOWN_MOST:
        text = text[: SHOWN_MOST - 3] + "..."
    return repr(text)


class RulesError(Exception):
    """The rules do not load; `faults` has all that is wrong, in the order of their places."""

    def __init__(self, faults: list[Fault], left_out: int = 0) -> None:
        self.faults, self.left_out = faults, left_out
        lines = [str(f) for f in faults] + ([f"and {left_out} more faults"] if left_out else [])
        super().__init__("\n".join(lines))


@dataclass(slots=True)
class Faults:
    """Collects the faults of one source; `line` and `column` say where in its file the source begins."""

    file: str
    text: str
    line: int = 1
    column: int = 1
    found: dict[tuple[int, str], Fault] = field(default_factory=dict)
    left_out: int = 0
    starts: list[int] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.starts = [0]
        at = self.text.find("\n")
        while at >= 0:
            self.starts.append(at + 1)
            at = self.text.find("\n", at + 1)

    def place(self, offset: int) -> tuple[int, int]:
        """Line and column of an offset, in the file that the source stands in."""
        row = bisect_right(self.starts, offset) - 1
        column = offset - self.starts[row] + 1
        return row + self.line, column + (self.column - 1 if row == 0 else 0)

    def add(self, span: Span, expected: str, found: str | None = None) -> None:
        """Note a fault; the same one twice counts once."""
        if (span.start, expected) in self.found:
            return
        if len(self.found) >= FAULTS_MOST:
            self.left_out += 1
            return
        line, column = self.place(span.start)
        what = shown(self.text[span.start : span.end]) if found is None else found
        self.found[span.start, expected] = Fault(self.file, line, column, what, expected)

    def check(self, *others: Faults) -> None:
        """Raise them all together, with those of other files, if there are any."""
        held = (self, *others)
        found = [f.found[k] for f in held for k in sorted(f.found)]
        if found:
            more = max(0, len(found) - FAULTS_MOST) + sum(f.left_out for f in held)
            raise RulesError(found[:FAULTS_MOST], more)
