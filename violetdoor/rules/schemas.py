"""The fronts' schemas by name."""

from __future__ import annotations

from importlib import import_module

from violetdoor.match.types import Schema


def schema_of(front: str) -> Schema:
    """What this front tells of a request."""
    found = import_module(f"violetdoor.fronts.{front}.fields").SCHEMA
    assert isinstance(found, Schema)
    return found
