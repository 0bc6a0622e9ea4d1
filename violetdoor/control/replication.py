"""The leader's replication of the roster to the other members of its view."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from violetdoor.control.messages import Delta, GroupMessage, GroupSnapshot, Replicate, Version
from violetdoor.control.replica import Replica

# Time after which missing updates are sent again to a member that has not acknowledged them.
RESEND_DELAY_SECONDS = 0.5


@dataclass(slots=True)
class FollowerProgress:
    """The replication progress of another member of the view."""

    known_version: Version | None = None  # the newest roster version that the member has
    acknowledged_version: Version | None = None  # of this term; it grants no leases under older rosters
    resend_at: float = math.inf  # infinite if nothing is unacknowledged


class Replication:
    """Replicates the roster to all followers in one term, and tracks their progress."""

    def __init__(
        self, followers: Iterable[str], replica: Replica, send: Callable[[str, GroupMessage], None]
    ) -> None:
        """Start without knowledge of the followers' versions; `send` sends a message to one of them."""
        self.progress = {member: FollowerProgress() for member in followers}
        self._replica = replica
        self._send = send

    def replicate(self, delta: Delta, now: float) -> None:
        """Send a new delta to all followers."""
        for member, progress in self.progress.items():
            self._send(member, Replicate(delta, self._replica.settled))
            progress.resend_at = min(progress.resend_at, now + RESEND_DELAY_SECONDS)

    def broadcast(self, message: GroupMessage) -> None:
        """Send a message to all followers once; it is not repeated if it gets lost."""
        for member in self.progress:
            self._send(member, message)

    def acknowledged(self, member: str, version: Version) -> bool:
        """Record that a follower has acknowledged `version`; return False if the member is no follower."""
        progress = self.progress.get(member)
        if progress is None:
            return False
        if progress.acknowledged_version is None or version > progress.acknowledged_version:
            progress.known_version = version
            progress.acknowledged_version = version
        if progress.acknowledged_version == self._replica.version:
            progress.resend_at = math.inf
        return True

    def acknowledged_by_all(self) -> Version | None:
        """Return the newest version that the leader and all followers have; None if there is none."""
        version = self._replica.version
        for progress in self.progress.values():
            if version is None or progress.acknowledged_version is None:
                return None
            version = min(version, progress.acknowledged_version)
        return version

    def resend(self, now: float) -> None:
        """Send missing updates again to the followers that have not acknowledged them in time."""
        for member, progress in self.progress.items():
            if now < progress.resend_at:
                continue
            progress.resend_at = now + RESEND_DELAY_SECONDS
            known = progress.acknowledged_version or progress.known_version
            deltas = None if known is None else self._replica.delta_log.since(known)
            if deltas is None:
                self.send_snapshot(member, now)
                continue
            for delta in deltas:
                self._send(member, Replicate(delta, self._replica.settled))

    def send_snapshot(self, member: str, now: float) -> None:
        """Send the complete roster to a follower."""
        roster = self._replica.roster
        assert roster is not None
        members = tuple(roster.members.values())
        self._send(member, GroupSnapshot(roster.version, self._replica.settled, members))
        self.progress[member].resend_at = now + RESEND_DELAY_SECONDS

    @property
    def next_resend_at(self) -> float:
        """The time at which `resend` has something to send; infinite if nothing is unacknowledged."""
        return min((progress.resend_at for progress in self.progress.values()), default=math.inf)
