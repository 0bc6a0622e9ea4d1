"""Converts a request from JSON or TOML data to the form that compiled rules read."""

from __future__ import annotations

import difflib
from collections.abc import Mapping
from typing import Any

from violetdoor.match import types as t
from violetdoor.match.grammar import DURATION_UNITS, SIZE_UNITS

ZERO_VALUES: dict[str, Any] = {"bool": False, "int": 0, "float": 0.0, "duration": 0, "size": 0, "string": ""}


class RequestError(ValueError):
    """Request data that does not fit its front's schema.

    The message names the field, what was found and what was expected.
    """


def parse_request(data: Any, schema: t.Schema) -> tuple[Any, ...]:
    """Return a request from field names and values; an omitted field is missing, zero or empty."""
    if not isinstance(data, Mapping):
        raise RequestError(f"found {_excerpt(data)}, expected a table of fields")
    flat = _flatten(data, schema)
    for name in flat:
        if name not in schema.fields:
            close_names = difflib.get_close_matches(name, schema.fields, 1)
            hint = (
                f"did you mean {close_names[0]!r}?" if close_names else f"expected a field of {schema.front}"
            )
            raise RequestError(f"unknown field {name!r}; {hint}")
    values = {
        n: _parse_field(n, flat[n], f) if n in flat else _empty_value(f.type)
        for n, f in schema.fields.items()
    }
    return schema.request(values)


def _flatten(data: Mapping[str, Any], schema: t.Schema) -> dict[str, Any]:
    """Join the keys of nested tables into dotted field names; the table of a map field stays a table."""
    flat: dict[str, Any] = {}
    pending: list[tuple[str, Any]] = list(data.items())
    while pending:
        name, value = pending.pop()
        if isinstance(value, Mapping) and name not in schema.fields:
            pending += [(f"{name}.{k}", v) for k, v in value.items()]
        else:
            flat[name] = value
    return flat


def _empty_value(kind: t.Type) -> Any:
    if kind.is_optional:
        return None
    if kind == t.ADDRESS:
        return bytes(4)
    return {} if kind.name == "map" else () if kind.name == "list" else ZERO_VALUES[kind.name]


def _parse_field(name: str, value: Any, field: t.Field) -> Any:
    kind = field.type.base
    if value is None and field.type.is_optional:
        return None
    parsed = _parse_value(kind, value, field)
    if parsed is None:
        raise RequestError(f"{name}: found {_excerpt(value)}, expected {_describe_expected(kind, field)}")
    return parsed


def _parse_value(kind: t.Type, value: Any, field: t.Field) -> Any:
    if kind.name == "list" and kind.item is not None:
        item_type = kind.item
        items = [_parse_value(item_type, v, field) for v in value] if isinstance(value, list) else [None]
        return None if None in items or len(items) > field.max_entries else tuple(items)
    if kind.name == "map" and kind.item is not None:
        if not isinstance(value, Mapping) or len(value) > field.max_entries:
            return None
        item_type = kind.item
        parsed = {k: _parse_value(item_type, v, field) for k, v in value.items()}
        return None if None in parsed.values() or any(len(k) > field.max_bytes for k in parsed) else parsed
    if kind == t.STRING:
        return t.bounded_text(value, field.max_bytes)
    if kind == t.ADDRESS:
        return t.pack_address(value) if isinstance(value, str) else None
    if kind == t.BOOL:
        return value if isinstance(value, bool) else None
    if isinstance(value, str) and kind in (t.DURATION, t.SIZE):
        value = _parse_quantity(value, DURATION_UNITS if kind == t.DURATION else SIZE_UNITS)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return None
    if kind == t.FLOAT:
        value = float(value)
    elif not isinstance(value, int):
        return None
    return value if field.low <= value <= field.high else None


def _parse_quantity(text: str, units: Mapping[str, int]) -> int | None:
    digits = text.rstrip("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")
    unit = units.get(text[len(digits) :])
    try:
        return None if unit is None else round(float(digits) * unit)
    except (ValueError, OverflowError):
        return None


def _describe_expected(kind: t.Type, field: t.Field) -> str:
    if kind == t.STRING:
        return f"a string of at most {field.max_bytes} bytes"
    if kind in t.NUMERIC_TYPES:
        return f"{kind} from {field.low:g} to {field.high:g}" + (
            " or a text like '250ms'" * (kind == t.DURATION)
        )
    if kind.name in ("map", "list"):
        return f"a {kind} with at most {field.max_entries} entries of {field.max_bytes} bytes"
    return f"{kind}"


def _excerpt(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."
