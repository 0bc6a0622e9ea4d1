"""One session at a control machine, and what was sent on it."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from violetdoor.control.messages import Relay, Version


@dataclass(eq=False, slots=True)
class Session:
    """A connection; it is a session of a relay or of a watching control machine once it was welcomed."""

    number: int  # the driver's, never reused
    source: str  # the peer's address, for events
    last_received_at: float
    relay: Relay | None = None
    attempt: int = 0
    watcher_name: str | None = None  # name of the control machine that watches this region
    sent_version: Version | None = None  # the roster that the peer has once it has read everything
    version_at_attach: Version | None = None  # the roster that it had before
    in_flight_versions: deque[Version] = field(default_factory=deque)  # sent, and not acknowledged
    backlog_bytes: int = 0  # queued for the peer
    is_roster_paused: bool = False  # no roster is sent until the peer's next heartbeat

    @property
    def is_open(self) -> bool:
        """Whether the peer was welcomed."""
        return self.relay is not None or self.watcher_name is not None

    def acknowledge(self, version: Version | None) -> None:
        """Note that the peer has applied all rosters up to `version`."""
        while version is not None and self.in_flight_versions:
            first = self.in_flight_versions[0]
            if first.epoch == version.epoch and first > version:
                break
            self.in_flight_versions.popleft()
