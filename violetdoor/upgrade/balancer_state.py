"""The decision module's state in an upgrade's snapshot: from its own types to the snapshot's and back."""

from __future__ import annotations

from violetdoor.balancing.events import LearnedServerState, LearnedState, ServerEntry, ServerState
from violetdoor.upgrade.messages import EndpointSnapshot, LearnedServerSnapshot, LearnedSnapshot


def endpoint_snapshot(entry: ServerEntry) -> EndpointSnapshot:
    """Return one line of the server list as the snapshot has it."""
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
    """Return a snapshot's server as a line of the server list; ValueError for a state that does not exist."""
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
    """Return what the decision module has learned as the snapshot has it."""
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
    """Return what the predecessor had learned; its server list is handed over beside it."""
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
