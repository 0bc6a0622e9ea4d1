"""Detection of replayed packets of a sender. Does no I/O."""

from __future__ import annotations

WINDOW_PACKETS = 1024  # how late a packet may arrive; a sender sends some tens of packets per second


class ReplayWindow:
    """Sliding window that accepts each of a sender's recent sequence numbers once (RFC 4303, 3.4.3)."""

    __slots__ = ("bits", "newest")

    def __init__(self, newest: int = -1) -> None:
        """Count all sequence numbers up to `newest` as received; -1 if none were."""
        self.newest = newest
        self.bits = 0 if newest < 0 else (1 << WINDOW_PACKETS) - 1  # bit n: `newest - n` was received

    def accept(self, sequence: int) -> bool:
        """Return whether this number is new, and mark it as received."""
        ahead = sequence - self.newest
        if ahead > 0:
            if ahead >= WINDOW_PACKETS:
                self.bits = 1
            else:
                self.bits = (self.bits << ahead | 1) & ((1 << WINDOW_PACKETS) - 1)
            self.newest = sequence
            return True
        behind = -ahead
        if behind >= WINDOW_PACKETS or self.bits >> behind & 1:
            return False
        self.bits |= 1 << behind
        return True
