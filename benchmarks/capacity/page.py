"""Generate the tables of `docs/CAPACITY.md` from the stored results; none of their content is written by hand."""

from __future__ import annotations

import re
from collections.abc import Callable
from pathlib import Path

from benchmarks.capacity import demand as d
from benchmarks.capacity.fits import FitError, judge
from benchmarks.capacity.needs import Kind, Measured, format_exact, format_rounded
from benchmarks.capacity.records import ROOT, Figure, Point, Series, Store
from benchmarks.capacity.role import Role, Row
from benchmarks.capacity.roles import all_roles

PAGE = ROOT / "docs" / "CAPACITY.md"
MAX_BYTES_DIFFERENCE = 0.1  # largest relative difference between the bytes of hollow and real relays
BLOCK_PATTERN = re.compile(r"(<!-- generated: (\w+) -->\n).*?(<!-- end: \2 -->)", re.DOTALL)


class PageError(ValueError):
    """The page lacks a generated block, or has one that no function in `BLOCKS` writes."""


def table(columns: list[str], rows: list[list[str]]) -> list[str]:
    """Return the lines of a Markdown table."""
    table_rows = [columns, ["---"] * len(columns), *rows]
    return ["| " + " | ".join(row_cells) + " |" for row_cells in table_rows]


def size_block(store: Store) -> list[str]:
    """Return the design size and the values per relay and per second that follow from it."""
    rows = [
        ["relays", f"{d.RELAYS:,}", ""],
        ["connections", f"{d.CONNECTIONS:,}", f"{d.CONNECTIONS_PER_RELAY:,} a relay"],
        ["shards of topics", f"{d.SHARDS:,}", f"{d.SHARDS / d.RELAYS:.0f} a relay"],
        ["listeners of the largest topic", f"{d.LARGEST_TOPIC_LISTENERS:,}", f"{d.LARGEST_TOPIC_LISTENERS / d.RELAYS:.0f} a relay"],
        ["deliveries a second", f"{d.DELIVERIES_PER_SECOND:,}", f"{d.DELIVERIES_PER_RELAY:,.0f} a relay; 99 of 100 within {d.DELIVERY_P99_LIMIT_MS} ms"],
        ["regions, zones", f"{d.REGIONS}, {d.ZONES}", f"{d.RELAYS_PER_REGION:.0f} and {d.RELAYS_PER_ZONE:.0f} relays"],
        ["changes of configuration a day", f"{d.CHANGES_PER_DAY:,}", f"{d.CHANGES_PER_DAY / d.SECONDS_PER_DAY:.3f} a s; in force within {d.CHANGE_PROPAGATION_LIMIT_S:g} s"],
        ["failures a day; restarts and replacements", f"{d.FAILURES_PER_DAY}; {d.RESTARTS_PER_DAY:,}", f"{(d.FAILURES_PER_DAY + d.RESTARTS_PER_DAY) / d.SECONDS_PER_DAY:.4f} a s"],
        ["a rack", f"{d.MACHINES_PER_RACK} machines", "an assumption"],
        ["a release", f"{d.RELEASE_DURATION_HOURS:g} h", f"an assumption; {d.RELAYS / d.RELEASE_DURATION_HOURS / 3600:.3f} restarts a s"],
        ["control's budget at a relay", f"{d.CONTROL_CORE_SHARE:.1%} of a core, {d.CONTROL_MEMORY_BYTES >> 20} MB, {d.CONTROL_BYTES_PER_SECOND:,} B/s", "bytes out and in together, with headers"],
        ["control machines", f"{d.CONTROL_MACHINES}", f"{d.RELAYS / d.CONTROL_MACHINES:.0f} relays each"],
    ]  # fmt: skip
    return table(["", "size", "that is"], rows)


def sources_block(store: Store) -> list[str]:
    """Return how many results come from each command, revision and machine."""
    counts_by_source: dict[tuple[str, str, str], int] = {}
    results: list[Series | Figure] = [*store.series.values(), *store.figures.values()]
    for result in results:
        key = result.command, result.revision, result.measured_on
        counts_by_source[key] = counts_by_source.get(key, 0) + 1
    rows = [[f"`{c}`", f"`{r}`", on, str(count)] for (c, r, on), count in sorted(counts_by_source.items())]
    return table(["command", "revision", "machine", "series and figures"], rows)


