"""The state of a control group, read from the `violetdoor.fleet` node that keeps the group's view.

This is the only module of the package that reads the state of the node.
"""

from __future__ import annotations

from dataclasses import dataclass

from violetdoor.fleet.context import MemberState
from violetdoor.fleet.node import Node

# The member of the group that owns this key is the leader, which writes the roster.
LEADER_KEY = "roster"


@dataclass(frozen=True, slots=True)
class GroupState:
    """The state of a control group at one machine; the driver passes on each change before other input."""

    epoch: int  # epoch of the group's view; a group that is founded again has a new one
    term: int  # number of the view in its epoch; epoch and term identify a leader's term
    incarnation: int  # instance of this machine's membership of the group
    members: tuple[str, ...]  # members of the view, including this machine
    leader: str | None  # the owner of `LEADER_KEY`
    is_leader: bool  # this machine is the leader, and no lease of an earlier leader can be valid
    lease_expires_at: float  # end of this machine's lease; it may act until then
    prior_leases_expired: bool  # all leases granted under earlier views have expired

    @property
    def membership(self) -> tuple[int, int, int]:
        """The term and incarnation of this machine; when it changes, all work in the group restarts."""
        return (self.epoch, self.term, self.incarnation)


def group_state(node: Node, now: float) -> GroupState | None:
    """Return the state of the group at its node; None if the node is in no view."""
    if node.view is None or node.lease is None or node.state is not MemberState.MEMBER:
        return None
    return GroupState(
        epoch=node.view.epoch,
        term=node.view.seq,
        incarnation=node.local_peer.instance,
        members=tuple(peer.name for peer in node.view.members),
        leader=node.view.owner(LEADER_KEY),
        is_leader=node.owns(LEADER_KEY, now),
        lease_expires_at=node.lease.expires_at,
        prior_leases_expired=node.prior_leases_expired(now),
    )
