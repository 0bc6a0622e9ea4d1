"""What can be wrong with a configuration. Each error's text is the one line that an operator gets to read."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from enum import Enum
from pathlib import Path

MAX_SHOWN_VIOLATIONS = 3  # in one line; `violetdoor config check` prints all of them


class ConfigError(Exception):
    """A configuration can't come into force; the text says why in one line."""


class ConfigFileError(ConfigError):
    """A file can't be read, or what it says can't be used."""

    def __init__(self, path: str | Path, reason: object) -> None:
        """`path` is the file as the user named it."""
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


class ViolationsError(ConfigError):
    """A file has not the form that it is to have."""

    def __init__(self, violations: Iterable[str]) -> None:
        """`violations`: all of the file, each with its path and location."""
        self.violations = tuple(violations)
        super().__init__(summarize(self.violations))


class MissingKeyError(ConfigError):
    """A file lacks a key that the configuration in force has."""

    def __init__(self, key: str, table: str) -> None:
        """`table` is the key of the table that lacks it."""
        super().__init__(f"{key!r} is missing in {table}")
        self.key = key
        self.table = table


class RestartRequiredChange(Enum):
    """A difference of two configurations that a running process can't make; the values stand in the error."""

    FRONT = "another front"
    RULES_PRESENCE = "from rules to none, or back,"
    SERVER_LIST_ORIGIN = "from discovery to a list of servers, or back,"


class RestartRequiredError(ConfigError):
    """A configuration is sound and can't come into force in this process."""

    def __init__(self, change: RestartRequiredChange) -> None:
        """`change` is the one that takes a restart."""
        super().__init__(f"{change.value} takes a restart")
        self.change = change


def summarize(violations: Sequence[object]) -> str:
    """Return the first violations in one line, with the number of the others."""
    shown = [str(violation) for violation in violations[:MAX_SHOWN_VIOLATIONS]]
    hidden_count = len(violations) - MAX_SHOWN_VIOLATIONS
    if hidden_count > 0:
        shown.append(f"and {hidden_count} more")
    return "; ".join(shown)
