"""One hollow relay: the attachment with its real connection code, and nothing else of a relay."""

from __future__ import annotations

from benchmarks.fleet_scale import protocol as p
from benchmarks.fleet_scale.traffic import Counts, kernel_counts
from violetdoor.control.connection import Connection
from violetdoor.control.messages import RelayKey, SessionResponse, Version
from violetdoor.control.relay.client import ControlClient
from violetdoor.control.relay.options import AttachmentConfig
from violetdoor.control.roster import Roster, relay_key


class RunningRelay:
    """One instance of a hollow relay, from its start to its end."""

    def __init__(self, relay: p.StubRelay, plan: p.HostPlan, key: bytes) -> None:
        controls = tuple((address.host, address.port) for address in plan.controls)
        attachment_plan = AttachmentConfig(
            relay.name, relay.address.host, relay.address.port, relay.zone, plan.region, controls
        )
        self.client = ControlClient(attachment_plan, key)
        self.client.start()
        self.attachment = self.client.attachment
        self.key: RelayKey = relay_key(self.attachment.relay)
        self.in_service = False  # it has been in its roster with a lease
        self.without_lease = False  # it was without a lease at the last look

    # What is looked at.

    def may_act(self, now: float) -> bool:
        """Whether it holds a lease."""
        return self.attachment.may_act(now)

    def owns(self, key: str, now: float) -> bool:
        """Whether it says that a key is its own."""
        return self.attachment.owns(key, now)

    @property
    def roster(self) -> Roster | None:
        """The roster that it knows."""
        return self.attachment.roster

    @property
    def in_own_roster(self) -> bool:
        roster = self.roster
        return roster is not None and roster.contains(self.key)

    def count_version(self, region: str) -> Version | None:
        """The version of its count of another region."""
        count = self.attachment.membership.region_counts.get(region)
        return None if count is None else count.version

    def counted_relays(self, region: str) -> int:
        """How many live in another region, by its count."""
        count = self.attachment.membership.region_counts.get(region)
        return 0 if count is None else sum(zone.relay_count for zone in count.zones)

    @property
    def connection(self) -> Connection[SessionResponse] | None:
        """The connection of its session, if one stands."""
        return self.client.connection

    def kernel_counts(self) -> Counts | None:
        """What the kernel has counted on its connection; None where it has none."""
        sock = None if self.connection is None else self.connection.socket
        if sock is None:
            return None
        try:
            return kernel_counts(sock)
        except OSError:
            return None

    def payload_counts(self) -> Counts:
        """What the connection's code has counted since this relay's start."""
        counts = self.client.counters
        return Counts(counts["bytes_out"], counts["bytes_in"], counts["writes"], counts["frames_in"])

    # Its end.

    def end(self, how: p.Ending) -> None:
        """End it: in order, with its process, or with its machine, of which nobody hears."""
        if how == "left":
            self.client.leave()
            self.client.abort(immediate=False)
            return
        if how == "silent":
            # The socket stays open, and what comes on it is dropped: nobody hears of the end.
            self.client.dialer.connection = None
        self.client.abort()
