"""Promises of the control plane, looked at over all processes of a `ControlWorld` at one true instant.

Those that are stopped are looked at, too: they may have asked just before, and act on the answer once they
go on.
"""

from __future__ import annotations

from dataclasses import dataclass

from violetdoor.control.leases import LEASE_SECONDS
from violetdoor.control.messages import Version
from violetdoor.control.relay.attachment import Attachment
from violetdoor.control.replica import is_newer_in_epoch
from violetdoor.faults.control_world import ControlWorld, Relay
from violetdoor.fleet.lease import MAX_CLOCK_DRIFT_FRACTION

LOOK_EVERY = 0.02  # s between two looks: what is wrong stays wrong for longer


@dataclass(slots=True, frozen=True)
class Violation:
    """A promise that a run broke."""

    seed: int
    at: float
    invariant: str
    description: str


class ControlChecks:
    """Looks at a world after its steps, and keeps the first promise that is broken."""

    def __init__(self, world: ControlWorld, seed: int, keys: tuple[str, ...]) -> None:
        self.world, self.seed, self.keys = world, seed, keys
        self.broken: Violation | None = None
        self.looked_at = -LOOK_EVERY
        self.ownerships_seen = 0  # times that a relay was seen to own a key
        self._versions: dict[tuple[str, int], Version] = {}  # by name of a relay and its process
        self._settled: dict[str, Version] = {}  # the newest by region

    def check_world(self) -> None:
        """Look at all promises, unless that was done just now."""
        if self.broken is not None or self.world.now < self.looked_at + LOOK_EVERY:
            return
        self.looked_at = self.world.now
        self._look_at_settled()
        owners: dict[str, str] = {}
        for relay in self.world.running():
            attachment = relay.attachment
            assert attachment is not None
            self._look_at_version(relay, attachment)
            self._look_at_lease(relay, attachment)
            self._look_at_owners(relay, attachment, owners)

    def _look_at_settled(self) -> None:
        """Note what has settled by the word of any control machine that runs."""
        for control in self.world.controls.values():
            settled = None if control.machine is None else control.machine.replica.settled
            known = self._settled.get(control.region)
            if settled is not None and (known is None or settled > known):
                self._settled[control.region] = settled

    def _look_at_version(self, relay: Relay, attachment: Attachment) -> None:
        """Versions of one line never go back at a relay."""
        if attachment.roster is None:
            return
        version, key = attachment.roster.version, (relay.name, relay.generation)
        before = self._versions.get(key)
        if before is not None and is_newer_in_epoch(before, version):
            self._break("versions", f"{relay.name} went from {before} back to {version}")
        self._versions[key] = version

    def _look_at_lease(self, relay: Relay, attachment: Attachment) -> None:
        """A lease ends 6 s after its heartbeat was sent; none is under a roster before the settled one."""
        if not attachment.may_act(self.world.relay_clock(relay)):
            return
        age = self.world.now - relay.beat_at
        if age > LEASE_SECONDS * (1 + MAX_CLOCK_DRIFT_FRACTION):
            self._break("lease", f"{relay.name} may act {age:.2f} s after its last heartbeat")
        settled = self._settled.get(relay.region)
        assert attachment.roster is not None
        version = attachment.roster.version
        if settled is not None and settled.epoch == version.epoch and version < settled:
            self._break("settled", f"{relay.name} may act under {version}, and {settled} has settled")

    def _look_at_owners(self, relay: Relay, attachment: Attachment, owners: dict[str, str]) -> None:
        """A key has one owner at a time."""
        now = self.world.relay_clock(relay)
        for key in self.keys:
            if not attachment.owns(key, now):
                continue
            self.ownerships_seen += 1
            other = owners.setdefault(key, relay.name)
            if other != relay.name:
                self._break("owners", f"{key} is acted on by {other} and {relay.name}")

    def _break(self, invariant: str, description: str) -> None:
        self.broken = self.broken or Violation(self.seed, round(self.world.now, 4), invariant, description)
