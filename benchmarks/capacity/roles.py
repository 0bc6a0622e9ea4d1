"""All roles, in the order of the page."""

from __future__ import annotations

from benchmarks.capacity import control_roles as control
from benchmarks.capacity import data_roles as data
from benchmarks.capacity.needs import Measured
from benchmarks.capacity.role import Role

ROLES = (
    data.connections, data.deliveries, data.decisions, control.server_list_watch, control.view, control.multi_view_membership,
    control.shared_map, control.owner_lookups, control.cold_server_shares, control.console, control.control_machine, control.discovery,
    control.topic_directory, control.all_control,
)  # fmt: skip


def all_roles(measured: Measured) -> list[Role]:
    """Return every role with its needs."""
    return [make(measured) for make in ROLES]
