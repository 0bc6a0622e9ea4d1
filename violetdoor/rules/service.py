"""Match rules as a service: compiled at the start and at each SIGHUP, replaced as a complete set."""

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
    """Return the rules to start with; raises ConfigError with the first fault and how many more there are."""
    try:
        return compile_blocking(source)
    except RulesCompilationError as err:
        first, *more = str(err).splitlines()
        others = f" (and {len(more)} more: violetdoor config check)" if more else ""
        raise ConfigError(first + others) from err


def _log_further_faults(text: str) -> None:
    """Log all faults but the first, which the error of the configuration names."""
    for line in text.splitlines()[1:]:
        log.error("rules: %s", line)


class RulesService(Service):
    """Keeps the rules in force; those to start with were compiled before the program started."""

    def __init__(self, host: ServiceHost) -> None:
        """Take the host's compiled rules over."""
        assert host.compiled_rules is not None
        self.rules = host.rules = ActiveRules(host.counters, host.compiled_rules)
        host.compiled_rules = None  # much memory, and of no use any more

    def check_config(self, new: Config) -> None:
        """Raise RestartRequiredError if a configuration has no rules."""
        if new.rules is None:
            raise RestartRequiredError(RestartRequiredChange.RULES_PRESENCE)

    def needs_preparation(self, new: Config, *, from_peer: bool) -> bool:
        """Whether rules are to be compiled: at every SIGHUP, which reads the files of sets again, too."""
        return new.rules is not None and not (from_peer and new.rules.has_same_rules(self.rules.source))

    async def prepare_config(self, new: Config, *, from_peer: bool) -> Config:
        """Compile the rules and put them in force; raises ConfigError if they do not compile."""
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
