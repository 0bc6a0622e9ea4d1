"""Lookup of the fronts' rule schemas."""

from __future__ import annotations

from importlib import import_module

from violetdoor.match.types import Schema


def schema_of(front: str) -> Schema:
    """Return the request fields that rules of a front can read; imports the front's module."""
    schema = import_module(f"violetdoor.fronts.{front}.fields").SCHEMA
    assert isinstance(schema, Schema)
    return schema
