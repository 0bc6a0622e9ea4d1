"""Writes the generated tables of `docs/CAPACITY.md` from the stored figures: nothing in them is typed by hand."""

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
MAX_BYTES_DIFFERENCE = 0.1  # part by which bytes of hollow and real relays may differ
BLOCK_PATTERN = re.compile(r"(<!-- generated: (\w+) -->\n).*?(<!-- end: \2 -->)", re.DOTALL)


class PageError(ValueError):
    """The page lacks a block, or has one that nobody writes."""


def table(head: list[str], rows: list[list[str]]) -> list[str]:
    """Lines of a table."""
    cells = [head, ["---"] * len(head), *rows]
    return ["| " + " | ".join(one) + " |" for one in cells]


def size_block(store: Store) -> list[str]:
    """The size to design for, and what follows from it by division."""
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
    """Which command at which revision, on which machine, brought what."""
    found: dict[tuple[str, str, str], int] = {}
    kept: list[Series | Figure] = [*store.series.values(), *store.figures.values()]
    for one in kept:
        key = one.command, one.revision, one.measured_on
        found[key] = found.get(key, 0) + 1
    rows = [[f"`{c}`", f"`{r}`", on, str(count)] for (c, r, on), count in sorted(found.items())]
    return table(["command", "revision", "machine", "series and figures"], rows)


def _point(one: Point) -> str:
    spread = (
        ""
        if one.runs == 1
        else f" ({format_rounded(one.low)} to {format_rounded(one.high)}, {one.runs} runs)"
    )
    return f"{format_exact(one.size)}: {format_rounded(one.value)}{spread}"


def _slope_row(series: Series) -> list[str]:
    shown = "; ".join(_point(one) for one in series.points)
    head = [f"`{series.name}`", series.title, series.unit, shown]
    try:
        verdict = judge(series.points)
    except FitError as err:
        return [*head, "none", str(err), "", "no"]
    fitted = verdict.fit
    form = format_rounded(fitted.base) + (
        f" + {format_rounded(fitted.slope)} x {fitted.form.value}" if fitted.slope else ""
    )
    held_out = f"{format_rounded(verdict.predicted)} / {format_rounded(verdict.measured)} ({verdict.prediction_error:+.1%})"
    return [*head, form, f"{fitted.residual:.1%}", held_out, "yes" if verdict.counts else "**no**"]


