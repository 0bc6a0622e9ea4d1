"""The services that a configuration needs. Each is imported only if the configuration needs it."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from violetdoor.configuration.relay_config import Config
from violetdoor.services import Front, Service, ServiceHost

ServiceFactory = Callable[[ServiceHost], Service]


def services_before_front(config: Config) -> Iterator[ServiceFactory]:
    """Yield the optional services that start before clients are accepted, in the order of their start."""
    if config.rules is not None:
        from violetdoor.rules.service import RulesService

        yield RulesService
    if config.overload is not None:
        from violetdoor.overload.service import OverloadService

        yield OverloadService
    if config.fleet is not None:
        from violetdoor.fleet.service import FleetService

        yield FleetService
    if config.control is not None:
        from violetdoor.control.service import ControlService

        yield ControlService


def front_factory(config: Config) -> Callable[[ServiceHost], Front]:
    """Return the factory of the configured front, which accepts clients."""
    if config.front == "line":
        from violetdoor.fronts.line.service import LineService

        return LineService
    from violetdoor.fronts.nats.service import NatsService

    return NatsService


def services_after_front(config: Config) -> Iterator[ServiceFactory]:
    """Yield the optional services that start once clients are accepted, in the order of their start."""
    if config.console is not None:
        from violetdoor.console.service import ConsoleService

        yield ConsoleService
