"""`violetdoor control`: run a control machine, or print the status of one."""

from __future__ import annotations

from http import HTTPStatus
from pathlib import Path
from typing import Any

import click
import orjson

from violetdoor.cli.exit_status import EXIT_STATUS_HELP, FILE_TYPE, fail
from violetdoor.cli.fleet import call_console


@click.group("control", invoke_without_command=True, epilog=EXIT_STATUS_HELP)
@click.option("--config", "path", type=FILE_TYPE, help="The control machine's file, TOML or JSON.")
@click.pass_context
def control_group(context: click.Context, path: Path | None) -> int:
    """Run one of a region's control machines until SIGTERM; or see one."""
    if context.invoked_subcommand is not None:
        return 0
    if path is None:
        fail("no file: give --config FILE, or a command: status")
    from violetdoor.control.program import run_control_machine

    return run_control_machine(path)


@control_group.command("status", epilog=EXIT_STATUS_HELP)
@click.option("--console", metavar="HOST:PORT", required=True, help="A control machine's console.")
@click.option("--json", "as_json", is_flag=True, help="All of it, as JSON.")
def status(console: str, *, as_json: bool) -> int:
    """Print a control machine's region and sessions; status 1 where it can grant no leases."""
    response = call_console("GET", "/control", console)
    if response.status != HTTPStatus.OK:
        fail(f"{console}: this is no control machine's console", 1)
    if as_json:
        click.echo(response.text.strip())
    state: dict[str, Any] = orjson.loads(response.text)
    if not as_json:
        for line in _status_lines(state):
            click.echo(line)
    return 0 if state["may_act"] else 1


def _status_lines(state: dict[str, Any]) -> list[str]:
    """Format a machine's state as lines; docs/operators/fleet-scale.md explains its keys."""
    role = "leads" if state["leads"] else f"follows {state['leader'] or 'nobody'}"
    grants = "grants leases" if state["may_act"] else "no lease in its group: grants none"
    lines = [
        f"{state['name']}: region {state['region']}, {role}, {grants}",
        f"roster {state['version'] or '-'}, settled {state['settled'] or '-'}, {state['living']} living; "
        f"here {state['sessions']} sessions, {state['watchers']} of other regions",
    ]
    for region in state["regions"]:
        connection = "followed"
        if not region["connected"]:
            connection = f"not reached, known of {region['age_s'] or '-'} s ago"
        lines.append(f"region {region['region']:12s} {region['living']:6d} living, {connection}")
    return lines
