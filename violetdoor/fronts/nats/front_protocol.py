"""The interface of the front that a session's parts use; `NatsFront` implements it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    import socket
    from collections.abc import Mapping

    from violetdoor.core import Controller
    from violetdoor.fronts.nats.frames import Frame
    from violetdoor.fronts.nats.message_ids import FirstDeliveries, RetentionBudget
    from violetdoor.fronts.nats.options import NatsOptions
    from violetdoor.net.acceptor import Acceptor
    from violetdoor.net.counters import Counters
    from violetdoor.net.metrics import Metrics
    from violetdoor.net.server_directory import ServerDirectory
    from violetdoor.overload.gate import AdmissionGate


@dataclass(slots=True, frozen=True)
class ClientIdentity:
    """The tenant, class, group and key of a client."""

    tenant: str
    request_class: str
    group: int | None = None
    idempotency_key: int | None = None


class Front(Protocol):
    """The front that accepted a session's client."""

    core: Controller
    directory: ServerDirectory
    counts: Counters
    metrics: Metrics
    acceptor: Acceptor
    gate: AdmissionGate | None
    options: NatsOptions
    deadlines_ms: Mapping[str, float]  # by request class
    retention_budget: RetentionBudget
    first_deliveries: FirstDeliveries
    is_shutting_down: bool

    @property
    def reads_first_operation(self) -> bool:
        """Whether the rules use the first operation after a CONNECT."""

    def info(self, client_id: int) -> bytes:
        """Return the INFO line for the client with this id."""

    def identify(
        self, connect: Mapping[str, Any], first: Frame | None, sock: socket.socket
    ) -> ClientIdentity:
        """Return a client's identity; raise ClientDeniedError if it is not admitted."""
