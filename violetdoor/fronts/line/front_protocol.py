"""The interface of the front that a session's parts use; `LineFront` implements it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    import socket
    from collections import deque

    from violetdoor.core import Controller, RequestHandle
    from violetdoor.fronts.line.connection_ids import ConnectionIds
    from violetdoor.fronts.line.load_note_classifier import LoadNoteClassifier
    from violetdoor.fronts.line.opening import Opening
    from violetdoor.fronts.line.options import LineOptions
    from violetdoor.net.acceptor import Acceptor
    from violetdoor.net.counters import Counters
    from violetdoor.net.metrics import Metrics
    from violetdoor.net.server_directory import ServerDirectory
    from violetdoor.overload.gate import AdmissionGate
    from violetdoor.rules.active_rules import ActiveRules


class Front(Protocol):
    """The front that accepted a session's client."""

    core: Controller
    directory: ServerDirectory
    counts: Counters
    metrics: Metrics
    options: LineOptions
    acceptor: Acceptor
    load_notes: LoadNoteClassifier
    connection_ids: ConnectionIds
    rules: ActiveRules | None
    gate: AdmissionGate | None
    shutdown_retry_after_ms: int  # Retry-After of clients that arrive during shutdown
    is_shutting_down: bool
    adopt_until_ms: float  # core clock; connections of an earlier run are adopted until then
    reconnected_at: deque[float]  # loop time, s: arrivals of clients with again=1
    established: set[RequestHandle]  # requests with an established connection

    @property
    def has_successor(self) -> bool:
        """Whether another process accepts this relay's clients."""

    def apply_rules(self, opening: Opening, sock: socket.socket) -> None:
        """Let the rules set a request's attributes; raise LineProtocolError."""
