"""Invariants of the control plane, checked across all processes of a `ControlWorld` at one virtual instant.

Stopped processes are checked, too: they may have verified their ownership just before they were stopped, and
act on the result once they resume.
"""

from __future__ import annotations

from dataclasses import dataclass

from violetdoor.control.leases import LEASE_SECONDS
from violetdoor.control.messages import Version
from violetdoor.control.relay.attachment import Attachment
from violetdoor.control.replica import is_newer_in_epoch
from violetdoor.faults.control_world import ControlWorld, Relay
from violetdoor.fleet.lease import MAX_CLOCK_DRIFT_FRACTION

CHECK_INTERVAL_SECONDS = 0.02  # of virtual time; violations last longer than this


@dataclass(slots=True, frozen=True)
class Violation:
    """A violated invariant and the run that shows it."""

    seed: int
    at: float  # virtual time in seconds
    invariant: str
    description: str


class ControlChecks:
    """Checks a world's invariants after its steps and keeps the first violation."""

    def __init__(self, world: ControlWorld, seed: int, keys: tuple[str, ...]) -> None:
        self.world, self.seed, self.keys = world, seed, keys
        self.broken: Violation | None = None
        self.checked_at = -CHECK_INTERVAL_SECONDS
        self.ownerships_seen = 0  # number of checks in which a relay owned a key
        self._versions_by_process: dict[tuple[str, int], Version] = {}  # by relay name and generation
        self._settled_by_region: dict[str, Version] = {}  # the newest settled version by region

    def check_world(self) -> None:
        """Check all invariants, at most once per interval."""
        if self.broken is not None or self.world.now < self.checked_at + CHECK_INTERVAL_SECONDS:
            return
        self.checked_at = self.world.now
        self._record_settled()
        owners: dict[str, str] = {}
        for relay in self.world.running():
            attachment = relay.attachment
            assert attachment is not None
            self._check_version(relay, attachment)
            self._check_lease(relay, attachment)
            self._check_owners(relay, attachment, owners)

    def _record_settled(self) -> None:
        """Record the newest version that any running control machine reports as settled."""
        for control in self.world.controls.values():
            settled = None if control.machine is None else control.machine.replica.settled
            known = self._settled_by_region.get(control.region)
            if settled is not None and (known is None or settled > known):
                self._settled_by_region[control.region] = settled

    def _check_version(self, relay: Relay, attachment: Attachment) -> None:
        """Check that roster versions of one epoch never go backwards at a relay."""
        if attachment.roster is None:
            return
        version, key = attachment.roster.version, (relay.name, relay.generation)
        previous = self._versions_by_process.get(key)
        if previous is not None and is_newer_in_epoch(previous, version):
            self._record_violation("versions", f"{relay.name} went from {previous} back to {version}")
        self._versions_by_process[key] = version

    def _check_lease(self, relay: Relay, attachment: Attachment) -> None:
        """Check that leases end 6 s after their heartbeat, and none is under an outdated roster."""
        if not attachment.may_act(self.world.relay_clock(relay)):
            return
        age = self.world.now - relay.heartbeat_sent_at
        if age > LEASE_SECONDS * (1 + MAX_CLOCK_DRIFT_FRACTION):
            self._record_violation(
                "lease", f"{relay.name} holds a lease {age:.2f} s after its last heartbeat"
            )
        settled = self._settled_by_region.get(relay.region)
        assert attachment.roster is not None
        version = attachment.roster.version
        if settled is not None and settled.epoch == version.epoch and version < settled:
            self._record_violation(
                "settled", f"{relay.name} holds a lease under {version}, but {settled} has settled"
            )

    def _check_owners(self, relay: Relay, attachment: Attachment, owners: dict[str, str]) -> None:
        """Check that a key has at most one owner at a time."""
        now = self.world.relay_clock(relay)
        for key in self.keys:
            if not attachment.owns(key, now):
                continue
            self.ownerships_seen += 1
            other = owners.setdefault(key, relay.name)
            if other != relay.name:
                self._record_violation("owners", f"{key} is owned by both {other} and {relay.name}")

    def _record_violation(self, invariant: str, description: str) -> None:
        self.broken = self.broken or Violation(self.seed, round(self.world.now, 4), invariant, description)
