"""Roster changes that the leader has not written yet."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from violetdoor.control.messages import Relay, RelayKey
from violetdoor.control.roster import Roster, relay_key

# Maximum number of relays that one delta adds, and that it removes, so that it fits into a frame.
MAX_DELTA_RELAYS = 150


@dataclass(frozen=True, slots=True)
class ChangeBatch:
    """The changes of one delta."""

    joined: tuple[Relay, ...]
    departed: tuple[RelayKey, ...]


@dataclass(slots=True)
class PendingChanges:
    """Relays that join and depart with the next deltas, in the order in which they were recorded."""

    joined: dict[str, Relay] = field(default_factory=dict)  # by name
    departed: dict[RelayKey, None] = field(default_factory=dict)
    oldest_recorded_at: float = math.inf  # infinite until a change is recorded

    def __bool__(self) -> bool:
        """Return whether any change is pending."""
        return bool(self.joined or self.departed)

    def record_joined(self, relay: Relay, roster: Roster | None, now: float) -> None:
        """Record that a relay joins, unless it is in the roster already."""
        if roster is None or not roster.contains(relay_key(relay)):
            self.joined[relay.name] = relay
        self._start_batch_delay(now)

    def record_departed(self, key: RelayKey, roster: Roster | None, now: float) -> None:
        """Record that a relay departs; if its joining is still pending, it is never written."""
        joining = self.joined.get(key.name)
        if joining is not None and joining.instance == key.instance:
            del self.joined[key.name]
        if roster is not None and roster.contains(key):
            self.departed[key] = None
        self._start_batch_delay(now)

    def _start_batch_delay(self, now: float) -> None:
        if self and self.oldest_recorded_at == math.inf:
            self.oldest_recorded_at = now

    def take_batch(self) -> ChangeBatch:
        """Remove and return the changes of one delta, as many as fit into a frame."""
        joined = tuple(self.joined.values())[:MAX_DELTA_RELAYS]
        # A restarted relay departs and joins in the same delta, so that every roster has it exactly once.
        joined_names = {relay.name for relay in joined}
        restarted = [key for key in self.departed if key.name in joined_names]
        others = [key for key in self.departed if key.name not in self.joined]
        departed = tuple(restarted + others[: max(0, MAX_DELTA_RELAYS - len(restarted))])
        for relay in joined:
            del self.joined[relay.name]
        for key in departed:
            del self.departed[key]
        if not self:
            self.oldest_recorded_at = math.inf
        return ChangeBatch(joined, departed)

    def apply_all(self, members: Iterable[Relay]) -> tuple[Relay, ...]:
        """Apply all changes to `members` and remove them; return the resulting members."""
        changed = {relay.name: relay for relay in members}
        for key in self.departed:
            changed.pop(key.name, None)
        changed |= self.joined
        self.joined.clear()
        self.departed.clear()
        self.oldest_recorded_at = math.inf
        return tuple(changed.values())
