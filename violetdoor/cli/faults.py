"""`violetdoor faults`: run scenarios with processes of the program and injected faults between them."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click
import msgspec

from violetdoor.cli.exit_status import EXIT_STATUS_HELP, FILE_TYPE, fail
from violetdoor.configuration.errors import ConfigError
from violetdoor.configuration.field_types import json_schema
from violetdoor.events import FLEET_VIEW

if TYPE_CHECKING:
    from violetdoor.faults.history import History
    from violetdoor.faults.scenario import Scenario

OUT_OPTION = click.option(
    "--out", type=click.Path(file_okay=False, path_type=Path), help="Keep histories and logs there."
)
MAX_TAIL_ROWS = 60  # last rows printed of the shortest history that shows a failed check
HISTORY_FILE = "history.parquet"
PICTURE_FILE = "views.png"


@click.group("faults", epilog=EXIT_STATUS_HELP)
def faults_group() -> None:
    """Play faults between relays, gate servers and clients on loopback. Wants the extra `lab`."""


def _play(scenario: Scenario, out: Path | None) -> bool:
    """Play one scenario, print its result and return whether every check holds."""
    from violetdoor.faults import checks, rig

    folder = None if out is None else out / scenario.name
    try:
        history = asyncio.run(rig.run_scenario(scenario, folder, keep_logs=folder is not None))
    except (rig.RigError, TimeoutError) as error:
        fail(f"{scenario.name}: the rig failed: {error or type(error).__name__}")
    violations = checks.run(history)
    _save_history(history, folder)
    answered = sum(1 for row in history.of_kinds("answer") if row.values["word"] == "UP")
    views = len({row.values["view"] for row in history.of_kinds(FLEET_VIEW)})
    state = "holds" if not violations else f"{len(violations)} wrong"
    counts = f"{answered} clients served, {views} views, {len(history.rows)} rows"
    click.echo(f"{scenario.name}: {state}; {counts}")
    if violations:
        first = violations[0]
        click.echo(f"{first.check}: {first.description}")
        for row in checks.shortest_tail(history, first).rows[-MAX_TAIL_ROWS:]:
            click.echo(str(row))
    return not violations


def _save_history(history: History, folder: Path | None) -> None:
    """Save a history in a folder, if one is given; exit with status 2 if pyarrow is missing."""
    if folder is None:
        return
    try:
        history.save(folder / HISTORY_FILE)
    except ImportError as error:
        fail(f"histories are kept by pyarrow, which is not installed: {error}")


def _exit_status(results: list[bool]) -> int:
    """Return 0 if every check of every scenario held, else 1."""
    return 0 if all(results) else 1


@faults_group.command("run", epilog=EXIT_STATUS_HELP)
@click.argument("paths", metavar="FILE...", type=FILE_TYPE, nargs=-1, required=True)
@click.option("--seed", type=int, help="In place of the files' own.")
@OUT_OPTION
def faults_run(paths: tuple[Path, ...], seed: int | None, out: Path | None) -> int:
    """Play the scenarios of these files; status 1 if a check does not hold, with the tail that shows it."""
    from violetdoor.faults.scenario import read_scenario

    scenarios = []
    try:
        for path in paths:
            scenario = read_scenario(path)
            scenarios.append(scenario if seed is None else msgspec.structs.replace(scenario, seed=seed))
    except ConfigError as error:
        fail(str(error))
    return _exit_status([_play(scenario, out) for scenario in scenarios])


@faults_group.command("random", epilog=EXIT_STATUS_HELP)
@click.option("--count", type=click.IntRange(1, 100_000), default=1, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True, help="Of the first one.")
@click.option("--seconds", type=click.FloatRange(30.0, 3600.0), default=60.0, show_default=True)
@OUT_OPTION
@click.option("--print", "show", is_flag=True, help="Print the schedules and play none.")
def faults_random(count: int, seed: int, seconds: float, out: Path | None, *, show: bool) -> int:
    """Draw schedules and play them."""
    from violetdoor.faults.scenario import random_scenario, scenario_to_toml

    results = []
    for number in range(seed, seed + count):
        scenario = random_scenario(number, seconds)
        if show:
            click.echo(scenario_to_toml(scenario))
        else:
            results.append(_play(scenario, out))
            sys.stdout.flush()
    return _exit_status(results)


@faults_group.command("schema", epilog=EXIT_STATUS_HELP)
def faults_schema() -> int:
    """Print the JSON Schema of a scenario's file."""
    import orjson

    from violetdoor.faults.scenario import Scenario

    click.echo(orjson.dumps(json_schema(Scenario), option=orjson.OPT_INDENT_2).decode())
    return 0


@faults_group.command("report", epilog=EXIT_STATUS_HELP)
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
def faults_report(folder: Path) -> int:
    """Draw each history below a folder: a row a relay, its view's number over time, faults as bands."""
    from violetdoor.faults.history import History
    from violetdoor.faults.report import draw_views

    found = sorted(folder.rglob(HISTORY_FILE))
    if not found:
        fail(f"{folder}: no history.parquet below it")
    for path in found:
        picture_path = path.with_name(PICTURE_FILE)
        draw_views(History.load(path), picture_path, path.parent.name)
        click.echo(str(picture_path))
    return 0
