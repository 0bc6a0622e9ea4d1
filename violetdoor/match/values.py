"""A request as data, JSON or TOML, in the form that rules read."""

from __future__ import annotations

import difflib
from collections.abc import Mapping
from typing import Any

from violetdoor.match import types as t
from violetdoor.match.grammar import SIZES, UNITS

ZERO: dict[str, Any] = {"bool": False, "int": 0, "float": 0.0, "duration": 0, "size": 0, "string": ""}


class RequestError(ValueError):
    """A request that is none of its front's.

    The text names the field, what was found and what was expected.
    """


def parse_request(data: Any, schema: t.Schema) -> tuple[Any, ...]:
    """A request out of field names and values; fields left out are missing, zero or empty."""
    if not isinstance(data, Mapping):
        raise RequestError(f"found {_shown(data)}, expected a table of fields")
    flat = _flat(data, schema)
    for name in flat:
        if name not in schema.fields:
            near = difflib.get_close_matches(name, schema.fields, 1)
            hint = f"did you mean {near[0]!r}?" if near else f"expected a field of {schema.front}"
            raise RequestError(f"unknown field {name!r}; {hint}")
    values = {n: _value(n, flat[n], f) if n in flat else _empty(f.type) for n, f in schema.fields.items()}
    return schema.request(values)


def _flat(data: Mapping[str, Any], schema: t.Schema) -> dict[str, Any]:
    """Tables in tables are the parts of dotted names, but where a field is a map itself."""
    flat: dict[str, Any] = {}
    todo: list[tuple[str, Any]] = list(data.items())
    while todo:
        name, value = todo.pop()
        if isinstance(value, Mapping) and name not in schema.fields:
            todo += [(f"{name}.{k}", v) for k, v in value.items()]
        else:
            flat[name] = value
    return flat


def _empty(kind: t.Type) -> Any:
    if kind.optional:
        return None
    if kind == t.ADDRESS:
        return bytes(4)
    return {} if kind.name == "map" else () if kind.name == "list" else ZERO[kind.name]


def _value(name: str, value: Any, field: t.Field) -> Any:
    kind = field.type.inner
    if value is None and field.type.optional:
        return None
    made = _typed(kind, value, field)
    if made is None:
        raise RequestError(f"{name}: found {_shown(value)}, expected {_expected(kind, field)}")
    return made


def _typed(kind: t.Type, value: Any, field: t.Field) -> Any:
    if kind.name == "list" and kind.item is not None:
        inner = kind.item
        held = [_typed(inner, v, field) for v in value] if isinstance(value, list) else [None]
        return None if None in held or len(held) > field.max_entries else tuple(held)
    if kind.name == "map" and kind.item is not None:
        if not isinstance(value, Mapping) or len(value) > field.max_entries:
            return None
        inner = kind.item
        made = {k: _typed(inner, v, field) for k, v in value.items()}
        return None if None in made.values() or any(len(k) > field.max_bytes for k in made) else made
    if kind == t.STRING:
        return t.bounded_text(value, field.max_bytes)
    if kind == t.ADDRESS:
        return t.pack_address(value) if isinstance(value, str) else None
    if kind == t.BOOL:
        return value if isinstance(value, bool) else None
    if isinstance(value, str) and kind in (t.DURATION, t.SIZE):
        value = _united(value, UNITS if kind == t.DURATION else SIZES)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return None
    if kind == t.FLOAT:
        value = float(value)
    elif not isinstance(value, int):
        return None
    return value if field.low <= value <= field.high else None


def _united(text: str, units: Mapping[str, int]) -> int | None:
    digits = text.rstrip("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")
    unit = units.get(text[len(digits) :])
    try:
        return None if unit is None else round(float(digits) * unit)
    except (ValueError, OverflowError):
        return None


def _expected(kind: t.Type, field: t.Field) -> str:
    if kind == t.STRING:
        return f"a string of at most {field.max_bytes} bytes"
    if kind in t.NUMBERS:
        return f"{kind} from {field.low:g} to {field.high:g}" + (
            " or a text like '250ms'" * (kind == t.DURATION)
        )
    if kind.name in ("map", "list"):
        return f"a {kind} with at most {field.max_entries} entries of {field.max_bytes} bytes"
    return f"{kind}"


def _shown(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."
