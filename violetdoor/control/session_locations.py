"""The leader's table of which control machine has each relay's session, built from the members' reports."""

from __future__ import annotations

import math
from dataclasses import dataclass

from violetdoor.control.messages import Relay, RelayKey, SessionEnded, SessionOpened
from violetdoor.control.pending_changes import PendingChanges
from violetdoor.control.replica import Replica
from violetdoor.control.roster import relay_key

# Time in which a relay whose connection closed may attach again before it is removed from the roster.
REATTACH_GRACE_SECONDS = 2.0
# The same for a relay whose control machine has left the view: the relay needs 2 s to notice.
ORPHAN_GRACE_SECONDS = 4.0
# Time for which an ended session is remembered, so that a late report of its start is ignored.
ENDED_RETENTION_SECONDS = 60.0


@dataclass(slots=True)
class SessionLocation:
    """The control machine at which a relay of the roster has its session."""

    relay: Relay
    member: str | None  # name of the control machine; None: no member has reported a session
    attempt: int = 0  # number of the session, by the relay's count
    removed_at: float = math.inf  # when the relay is removed unless it attaches again; infinite: not planned


@dataclass(frozen=True, slots=True)
class EndedSession:
    """The newest attempt of a relay's run whose session has ended."""

    attempt: int
    retained_until: float


class SessionLocations:
    """The relays' session locations; the joins and departures that follow are collected in `pending`."""

    def __init__(self, replica: Replica) -> None:
        """Start without sessions; `replica` has the roster to which the pending changes apply."""
        self.by_name: dict[str, SessionLocation] = {}
        self.pending = PendingChanges()
        self._replica = replica
        self._departing: dict[str, None] = {}  # ordered set of the relays whose removal is planned, by name
        self._ended: dict[RelayKey, EndedSession] = {}

    def orphan_all(self, now: float) -> None:
        """Add all relays of the roster without a session; each is removed unless one is reported in time."""
        roster = self._replica.roster
        if roster is None:
            return
        for relay in roster.members.values():
            self.by_name[relay.name] = SessionLocation(relay, None, removed_at=now + ORPHAN_GRACE_SECONDS)
            self._departing[relay.name] = None

    def session_opened(self, member: str, session: SessionOpened, now: float) -> bool:
        """Record a session at a member; return False if another run of a relay of its name is alive."""
        relay = session.relay
        ended = self._ended.get(relay_key(relay))
        if ended is not None and session.attempt <= ended.attempt:
            return True  # the report of the session's end arrived before this one
        previous = self.by_name.get(relay.name)
        is_same_run = previous is not None and previous.relay.instance == relay.instance
        if previous is not None:
            if is_same_run and session.attempt < previous.attempt:
                return True
            if not is_same_run and previous.removed_at == math.inf and previous.member != member:
                return False
        self.by_name[relay.name] = SessionLocation(relay, member, session.attempt)
        self._departing.pop(relay.name, None)
        if is_same_run:
            return True
        if previous is not None:
            self.pending.record_departed(relay_key(previous.relay), self._replica.roster, now)
        self.pending.record_joined(relay, self._replica.roster, now)
        return True

    def session_ended(self, member: str, session: SessionEnded, now: float) -> None:
        """Record the end of a session, and plan the relay's removal unless it has a newer one."""
        previous = self._ended.get(session.key)
        attempt = session.attempt if previous is None else max(previous.attempt, session.attempt)
        self._ended[session.key] = EndedSession(attempt, now + ENDED_RETENTION_SECONDS)
        location = self.by_name.get(session.key.name)
        if location is None or relay_key(location.relay) != session.key:
            return
        if location.member not in (None, member) or session.attempt < location.attempt:
            return
        grace_seconds = REATTACH_GRACE_SECONDS if session.reason == "closed" else 0.0
        location.removed_at = min(location.removed_at, now + grace_seconds)
        self._departing[session.key.name] = None

    def remove_expired(self, now: float) -> None:
        """Remove the relays whose removal is due, and the records of sessions that ended long ago."""
        for name in list(self._departing):
            location = self.by_name[name]
            if now >= location.removed_at:
                del self.by_name[name]
                del self._departing[name]
                self.pending.record_departed(relay_key(location.relay), self._replica.roster, now)
        for key in [key for key, ended in self._ended.items() if now >= ended.retained_until]:
            del self._ended[key]

    @property
    def next_removal_at(self) -> float:
        """When the next relay is to be removed; infinite if no removal is planned."""
        return min((self.by_name[name].removed_at for name in self._departing), default=math.inf)

    def postpone_removals(self, earliest: float) -> None:
        """Postpone all planned removals to `earliest` or later."""
        for name in self._departing:
            location = self.by_name[name]
            location.removed_at = max(location.removed_at, earliest)
