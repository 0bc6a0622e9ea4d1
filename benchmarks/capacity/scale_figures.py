"""Results of the large fleet, read from the page that `python -m benchmarks.fleet_scale --write` writes."""

from __future__ import annotations

import re

from msgspec.structs import replace

from benchmarks.capacity.records import ROOT, Figure, revision_of

COMMAND = "python -m benchmarks.fleet_scale --write"
PAGE = ROOT / "docs" / "measurements" / "fleet_scale.md"
# Names in the store by the row titles of the page's table.
TITLES = {
    "bytes of a relay at rest": "scale_bytes_rest",
    "bytes of a relay on an ordinary day": "scale_bytes_day",
    "processor of a real relay, all its parts": "scale_processor",
    "memory that the attachment adds to a real relay": "scale_memory",
    "a death known everywhere, p99": "scale_death_everywhere",
    "a rack of 40 gone at once, known in its region, the last one": "scale_rack",
    "a zone of 233 gone at once, known in its region, the last one": "scale_zone",
    "a restart is in, at 100 times the day's pace, p99": "scale_restart",
    "all relays know one roster of each region after the healing": "scale_healing",
    "most bytes of one relay after the healing": "scale_bytes_healing",
    "processor of a control machine, the most at rest, in restarts or from then on": "scale_machine_processor",
    "memory of a control machine, the most": "scale_machine_memory",
}
# Units of the page: the store's unit, and the factor that converts to it.
UNITS = {
    "KB/s": ("B/s", 1000.0),
    "%": ("cores", 0.01),
    "MiB": ("MiB", 1.0),
    "s": ("s", 1.0),
}
VALUE_PATTERN = re.compile(r"(-?[\d.,]+) ?(KB/s|%|MiB|s)")


class PageFormatError(ValueError):
    """The page lacks a row, or a value does not have the expected form."""


def figures(text: str) -> list[Figure]:
    """Return the rows of the page's table that the capacity page needs. Raises PageFormatError."""
    results = []
    for line in text.splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if line.startswith("|") and cells[0] in TITLES:
            results.append(_figure(cells))
    missing = set(TITLES.values()) - {figure.name for figure in results}
    if missing:
        raise PageFormatError(f"the table lacks the rows for {', '.join(sorted(missing))}")
    return results


def _figure(cells: list[str]) -> Figure:
    title, _, _, measured, samples = cells[:5]
    match = VALUE_PATTERN.fullmatch(measured)
    if match is None:
        raise PageFormatError(
            f"{title}: found {measured!r}, expected a number with the unit KB/s, %, MiB or s"
        )
    unit, factor = UNITS[match[2]]
    value = float(match[1].replace(",", "")) * factor
    return Figure(TITLES[title], title, unit, value, value, value, int(samples))


def measure(quick: bool) -> list[Figure]:
    """Read the results from the page; `python -m benchmarks.fleet_scale --write` does the measurement."""
    revision = revision_of(PAGE)
    return [replace(figure, command=COMMAND, revision=revision) for figure in figures(PAGE.read_text())]
