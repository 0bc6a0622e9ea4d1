"""The root command with `serve` and `demo`; each group of commands has its own module."""

from __future__ import annotations

from pathlib import Path

import click

from violetdoor.cli.config import config_group
from violetdoor.cli.control import control_group
from violetdoor.cli.exit_status import EXIT_STATUS_HELP, FILE_TYPE
from violetdoor.cli.faults import faults_group
from violetdoor.cli.fleet import fleet_group
from violetdoor.cli.rules import rules_group

HELP = """
A relay that places long-lived connections.

Without a command it starts the relay that BALANCER_CONFIG names; `violetdoor --config FILE` starts that
of an operator's file. Completion for bash: eval "$(_VIOLETDOOR_COMPLETE=bash_source violetdoor)", and
likewise zsh_source or fish_source.
"""


@click.group(help=HELP, epilog=EXIT_STATUS_HELP, context_settings={"help_option_names": ["-h", "--help"]})
def cli() -> None:
    """Group all commands; `--help` prints `HELP`."""


@cli.command(epilog=EXIT_STATUS_HELP)
@click.option(
    "--config", "path", type=FILE_TYPE, help="An operator's file, TOML or JSON; else BALANCER_CONFIG."
)
def serve(path: Path | None) -> int:
    """Start a relay and serve until SIGTERM."""
    from violetdoor.serve import serve as run_relay

    return run_relay(path)


@cli.command("demo", epilog=EXIT_STATUS_HELP)
@click.option(
    "--fault",
    type=click.Choice(["none", "hang", "cut"]),
    default="hang",
    show_default=True,
    help="What happens to the server that serves the client.",
)
@click.option("--seconds", type=click.FloatRange(3.0, 600.0), default=12.0, show_default=True)
def demo(fault: str, seconds: float) -> int:
    """Start two toy servers, a relay and a client together, let a server fail, and say what to look at.

    Keys while it runs, each with Enter: h, c and b let the serving server hang, cut its connections, and heal
    all.
    """
    from violetdoor.cli.demo import run

    return run(fault, seconds)


cli.add_command(config_group)
cli.add_command(control_group)
cli.add_command(faults_group)
cli.add_command(fleet_group)
cli.add_command(rules_group)
