"""Validate the data of one file against its form: find all violations, each with its path in the file.

msgspec stops at the first violation; this module traverses form and data together and finds them all.
"""

from __future__ import annotations

import types
import typing
from collections.abc import Iterator
from functools import cache
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Struct

from violetdoor.configuration.field_types import Address

KeyPath = tuple[str | int, ...]  # keys of tables and indices of lists, from the file's root inwards

MAX_SHOWN_VALUE_CHARACTERS = 60  # of a wrong value in a message, so that it remains one readable line


class FieldViolation(typing.NamedTuple):
    """One value of a file that does not match the form: its path, and the reason."""

    path: KeyPath
    reason: str

    def __str__(self) -> str:
        """Return `classes[0].aim_ms: reason`, or the reason alone if it concerns the whole file."""
        dotted_path = ""
        for step in self.path:
            if isinstance(step, int):
                dotted_path += f"[{step}]"
            elif dotted_path:
                dotted_path += f".{step}"
            else:
                dotted_path = step
        return f"{dotted_path}: {self.reason}" if dotted_path else self.reason


class _FormField(typing.NamedTuple):
    """One field of a form: its type annotation, and whether a file has to set it."""

    annotation: Any
    is_required: bool


def form_violations(form: type[Struct], data: Any) -> list[FieldViolation]:
    """Return all violations of the form in the data, in the order of the form."""
    return list(_table_violations(form, data, ()))


@cache
def _fields_by_key(form: type[Struct]) -> dict[str, _FormField]:
    annotations = typing.get_type_hints(form, include_extras=True)
    return {
        field.encode_name: _FormField(annotations[field.name], field.required)
        for field in msgspec.structs.fields(form)
    }


def _table_violations(form: type[Struct], value: Any, path: KeyPath) -> Iterator[FieldViolation]:
    if not isinstance(value, dict):
        yield FieldViolation(path, f"found {_abbreviate(value)}, expected a table")
        return
    fields_by_key = _fields_by_key(form)
    if form.__struct_config__.forbid_unknown_fields:
        yield from _unknown_key_violations(fields_by_key, value, path)
    for key, field in fields_by_key.items():
        if key in value:
            yield from _value_violations(field.annotation, value[key], (*path, key))
        elif field.is_required:
            yield FieldViolation(path, f"{key!r} is missing")


def _unknown_key_violations(
    fields_by_key: dict[str, _FormField], table: dict[Any, Any], path: KeyPath
) -> Iterator[FieldViolation]:
    import difflib  # needed only for violations

    for key in table:
        if key not in fields_by_key:
            similar = difflib.get_close_matches(str(key), fields_by_key, 1)
            if similar:
                hint = f"did you mean {similar[0]!r}?"
            else:
                hint = "expected one of " + ", ".join(sorted(fields_by_key))
            yield FieldViolation((*path, str(key)), f"unknown name {key!r}; {hint}")


def _value_violations(annotation: Any, value: Any, path: KeyPath) -> Iterator[FieldViolation]:
    if value is None and _is_optional(annotation):
        return
    inner = _without_none(annotation)
    plain = _without_constraints(inner)
    if isinstance(plain, type) and issubclass(plain, Struct):
        yield from _table_violations(plain, value, path)
        return
    if typing.get_origin(plain) is list and isinstance(value, list):
        item_annotation = typing.get_args(plain)[0]
        violations = [
            violation
            for index, item in enumerate(value)
            for violation in _value_violations(item_annotation, item, (*path, index))
        ]
        if violations:
            yield from violations
            return
    try:
        msgspec.convert(value, inner)
    except msgspec.ValidationError as err:
        reason = _expectation(str(err), inner)
        yield FieldViolation(path, f"found {_abbreviate(value)}, {reason}")


def _without_constraints(annotation: Any) -> Any:
    if typing.get_origin(annotation) is Annotated:
        return typing.get_args(annotation)[0]
    return annotation


def _is_union(annotation: Any) -> bool:
    return typing.get_origin(annotation) in (typing.Union, types.UnionType)


def _is_optional(annotation: Any) -> bool:
    plain = _without_constraints(annotation)
    return _is_union(plain) and type(None) in typing.get_args(plain)


def _without_none(annotation: Any) -> Any:
    """Return T for `T | None`; return any other annotation unchanged."""
    plain = _without_constraints(annotation)
    if not _is_union(plain):
        return annotation
    members = [member for member in typing.get_args(plain) if member is not type(None)]
    return members[0] if len(members) == 1 else annotation


def _expectation(message: str, annotation: Any) -> str:
    """Return the expectation in a message of msgspec, in one wording for all files."""
    if annotation is Address:
        return "expected host:port"
    if typing.get_origin(annotation) is Literal:
        return "expected " + " or ".join(map(repr, typing.get_args(annotation)))
    expected = message.partition(" - at ")[0].partition(", got ")[0].replace("`", "")
    return expected[:1].lower() + expected[1:]


def _abbreviate(value: Any) -> str:
    text = repr(value)
    if len(text) <= MAX_SHOWN_VALUE_CHARACTERS:
        return text
    return text[: MAX_SHOWN_VALUE_CHARACTERS - 3] + "..."
