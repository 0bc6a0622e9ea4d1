"""`violetdoor fleet`: print a relay's state of its fleet, leave the fleet, or force it to go on."""

from __future__ import annotations

import http.client
from collections.abc import Callable
from http import HTTPStatus
from pathlib import Path
from typing import Any, NamedTuple, TypeVar

import click
import orjson

from violetdoor.cli.exit_status import EXIT_STATUS_HELP, FILE_TYPE, fail
from violetdoor.configuration.errors import ConfigError
from violetdoor.configuration.files import read_table

CONSOLE_TIMEOUT_SECONDS = 3.0  # for each step of a call: connecting, sending, receiving

Callback = TypeVar("Callback", bound=Callable[..., int])


class ConsoleResponse(NamedTuple):
    """A console's response to a call."""

    status: int  # HTTP status
    text: str


def _console_options(command: Callback) -> Callback:
    console = click.option("--console", metavar="HOST:PORT", help="A relay's console.")
    path = click.option("--config", "path", type=FILE_TYPE, help="Or the operator's file that names it.")
    return console(path(command))


def call_console(
    method: str, call: str, console: str | None, config_path: Path | None = None
) -> ConsoleResponse:
    """Call the console at HOST:PORT, or, if `console` is None, the one that an operator's file names.

    Prints the reason and exits with status 2 if no console is given or none responds.
    """
    if console is None and config_path is not None:
        try:
            console = read_table(config_path).get("console")
        except ConfigError as error:
            fail(str(error))
    if not console:
        fail("no console: give --console HOST:PORT, or --config FILE whose file has one")
    connection = http.client.HTTPConnection(str(console), timeout=CONSOLE_TIMEOUT_SECONDS)
    try:
        connection.request(method, call)
        response = connection.getresponse()
        return ConsoleResponse(response.status, response.read().decode())
    except (OSError, http.client.HTTPException) as error:
        fail(f"{console}: {error or type(error).__name__}")
    finally:
        connection.close()


def _fleet_state(console: str | None, path: Path | None) -> dict[str, Any]:
    """Return a relay's state of the fleet; docs/operators/fleet-view.md explains its keys."""
    response = call_console("GET", "/fleet", console, path)
    if response.status != HTTPStatus.OK:
        fail("this relay is in no fleet: its file has no [fleet] table", 1)
    state: dict[str, Any] = orjson.loads(response.text)
    return state


@click.group("fleet", epilog=EXIT_STATUS_HELP)
def fleet_group() -> None:
    """See the fleet as one of its relays does, and act on it."""


@fleet_group.command("view", epilog=EXIT_STATUS_HELP)
@_console_options
def show_view(console: str | None, path: Path | None) -> int:
    """Print the view that a relay stands at; status 1 where it holds no lease."""
    state = _fleet_state(console, path)
    may_act = state["may_act"]
    lease = "no lease: it does nothing that is one relay's to do"
    if may_act:
        lease = f"lease holds for {state['lease_left_s']:.1f} s"
    if "region" in state:
        session = f"attached to {state['control']}" if state["state"] == "attached" else state["state"]
        roster = f"roster {state['version'] or '-'}, {state['living']['total']} relays live"
        click.echo(f"{state['name']}: region {state['region']}, {session}, {roster}, {lease}")
    else:
        view = f"view {state['view']} {state['digest']}, {state['size']} members"
        click.echo(f"{state['name']}: {state['standing']}, {view}, {lease}")
    return 0 if may_act else 1


@fleet_group.command("members", epilog=EXIT_STATUS_HELP)
@_console_options
def members(console: str | None, path: Path | None) -> int:
    """Print who is in the view, and how each is from here."""
    state = _fleet_state(console, path)
    if "region" in state:  # attached: only the control machines know the health of the other relays
        for name in state["members"]:
            click.echo(name)
        return 0
    for member in state["members"]:
        last_received = "" if member["heard_s"] is None else f"heard {member['heard_s']:.1f} s ago"
        location = f"{member['address']:22s} {member['zone'] or '-':12s}"
        health = f"{member['health']:8s} since /{member['since']}"
        click.echo(f"{member['name']:20s} {location} {health}  {last_received}")
    return 0


@fleet_group.command("leave", epilog=EXIT_STATUS_HELP)
@_console_options
def leave(console: str | None, path: Path | None) -> int:
    """Let a relay leave its fleet; it serves on, alone."""
    response = call_console("PUT", "/fleet/leave", console, path)
    click.echo(response.text.strip())
    return 0 if response.status == HTTPStatus.OK else 1


@fleet_group.command("force", epilog=EXIT_STATUS_HELP)
@_console_options
@click.option("--yes", is_flag=True, help="Don't ask whether the others are surely gone.")
def force(console: str | None, path: Path | None, *, yes: bool) -> int:
    """Go on with the relays that are reached, though most of the view is gone for good.

    Refused while a majority is reached. Only for a majority that will not come back: relays of it that still
    run somewhere go on by themselves, and both sides act.
    """
    state = _fleet_state(console, path)
    if "region" in state:
        fail(f"{state['name']} is attached: a majority of its control machines decides", 1)
    if not yes:
        unreachable = [
            member["name"] for member in state["members"] if member["health"] not in ("self", "alive")
        ]
        click.confirm(
            f"Are these relays surely stopped: {', '.join(unreachable) or 'none'}?", abort=True, err=True
        )
    response = call_console("PUT", "/fleet/force", console, path)
    click.echo(response.text.strip())
    return 0 if response.status == HTTPStatus.OK else 1
