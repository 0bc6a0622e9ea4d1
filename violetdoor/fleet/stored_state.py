"""State of a relay that outlives its process: stored in a file, or handed over to an upgrade's new process.

It is encoded as msgpack arrays like the wire messages (`violetdoor.fleet.messages`), so the order of the
fields is the format.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct

from violetdoor.fleet.messages import HybridTimestamp, MapEntry
from violetdoor.fleet.view import Peer, View, ViewChange, ViewId


class DurableState(Struct, frozen=True, array_like=True):
    """State that must survive a restart of a relay: its view, and its votes on the successor of this view."""

    view: View
    promised_ballot: int = -1
    accepted_ballot: int = -1
    accepted_change: ViewChange | None = None


class JoinedRound(Struct, frozen=True, array_like=True):
    """A heartbeat round, and when the relay joined it in s of the machine's monotonic clock."""

    number: int
    joined_at: float


class LeaseState(Struct, frozen=True, array_like=True):
    """State of a `Lease`. Times are in s of the machine's monotonic clock."""

    expires_at: float
    not_before: float
    frozen: bool
    round_number: int
    starter: int
    joined: bytes
    joined_previous: bytes
    joined_rounds: tuple[JoinedRound, ...]
    round_observed_at: float


class PriorView(Struct, frozen=True, array_like=True):
    """An earlier view whose leases may still be valid, None if unknown, and when it was replaced."""

    view: View | None
    replaced_at: float


class SenderWindow(Struct, frozen=True, array_like=True):
    """The highest sequence number received from one instance of a relay."""

    name: str
    instance: int
    max_sequence: int


class Readmission(Struct, frozen=True, array_like=True):
    """A process that was removed from the view, and when it was readmitted; -inf if it was not."""

    name: str
    process: int
    readmitted_at: float


class ReportedView(Struct, frozen=True, array_like=True):
    """The newest view that a member reported to have installed."""

    name: str
    view: ViewId


class HandoverState(Struct, frozen=True, array_like=True):
    """Complete state of a member, for the process that succeeds it on the same machine."""

    process: int
    local_peer: Peer
    state: str  # the value of a MemberState
    started_at: float
    durable_state: DurableState | None
    latest_view: View | None
    last_epoch: int
    last_seq: int
    lease: LeaseState | None
    last_heartbeat_at: float
    prior_views: tuple[PriorView, ...]
    has_lease: bool
    incarnation: int
    packet_count: int
    entries: tuple[MapEntry, ...]
    clock: HybridTimestamp
    replay_windows: tuple[SenderWindow, ...]
    readmissions: tuple[Readmission, ...]
    departed_instances: tuple[int, ...]
    reported_views: tuple[ReportedView, ...]
    ended_members: tuple[str, ...]
    leaving_members: tuple[str, ...]


handover_state_decoder = msgspec.msgpack.Decoder(HandoverState)
durable_state_decoder = msgspec.msgpack.Decoder(DurableState)
