"""State shared by the components of one node: its configuration, identity and membership. No I/O.

Each component owns the rest of its state, and receives this object and the components that it depends on in
its constructor.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from random import Random

from violetdoor import events
from violetdoor.fleet.agreement import Agreement
from violetdoor.fleet.failure_detector import FailureDetector
from violetdoor.fleet.lease import Lease
from violetdoor.fleet.messages import (
    PROTOCOL_VERSION,
)
from violetdoor.fleet.outbox import Outbox
from violetdoor.fleet.shared_map import SharedMap
from violetdoor.fleet.stored_state import DurableState
from violetdoor.fleet.view import Address, Peer, View

ID_BITS = 62  # size of a random instance or process ID, which has to fit into a signed 64-bit integer


class MemberState(Enum):
    """Membership state of this relay. The values are shown to operators, and handed over in upgrades."""

    OUTSIDE = "outside"  # not in any view
    RECOVERING = "recalled"  # restarted with a view in its durable state: it votes in that view, and rejoins
    MEMBER = "member"
    LEFT = "left"  # has left by its own decision, and is inactive from then on


@dataclass(slots=True, frozen=True)
class NodeConfig:
    """The operator's configuration of this relay as a member of its fleet."""

    name: str
    host: str  # the address at which other relays reach this relay
    port: int
    zone: str = ""
    seeds: tuple[Address, ...] = ()
    founders: frozenset[str] = frozenset()
    version: int = PROTOCOL_VERSION

    @property
    def address(self) -> Address:
        """The address at which other relays reach this relay."""
        return self.host, self.port


class NodeContext:
    """The shared state of one node. Times are in seconds of its monotonic clock, except for `unix_ms`."""

    def __init__(self, config: NodeConfig, random: Random, now: float, unix_ms: Callable[[], float]) -> None:
        """Initialize a node outside any view; `unix_ms` returns the Unix time in ms."""
        self.config = config
        self.random = random
        self.unix_ms = unix_ms
        self.started_at = now
        self.process = self._new_id()
        self.local_peer = self.new_identity()
        self.state = MemberState.OUTSIDE
        self.view: View | None = None
        self.detector = FailureDetector(self.local_peer, random, now)
        self.agreement: Agreement | None = None
        self.lease: Lease | None = None
        self.had_lease = False  # whether this relay held a lease at the last check
        self.map = SharedMap(config.name)
        self.last_epoch = 0  # the last epoch in which this relay was a member; 0 if there was none
        self.last_seq = 0  # `seq` of the newest view of that epoch that this relay knows
        self.latest_view: View | None = None  # newest view of `last_epoch` without this relay
        self.member_addresses: dict[str, Address] = {}  # addresses of the last known members, by name
        self.lease_holder_reported_at = -math.inf  # when another relay last reported that it holds a lease
        self.outbox = Outbox()
        # State that must survive a restart; to be written before any output of the same step is sent.
        self.durable_state: DurableState | None = None
        self.next_wake_at = now  # when the caller is to call `Node.wake`

    def new_identity(self) -> Peer:
        """Return this relay as a peer with a new instance number."""
        config = self.config
        return Peer(config.name, self._new_id(), config.host, config.port, config.zone, self.process)

    def _new_id(self) -> int:
        """Return a random ID of an instance or process; it is never 0."""
        return self.random.getrandbits(ID_BITS) | 1

    def adopt_identity(self, peer: Peer) -> None:
        """Use this instance as the local relay's identity from now on."""
        self.local_peer = self.detector.local_peer = peer

    def wake_by(self, latest: float) -> None:
        """Make sure that the node is woken no later than at this time."""
        self.next_wake_at = min(self.next_wake_at, latest)

    def may_act(self, now: float) -> bool:
        """Return whether this relay holds a valid lease in its view."""
        return self.state is MemberState.MEMBER and self.lease is not None and self.lease.is_valid(now)

    def report_lease_expired(self) -> None:
        """Emit the event that the lease has expired."""
        self.had_lease = False
        self.outbox.emit(events.FLEET_LEASE_EXPIRED, view=self.view_id_text())

    def update_durable_state(self) -> None:
        """Copy the durable state from the agreement; an unchanged state remains the same object."""
        if self.agreement is None:
            return
        state = self.agreement.durable_state
        if state != self.durable_state:
            self.durable_state = state

    def member(self, name: str) -> Peer | None:
        """Return the member of the view with this name, or None."""
        return None if self.view is None else self.view.member(name)

    def is_member(self, name: str, instance: int) -> bool:
        """Return whether this very instance of a relay is in the view."""
        peer = self.member(name)
        return peer is not None and peer.instance == instance

    def other_members(self) -> list[Peer]:
        """Return the members of the view without this relay; empty outside any view."""
        if self.view is None:
            return []
        return [peer for peer in self.view.members if peer.name != self.config.name]

    def members_before_local(self) -> Iterable[Peer]:
        """Return the members that precede this relay in the view's order."""
        assert self.view is not None
        return self.view.members[: self.view.index_by_name[self.config.name]]

    def view_size(self) -> int:
        """Return the number of members of the view; 1 outside any view."""
        return 1 if self.view is None else len(self.view.members)

    def view_id_text(self) -> str | None:
        """Return the identifier of the view as shown to operators; None outside any view."""
        return None if self.view is None else str(self.view.id)
