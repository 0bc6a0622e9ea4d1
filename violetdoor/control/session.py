"""The state of one session at a control machine."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from violetdoor.control.messages import Relay, Version


@dataclass(eq=False, slots=True)
class Session:
    """A connection that becomes the session of a relay, or of a watching control machine, with `Welcome`."""

    number: int  # assigned by the driver, never reused
    source: str  # the peer's address, for events
    last_received_at: float
    relay: Relay | None = None  # None: not a relay's session
    attempt: int = 0  # number of the relay's session, by its own count
    watcher_name: str | None = None  # the control machine that watches this region; None: not a watcher
    sent_version: Version | None = None  # the roster that the peer has once it has read all messages
    version_at_attach: Version | None = None  # the roster that it had before; None once it was sent another
    in_flight_versions: deque[Version] = field(default_factory=deque)  # sent but not acknowledged
    backlog_bytes: int = 0  # queued for the peer
    is_roster_paused: bool = False  # no roster is sent before the peer's next heartbeat

    @property
    def is_open(self) -> bool:
        """Whether the session was opened with `Welcome`."""
        return self.relay is not None or self.watcher_name is not None

    def acknowledge(self, version: Version | None) -> None:
        """Record that the peer has applied all rosters up to `version`."""
        while version is not None and self.in_flight_versions:
            first = self.in_flight_versions[0]
            if first.epoch == version.epoch and first > version:
                break
            self.in_flight_versions.popleft()
