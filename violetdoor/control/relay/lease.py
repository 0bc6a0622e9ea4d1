"""A relay's lease: its expiry, and the heartbeats that may still extend it."""

from __future__ import annotations

import math

from violetdoor import events
from violetdoor.control.relay.actions import ActionQueue
from violetdoor.control.relay.roster_history import RosterHistory

# Unacknowledged heartbeats whose send times are kept: more than are sent during one lease.
MAX_UNACKNOWLEDGED_HEARTBEATS = 8


class Lease:
    """The lease without which a relay must not act on its keys. Times are seconds of the attachment's clock.

    A lease starts when its heartbeat was sent, not when the acknowledgement arrives: the control machine
    can't have counted it from an earlier time (docs/design/fleet-scale.md, "One owner at a time").
    """

    def __init__(self, history: RosterHistory, actions: ActionQueue) -> None:
        """Start without a lease; `history` tells whether this relay is a member of the roster."""
        self.expires_at = -math.inf
        self.last_heartbeat_number = 0
        self._history = history
        self._actions = actions
        self._sent_at: dict[int, float] = {}  # send times of unacknowledged heartbeats, by their number
        self._is_held = False  # as reported by the last event

    def may_act(self, now: float) -> bool:
        """Whether the lease is valid at this moment and the relay is a member of the newest roster."""
        return now < self.expires_at and self._history.is_member

    @property
    def next_wake_at(self) -> float:
        """When `emit_change` must be called next; infinite without a lease."""
        return self.expires_at if self._is_held else math.inf

    def emit_change(self, now: float) -> None:
        """Emit an event if the lease was acquired or has expired since the last event."""
        is_held = self.may_act(now)
        if is_held == self._is_held:
            return
        self._is_held = is_held
        version = self._history.version
        self._actions.emit(
            events.ATTACH_LEASE_ACQUIRED if is_held else events.ATTACH_LEASE_EXPIRED,
            version=None if version is None else str(version),
        )

    def record_heartbeat(self, now: float) -> int:
        """Record that a heartbeat is sent now, and return its number."""
        self.last_heartbeat_number += 1
        self._sent_at[self.last_heartbeat_number] = now
        while len(self._sent_at) > MAX_UNACKNOWLEDGED_HEARTBEATS:
            del self._sent_at[next(iter(self._sent_at))]
        return self.last_heartbeat_number

    def acknowledge(self, heartbeat: int) -> float | None:
        """Forget all heartbeats up to this number; return when this one was sent, None if not known."""
        acknowledged_sent_at = self._sent_at.get(heartbeat)
        if acknowledged_sent_at is None:
            return None
        self._sent_at = {number: sent_at for number, sent_at in self._sent_at.items() if number > heartbeat}
        return acknowledged_sent_at

    def extend(self, heartbeat_sent_at: float, duration_seconds: float) -> None:
        """Extend the lease to `duration_seconds` after its heartbeat was sent; never shorten it."""
        self.expires_at = max(self.expires_at, heartbeat_sent_at + duration_seconds)

    def release(self) -> None:
        """Give up the lease."""
        self.expires_at = -math.inf

    def forget_heartbeats(self) -> None:
        """Forget the heartbeats of an ended session, so that they extend nothing. The lease itself stays."""
        self._sent_at.clear()
