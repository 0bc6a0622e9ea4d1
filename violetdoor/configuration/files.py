"""Read configuration files (TOML or JSON), and describe violations with their locations in the file."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

import orjson

from violetdoor.configuration.errors import ConfigFileError
from violetdoor.configuration.field_types import RawTable
from violetdoor.configuration.validation import FieldViolation


def read_table(path: Path) -> RawTable:
    """Return the parsed data of a file without validating it.

    Raises ConfigFileError; for a syntax error it includes line and column.
    """
    try:
        text = path.read_text()
        data = orjson.loads(text) if is_json(path, text) else _parse_toml(text)
    except OSError as err:
        raise ConfigFileError(path, err.strerror) from err
    except ValueError as err:  # the messages of both parsers include line and column
        raise ConfigFileError(path, err) from err
    if not isinstance(data, dict):
        raise ConfigFileError(path, "the file is no object")
    return data


def is_json(path: Path, text: str) -> bool:
    """Return whether a file is JSON, by its suffix or its first character; otherwise it is TOML."""
    return path.suffix == ".json" or text.lstrip()[:1] == "{"


def describe_violations(path: Path, violations: Iterable[FieldViolation]) -> list[str]:
    """Return each violation with file, line and column, sorted by location.

    If the file can't be read any more, return them without line and column, in the given order.
    """
    from violetdoor.configuration.locations import (  # imports a parser generator, which takes time
        find_locations,
        nearest_location,
    )

    try:
        text = path.read_text()
    except (OSError, ValueError):
        return describe_without_locations(path, violations)
    locations = find_locations(text, is_json=is_json(path, text))
    located = {violation: nearest_location(locations, violation.path) for violation in violations}
    in_order = sorted(located.items(), key=lambda item: item[1])
    return [f"{path}:{location.line}:{location.column}: {violation}" for violation, location in in_order]


def describe_without_locations(path: Path, violations: Iterable[FieldViolation]) -> list[str]:
    """Return each violation with its file only: a serving process can't wait for a parser to load."""
    return [f"{path}: {violation}" for violation in violations]


def _parse_toml(text: str) -> RawTable:
    import tomllib

    return tomllib.loads(text)
