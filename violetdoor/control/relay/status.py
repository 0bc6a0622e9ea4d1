"""The state of a relay's session, and its status for operators."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from violetdoor.control.actions import Address
from violetdoor.control.messages import Version
from violetdoor.control.relay.membership import FleetMemberCounts


class AttachmentState(Enum):
    """The phase of the session; the console shows the value."""

    WAITING = "waiting"
    CONNECTING = "connecting"
    ATTACHING = "attaching"
    ATTACHED = "attached"
    LEFT = "left"


class SessionFailure(Enum):
    """Why a session or an attempt to open one failed; the value is part of the counter name `lost_...`."""

    CONNECTION_REFUSED = "refused"
    CONNECTION_CLOSED = "closed"
    NO_ANSWER = "no answer"
    UNRESPONSIVE = "silent"
    NO_LEASE = "no lease"
    PROTOCOL_ERROR = "spoilt"


@dataclass(frozen=True, slots=True)
class AttachmentStatus:
    """The status of a relay's session for operators."""

    state: AttachmentState
    control_name: str | None  # of the session's control machine; None without a session
    control_address: Address | None  # of the control machine of the session or attempt; None without either
    attempt: int
    version: Version | None
    settled: Version | None
    member_counts: FleetMemberCounts
    may_act: bool
    lease_remaining_seconds: float
    idle_seconds: float  # since the last message of a control machine; infinite before the first
    rejection_reason: str | None  # of the last rejected attach; None once a session was opened after it
    # `connects`, `attaches`, `refused_WHY`, `lost_WHY`, `snapshots`, `deltas`, ...
    counters: Mapping[str, int]
