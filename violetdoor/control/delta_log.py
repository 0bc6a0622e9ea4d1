"""The newest deltas of a roster, kept for sessions and members that are a few versions behind."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from violetdoor.control.messages import (
    MAX_FRAME_BYTES,
    MAX_RELAY_BYTES,
    MAX_RELAY_KEY_BYTES,
    Delta,
    Version,
    encode,
)

# Maximum number of kept deltas: enough for a rolling restart of a zone with one delta per relay.
MAX_LOGGED_DELTAS = 512
# Maximum total encoded size of the kept deltas: with more, a snapshot of 600 members (40 KB) is shorter.
MAX_LOGGED_DELTA_BYTES = 256 * 1024
# Encoded size of a delta without its relays, rounded up.
DELTA_OVERHEAD_BYTES = 64
# Space reserved in a frame for its seal and for the headers around the deltas.
FRAME_OVERHEAD_BYTES = 1024


class DeltaLog:
    """Consecutive deltas up to the newest version, bounded by number and by encoded size."""

    def __init__(self, max_deltas: int = MAX_LOGGED_DELTAS, max_bytes: int = MAX_LOGGED_DELTA_BYTES) -> None:
        """Start empty; the oldest deltas are dropped when a bound is exceeded."""
        self.max_deltas = max_deltas
        self.max_bytes = max_bytes
        self.size_bytes = 0
        self._deltas: deque[tuple[Delta, int]] = deque()  # each with its encoded size
        self._index_by_base: dict[Version, int] = {}  # 0 is the first delta ever added
        self._dropped_count = 0

    def __len__(self) -> int:
        """Return the number of kept deltas."""
        return len(self._deltas)

    def clear(self) -> None:
        """Drop all deltas, because the next delta does not follow the last one."""
        self._dropped_count += len(self._deltas)
        self._deltas.clear()
        self._index_by_base.clear()
        self.size_bytes = 0

    def add(self, delta: Delta) -> None:
        """Append a delta that follows the last one, and drop the oldest while a bound is exceeded."""
        size = len(encode(delta))
        self._index_by_base[delta.base] = self._dropped_count + len(self._deltas)
        self._deltas.append((delta, size))
        self.size_bytes += size
        while self._deltas and (len(self._deltas) > self.max_deltas or self.size_bytes > self.max_bytes):
            dropped, size = self._deltas.popleft()
            del self._index_by_base[dropped.base]
            self.size_bytes -= size
            self._dropped_count += 1

    def since(self, version: Version) -> tuple[Delta, ...] | None:
        """Return the deltas from `version` to the newest one; None if they are no longer kept."""
        index = self._index_by_base.get(version)
        if index is None:
            return None
        return tuple(delta for delta, _ in list(self._deltas)[index - self._dropped_count :])


def split_into_frames(deltas: Sequence[Delta]) -> list[tuple[Delta, ...]]:
    """Split deltas, in order, into groups that each fit into a frame."""
    groups: list[list[Delta]] = []
    remaining_bytes = 0
    for delta in deltas:
        size = DELTA_OVERHEAD_BYTES
        size += len(delta.joined) * MAX_RELAY_BYTES
        size += len(delta.departed) * MAX_RELAY_KEY_BYTES
        if size > remaining_bytes or not groups:
            groups.append([])
            remaining_bytes = MAX_FRAME_BYTES - FRAME_OVERHEAD_BYTES
        groups[-1].append(delta)
        remaining_bytes -= size
    return [tuple(group) for group in groups]
