"""`violetdoor config`: check configuration files, and print their JSON Schema."""

from __future__ import annotations

from pathlib import Path

import click
import orjson

from violetdoor.cli.exit_status import EXIT_STATUS_HELP, FILE_TYPE
from violetdoor.cli.rules import rules_errors
from violetdoor.configuration.control_form import ControlFile
from violetdoor.configuration.errors import ConfigError
from violetdoor.configuration.field_types import json_schema
from violetdoor.configuration.files import describe_violations, read_table
from violetdoor.configuration.operator_config import parse_operator_form, translate_operator_form
from violetdoor.configuration.operator_form import Operator
from violetdoor.configuration.platform_form import Platform
from violetdoor.configuration.validation import form_violations

FORMS = {"operator": Operator, "platform": Platform, "control": ControlFile}


@click.group("config")
def config_group() -> None:
    """Look at configuration files."""


@config_group.command("check", epilog=EXIT_STATUS_HELP)
@click.argument("path", type=FILE_TYPE)
@click.option("--form", type=click.Choice(sorted(FORMS)), default="operator", show_default=True)
def config_check(path: Path, form: str) -> int:
    """Say all faults of a configuration file and of the rules that it names, each with its place."""
    lines = _configuration_errors(path, form)
    for line in lines:
        click.echo(line, err=True)
    if lines:
        return 2
    click.echo(f"{path}: no faults")
    return 0


def _configuration_errors(path: Path, form: str) -> list[str]:
    """Return all errors in a file, one per line."""
    try:
        data = read_table(path)
        if form == "platform":
            return describe_violations(path, form_violations(Platform, data))
        if form == "control":
            from violetdoor.control.config import validate

            return describe_violations(path, validate(data).violations)
        operator, violations = parse_operator_form(data)
        if operator is None:
            return describe_violations(path, violations)
        config = translate_operator_form(operator, data, path)
    except ConfigError as error:
        return [str(error)]
    return [] if config.rules is None else rules_errors(config.rules)


@config_group.command("schema", epilog=EXIT_STATUS_HELP)
@click.option("--form", type=click.Choice(sorted(FORMS)), default="operator", show_default=True)
def config_schema(form: str) -> int:
    """Print the JSON Schema of a configuration file."""
    click.echo(orjson.dumps(json_schema(FORMS[form]), option=orjson.OPT_INDENT_2).decode())
    return 0