def slopes_block(store: Store) -> list[str]:
    """Every series with its slope and how that did on the largest size."""
    head = [
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
    for counted in sorted({one.counted for one in store.series.values()}):
        chosen = [one for one in store.series.values() if one.counted == counted]
        lines += [f"By {counted}:", "", *table(head, [_slope_row(one) for one in chosen]), ""]
    return lines[:-1]


def hollow_block(store: Store) -> list[str]:
    """Single figures: hollow relays and real ones."""
    rows = [
        [f"`{one.name}`", one.title, f"{format_rounded(one.value)} {one.unit}", f"{format_rounded(one.low)} to {format_rounded(one.high)}",
         str(one.runs), f"`{one.command}` at `{one.revision}`"]
        for one in store.figures.values()
    ]  # fmt: skip
    lines = table(["figure", "what", "median", "range", "runs", "from"], rows)
    for name, label in (("ratio_bytes", "Hollow relays"), ("ratio_virtual_bytes", "Members in virtual time")):
        if (one := store.figures.get(name)) is not None:
            agrees = abs(one.value - 1) <= MAX_BYTES_DIFFERENCE
            verdict = "within 10%" if agrees else "**not within 10%**"
            lines += [
                "",
                f"{label} move {format_rounded(one.value)} of the bytes of real processes: {verdict}.",
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
    spread = f"{format_rounded(need.low)} to {format_rounded(need.high)}" if need.low != need.high else ""
    budget = "" if row.budget is None else format_exact(row.budget)
    prefix = "at least " if need.kind is Kind.FLOOR else ""
    origin = "; ".join(f"`{one}`" for one in sorted(need.sources)) or "code, settings"
    return [
        row.what, f"{prefix}{format_rounded(need.value)} {row.unit}".strip(), spread, budget, _format_budget_ratio(row),
        need.kind.value, need.arithmetic, origin,
    ]  # fmt: skip


def role_lines(role: Role) -> list[str]:
    """One role's part of the page."""
    head = ["need", "at full size", "range", "budget", "need / budget", "how known", "arithmetic", "from"]
    return [
        f"### {role.name[0].upper()}{role.name[1:]}", "",
        f"- {'Control' if role.control else 'Data'}. Holds: {role.holds}.",
        f"- Carried by: {role.mechanism}.",
        f"- Bad moments: {role.moments}.",
        f"- Breaks at: {role.breaks}{'; ' + role.impossible if role.impossible else ''}.",
        "", *table(head, [_row(row) for row in role.rows]), "",
    ]  # fmt: skip


def roles_block(store: Store) -> list[str]:
    """All roles in full."""
    lines = [line for role in all_roles(Measured(store)) for line in role_lines(role)]
    return lines[:-1]


def summary_block(store: Store) -> list[str]:
    """One line a role: what it is furthest over."""
    rows = []
    for role in all_roles(Measured(store)):
        worst = role.worst
        label = (
            ""
            if worst is None
            else f"{worst.what}: {format_rounded(worst.need.value)} {worst.unit}".strip()
            + f" of {format_exact(worst.budget or 0.0)}"
        )
        exists = f"no: {role.impossible}" if role.impossible else "yes"
        rows.append(
            [
                role.name,
                "control" if role.control else "data",
                label,
                "" if worst is None else _format_budget_ratio(worst),
                exists,
                role.breaks,
            ]
        )
    return table(
        ["role", "kind", "furthest over its budget", "need / budget", "can exist at that size", "breaks at"],
        rows,
    )


def ordered_control(store: Store) -> list[Role]:
    """Control roles, first those that can't exist at full size, then by need over budget."""
    chosen = [role for role in all_roles(Measured(store)) if role.control and not role.total]
    return sorted(chosen, key=lambda role: (not role.impossible, -_worst_budget_ratio(role)))


def _worst_budget_ratio(role: Role) -> float:
    return (role.worst.budget_ratio or 0.0) if role.worst is not None else 0.0


def first_block(store: Store) -> list[str]:
    """Which control role is first, and which roles of the data are over theirs."""
    ranked = [r for r in ordered_control(store) if r.worst is not None]
    first = next(role for role in ranked if role.impossible)
    worst = max(ranked, key=_worst_budget_ratio)
    lines = [
        f"First is what carries **{first.name}**: {first.impossible}. Today: {first.mechanism}."
        f" Its worst need is {format_rounded(_worst_budget_ratio(first))} times its budget ({first.worst.what if first.worst else ''}).",
        f"The largest need over budget of any control role is that of {worst.name}: {format_rounded(_worst_budget_ratio(worst))} times"
        f" ({worst.worst.what if worst.worst else ''}).",
        "Control roles in this order: " + ", ".join(
            f"{r.name} ({'can not exist; ' if r.impossible else ''}{format_rounded(_worst_budget_ratio(r))})" for r in ranked) + ".",
    ]  # fmt: skip
    data = [r for r in all_roles(Measured(store)) if not r.control and _worst_budget_ratio(r) > 1]
    if data:
        budget_ratio = ", ".join(
            f"{r.name} ({format_rounded(_worst_budget_ratio(r))}, {r.worst.what})" for r in data if r.worst
        )
        lines.append(
            f"Over what one process has, of the data: {budget_ratio}. These are not control's budget."
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
    """The text of every generated block."""
    return {name: "\n".join(write(store)) + "\n" for name, write in BLOCKS.items()}


def with_current_blocks(text: str, store: Store) -> str:
    """The page with its blocks renewed. Raises PageError where blocks and writers differ."""
    written = blocks(store)
    found = [match[2] for match in BLOCK_PATTERN.finditer(text)]
    if sorted(found) != sorted(written):
        raise PageError(f"the page has the blocks {found}, expected {sorted(written)}")
    return BLOCK_PATTERN.sub(lambda match: match[1] + written[match[2]] + match[3], text)


def update_page(store: Store, path: Path = PAGE) -> None:
    """Renew the page's generated blocks, and nothing else of it."""
    path.write_text(with_current_blocks(path.read_text(), store))
