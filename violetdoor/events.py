"""The names of all events, one constant each, and the function that writes an event to the log.

An event is a log line with a name and values, written as plain text or, if the operator's file sets `log` to
"json", as JSON. `docs/oncall.md` lists every event, and a test compares that list with the constants here.
"""

from __future__ import annotations

import logging
from collections.abc import Sequence
from typing import TypeAlias

EventScalar: TypeAlias = str | int | float | bool | None
EventValue: TypeAlias = EventScalar | Sequence[EventScalar]

# The fleet. Values: see docs/operators/fleet-view.md.

# A view was installed.
FLEET_VIEW = "fleet.view"
# This relay holds a lease of its view.
FLEET_LEASE_ACQUIRED = "fleet.lease_acquired"
# This relay no longer holds a lease.
FLEET_LEASE_EXPIRED = "fleet.lease_expired"
# A new epoch of views started.
FLEET_FOUNDED = "fleet.founded"
# A restarted relay has read its view from its state file.
FLEET_VIEW_RESTORED = "fleet.view_restored"
# The other members took this relay out of the view.
FLEET_REMOVED = "fleet.removed"
# This relay left by its own decision.
FLEET_LEFT = "fleet.left"
# Another relay rejected this relay's attempt to join.
FLEET_JOIN_REJECTED = "fleet.join_rejected"
# The new process of an upgrade is the fleet's member from now on.
FLEET_HANDOVER_COMPLETED = "fleet.handover_completed"
# This process did not run for a while.
FLEET_PAUSE_DETECTED = "fleet.pause_detected"
# No lease under an earlier view can still be valid.
FLEET_PRIOR_LEASES_EXPIRED = "fleet.prior_leases_expired"

# The control plane of a large fleet. Values: see docs/operators/fleet-scale.md.

# This control machine is the leader and has written its term's first roster.
CONTROL_TERM_STARTED = "control.term_started"
# The leader recorded relays that joined or departed.
CONTROL_MEMBERS_CHANGED = "control.members_changed"
# This control machine holds a lease in its group and can grant leases.
CONTROL_QUORUM_ACQUIRED = "control.quorum_acquired"
# This control machine holds no lease in its group and grants none.
CONTROL_QUORUM_LOST = "control.quorum_lost"
# A session attempt was rejected.
CONTROL_SESSION_REJECTED = "control.session_rejected"
# This control machine closed a session because of the peer's behavior: its values include the reason.
CONTROL_SESSION_DROPPED = "control.session_dropped"
# This control machine started to follow another region.
CONTROL_REGION_FOLLOWED = "control.region_followed"
# This control machine no longer follows another region.
CONTROL_REGION_LOST = "control.region_lost"

# The relay's side of the control plane. Values: see docs/operators/fleet-scale.md.

# This relay opened a session with a control machine.
ATTACH_SESSION_OPENED = "attach.session_opened"
# The session with a control machine ended.
ATTACH_SESSION_LOST = "attach.session_lost"
# A control machine rejected a session.
ATTACH_REJECTED = "attach.rejected"
# This relay holds a lease.
ATTACH_LEASE_ACQUIRED = "attach.lease_acquired"
# This relay no longer holds a lease.
ATTACH_LEASE_EXPIRED = "attach.lease_expired"


class EventValues(dict[str, EventValue]):
    """The values of an event by name, in the order in which they are written."""

    def __str__(self) -> str:
        """Return the values as `name=value`, separated by spaces."""
        return " ".join(f"{name}={_format_value(value)}" for name, value in self.items())


def is_event(args: tuple[object, ...]) -> bool:
    """Return whether a log record with these arguments is an event, written by `emit`."""
    match args:
        case (_, EventValues()):
            return True
        case _:
            return False


def _format_value(value: EventValue) -> str:
    return ",".join(map(str, value)) if isinstance(value, (list, tuple)) else str(value)


def emit(log: logging.Logger, name: str, **values: EventValue) -> None:
    """Write one event to a log at level INFO."""
    log.info("%s %s", name, EventValues(values))
