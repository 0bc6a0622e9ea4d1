"""Participation of a member in the heartbeat rounds that leases are derived from. No I/O."""

from __future__ import annotations

import math

from violetdoor import events
from violetdoor.fleet.context import NodeContext
from violetdoor.fleet.gossip import Gossip
from violetdoor.fleet.messages import HeartbeatRound

# Interval at which the current round is sent to a random member while it is incomplete.
ROUND_GOSSIP_INTERVAL_SECONDS = 0.1
ROUND_GOSSIP_JITTER_FACTORS = (0.7, 1.3)  # range of the random factor of each interval


class Heartbeat:
    """Joins and starts heartbeat rounds, and emits an event when this relay acquires a lease."""

    def __init__(self, context: NodeContext, gossip: Gossip, now: float) -> None:
        """Participate with the lease of `context`."""
        self.context = context
        self.gossip = gossip
        self.last_joined_at = -math.inf  # when this relay last joined a round, which may support a lease
        self.next_gossip_at = now

    @property
    def next_wake_at(self) -> float:
        """When `wake` is next due."""
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
        """Advance the heartbeat rounds, and gossip the current round while it is incomplete."""
        self.beat(now)
        if self._is_round_open and now >= self.next_gossip_at:
            jitter = self.context.random.uniform(*ROUND_GOSSIP_JITTER_FACTORS)
            self.next_gossip_at = now + ROUND_GOSSIP_INTERVAL_SECONDS * jitter
            self.gossip.send_to_random_members(1)

    def beat(self, now: float) -> None:
        """Start the next round if it is due, and gossip or report what has changed."""
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
        """Merge the round that a packet from a member with the same view carried."""
        if self.context.lease is not None:
            self._freeze_after_acceptance()
            self.context.lease.receive(received, now)

    def _freeze_after_acceptance(self) -> None:
        """Stop joining rounds of this view once this relay has accepted a successor."""
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
