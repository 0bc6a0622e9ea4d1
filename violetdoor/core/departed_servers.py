"""A bounded record of the names of servers that have left the endpoint list."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

MAX_DEPARTED_SERVERS = 4_096  # a site has some tens of servers, and each release adds a few names


class DepartedServers:
    """Names that have left the list, ordered by the time of departure."""

    def __init__(self, max_names: int = MAX_DEPARTED_SERVERS) -> None:
        """Keep at most `max_names` names."""
        self.max_names = max_names
        self._names: dict[str, None] = {}

    def mark_listed(self, name: str) -> None:
        """Remove a name that is listed, whether again or for the first time."""
        self._names.pop(name, None)

    def mark_departed(self, names: Iterable[str]) -> Iterator[str]:
        """Add names that have left the list; yield the oldest names, which are removed to stay in bounds."""
        for name in names:
            self._names.pop(name, None)
            self._names[name] = None
            if len(self._names) > self.max_names:
                oldest = next(iter(self._names))
                del self._names[oldest]
                yield oldest
