"""Queue of rumors about members, which packets piggyback until they reach the whole fleet. Does no I/O."""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass

from violetdoor.fleet.dissemination import gossip_rounds
from violetdoor.fleet.messages import Rumor

# Number of packets that carry a rumor, per gossip round that the fleet needs (memberlist's RetransmitMult).
RUMOR_RETRANSMIT_MULTIPLIER = 4


@dataclass(slots=True)
class QueuedRumor:
    """A rumor and the number of packets in which it is still to be sent."""

    rumor: Rumor
    remaining_sends: int


class RumorQueue:
    """Holds the newest rumor about each member; those with the most sends remaining are sent first."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._queued: dict[str, QueuedRumor] = {}

    def enqueue(self, rumor: Rumor, member_count: int) -> None:
        """Queue a rumor for a fleet of `member_count`; it replaces an older one about the same member."""
        self._queued[rumor.name] = QueuedRumor(
            rumor, RUMOR_RETRANSMIT_MULTIPLIER * gossip_rounds(member_count)
        )

    def discard(self, name: str) -> None:
        """Drop the rumor about a member, if there is one."""
        self._queued.pop(name, None)

    def retain(self, names: Container[str]) -> None:
        """Drop the rumors about all members except these."""
        self._queued = {name: queued for name, queued in self._queued.items() if name in names}

    def pick(self, count: int) -> list[Rumor]:
        """Return at most `count` rumors for the next packet, and count each of them as sent."""
        picked = []
        ordered = sorted(self._queued.items(), key=lambda item: -item[1].remaining_sends)
        for name, queued in ordered[:count]:
            picked.append(queued.rumor)
            queued.remaining_sends -= 1
            if queued.remaining_sends <= 0:
                del self._queued[name]
        return picked
