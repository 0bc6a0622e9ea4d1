"""The requests that peers send on their sessions."""

from __future__ import annotations

from violetdoor.control.actions import MergeEntries
from violetdoor.control.context import MachineContext
from violetdoor.control.messages import (
    MAX_ENTRY_KEY_BYTES,
    MAX_LOOKUP_KEY_CHARACTERS,
    MAX_MESSAGE_ENTRIES,
    Attach,
    Entries,
    Heartbeat,
    Leave,
    Lookup,
    LookupResponse,
    PutEntries,
    Resync,
    SessionRequest,
    Watch,
)
from violetdoor.control.regions import RegionFollowers
from violetdoor.control.replica import Replica
from violetdoor.control.roster import home_region
from violetdoor.control.session import Session
from violetdoor.control.sessions import Sessions
from violetdoor.fleet.messages import MapEntry


class SessionRequestHandler:
    """Dispatches requests, and answers those that are not about the session itself."""

    def __init__(
        self, context: MachineContext, replica: Replica, sessions: Sessions, regions: RegionFollowers
    ) -> None:
        """Handle requests of `sessions` with what `replica` and `regions` know."""
        self._context = context
        self._replica = replica
        self._sessions = sessions
        self._regions = regions

    def handle(self, session: Session, message: SessionRequest, now: float) -> None:
        """Handle one request; a session that sends one out of place is dropped."""
        sessions = self._sessions
        match message:
            case Attach() if not session.is_open:
                sessions.attach(session, message, self._regions.counts(now), now)
            case Watch() if not session.is_open:
                sessions.watch(session, message, now)
            case Heartbeat() if session.is_open:
                sessions.heartbeat(session, message, now)
            case Resync() if session.is_open:
                sessions.resync(session, now)
            case PutEntries() | Lookup() | Leave() if session.relay is not None:
                self._handle_of_relay(session, message, now)
            case _:
                sessions.drop(session, "unexpected", now)

    def _handle_of_relay(self, session: Session, message: PutEntries | Lookup | Leave, now: float) -> None:
        match message:
            case PutEntries():
                self._put(session, message, now)
            case Lookup() if len(message.key) <= MAX_LOOKUP_KEY_CHARACTERS:
                self._sessions.send(session, self._look_up(message))
            case Lookup():
                self._sessions.drop(session, "unexpected", now)
            case Leave():
                self._sessions.relay_left(session, now)

    def _put(self, session: Session, message: PutEntries, now: float) -> None:
        """Merge a relay's entries into the shared map, and send back those that are newer here."""
        if not _is_valid(message):
            self._sessions.drop(session, "put", now)
            return
        newer: list[MapEntry] = []
        outdated: list[MapEntry] = []
        for entry in message.entries:
            current = self._context.shared_map.entries.get(entry.key)
            if current is None or current.timestamp < entry.timestamp:
                newer.append(entry)
            elif current.timestamp > entry.timestamp:
                outdated.append(current)
        if newer:
            self._context.emit(MergeEntries(tuple(newer)))
        if outdated:
            self._sessions.send(session, Entries(tuple(outdated)))

    def _look_up(self, message: Lookup) -> LookupResponse:
        config = self._context.config
        region = home_region(message.key, config.regions)
        if region != config.region:
            return LookupResponse(message.number, region, self._regions.owner(region, message.key))
        roster = self._replica.roster
        owner = None if roster is None else roster.owner(message.key)
        return LookupResponse(message.number, region, owner)


def _is_valid(message: PutEntries) -> bool:
    entries = message.entries
    if len(entries) > MAX_MESSAGE_ENTRIES:
        return False
    return all(len(entry.key.encode()) <= MAX_ENTRY_KEY_BYTES for entry in entries)
