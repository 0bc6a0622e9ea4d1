"""Distribution of the roster to sessions, as deltas or snapshots; it pauses for sessions that lag behind."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from violetdoor.control.delta_log import split_into_frames
from violetdoor.control.messages import RosterDeltas, SessionResponse, Version
from violetdoor.control.replica import Replica
from violetdoor.control.session import Session

# Maximum number of unacknowledged roster versions of a session, and of deltas sent in place of a snapshot.
MAX_IN_FLIGHT_DELTAS = 64
# Bytes queued for a session above which it is sent no roster.
ROSTER_BACKLOG_LIMIT_BYTES = 256 * 1024

# Messages that bring a session up to date, by its version; the sessions of one round share them.
Updates = dict[Version | None, list[SessionResponse]]


class RosterDistributor:
    """Sends sessions what they need to reach the version of the replica."""

    def __init__(
        self,
        replica: Replica,
        counters: Counter[str],
        send: Callable[[Session, SessionResponse], None],
    ) -> None:
        """Start before the first round; `counters` counts the snapshots and deltas sent."""
        self._replica = replica
        self._counters = counters
        self._send = send
        # The replica's version and reset count in the last round.
        self._distributed: tuple[Version | None, int] = (None, 0)

    def start_round(self) -> bool:
        """Return whether the roster differs from that of the last round, and start a new round if so."""
        current = (self._replica.version, self._replica.reset_count)
        if self._replica.roster is None or current == self._distributed:
            return False
        self._distributed = current
        return True

    def update(self, session: Session, updates: Updates) -> bool:
        """Send a session the missing updates, or pause it; `updates` caches the messages for other sessions.

        Returns False, and sends nothing, if the session attached with a newer roster than this machine's.
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
        """Return the messages that bring a roster of this version up to the newest version."""
        roster = self._replica.roster
        assert roster is not None
        deltas = None if version is None else self._replica.delta_log.since(version)
        if deltas is not None and len(deltas) <= MAX_IN_FLIGHT_DELTAS:
            self._counters["deltas"] += len(deltas)
            return [RosterDeltas(group) for group in split_into_frames(deltas)]
        self._counters["snapshots"] += 1
        return list(roster.snapshot_chunks())
