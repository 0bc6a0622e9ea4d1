"""Anti-entropy: requests for other relays' views and shared maps, sent over TCP by the caller. No I/O."""

from __future__ import annotations

import math
from collections.abc import Iterable

from violetdoor.fleet.context import NodeContext
from violetdoor.fleet.gossip import Gossip
from violetdoor.fleet.messages import MapEntry, SyncRequest
from violetdoor.fleet.view import Address

# Interval of exchanges with a random member and with a random seed outside the view. It is shorter than the
# wait of a restarted founder before it founds an epoch, so that the founder learns of a live epoch in time.
SYNC_INTERVAL_SECONDS = 2.5
SYNC_JITTER_FACTORS = (0.7, 1.3)  # range of the random factor of each interval
MAP_SYNC_INTERVAL_SECONDS = 0.5  # minimum interval between exchanges triggered by different map digests


class AntiEntropy:
    """Requests other relays' state periodically, and when a packet shows that a member has newer state."""

    def __init__(self, context: NodeContext, gossip: Gossip, now: float) -> None:
        """Schedule the first exchange at a random time within the first interval."""
        self.context = context
        self.gossip = gossip
        self.next_sync_at = now + SYNC_INTERVAL_SECONDS * context.random.random()
        self.last_map_sync_at = -math.inf
        self.pending_call: int | None = None  # number of the call that `catch_up` started, if it is pending

    def wake(self, now: float) -> None:
        """Exchange state with a random member and a random seed outside the view, if the interval is over."""
        context = self.context
        if now < self.next_sync_at:
            return
        self.next_sync_at = now + SYNC_INTERVAL_SECONDS * context.random.uniform(*SYNC_JITTER_FACTORS)
        members = [peer.address for peer in context.other_members()]
        # A seed outside the view may have restarted, or be in another epoch. It has to learn of this epoch
        # before it founds a new one.
        seeds = sorted(set(context.config.seeds) - set(members) - {context.config.address})
        if members:
            self._exchange(context.random.choice(members))
        if seeds:
            self._exchange(context.random.choice(seeds))

    def catch_up(self, name: str) -> None:
        """Exchange state with a member that has newer state; only one such exchange runs at a time."""
        peer = self.context.member(name)
        if self.pending_call is None and peer is not None:
            self.pending_call = self._exchange(peer.address)

    def compare_map(self, name: str, digest: int, now: float) -> None:
        """Exchange state with a member whose map has another digest than the local one."""
        if digest != self.context.map.digest and now >= self.last_map_sync_at + MAP_SYNC_INTERVAL_SECONDS:
            self.last_map_sync_at = now
            self.catch_up(name)

    def end_call(self, number: int) -> None:
        """Record that a call has ended, with or without a response."""
        if number == self.pending_call:
            self.pending_call = None

    def merge(self, entries: Iterable[MapEntry], now: float) -> None:
        """Merge another relay's map, and gossip at once if any entry is newer than the local one."""
        context = self.context
        if context.map.merge(entries, context.unix_ms(), context.view_size()):
            self.gossip.spread(now)

    def request_view(self, address: Address) -> int:
        """Request a relay's state without sending the local map, and return the number of the call."""
        return self.context.outbox.start_call(address, self._request(()))

    def entries(self) -> tuple[MapEntry, ...]:
        """Return all entries of the local map, tombstones included."""
        return tuple(self.context.map.entries.values())

    def _exchange(self, address: Address) -> int:
        return self.context.outbox.start_call(address, self._request(self.entries()))

    def _request(self, entries: tuple[MapEntry, ...]) -> SyncRequest:
        context = self.context
        view = None if context.view is None else context.view.id
        return SyncRequest(context.local_peer, view, context.view_size(), context.had_lease, entries)
