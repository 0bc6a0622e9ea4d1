"""Named counters of accepted, sent and answered items."""

from __future__ import annotations

from collections import Counter


class Counters(Counter[str]):
    """Event counts by name."""

    def format_line(self) -> str:
        """Return all counts as one log line of `name=count` pairs, sorted by name."""
        return " ".join(f"{name}={count}" for name, count in sorted(self.items())) or "none"
