"""A member's part in the rounds of heartbeats that leases are derived from. Without input or output."""

from __future__ import annotations

import math

from violetdoor import events
from violetdoor.fleet.context import NodeContext
from violetdoor.fleet.gossip import Gossip
from violetdoor.fleet.messages import HeartbeatRound

# Between two packets to a random member while a round is not complete.
ROUND_GOSSIP_INTERVAL_SECONDS = 0.1
ROUND_GOSSIP_JITTER_FACTORS = (0.7, 1.3)  # range of the random factor of each interval


class Heartbeat:
    """Joins rounds, starts them when it is time, and reports when the lease begins to hold."""

    def __init__(self, context: NodeContext, gossip: Gossip, now: float) -> None:
        """Take part with the context's lease."""
        self.context = context
        self.gossip = gossip
        self.last_joined_at = -math.inf  # when it last joined a round that may support somebody's lease
        self.next_gossip_at = now

    @property
    def next_wake_at(self) -> float:
        """When `wake` has something to do."""
        lease = self.context.lease
        if lease is None:
            return math.inf
        wake_at = lease.next_wake_at
        if self._is_round_open:
            wake_at = min(wake_at, self.next_gossip_at)
        if self.context.had_lease:
            wake_at = min(wake_at, lease.expires_at)
        return wake_at

    def wake(self, now: float) -> None:
        """Take part in the present round, and gossip it while it is not complete."""
        self.beat(now)
        if self._is_round_open and now >= self.next_gossip_at:
            jitter = self.context.random.uniform(*ROUND_GOSSIP_JITTER_FACTORS)
            self.next_gossip_at = now + ROUND_GOSSIP_INTERVAL_SECONDS * jitter
            self.gossip.send_to_random_members(1)

    def beat(self, now: float) -> None:
        """Start a round if it is time, and act on what the present one has brought."""
        context = self.context
        lease = context.lease
        if lease is None or context.view is None:
            return
        self._freeze_after_acceptance()
        lease.wake(now, is_first_alive=self._is_first_alive())
        if lease.joined_at:
            self.last_joined_at = max(self.last_joined_at, *lease.joined_at.values())
        if lease.has_update:
            lease.has_update = False
            self.gossip.spread(now)
        if not context.had_lease and lease.is_valid(now):
            context.had_lease = True
            context.outbox.emit(events.FLEET_LEASE_ACQUIRED, view=context.view_id_text())

    def receive(self, received: HeartbeatRound, now: float) -> None:
        """Merge the round that a member of this view has sent."""
        if self.context.lease is not None:
            self._freeze_after_acceptance()
            self.context.lease.receive(received, now)

    def _freeze_after_acceptance(self) -> None:
        """Join no more rounds of this view once a change of it was accepted."""
        agreement = self.context.agreement
        lease = self.context.lease
        if agreement is not None and lease is not None:
            lease.frozen = lease.frozen or agreement.frozen

    def _is_first_alive(self) -> bool:
        detector = self.context.detector
        return not any(detector.is_alive(peer.name) for peer in self.context.members_before_local())

    @property
    def _is_round_open(self) -> bool:
        lease = self.context.lease
        return lease is not None and lease.round_number > 0 and not lease.is_round_complete
