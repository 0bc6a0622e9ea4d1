"""Check that the platform's file is complete at a reload: a truncated file may still be valid JSON."""

from __future__ import annotations

from typing import Any

import orjson

from violetdoor.configuration.errors import MissingKeyError
from violetdoor.configuration.field_types import RawTable
from violetdoor.configuration.relay_config import Config

# Not compared: its value is a list of servers, which may change in any way.
_UNCHECKED_KEY = "known"


def check_complete(current: Config, new: Config) -> None:
    """Raise MissingKeyError if the platform's new file lacks a key that the current one has.

    A truncated file that can still be parsed would otherwise be applied as a change of settings. Operators'
    files are not checked.
    """
    if current.is_from_platform and current.serialized:
        _check_value(orjson.loads(current.serialized), orjson.loads(new.serialized), "the file")


def _check_value(old: Any, new: Any, table: str) -> None:
    if isinstance(old, dict) and isinstance(new, dict):
        _check_table(old, new, table)
    elif isinstance(old, list) and isinstance(new, list):
        _check_rows(old, new, table)


def _check_table(old: RawTable, new: RawTable, table: str) -> None:
    for key, value in old.items():
        if key not in new:
            raise MissingKeyError(key, table)
        if key != _UNCHECKED_KEY:
            _check_value(value, new[key], key)


def _check_rows(old: list[Any], new: list[Any], table: str) -> None:
    """Check that each new row has every key that all old rows have."""
    if not old or not all(isinstance(row, dict) for row in old + new):
        return
    common_keys = set.intersection(*(set(row) for row in old))
    for row in new:
        missing = common_keys - set(row)
        if missing:
            raise MissingKeyError(min(missing), table)
