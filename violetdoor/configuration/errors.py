"""Errors of a configuration. The text of each is the single line that an operator reads."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from enum import Enum
from pathlib import Path

MAX_SHOWN_VIOLATIONS = 3  # in a one-line summary; `violetdoor config check` prints all of them


class ConfigError(Exception):
    """A configuration can't be applied; the text gives the reason in one line."""


class ConfigFileError(ConfigError):
    """A file can't be read, or its content can't be used."""

    def __init__(self, path: str | Path, reason: object) -> None:
        """`path` is the file as the user named it."""
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


class ViolationsError(ConfigError):
    """A file does not match its form."""

    def __init__(self, violations: Iterable[str]) -> None:
        """`violations`: all violations in the file, each with its path and location."""
        self.violations = tuple(violations)
        super().__init__(summarize(self.violations))


class MissingKeyError(ConfigError):
    """A new file lacks a key that the current configuration has."""

    def __init__(self, key: str, table: str) -> None:
        """`table` is the name of the table that lacks `key`."""
        super().__init__(f"{key!r} is missing in {table}")
        self.key = key
        self.table = table


class RestartRequiredChange(Enum):
    """A change of configuration that a running process can't apply; the values are texts for the error."""

    FRONT = "a change of the front"
    RULES_PRESENCE = "adding or removing the match rules"
    SERVER_LIST_ORIGIN = "a change between discovery and a list of servers"


class RestartRequiredError(ConfigError):
    """A configuration is valid but can't be applied without a restart."""

    def __init__(self, change: RestartRequiredChange) -> None:
        """`change` is the change that requires the restart."""
        super().__init__(f"{change.value} requires a restart")
        self.change = change


def summarize(violations: Sequence[object]) -> str:
    """Return the first violations in one line, followed by the number of those left out."""
    shown = [str(violation) for violation in violations[:MAX_SHOWN_VIOLATIONS]]
    hidden_count = len(violations) - MAX_SHOWN_VIOLATIONS
    if hidden_count > 0:
        shown.append(f"and {hidden_count} more")
    return "; ".join(shown)
