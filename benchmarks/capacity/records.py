"""Measured results and the file that stores them, the only source of the page's generated tables."""

from __future__ import annotations

import statistics
import subprocess
from collections.abc import Iterable
from pathlib import Path

import msgspec
from msgspec import Struct

ROOT = Path(__file__).parent.parent.parent
STORE = ROOT / "docs" / "measurements" / "capacity.json"


class Point(Struct, frozen=True):
    """The result at one size: median, lowest and highest value of its runs."""

    size: float
    value: float
    low: float
    high: float
    runs: int = 1


class Series(Struct, frozen=True):
    """A cost at several sizes."""

    name: str
    title: str
    counted: str  # what the size is a number of, such as members or servers
    unit: str
    points: list[Point]
    command: str = ""
    revision: str = ""
    measured_on: str = ""


class Figure(Struct, frozen=True):
    """One measured value without a slope."""

    name: str
    title: str
    unit: str
    value: float
    low: float
    high: float
    runs: int = 1
    command: str = ""
    revision: str = ""
    measured_on: str = ""


class Store(Struct):
    """All stored results by name."""

    series: dict[str, Series] = {}
    figures: dict[str, Figure] = {}

    def add(self, results: Iterable[Series | Figure], command: str, machine: str) -> None:
        """Add the results of a part, with command and revision unless the results have their own."""
        revision = current_revision()
        for result in results:
            attributed = msgspec.structs.replace(
                result,
                command=result.command or command,
                revision=result.revision or revision,
                measured_on=machine,
            )
            if isinstance(attributed, Series):
                self.series[attributed.name] = attributed
            else:
                self.figures[attributed.name] = attributed


def load(path: Path = STORE) -> Store:
    """Read the file; return an empty store if there is no file. Raises msgspec.MsgspecError."""
    return msgspec.json.decode(path.read_bytes(), type=Store) if path.exists() else Store()


def save(store: Store, path: Path = STORE) -> None:
    """Write the file, sorted by name so that the order does not depend on which part ran last."""
    ordered = Store(dict(sorted(store.series.items())), dict(sorted(store.figures.items())))
    path.write_bytes(msgspec.json.format(msgspec.json.encode(ordered), indent=1) + b"\n")


def current_revision() -> str:
    """Return the checked-out commit, with a + if files under violetdoor or benchmarks differ from it."""
    head = _git("rev-parse", "--short", "HEAD")
    changed = _git("status", "--porcelain", "--", "violetdoor", "benchmarks")
    return head + "+" * bool(changed)


def revision_of(path: Path) -> str:
    """Return the last commit that changed a file."""
    return _git("log", "-1", "--format=%h", "--", str(path))


def _git(*args: str) -> str:
    done = subprocess.run(["git", *args], cwd=ROOT, capture_output=True, text=True)
    return done.stdout.strip()


def point(size: float, values: Iterable[float]) -> Point:
    """Summarize the values of one size's runs as a point."""
    ordered = sorted(values)
    return Point(size, statistics.median(ordered), ordered[0], ordered[-1], len(ordered))
