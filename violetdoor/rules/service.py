"""Service for match rules: compiled at start and on each SIGHUP, replaced as a complete set."""

from __future__ import annotations

import logging
from http import HTTPStatus

from violetdoor.configuration.errors import ConfigError, RestartRequiredChange, RestartRequiredError
from violetdoor.configuration.relay_config import Config
from violetdoor.console.server import Answer
from violetdoor.rules.active_rules import ActiveRules
from violetdoor.rules.compiler import RulesCompilationError, compile_blocking, compile_in_background
from violetdoor.rules.source import CompiledRules, RulesSource
from violetdoor.services import Service, ServiceHost

log = logging.getLogger("violetdoor")


def compile_initial(source: RulesSource) -> CompiledRules:
    """Compile the initial rules; raises ConfigError with the first fault and the number of others."""
    try:
        return compile_blocking(source)
    except RulesCompilationError as err:
        first, *more = str(err).splitlines()
        others = f" (and {len(more)} more: violetdoor config check)" if more else ""
        raise ConfigError(first + others) from err


def _log_further_faults(text: str) -> None:
    """Log all faults except the first, which is in the ConfigError."""
    for line in text.splitlines()[1:]:
        log.error("further fault in the rules: %s", line)


class RulesService(Service):
    """Holds the active rules; the initial ones were compiled before the program started."""

    def __init__(self, host: ServiceHost) -> None:
        """Activate the host's compiled rules."""
        assert host.compiled_rules is not None
        self.rules = host.rules = ActiveRules(host.counters, host.compiled_rules)
        host.compiled_rules = None  # frees memory: they are not used again

    def check_config(self, new: Config) -> None:
        """Raise RestartRequiredError if the new configuration has no rules."""
        if new.rules is None:
            raise RestartRequiredError(RestartRequiredChange.RULES_PRESENCE)

    def needs_preparation(self, new: Config, *, from_peer: bool) -> bool:
        """Return whether to compile rules: on every SIGHUP, since set files may have changed, too."""
        return new.rules is not None and not (from_peer and new.rules.has_same_rules(self.rules.source))

    async def prepare_config(self, new: Config, *, from_peer: bool) -> Config:
        """Compile and activate the new rules; raises ConfigError if they do not compile."""
        if new.rules is None or not self.needs_preparation(new, from_peer=from_peer):
            return new
        try:
            compiled = await compile_in_background(new.rules)
        except (RulesCompilationError, OSError) as err:
            _log_further_faults(str(err))
            raise ConfigError(str(err).partition("\n")[0]) from err
        await self.rules.replace(compiled)
        return new.with_rules(compiled.source)

    def handle_call(self, method: str, path: list[str]) -> Answer | None:
        """Answer `GET /rules`."""
        if path != ["rules"]:
            return None
        if method != "GET":
            return Answer(HTTPStatus.METHOD_NOT_ALLOWED, "another method is wanted\n")
        return Answer(HTTPStatus.OK, self.rules.status_text())
