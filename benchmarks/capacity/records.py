"""Measured series, and the file that keeps them: the page is made of nothing else."""

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
    """One size: the median of some runs, the least and the most of them."""

    size: float
    value: float
    low: float
    high: float
    runs: int = 1


class Series(Struct, frozen=True):
    """A cost at several sizes."""

    name: str
    title: str
    counted: str  # what the size counts
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
    """All that was measured, by name."""

    series: dict[str, Series] = {}
    figures: dict[str, Figure] = {}

    def add(self, found: Iterable[Series | Figure], command: str, machine: str) -> None:
        """Take in what a part has measured, with where it comes from, unless the part says so itself."""
        revision = current_revision()
        for one in found:
            attributed = msgspec.structs.replace(
                one, command=one.command or command, revision=one.revision or revision, measured_on=machine
            )
            if isinstance(attributed, Series):
                self.series[attributed.name] = attributed
            else:
                self.figures[attributed.name] = attributed


def load(path: Path = STORE) -> Store:
    """Read the file; an empty store where there is none. Raises msgspec.MsgspecError."""
    return msgspec.json.decode(path.read_bytes(), type=Store) if path.exists() else Store()


def save(store: Store, path: Path = STORE) -> None:
    """Write the file, in an order that does not depend on which part ran last."""
    ordered = Store(dict(sorted(store.series.items())), dict(sorted(store.figures.items())))
    path.write_bytes(msgspec.json.format(msgspec.json.encode(ordered), indent=1) + b"\n")


def current_revision() -> str:
    """The commit that is measured, marked where a measured file differs from it."""
    head = _git("rev-parse", "--short", "HEAD")
    changed = _git("status", "--porcelain", "--", "violetdoor", "benchmarks")
    return head + "+" * bool(changed)


def revision_of(path: Path) -> str:
    """The commit that last wrote a file."""
    return _git("log", "-1", "--format=%h", "--", str(path))


def _git(*args: str) -> str:
    done = subprocess.run(["git", *args], cwd=ROOT, capture_output=True, text=True)
    return done.stdout.strip()


def point(size: float, values: Iterable[float]) -> Point:
    """Some runs of one size as a point."""
    found = sorted(values)
    return Point(size, statistics.median(found), found[0], found[-1], len(found))
