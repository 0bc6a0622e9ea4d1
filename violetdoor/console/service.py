"""The operators' console as a service: it passes each call to the service that handles it."""

from __future__ import annotations

import asyncio
import logging
from http import HTTPStatus

from violetdoor.console.server import Answer, ConsoleServer
from violetdoor.services import Service, ServiceHost

log = logging.getLogger("violetdoor")


class ConsoleService(Service):
    """Listens at the configured address, and handles the calls for health and metrics itself."""

    def __init__(self, host: ServiceHost) -> None:
        """Listen at the configured address. Raises OSError."""
        self.host = host
        assert host.config.console is not None, "ConsoleService is created only if a console is configured"
        self.console = ConsoleServer(host.config.console, self.handle_request, host.counters)
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start accepting callers."""
        self.task = asyncio.get_running_loop().create_task(self.console.run())
        log.info("console on %s:%d", *self.console.address)

    async def stop(self) -> None:
        """Stop listening, and cancel the calls that are still open."""
        if self.task is not None:
            self.task.cancel()
            await self.console.close()

    def handle_request(self, method: str, path: str) -> Answer:
        """Pass a call to the services in turn until one answers it."""
        parts = path.split("/")[1:]
        for service in self.host.services:
            answer = service.handle_call(method, parts)
            if answer is not None:
                return answer
        return Answer(HTTPStatus.NOT_FOUND, "no such call\n")

    def handle_call(self, method: str, path: list[str]) -> Answer | None:
        """Handle `GET /healthcheck` and `GET /stats`."""
        match method, path:
            case "GET", ["healthcheck"]:
                host = self.host
                if host.is_serving and host.front.acceptor.is_accepting and not host.predecessor_may_accept:
                    return Answer(HTTPStatus.OK, "ok\n")
                return Answer(HTTPStatus.SERVICE_UNAVAILABLE, "takes no clients\n")
            case "GET", ["stats"]:
                return Answer(HTTPStatus.OK, self.host.metrics.format_statsd())
            case _, ["healthcheck" | "stats"]:
                return Answer(HTTPStatus.METHOD_NOT_ALLOWED, "another method is wanted\n")
        return None