def _point(measured: Point) -> str:
    value_range = (
        ""
        if measured.runs == 1
        else f" ({format_rounded(measured.low)} to {format_rounded(measured.high)}, {measured.runs} runs)"
    )
    return f"{format_exact(measured.size)}: {format_rounded(measured.value)}{value_range}"


def _slope_row(series: Series) -> list[str]:
    shown = "; ".join(_point(measured) for measured in series.points)
    first_cells = [f"`{series.name}`", series.title, series.unit, shown]
    try:
        verdict = judge(series.points)
    except FitError as err:
        return [*first_cells, "none", str(err), "", "no"]
    fitted = verdict.fit
    form = format_rounded(fitted.base) + (
        f" + {format_rounded(fitted.slope)} x {fitted.form.value}" if fitted.slope else ""
    )
    held_out = f"{format_rounded(verdict.predicted)} / {format_rounded(verdict.measured)} ({verdict.prediction_error:+.1%})"
    return [*first_cells, form, f"{fitted.residual:.1%}", held_out, "yes" if verdict.counts else "**no**"]


def slopes_block(store: Store) -> list[str]:
    """Return every series with its slope and its prediction of the largest size."""
    columns = [
        "series",
        "what",
        "unit",
        "size: value (range)",
        "slope",
        "residual",
        "largest predicted / measured",
        "counts",
    ]
    lines: list[str] = []
    for counted in sorted({series.counted for series in store.series.values()}):
        matching_series = [series for series in store.series.values() if series.counted == counted]
        lines += [
            f"By {counted}:",
            "",
            *table(columns, [_slope_row(series) for series in matching_series]),
            "",
        ]
    return lines[:-1]


def hollow_block(store: Store) -> list[str]:
    """Return the single figures, and whether hollow and virtual relays match real ones."""
    rows = [
        [f"`{result.name}`", result.title, f"{format_rounded(result.value)} {result.unit}", f"{format_rounded(result.low)} to {format_rounded(result.high)}",
         str(result.runs), f"`{result.command}` at `{result.revision}`"]
        for result in store.figures.values()
    ]  # fmt: skip
    lines = table(["figure", "what", "median", "range", "runs", "from"], rows)
    for name, label in (("ratio_bytes", "Hollow relays"), ("ratio_virtual_bytes", "Members in virtual time")):
        if (result := store.figures.get(name)) is not None:
            agrees = abs(result.value - 1) <= MAX_BYTES_DIFFERENCE
            verdict = "within 10%" if agrees else "**not within 10%**"
            lines += [
                "",
                f"{label} move {format_rounded(result.value)} of the bytes of real processes: {verdict}.",
            ]
    return lines


def _format_budget_ratio(row: Row) -> str:
    if row.budget_ratio is None or row.need.kind is Kind.MISSING:
        return ""
    at_least = "at least " if row.need.kind is Kind.FLOOR else ""
    return (
        f"{at_least}{format_rounded(row.budget_ratio)}"
        if row.budget_ratio <= 1
        else f"**{at_least}{format_rounded(row.budget_ratio)}**"
    )


def _row(row: Row) -> list[str]:
    need = row.need
    if need.kind is Kind.MISSING:
        return [row.what, "not measured", "", "", "", need.kind.value, need.arithmetic, ""]
    value_range = (
        f"{format_rounded(need.low)} to {format_rounded(need.high)}" if need.low != need.high else ""
    )
    budget = "" if row.budget is None else format_exact(row.budget)
    prefix = "at least " if need.kind is Kind.FLOOR else ""
    origin = "; ".join(f"`{source}`" for source in sorted(need.sources)) or "code, settings"
    return [
        row.what, f"{prefix}{format_rounded(need.value)} {row.unit}".strip(), value_range, budget, _format_budget_ratio(row),
        need.kind.value, need.arithmetic, origin,
    ]  # fmt: skip


def role_lines(role: Role) -> list[str]:
    """Return one role's section of the page."""
    columns = ["need", "at full size", "range", "budget", "need / budget", "how known", "arithmetic", "from"]
    return [
        f"### {role.name[0].upper()}{role.name[1:]}", "",
        f"- {'Control' if role.control else 'Data'}. Holds: {role.holds}.",
        f"- Carried by: {role.mechanism}.",
        f"- Bad moments: {role.moments}.",
        f"- Breaks at: {role.breaks}{'; ' + role.impossible if role.impossible else ''}.",
        "", *table(columns, [_row(row) for row in role.rows]), "",
    ]  # fmt: skip


