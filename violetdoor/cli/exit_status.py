"""Shared by all commands: exit status, failing with a message, and the type of file parameters."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import NoReturn

import click

EXIT_STATUS_HELP = "Exit status: 0 done, 1 the answer is no, 2 wrong use or input that does not read."
FILE_TYPE = click.Path(dir_okay=False, path_type=Path)


def fail(text: str, status: int = 2) -> NoReturn:
    """Print a message on standard error and exit with a status."""
    click.echo(text, err=True)
    sys.exit(status)
