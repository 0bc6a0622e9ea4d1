"""A control machine's copy of its region's roster, and whether leases may be granted under it."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

from violetdoor.control.delta_log import DeltaLog
from violetdoor.control.group import GroupState
from violetdoor.control.messages import Delta, GroupSnapshot, Relay, Version
from violetdoor.control.roster import Roster


class ApplyOutcome(Enum):
    """The result of applying a delta."""

    APPLIED = "applied"
    ALREADY_APPLIED = "already applied"  # the replica is at this version or a newer one
    GAP = "gap"  # the delta does not follow the replica's roster
    OTHER_TERM = "other term"  # the delta was not written in the current term


def is_newer_in_epoch(version: Version, other: Version) -> bool:
    """Return whether `version` is newer than `other`; False if their epochs differ."""
    return version.epoch == other.epoch and version > other


class Replica:
    """The newest roster known to this control machine, the deltas that led to it, and the settled version."""

    def __init__(self) -> None:
        """Start without a roster."""
        self.roster: Roster | None = None
        self.delta_log = DeltaLog()
        self.settled: Version | None = None
        self.reset_count = 0  # how often a roster replaced one that it did not follow
        # Epoch of the group and incarnation of this machine when the roster arrived.
        self._received_in_membership: tuple[int, int] | None = None

    @property
    def version(self) -> Version | None:
        """The roster's version; None without a roster."""
        return None if self.roster is None else self.roster.version

    def is_current(self, group: GroupState) -> bool:
        """Return whether the roster arrived in this machine's present membership of the group.

        Since then no version can have settled without this machine's acknowledgement, so leases may be
        granted under this roster.
        """
        return self._received_in_membership == (group.epoch, group.incarnation)

    def is_behind(self, version: Version | None) -> bool:
        """Return whether the replica is older than `version`, the version of a peer's roster."""
        return version is not None and self.version is not None and is_newer_in_epoch(version, self.version)

    def apply(self, delta: Delta, group: GroupState) -> ApplyOutcome:
        """Apply a delta from the leader of the current term."""
        if not self._is_from_term(delta.version, group):
            return ApplyOutcome.OTHER_TERM
        if self.version is not None and not is_newer_in_epoch(delta.version, self.version):
            if delta.version.epoch == self.version.epoch:
                return ApplyOutcome.ALREADY_APPLIED
            return ApplyOutcome.GAP
        if not self.apply_from_earlier_term(delta):
            return ApplyOutcome.GAP
        self._received_in_membership = (group.epoch, group.incarnation)
        return ApplyOutcome.APPLIED

    def apply_from_earlier_term(self, delta: Delta) -> bool:
        """Apply a delta that a new leader requested to catch up; return False if it does not follow."""
        if self.roster is None or not self.roster.apply(delta):
            return False
        self.delta_log.add(delta)
        return True

    def install_snapshot(self, snapshot: GroupSnapshot, group: GroupState) -> bool:
        """Install a complete roster of the current term; return False if the replica is newer."""
        if not self._is_from_term(snapshot.version, group):
            return False
        if self.version is not None and is_newer_in_epoch(self.version, snapshot.version):
            return False
        if snapshot.version != self.version:
            self.reset(snapshot.version, snapshot.members)
        self._received_in_membership = (group.epoch, group.incarnation)
        return True

    def reset(self, version: Version, members: Iterable[Relay]) -> None:
        """Replace the roster by one that does not follow it, and clear the delta log."""
        self.roster = Roster(version, members)
        self.delta_log.clear()
        self.reset_count += 1

    def advance_settled(self, version: Version | None) -> bool:
        """Advance the settled version to `version` unless it is as new; return whether it advanced."""
        if version is None or self.version is None:
            return False
        if version.epoch != self.version.epoch or version > self.version:
            return False
        settled = self.settled
        if settled is not None and settled.epoch == version.epoch and settled >= version:
            return False
        self.settled = version
        return True

    @staticmethod
    def _is_from_term(version: Version, group: GroupState) -> bool:
        return version.epoch == group.epoch and version.term == group.term
