"""Conversion of the decision module's state to and from the types of an upgrade's snapshot."""

from __future__ import annotations

from violetdoor.balancing.events import LearnedServerState, LearnedState, ServerEntry, ServerState
from violetdoor.upgrade.messages import EndpointSnapshot, LearnedServerSnapshot, LearnedSnapshot


def endpoint_snapshot(entry: ServerEntry) -> EndpointSnapshot:
    """Convert a server list entry to its snapshot form."""
    return EndpointSnapshot(
        name=entry.name,
        zone=entry.zone,
        machine_type=entry.machine_type,
        cell=entry.cell,
        state=entry.state.value,
        weight=entry.weight,
        started_at_ms=entry.started_at_ms,
    )


def server_entry(endpoint: EndpointSnapshot) -> ServerEntry:
    """Convert a snapshot's server to a server list entry; raises ValueError for an unknown state."""
    return ServerEntry(
        name=endpoint.name,
        zone=endpoint.zone,
        machine_type=endpoint.machine_type,
        cell=endpoint.cell,
        state=ServerState(endpoint.state),
        weight=endpoint.weight,
        started_at_ms=endpoint.started_at_ms,
    )


def learned_snapshot(learned: LearnedState) -> LearnedSnapshot:
    """Convert the decision module's learned state to its snapshot form."""
    servers = tuple(
        LearnedServerSnapshot(
            name=server.name,
            started_at_ms=server.started_at_ms,
            load=server.load,
            reported_at_ms=server.reported_at_ms,
            health=server.health,
            smoothed_setup_ms=server.smoothed_setup_ms,
            min_health_check_ms=server.min_health_check_ms,
        )
        for server in learned.servers
    )
    return LearnedSnapshot(
        fleet_load=learned.fleet_load,
        load_per_weight=learned.load_per_weight,
        min_setup_ms=learned.min_setup_ms,
        timeout_fraction=learned.timeout_fraction,
        servers=servers,
    )


def learned_state(snapshot: LearnedSnapshot) -> LearnedState:
    """Convert a snapshot to the learned state; the server list is handed over separately."""
    servers = tuple(
        LearnedServerState(
            name=server.name,
            started_at_ms=server.started_at_ms,
            load=server.load,
            reported_at_ms=server.reported_at_ms,
            health=server.health,
            smoothed_setup_ms=server.smoothed_setup_ms,
            min_health_check_ms=server.min_health_check_ms,
        )
        for server in snapshot.servers
    )
    return LearnedState(
        fleet_load=snapshot.fleet_load,
        load_per_weight=snapshot.load_per_weight,
        min_setup_ms=snapshot.min_setup_ms,
        timeout_fraction=snapshot.timeout_fraction,
        servers=servers,
    )
