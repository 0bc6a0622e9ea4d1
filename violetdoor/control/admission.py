"""Whether a control machine opens a session, and when a rejected peer is to come back."""

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

# After its last message for which a relay keeps others of its name out.
NAME_OWNERSHIP_SECONDS = 2.0
# Retry-After of a control machine without a lease in its group, or with an older roster than the relay's.
NOT_READY_RETRY_DELAY_SECONDS = 1.0
# Retry-After of a control machine whose rate of attaches is used up.
BUSY_RETRY_DELAY_SECONDS = 1.0
# Retry-After where another run of a relay of the name is alive.
NAME_RETRY_DELAY_SECONDS = 2.0
# Retry-After of a control machine that is full, or the wrong one.
FULL_RETRY_DELAY_SECONDS = 4.0


class Admission:
    """The conditions of a session at one control machine."""

    def __init__(self, context: MachineContext, replica: Replica, leases: LeaseGranter, now: float) -> None:
        """Start with the full burst of attaches that the configuration allows."""
        self.is_stopping = False
        self._context = context
        self._replica = replica
        self._leases = leases
        limits = context.config.limits
        self._bucket = TokenBucket(limits.attaches_per_second, limits.attach_burst, now)

    def reconfigure(self) -> None:
        """Apply the rates of the context's new configuration, from the next attach on."""
        limits = self._context.config.limits
        self._bucket.rate = limits.attaches_per_second
        self._bucket.burst = limits.attach_burst

    def rejection(self, message: Attach | Watch, now: float) -> Rejected | None:
        """Return why this machine opens no session whoever requests it; None where it does."""
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
        """Return a rejection where the session of the relay's name is another run's that is alive."""
        if existing is None or existing.relay is None or existing.relay.instance == relay.instance:
            return None
        if now >= existing.last_received_at + NAME_OWNERSHIP_SECONDS:
            return None
        return Rejected("name", NAME_RETRY_DELAY_SECONDS)


def has_valid_lengths(relay: Relay) -> bool:
    """Return whether a relay has a name, and all its texts are within their bounds."""
    lengths = [(relay.name, MAX_NAME_BYTES), (relay.host, MAX_HOST_BYTES), (relay.zone, MAX_ZONE_BYTES)]
    return bool(relay.name) and all(len(text.encode()) <= bound for text, bound in lengths)
