"""What the parts of one node share: its configuration, identity and membership. Without input or output.

Each part owns the rest of its state and gets this object and the parts below it in its constructor.
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

ID_BITS = 62  # of the random number of an instance or a process: small enough for a signed integer of msgpack


class MemberState(Enum):
    """Whether this relay is a member. The values are seen by operators, and handed over in upgrades."""

    OUTSIDE = "outside"  # in no view
    RECOVERING = "recalled"  # restarted: its durable state has a view; it votes there, and rejoins
    MEMBER = "member"
    LEFT = "left"  # by its own decision; it does nothing more


@dataclass(slots=True, frozen=True)
class NodeConfig:
    """What an operator configures of this relay in its fleet."""

    name: str
    host: str  # where the other relays reach it
    port: int
    zone: str = ""
    seeds: tuple[Address, ...] = ()
    founders: frozenset[str] = frozenset()
    version: int = PROTOCOL_VERSION

    @property
    def address(self) -> Address:
        """Where the other relays reach it."""
        return self.host, self.port


class NodeContext:
    """The shared state of one node. Times are seconds of its monotonic clock, but for `unix_ms`."""

    def __init__(self, config: NodeConfig, random: Random, now: float, unix_ms: Callable[[], float]) -> None:
        """Start a node that is in no view; `unix_ms` returns the Unix time."""
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
        self.had_lease = False  # whether it held a lease when that was last checked
        self.map = SharedMap(config.name)
        self.last_epoch = 0  # the one that it was last a member in; 0 for none
        self.last_seq = 0  # of the newest view of that epoch that it knows
        self.latest_view: View | None = None  # that view, while this relay is in none
        self.member_addresses: dict[str, Address] = {}  # of the members of the last view
        self.lease_holder_seen_at = -math.inf  # when another relay last said that it holds one
        self.outbox = Outbox()
        # What a restart must not forget; to be written before anything of the same step is sent.
        self.durable_state: DurableState | None = None
        self.next_wake_at = now  # when the node is to be woken

    def new_identity(self) -> Peer:
        """Return this relay under an instance that no other relay knows."""
        config = self.config
        return Peer(config.name, self._new_id(), config.host, config.port, config.zone, self.process)

    def _new_id(self) -> int:
        """Draw a number that no other instance or process has, and that is not 0."""
        return self.random.getrandbits(ID_BITS) | 1

    def adopt_identity(self, peer: Peer) -> None:
        """Be this instance from now on."""
        self.local_peer = self.detector.local_peer = peer

    def wake_by(self, latest: float) -> None:
        """Wake the node at this time at the latest."""
        self.next_wake_at = min(self.next_wake_at, latest)

    def may_act(self, now: float) -> bool:
        """Return whether this relay holds a lease in its view at this moment."""
        return self.state is MemberState.MEMBER and self.lease is not None and self.lease.is_valid(now)

    def report_lease_expired(self) -> None:
        """Report that the lease has expired."""
        self.had_lease = False
        self.outbox.emit(events.FLEET_LEASE_EXPIRED, view=self.view_id_text())

    def update_durable_state(self) -> None:
        """Read the durable state off the agreement; the object is the same as long as nothing has changed."""
        if self.agreement is None:
            return
        state = self.agreement.durable_state
        if state != self.durable_state:
            self.durable_state = state

    def member(self, name: str) -> Peer | None:
        """Return the member of the view with this name."""
        return None if self.view is None else self.view.member(name)

    def is_member(self, name: str, instance: int) -> bool:
        """Return whether just this instance of a relay is in the view."""
        peer = self.member(name)
        return peer is not None and peer.instance == instance

    def other_members(self) -> list[Peer]:
        """Return the members of the view but this relay."""
        if self.view is None:
            return []
        return [peer for peer in self.view.members if peer.name != self.config.name]

    def members_before_local(self) -> Iterable[Peer]:
        """Return the members of the view before this relay, in the view's order."""
        assert self.view is not None
        return self.view.members[: self.view.index_by_name[self.config.name]]

    def view_size(self) -> int:
        """Return the number of members of the view; 1 where this relay is in none."""
        return 1 if self.view is None else len(self.view.members)

    def view_id_text(self) -> str | None:
        """Return the view's number for operators."""
        return None if self.view is None else str(self.view.id)
