"""A picture of a run: a row a relay, its view's number over time, faults as bands."""

from __future__ import annotations

from pathlib import Path

from violetdoor.faults.history import History

ROW_HEIGHT, WIDTH = 0.55, 12.0  # inches
OUT = ("fleet.removed", "fleet.left", "died", "down")  # from then on a relay stands in no view that counts


def draw_views(history: History, path: Path, title: str) -> None:
    """Draw it as PNG."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    end = max((row.at for row in history.rows), default=1.0)
    relays = sorted({row.who for row in history.of_kinds("started")})
    figure, axes = plt.subplots(figsize=(WIDTH, 1.2 + ROW_HEIGHT * max(1, len(relays))))
    for begin, stop, what in _bands(history, end):
        axes.axvspan(begin, stop, color="tab:red", alpha=0.12, linewidth=0)
        axes.text(begin, len(relays) - 0.45, what, fontsize=6, rotation=30, va="bottom")
    colours = plt.get_cmap("tab20")
    for n, name in enumerate(relays):
        for begin, stop, view, live in _spans(history, name, end):
            number = int(view.rpartition("/")[2])
            shade = 1.0 if live else 0.25
            axes.barh(n, stop - begin, left=begin, height=0.6, color=colours(number % 20), alpha=shade)
            if stop - begin > end / 60:
                axes.text(begin + 0.05, n, str(number) + ("" if live else " stale"), fontsize=7, va="center")
    axes.set_yticks(range(len(relays)), relays)
    axes.set_ylim(-0.6, len(relays) + 0.4)
    axes.set_xlim(0, end)
    axes.set_xlabel("s")
    axes.set_title(title, fontsize=10, pad=24)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    plt.close(figure)


def _bands(history: History, end: float) -> list[tuple[float, float, str]]:
    """Each fault from when it began until it was undone."""
    open_: dict[tuple[str, str], float] = {}
    found = []
    for row in history.of_kinds("fault", "undone"):
        key = row.values["fault"], row.values["what"]
        if row.kind == "fault":
            open_.setdefault(key, row.at)
        elif key in open_:
            found.append((open_.pop(key), row.at, f"{key[0]} {key[1]}"))
    lasting = ("restart", "join", "leave", "upgrade", "heal", "continue")
    found += [(at, at + 0.1 if k[0] in lasting else end, f"{k[0]} {k[1]}") for k, at in open_.items()]
    return sorted(found)


def _spans(history: History, name: str, end: float) -> list[tuple[float, float, str, bool]]:
    """The views that a relay stood at, and whether its lease held."""
    spans, since, view, live = [], 0.0, "", False
    for row in history.rows:
        if row.who != name or row.kind not in (
            "fleet.view",
            "fleet.lease_acquired",
            "fleet.lease_expired",
            "started",
            *OUT,
        ):
            continue
        if view:
            spans.append((since, row.at, view, live))
        since = row.at
        if row.kind == "fleet.view":
            view = row.values["view"]
        elif row.kind in ("fleet.lease_acquired", "fleet.lease_expired"):
            live = row.kind == "fleet.lease_acquired"
        else:
            view, live = "", False
    if view:
        spans.append((since, end, view, live))
    return spans