def roles_block(store: Store) -> list[str]:
    """Return the sections of all roles."""
    lines = [line for role in all_roles(Measured(store)) for line in role_lines(role)]
    return lines[:-1]


def summary_block(store: Store) -> list[str]:
    """Return a table with one row per role: its highest need relative to its budget."""
    rows = []
    for role in all_roles(Measured(store)):
        worst = role.worst
        description = (
            ""
            if worst is None
            else f"{worst.what}: {format_rounded(worst.need.value)} {worst.unit}".strip()
            + f" of {format_exact(worst.budget or 0.0)}"
        )
        can_exist = f"no: {role.impossible}" if role.impossible else "yes"
        rows.append(
            [
                role.name,
                "control" if role.control else "data",
                description,
                "" if worst is None else _format_budget_ratio(worst),
                can_exist,
                role.breaks,
            ]
        )
    return table(
        ["role", "kind", "furthest over its budget", "need / budget", "can exist at that size", "breaks at"],
        rows,
    )


def ordered_control(store: Store) -> list[Role]:
    """Return the control roles: first those that can't exist at the design size, then by need over budget."""
    control_roles = [role for role in all_roles(Measured(store)) if role.control and not role.total]
    return sorted(control_roles, key=lambda role: (not role.impossible, -_worst_budget_ratio(role)))


def _worst_budget_ratio(role: Role) -> float:
    return (role.worst.budget_ratio or 0.0) if role.worst is not None else 0.0


def first_block(store: Store) -> list[str]:
    """Return which control role needs work first, and which data roles exceed their budgets."""
    ranked_roles = [r for r in ordered_control(store) if r.worst is not None]
    first = next(role for role in ranked_roles if role.impossible)
    worst = max(ranked_roles, key=_worst_budget_ratio)
    lines = [
        f"First is what carries **{first.name}**: {first.impossible}. Today: {first.mechanism}."
        f" Its worst need is {format_rounded(_worst_budget_ratio(first))} times its budget ({first.worst.what if first.worst else ''}).",
        f"The largest need over budget of any control role is that of {worst.name}: {format_rounded(_worst_budget_ratio(worst))} times"
        f" ({worst.worst.what if worst.worst else ''}).",
        "Control roles in this order: " + ", ".join(
            f"{r.name} ({'can not exist; ' if r.impossible else ''}{format_rounded(_worst_budget_ratio(r))})" for r in ranked_roles) + ".",
    ]  # fmt: skip
    data = [r for r in all_roles(Measured(store)) if not r.control and _worst_budget_ratio(r) > 1]
    if data:
        exceeding_roles = ", ".join(
            f"{r.name} ({format_rounded(_worst_budget_ratio(r))}, {r.worst.what})" for r in data if r.worst
        )
        lines.append(
            f"Over what one process has, of the data: {exceeding_roles}. These are not control's budget."
        )
    return lines


BLOCKS: dict[str, Callable[[Store], list[str]]] = {
    "size": size_block,
    "summary": summary_block,
    "first": first_block,
    "roles": roles_block,
    "hollow": hollow_block,
    "slopes": slopes_block,
    "sources": sources_block,
}


def blocks(store: Store) -> dict[str, str]:
    """Return the text of every generated block by name."""
    return {name: "\n".join(write(store)) + "\n" for name, write in BLOCKS.items()}


def with_current_blocks(text: str, store: Store) -> str:
    """Return the page's text with current blocks. Raises PageError if it has other blocks than `BLOCKS`."""
    current_blocks = blocks(store)
    block_names = [match[2] for match in BLOCK_PATTERN.finditer(text)]
    if sorted(block_names) != sorted(current_blocks):
        raise PageError(f"the page has the blocks {block_names}, expected {sorted(current_blocks)}")
    return BLOCK_PATTERN.sub(lambda match: match[1] + current_blocks[match[2]] + match[3], text)


def update_page(store: Store, path: Path = PAGE) -> None:
    """Update the generated blocks of the page and nothing else."""
    path.write_text(with_current_blocks(path.read_text(), store))
