"""Service for load shedding: the admission gate for fronts, and the meter that feeds its controller."""

from __future__ import annotations

from http import HTTPStatus

from violetdoor.configuration.relay_config import Config
from violetdoor.console.server import Answer
from violetdoor.overload.controller import OverloadController
from violetdoor.overload.gate import AdmissionGate
from violetdoor.overload.meter import FrontResources, LoadMeter
from violetdoor.services import Service, ServiceHost

BYTES_PER_MIB = 1 << 20


def _priority_weights(config: Config) -> dict[str, float]:
    classes = config.settings.classes
    return {name: request_class.priority_weight for name, request_class in classes.items()}


class OverloadService(Service):
    """Rejects requests before the relay is overloaded; requires an `overload` table in the configuration."""

    def __init__(self, host: ServiceHost) -> None:
        """Create the admission gate and register it at the host for the fronts."""
        assert host.config.overload is not None
        self.host = host
        self.options = host.config.overload
        controller = OverloadController(_priority_weights(host.config), self.options.cores)
        self.gate = AdmissionGate(controller, lambda: host.config.settings.max_retry_after_ms)
        host.gate = self.gate
        host.core.health_checks.should_defer = lambda: self.gate.defers_background_work
        self.meter: LoadMeter | None = None

    async def start(self) -> None:
        """Start the load meter."""
        front = self.host.front
        acceptor = front.acceptor
        resources = FrontResources(
            listener=acceptor.sock,
            descriptor_fraction=lambda: acceptor.descriptors_in_use() / acceptor.capacity,
            queued_fraction=self._queued_fraction,
            relieve_memory=front.relieve_memory,
            sibling_memory_bytes=lambda: float(acceptor.sibling_memory_bytes),
        )
        memory_limit_bytes = (self.options.memory_mb or 0.0) * BYTES_PER_MIB
        self.meter = LoadMeter(self.gate, resources, self.host.counters, memory_limit_bytes)

    def _queued_fraction(self) -> float:
        return self.host.front.queued_bytes() / (self.options.queued_mb * BYTES_PER_MIB)

    async def stop(self) -> None:
        """Stop the load meter."""
        if self.meter is not None:
            self.meter.close()

    def apply_config(self, new: Config) -> None:
        """Apply the priority weights of a configuration."""
        self.gate.set_priority_weights(_priority_weights(new))

    def handle_call(self, method: str, path: list[str]) -> Answer | None:
        """Answer `GET /overload`."""
        if path != ["overload"] or self.meter is None:
            return None
        if method != "GET":
            return Answer(HTTPStatus.METHOD_NOT_ALLOWED, "another method is wanted\n")
        return Answer(HTTPStatus.OK, self.meter.status_text())
