"""The console's JSON for a relay's attachment (`GET /fleet`) and for a control machine (`GET /control`).

Operators' tools read the encoded names (docs/operators/fleet-scale.md), so these stay the same even if a
field is renamed here.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec
import orjson
from msgspec import Struct, field

from violetdoor.control.actions import RegionStatus
from violetdoor.control.relay.membership import FleetMemberCounts, RegionMemberCounts
from violetdoor.fleet.status import FleetStatus

if TYPE_CHECKING:
    from violetdoor.control.relay.client import ControlClient
    from violetdoor.control.server import ControlServer
    from violetdoor.net.addresses import Address

SECONDS_DECIMALS = 3  # decimal places of shown times


class RegionMembersView(Struct, frozen=True):
    """The number of living relays of one region."""

    total: int
    zones: dict[str, int]
    age_seconds: float | None = field(name="age_s")


class FleetMembersView(Struct, frozen=True):
    """The number of living relays of all regions."""

    total: int
    zones: dict[str, int]
    age_seconds: float | None = field(name="age_s")
    regions: dict[str, RegionMembersView]


class AttachmentView(Struct, frozen=True):
    """A relay's session, its lease, and its knowledge of the fleet."""

    name: str
    instance: str
    region: str
    state: str
    control_name: str | None = field(name="control")
    control_address: str | None = field(name="address")
    attempt: int
    version: str | None
    settled: str | None
    may_act: bool
    lease_remaining_seconds: float = field(name="lease_left_s")
    has_settled: bool = field(name="clear")
    idle_seconds: float | None = field(name="silent_s")
    rejection_reason: str | None = field(name="refused")
    member_counts: FleetMembersView = field(name="living")
    members: list[str]
    shared_entries: int = field(name="shared")
    shared_map_digest: str = field(name="map")
    counters: dict[str, int] = field(name="counts")


class RegionView(Struct, frozen=True):
    """A control machine's knowledge of another region."""

    region: str
    is_connected: bool = field(name="connected")
    version: str | None
    member_count: int = field(name="living")
    age_seconds: float | None = field(name="age_s")


class MachineView(Struct, frozen=True):
    """A control machine: its group, its sessions and its rosters."""

    name: str
    region: str
    leader: str | None
    is_leader: bool = field(name="leads")
    may_act: bool
    session_count: int = field(name="sessions")
    watcher_count: int = field(name="watchers")
    version: str | None
    settled: str | None
    member_count: int = field(name="living")
    regions: list[RegionView]
    counters: dict[str, int] = field(name="counts")
    connection_count: int = field(name="connections")
    handshake_count: int = field(name="handshakes")
    shared_entries: int = field(name="shared")
    group: FleetStatus


def attachment_view(client: ControlClient) -> AttachmentView:
    """Return the view of a relay's attachment."""
    attachment = client.attachment
    status = attachment.status(client.clock())
    roster = attachment.roster
    return AttachmentView(
        name=attachment.config.name,
        instance=f"{attachment.relay.instance:x}",
        region=attachment.config.region,
        state=status.state.value,
        control_name=status.control_name,
        control_address=_address_text(status.control_address),
        attempt=status.attempt,
        version=_text(status.version),
        settled=_text(status.settled),
        may_act=status.may_act,
        lease_remaining_seconds=round(status.lease_remaining_seconds, SECONDS_DECIMALS),
        has_settled=attachment.has_settled,
        idle_seconds=_seconds(status.idle_seconds),
        rejection_reason=status.rejection_reason,
        member_counts=_fleet_members_view(status.member_counts),
        members=[] if roster is None else sorted(roster.members),
        shared_entries=len(attachment.shared_map.entries),
        shared_map_digest=f"{attachment.shared_map.digest:016x}",
        counters=dict(status.counters) | dict(client.counters),
    )


def machine_view(server: ControlServer) -> MachineView:
    """Return the view of a control machine."""
    status = server.machine.status(server.clock())
    return MachineView(
        name=status.name,
        region=status.region,
        leader=status.leader,
        is_leader=status.is_leader,
        may_act=status.may_act,
        session_count=status.session_count,
        watcher_count=status.watcher_count,
        version=_text(status.version),
        settled=_text(status.settled),
        member_count=status.member_count,
        regions=[_region_view(region) for region in status.regions],
        counters=dict(status.counters) | dict(server.counters),
        connection_count=len(server.sessions),
        handshake_count=server.handshake_count,
        shared_entries=len(server.fleet.node.map.entries),
        group=server.fleet.status(),
    )


def console_json(view: AttachmentView | MachineView) -> str:
    """Encode a view as JSON text that ends with a newline."""
    return orjson.dumps(msgspec.to_builtins(view), option=orjson.OPT_INDENT_2).decode() + "\n"


def _fleet_members_view(counts: FleetMemberCounts) -> FleetMembersView:
    return FleetMembersView(
        total=counts.total,
        zones=dict(counts.by_zone),
        age_seconds=_seconds(counts.age_seconds),
        regions={name: _region_members_view(region) for name, region in counts.by_region.items()},
    )


def _region_members_view(counts: RegionMemberCounts) -> RegionMembersView:
    return RegionMembersView(counts.total, dict(counts.zones), _seconds(counts.age_seconds))


def _region_view(status: RegionStatus) -> RegionView:
    return RegionView(
        region=status.region,
        is_connected=status.is_connected,
        version=_text(status.version),
        member_count=status.member_count,
        age_seconds=_seconds(status.age_seconds),
    )


def _text(value: object) -> str | None:
    return None if value is None else str(value)


def _address_text(address: Address | None) -> str | None:
    return None if address is None else f"{address[0]}:{address[1]}"


def _seconds(value: float) -> float | None:
    """Return rounded seconds; None for an infinite time, which JSON can't represent."""
    return round(value, SECONDS_DECIMALS) if math.isfinite(value) else None
