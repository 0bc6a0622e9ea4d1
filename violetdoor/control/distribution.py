"""What each session is sent of the roster: deltas or a snapshot, and nothing while it is too far behind."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from violetdoor.control.delta_log import split_into_frames
from violetdoor.control.messages import RosterDeltas, SessionResponse, Version
from violetdoor.control.replica import Replica
from violetdoor.control.session import Session

# Deltas that a session may leave unacknowledged: with more to send it gets one snapshot.
MAX_IN_FLIGHT_DELTAS = 64
# Queued for a session above which no roster is added.
ROSTER_BACKLOG_LIMIT_BYTES = 256 * 1024

# Messages that bring a session up to date, by the version that it has: shared by the sessions of one round.
Updates = dict[Version | None, list[SessionResponse]]


class RosterDistributor:
    """Brings sessions up to the replica's version."""

    def __init__(
        self,
        replica: Replica,
        counters: Counter[str],
        send: Callable[[Session, SessionResponse], None],
    ) -> None:
        """Start with nothing distributed; snapshots and deltas are counted in `counters`."""
        self._replica = replica
        self._counters = counters
        self._send = send
        # Version and count of resets of the roster that all sessions were offered last.
        self._distributed: tuple[Version | None, int] = (None, 0)

    def start_round(self) -> bool:
        """Return whether the roster is another one than in the last round."""
        current = (self._replica.version, self._replica.reset_count)
        if self._replica.roster is None or current == self._distributed:
            return False
        self._distributed = current
        return True

    def update(self, session: Session, updates: Updates) -> bool:
        """Send a session what it lacks, or pause it; `updates` keeps the messages for other sessions.

        Returns False, and sends nothing, to a session that attached with a newer roster than this machine's.
        """
        version = self._replica.version
        if version is None or session.sent_version == version:
            session.is_roster_paused = False
            return True
        if self._replica.is_behind(session.version_at_attach):
            return False
        unacknowledged = len(session.in_flight_versions)
        if unacknowledged >= MAX_IN_FLIGHT_DELTAS or session.backlog_bytes > ROSTER_BACKLOG_LIMIT_BYTES:
            session.is_roster_paused = True
            return True
        if session.sent_version not in updates:
            updates[session.sent_version] = self._messages_since(session.sent_version)
        for message in updates[session.sent_version]:
            self._send(session, message)
        session.sent_version = version
        session.version_at_attach = None
        session.is_roster_paused = False
        session.in_flight_versions.append(version)
        return True

    def _messages_since(self, version: Version | None) -> list[SessionResponse]:
        """Return what brings a roster of this version up to the newest one."""
        roster = self._replica.roster
        assert roster is not None
        deltas = None if version is None else self._replica.delta_log.since(version)
        if deltas is not None and len(deltas) <= MAX_IN_FLIGHT_DELTAS:
            self._counters["deltas"] += len(deltas)
            return [RosterDeltas(group) for group in split_into_frames(deltas)]
        self._counters["snapshots"] += 1
        return list(roster.snapshot_chunks())
