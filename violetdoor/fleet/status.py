"""Status of a node as shown at its console: the JSON of `GET /fleet`. Does no I/O.

Operators rely on the JSON keys. A field whose key differs from its name sets it by `field(name=...)`.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from msgspec import Struct, field

from violetdoor.fleet.context import NodeContext
from violetdoor.fleet.departures import Departures
from violetdoor.fleet.packets import Packets
from violetdoor.fleet.prior_leases import PriorLeases
from violetdoor.fleet.proposer import Proposer
from violetdoor.fleet.view import Peer


class MemberStatus(Struct, frozen=True):
    """One member of the view, as this relay sees it."""

    name: str
    address: str  # host:port
    zone: str
    since_view: int = field(name="since")  # sequence number of the first view of the epoch with this member
    health: str  # self, alive, suspect, dead, ended (its instance has ended, another may run), unknown
    # Seconds since its last packet; None if no packet was received yet.
    last_received_seconds: float | None = field(name="heard_s")


class FleetStatus(Struct, frozen=True):
    """A relay's view, lease and counters."""

    name: str
    state: str = field(name="standing")  # a `MemberState`
    view: str | None
    digest: str | None  # digest of the view
    size: int  # number of members of the view
    majority: int  # number of members that form a majority
    may_act: bool  # whether this relay holds a lease
    lease_remaining_seconds: float = field(name="lease_left_s")
    prior_leases_expired: bool = field(name="clear")  # no lease of an earlier view can still be valid
    own_health: int  # Lifeguard's local health score; 0 is healthy
    members: tuple[MemberStatus, ...]
    joining: tuple[str, ...] = field(name="pending")  # names of relays with an open join request
    map_entries: int = field(name="shared")  # number of entries in the shared map
    map_digest: str = field(name="map")
    counts: dict[str, int]


class StatusReader:
    """Collects the status from the components of a node."""

    def __init__(
        self,
        context: NodeContext,
        departures: Departures,
        prior_leases: PriorLeases,
        proposer: Proposer,
        packets: Packets,
    ) -> None:
        """Read from these components."""
        self.context = context
        self.departures = departures
        self.prior_leases = prior_leases
        self.proposer = proposer
        self.packets = packets

    def read(self, counts: Mapping[str, int], now: float) -> FleetStatus:
        """Return the status at the time `now`; `counts` are the driver's counters."""
        context = self.context
        view = context.view
        lease = context.lease
        return FleetStatus(
            name=context.config.name,
            state=context.state.value,
            view=context.view_id_text(),
            digest=None if view is None else view.digest,
            size=0 if view is None else len(view.members),
            majority=0 if view is None else view.majority,
            may_act=context.may_act(now),
            lease_remaining_seconds=0.0 if lease is None else round(max(0.0, lease.expires_at - now), 3),
            prior_leases_expired=self.prior_leases.all_expired(now),
            own_health=context.detector.health_score,
            members=() if view is None else tuple(self._member(peer, now) for peer in view.members),
            joining=tuple(sorted(self.proposer.pending_joins)),
            map_entries=len(context.map.entries),
            map_digest=f"{context.map.digest:016x}",
            counts={**counts, **self._drop_counts()},
        )

    def _drop_counts(self) -> dict[str, int]:
        drop_counts = self.packets.drop_counts
        return {f"dropped {reason.value}": count for reason, count in drop_counts.items() if count}

    def _member(self, peer: Peer, now: float) -> MemberStatus:
        return MemberStatus(
            name=peer.name,
            address=f"{peer.host}:{peer.port}",
            zone=peer.zone,
            since_view=peer.joined_seq,
            health=self._health(peer.name),
            last_received_seconds=self._last_received_seconds(peer.name, now),
        )

    def _health(self, name: str) -> str:
        if name == self.context.config.name:
            return "self"
        if name in self.departures.ended_members:
            return "ended"
        monitored = self.context.detector.members.get(name)
        return "unknown" if monitored is None else monitored.health.value

    def _last_received_seconds(self, name: str, now: float) -> float | None:
        monitored = self.context.detector.members.get(name)
        if monitored is None:
            return 0.0
        return None if monitored.last_received_at == -math.inf else round(now - monitored.last_received_at, 3)
