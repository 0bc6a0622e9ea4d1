"""Locate the text of an operator's match rules: in a file of its own or within the operator's file."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

from violetdoor.configuration.errors import ConfigFileError
from violetdoor.configuration.operator_form import Operator, Rules
from violetdoor.rules.source import RulesSource


class _LocatedText(NamedTuple):
    """The rules' text and the location of its start, to which the locations of faults are relative."""

    text: str
    file: Path
    line: int = 1
    column: int = 1


def locate_rules(form: Operator, rules: Rules, path: Path) -> RulesSource:
    """Return the rules of an operator's file at this path; raises ConfigFileError."""
    if rules.file is not None:
        found = _read_rules_file(Path(path.parent, rules.file))
    else:
        found = _locate_text(rules.text or "", path)
    return RulesSource(
        front=form.front,
        text=found.text,
        file=str(found.file),
        folder=str(path.parent),
        classes=tuple(request_class.name for request_class in form.classes),
        limit_us=rules.limit_us,
        line=found.line,
        column=found.column,
        files=rules.files or {},
    )


def _read_rules_file(path: Path) -> _LocatedText:
    try:
        return _LocatedText(path.read_text(), path)
    except OSError as err:
        raise ConfigFileError(path, err.strerror) from err
    except ValueError as err:
        raise ConfigFileError(path, err) from err


def _locate_text(text: str, path: Path) -> _LocatedText:
    """Find the rules within the operator's file; rules inherited from a predecessor may be missing there."""
    try:
        content = path.read_text()
    except (OSError, ValueError):
        content = ""
    start = content.find(text)
    if start < 0:
        return _LocatedText(text, path)
    line = content.count("\n", 0, start) + 1
    column = start - content.rfind("\n", 0, start)
    return _LocatedText(text, path, line, column)
