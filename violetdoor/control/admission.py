"""Decides whether a control machine opens a session, and when a rejected peer may retry."""

from __future__ import annotations

from violetdoor.control.context import MachineContext
from violetdoor.control.leases import LeaseGranter
from violetdoor.control.messages import (
    MAX_HOST_BYTES,
    MAX_NAME_BYTES,
    MAX_ZONE_BYTES,
    PROTOCOL_VERSION,
    Attach,
    Rejected,
    Relay,
    Watch,
)
from violetdoor.control.replica import Replica
from violetdoor.control.session import Session
from violetdoor.control.token_bucket import TokenBucket

# Time after a relay's last message in which another run of a relay of the same name is rejected.
NAME_OWNERSHIP_SECONDS = 2.0
# Retry-After if the control machine has no lease in its group, or an older roster than the peer.
NOT_READY_RETRY_DELAY_SECONDS = 1.0
# Retry-After if the control machine's limit on the rate of attaches is reached.
BUSY_RETRY_DELAY_SECONDS = 1.0
# Retry-After if another run of a relay of the same name is alive.
NAME_RETRY_DELAY_SECONDS = 2.0
# Retry-After if the control machine has too many sessions, or another region or protocol version.
FULL_RETRY_DELAY_SECONDS = 4.0


class Admission:
    """The conditions under which one control machine opens a session."""

    def __init__(self, context: MachineContext, replica: Replica, leases: LeaseGranter, now: float) -> None:
        """Start with the full burst of attaches that the configured limits allow."""
        self.is_stopping = False
        self._context = context
        self._replica = replica
        self._leases = leases
        limits = context.config.limits
        self._bucket = TokenBucket(limits.attaches_per_second, limits.attach_burst, now)

    def reconfigure(self) -> None:
        """Apply the rate limits of the context's new configuration, from the next attach on."""
        limits = self._context.config.limits
        self._bucket.rate = limits.attaches_per_second
        self._bucket.burst = limits.attach_burst

    def rejection(self, message: Attach | Watch, now: float) -> Rejected | None:
        """Return the rejection of a request that holds for any peer; None if there is none."""
        if message.protocol_version != PROTOCOL_VERSION:
            return Rejected("version", FULL_RETRY_DELAY_SECONDS)
        if message.region != self._context.config.region:
            return Rejected("region", FULL_RETRY_DELAY_SECONDS)
        if self.is_stopping or not self._leases.may_act(now):
            return Rejected("not ready", NOT_READY_RETRY_DELAY_SECONDS)
        if self._replica.is_behind(message.known_version):
            return Rejected("behind", NOT_READY_RETRY_DELAY_SECONDS)
        if not self._bucket.try_acquire(now):
            return Rejected("busy", BUSY_RETRY_DELAY_SECONDS)
        return None

    def name_rejection(self, relay: Relay, existing: Session | None, now: float) -> Rejected | None:
        """Return a rejection if `existing`, of the same name, belongs to another run that is alive."""
        if existing is None or existing.relay is None or existing.relay.instance == relay.instance:
            return None
        if now >= existing.last_received_at + NAME_OWNERSHIP_SECONDS:
            return None
        return Rejected("name", NAME_RETRY_DELAY_SECONDS)


def has_valid_lengths(relay: Relay) -> bool:
    """Return whether a relay has a name, and its name, host and zone are not too long."""
    limits = [(relay.name, MAX_NAME_BYTES), (relay.host, MAX_HOST_BYTES), (relay.zone, MAX_ZONE_BYTES)]
    return bool(relay.name) and all(len(text.encode()) <= max_bytes for text, max_bytes in limits)
