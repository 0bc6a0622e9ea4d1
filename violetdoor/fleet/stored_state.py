"""State of a relay that outlives its process: in a file, and handed over to an upgrade's new process.

Msgpack arrays as on the wire (`violetdoor.fleet.messages`): the order of the fields is the format.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct

from violetdoor.fleet.messages import HybridTimestamp, MapEntry
from violetdoor.fleet.view import Peer, View, ViewChange, ViewId


class DurableState(Struct, frozen=True, array_like=True):
    """What a relay must remember when it restarts: its view, and what it has promised about the next one."""

    view: View
    promised_ballot: int = -1
    accepted_ballot: int = -1
    accepted_change: ViewChange | None = None


class JoinedRound(Struct, frozen=True, array_like=True):
    """When a relay joined a round of heartbeats."""

    number: int
    joined_at: float


class LeaseState(Struct, frozen=True, array_like=True):
    """Where a relay stands in its view's rounds of heartbeats; times of the machine's monotonic clock."""

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
    """A view whose leases may still hold, None where it is not known, and when the next was installed."""

    view: View | None
    replaced_at: float


class SenderWindow(Struct, frozen=True, array_like=True):
    """The highest sequence number that was received from one instance of a relay."""

    name: str
    instance: int
    max_sequence: int


class Readmission(Struct, frozen=True, array_like=True):
    """A process that was removed from the view, and when it joined again; -inf where it did not."""

    name: str
    process: int
    readmitted_at: float


class ReportedView(Struct, frozen=True, array_like=True):
    """The view that a member last said it stands at."""

    name: str
    view: ViewId


class HandoverState(Struct, frozen=True, array_like=True):
    """All that makes a relay the member that it is, for the process that succeeds it on this machine."""

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
