"""Start one relay and serve until it is stopped: the steps before the event loop, and the exit status."""

from __future__ import annotations

from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

import uvloop

from violetdoor.configuration.relay_config import Config
from violetdoor.configuration.sources import ConfigSource, config_source
from violetdoor.program import Program
from violetdoor.startup import LogOutput, run_program
from violetdoor.upgrade.predecessor import InheritedState, handover_socket_path, request_handover

if TYPE_CHECKING:  # not imported at run time, since the platform's relay does not use it
    from violetdoor.rules.source import CompiledRules


def serve(path: Path | None) -> int:
    """Run a relay until it is stopped; return the exit status.

    `path` is an operator's file; None starts a relay of the platform. If the configuration is invalid or the
    relay can't start, one line is printed on standard error and the status is 2.
    """
    return run_program(partial(_serve, path))


def _serve(path: Path | None, log_output: LogOutput) -> None:
    program = _create_program(config_source(path), log_output)
    uvloop.run(program.run())


def _create_program(source: ConfigSource, log_output: LogOutput) -> Program:
    """Read the configuration, from a predecessor if there is one, and set the relay up."""
    path = handover_socket_path(source.listen_address())
    predecessor = request_handover(path) if path else None
    config = source.load(_inherited_config(predecessor))
    log_output.use_format(config.log_format)
    compiled_rules = _compile_rules(config)
    if compiled_rules is not None:
        config = config.with_rules(compiled_rules.source)
    program = Program(config, source, log_output.limit, path, predecessor)
    program.compiled_rules = compiled_rules
    return program


def _inherited_config(predecessor: InheritedState | None) -> bytes:
    """Return the predecessor's current configuration (JSON); empty without a predecessor."""
    return predecessor.snapshot.config.encode() if predecessor else b""


def _compile_rules(config: Config) -> CompiledRules | None:
    """Compile the match rules if there are any; raises ConfigError, so that faulty rules abort the start."""
    if config.rules is None:
        return None
    from violetdoor.rules.service import compile_initial

    return compile_initial(config.rules)
