"""The settings of the line front; a module without sockets, so that the configuration can import it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class LineOptions:
    """The settings of the line front."""

    deadlines_ms: dict[str, float]  # by request class
    connect_timeout_seconds: float
    tenants: frozenset[str] = frozenset()  # empty: any tenant may connect
    groups_share_work: bool = True  # `g` is a group whose members share work; otherwise it is the client
    reports_load: bool = True  # LOAD lines report a connection's load
    reports_message_delay: bool = True  # LOAD lines report message delays
