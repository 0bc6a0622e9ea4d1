"""Every role, in the page's order."""

from __future__ import annotations

from benchmarks.capacity import control_roles as control
from benchmarks.capacity import data_roles as data
from benchmarks.capacity.needs import Measured
from benchmarks.capacity.role import Role

ROLES = (
    data.connections, data.deliveries, data.decisions, control.listing, control.view, control.beyond_one_view,
    control.shared_map, control.owners, control.cold, control.console, control.control_machine, control.discovery,
    control.topics, control.together,
)  # fmt: skip


def all_roles(measured: Measured) -> list[Role]:
    """What each role needs."""
    return [make(measured) for make in ROLES]
