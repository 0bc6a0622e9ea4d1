"""Plot of a run: one row per relay with its view over time, and the faults as bands."""

from __future__ import annotations

from pathlib import Path

from violetdoor.faults.history import History

ROW_HEIGHT_INCHES, FIGURE_WIDTH_INCHES = 0.55, 12.0
VIEW_ENDING_KINDS = ("fleet.removed", "fleet.left", "died", "down")  # events after which a relay has no view


def draw_views(history: History, path: Path, title: str) -> None:
    """Plot the views of all relays as a PNG file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    end = max((row.at for row in history.rows), default=1.0)
    relays = sorted({row.who for row in history.of_kinds("started")})
    figure, axes = plt.subplots(figsize=(FIGURE_WIDTH_INCHES, 1.2 + ROW_HEIGHT_INCHES * max(1, len(relays))))
    for begin, stop, label in _fault_bands(history, end):
        axes.axvspan(begin, stop, color="tab:red", alpha=0.12, linewidth=0)
        axes.text(begin, len(relays) - 0.45, label, fontsize=6, rotation=30, va="bottom")
    colours = plt.get_cmap("tab20")
    for n, name in enumerate(relays):
        for begin, stop, view, has_lease in _view_spans(history, name, end):
            number = int(view.rpartition("/")[2])
            shade = 1.0 if has_lease else 0.25
            axes.barh(n, stop - begin, left=begin, height=0.6, color=colours(number % 20), alpha=shade)
            if stop - begin > end / 60:
                axes.text(
                    begin + 0.05, n, str(number) + ("" if has_lease else " stale"), fontsize=7, va="center"
                )
    axes.set_yticks(range(len(relays)), relays)
    axes.set_ylim(-0.6, len(relays) + 0.4)
    axes.set_xlim(0, end)
    axes.set_xlabel("s")
    axes.set_title(title, fontsize=10, pad=24)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    plt.close(figure)


def _fault_bands(history: History, end: float) -> list[tuple[float, float, str]]:
    """Return start, end and label of each fault, sorted; a fault not undone lasts to the end of the run."""
    open_since: dict[tuple[str, str], float] = {}
    found = []
    for row in history.of_kinds("fault", "undone"):
        key = row.values["fault"], row.values["what"]
        if row.kind == "fault":
            open_since.setdefault(key, row.at)
        elif key in open_since:
            found.append((open_since.pop(key), row.at, f"{key[0]} {key[1]}"))
    instant_kinds = ("restart", "join", "leave", "upgrade", "heal", "continue")
    found += [
        (at, at + 0.1 if k[0] in instant_kinds else end, f"{k[0]} {k[1]}") for k, at in open_since.items()
    ]
    return sorted(found)


def _view_spans(history: History, name: str, end: float) -> list[tuple[float, float, str, bool]]:
    """Return a relay's views: start, end, view id, and whether the relay had a lease."""
    spans, span_start, view, has_lease = [], 0.0, "", False
    for row in history.rows:
        if row.who != name or row.kind not in (
            "fleet.view",
            "fleet.lease_acquired",
            "fleet.lease_expired",
            "started",
            *VIEW_ENDING_KINDS,
        ):
            continue
        if view:
            spans.append((span_start, row.at, view, has_lease))
        span_start = row.at
        if row.kind == "fleet.view":
            view = row.values["view"]
        elif row.kind in ("fleet.lease_acquired", "fleet.lease_expired"):
            has_lease = row.kind == "fleet.lease_acquired"
        else:
            view, has_lease = "", False
    if view:
        spans.append((span_start, end, view, has_lease))
    return spans
