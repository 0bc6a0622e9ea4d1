"""Metrics for operators: final answers and attempts by request class, and gauges of the program."""

from __future__ import annotations

from collections.abc import Callable, Iterable

PREFIX = "svc"
CLASS_COUNTERS = ("ok", "shed", "errors", "tries")
CONFIGURATION_COUNTERS = ("config_applied", "config_rejected")


class Metrics:
    """Counters that are exported from the start, at 0, and gauges that are read on each export."""

    def __init__(self, class_names: Iterable[str]) -> None:
        """Start with the counters of these request classes."""
        self.counts: dict[str, int] = dict.fromkeys(CONFIGURATION_COUNTERS, 0)
        self.gauges: dict[str, Callable[[], int]] = {}
        self.register_classes(class_names)

    def register_classes(self, class_names: Iterable[str]) -> None:
        """Add counters for new classes; a class that was removed from the settings keeps its counts."""
        for class_name in class_names:
            for name in CLASS_COUNTERS:
                self.counts.setdefault(f"{name}.{class_name}", 0)

    def increment(self, name: str, class_name: str) -> None:
        """Count one answer or attempt; unregistered classes are ignored."""
        key = f"{name}.{class_name}"
        if key in self.counts:
            self.counts[key] += 1

    def format_statsd(self) -> str:
        """Return all metrics as StatsD lines."""
        lines = [f"{PREFIX}.{name}:{value}|c" for name, value in self.counts.items()]
        lines += [f"{PREFIX}.{name}:{read()}|g" for name, read in self.gauges.items()]
        return "\n".join(lines) + "\n"
