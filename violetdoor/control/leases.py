"""Leases of relays: how long they last, and whether this machine may grant one.

A lease is granted under a roster only after that roster was sent on the same connection; a session with an
older roster gets none. This is one of the two rules that give a key a single owner at any time
(docs/design/fleet-scale.md).
"""

from __future__ import annotations

from violetdoor.control.group import GroupState
from violetdoor.control.messages import Version
from violetdoor.control.replica import Replica
from violetdoor.control.roster import relay_key
from violetdoor.control.session import Session
from violetdoor.fleet.lease import MAX_CLOCK_DRIFT_FRACTION

# Duration of a lease. It suffices to replace a broken session even if the next two control machines are down.
LEASE_SECONDS = 6.0
# Time for operations that a relay starts just before its lease expires, as for the group's own leases.
LEASE_MARGIN_SECONDS = 0.15
# Time after which a lease has expired on every clock within the bound on drift.
LEASE_EXPIRY_SECONDS = LEASE_SECONDS * (1 + MAX_CLOCK_DRIFT_FRACTION) + LEASE_MARGIN_SECONDS


class LeaseGranter:
    """Decides whether a relay gets a lease, by this machine's own lease in its group and by its replica."""

    def __init__(self, replica: Replica) -> None:
        """Start outside of any group, where no lease may be granted."""
        self.group: GroupState | None = None
        self._replica = replica

    def may_act(self, now: float) -> bool:
        """Return whether this machine has a valid lease in its group."""
        return self.group is not None and now < self.group.lease_expires_at

    def may_grant(self, session: Session, now: float) -> bool:
        """Return whether a relay gets a lease: it is in the newest roster, and was sent that roster."""
        roster = self._replica.roster
        if roster is None or session.relay is None or session.sent_version != roster.version:
            return False
        if self.group is None or not self.may_act(now) or not self._replica.is_current(self.group):
            return False
        return roster.contains(relay_key(session.relay))

    def settled_version(self, session: Session) -> Version | None:
        """Return the settled version if the session was sent that roster or a later one, else None."""
        settled = self._replica.settled
        sent = session.sent_version
        if settled is None or sent is None or settled.epoch != sent.epoch:
            return None
        return settled if settled <= sent else None
