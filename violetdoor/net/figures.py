"""The figures that operators read: final answers and attempts by class, and how the program stands now."""

from __future__ import annotations

from collections.abc import Callable, Iterable

PREFIX = "svc"
BY_CLASS = ("ok", "shed", "errors", "tries")
OF_FILES = ("config_applied", "config_rejected")


class Figures:
    """Counters from 0, every name there from the start; gauges are read from live state when asked for."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.counts: dict[str, int] = dict.fromkeys(OF_FILES, 0)
        self.gauges: dict[str, Callable[[], int]] = {}
        self.know(classes)

    def know(self, classes: Iterable[str]) -> None:
        """Show these classes too; one that the settings have no more keeps its counts."""
        for cls in classes:
            for name in BY_CLASS:
                self.counts.setdefault(f"{name}.{cls}", 0)

    def count(self, name: str, cls: str) -> None:
        """Count one answer or attempt; of a class that was never known there is nothing to show."""
        if (key := f"{name}.{cls}") in self.counts:
            self.counts[key] += 1

    def text(self) -> str:
        """All figures in statsd's form."""
        lines = [f"{PREFIX}.{name}:{value}|c" for name, value in self.counts.items()]
        lines += [f"{PREFIX}.{name}:{read()}|g" for name, read in self.gauges.items()]
        return "\n".join(lines) + "\n"
