"""A stub relay: the control plane client of a relay with its real connection code, and no other part."""

from __future__ import annotations

from benchmarks.fleet_scale import protocol as p
from benchmarks.fleet_scale.traffic import Counts, kernel_counts
from violetdoor.control.connection import Connection
from violetdoor.control.messages import RelayKey, SessionResponse, Version
from violetdoor.control.relay.client import ControlClient
from violetdoor.control.relay.options import AttachmentConfig
from violetdoor.control.roster import Roster, relay_key


class RunningRelay:
    """One instance of a stub relay, from its start to its end."""

    def __init__(self, relay: p.StubRelay, plan: p.HostPlan, key: bytes) -> None:
        controls = tuple((address.host, address.port) for address in plan.controls)
        attachment_plan = AttachmentConfig(
            relay.name, relay.address.host, relay.address.port, relay.zone, plan.region, controls
        )
        self.client = ControlClient(attachment_plan, key)
        self.client.start()
        self.attachment = self.client.attachment
        self.key: RelayKey = relay_key(self.attachment.relay)
        self.in_service = False  # has been listed in its roster while it held a lease
        self.without_lease = False  # was in service and held no lease at the last observation

    # Observed state.

    def may_act(self, now: float) -> bool:
        """Return whether it holds a lease."""
        return self.attachment.may_act(now)

    def owns(self, key: str, now: float) -> bool:
        """Return whether it claims to own a key."""
        return self.attachment.owns(key, now)

    @property
    def roster(self) -> Roster | None:
        """The newest roster that it knows, if any."""
        return self.attachment.roster

    @property
    def in_own_roster(self) -> bool:
        roster = self.roster
        return roster is not None and roster.contains(self.key)

    def count_version(self, region: str) -> Version | None:
        """Return the version of the relay count that it knows of another region, or None."""
        count = self.attachment.membership.region_counts.get(region)
        return None if count is None else count.version

    def counted_relays(self, region: str) -> int:
        """Return the number of living relays in another region by the count that it knows, or 0."""
        count = self.attachment.membership.region_counts.get(region)
        return 0 if count is None else sum(zone.relay_count for zone in count.zones)

    @property
    def connection(self) -> Connection[SessionResponse] | None:
        """The connection of its session with a control machine, if there is one."""
        return self.client.connection

    def kernel_counts(self) -> Counts | None:
        """Return the kernel's counts of its connection, or None without an open connection."""
        sock = None if self.connection is None else self.connection.socket
        if sock is None:
            return None
        try:
            return kernel_counts(sock)
        except OSError:
            return None

    def payload_counts(self) -> Counts:
        """Return the counts of the connection's code since the relay's start."""
        counts = self.client.counters
        return Counts(counts["bytes_out"], counts["bytes_in"], counts["writes"], counts["frames_in"])

    # End.

    def end(self, how: p.Ending) -> None:
        """End it as if it left in order, its process died, or its machine died without notice."""
        if how == "left":
            self.client.leave()
            self.client.abort(immediate=False)
            return
        if how == "silent":
            # Detach the connection so that abort() leaves its socket open: the other side gets no notice.
            self.client.dialer.connection = None
        self.client.abort()
