"""Input and output of the rules compiler.

Rules are compiled in a separate process: the relay does not need the grammar in memory, and its event loop is
not blocked while thousands of rules are parsed.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any, TypedDict

import orjson

from violetdoor.match.runtime import RuleSet

EXIT_INVALID_RULES = 2  # exit status of the worker; its standard error has one line for each fault


class WorkerOutput(TypedDict):
    """The worker's output, serialized with marshal."""

    data: dict[str, Any]  # compiled rules, the argument of RuleSet
    files: dict[str, str]  # texts of the set files that were read, by file name


@dataclass(slots=True, frozen=True)
class RulesSource:
    """The text of a rule set and everything else that its compilation depends on.

    It is sent to the worker as JSON with the names of these fields as keys.
    """

    front: str
    text: str
    file: str  # name shown in faults
    folder: str  # of the set files
    classes: tuple[str, ...]
    limit_us: float
    line: int = 1  # position of the text in its file
    column: int = 1
    files: Mapping[str, str] = field(default_factory=dict)  # texts of set files already read, by name

    def serialize(self) -> bytes:
        """Return the worker's input."""
        return orjson.dumps(self)

    def has_same_rules(self, other: RulesSource) -> bool:
        """Return whether both compile to the same rules, ignoring where their texts are stored."""
        return self._without_location() == other._without_location()

    def _without_location(self) -> RulesSource:
        return replace(self, file="", folder="", line=1, column=1)


@dataclass(slots=True)
class CompiledRules:
    """A rules source and the compiled rules."""

    source: RulesSource
    data: dict[str, Any]  # argument of RuleSet

    def build(self) -> RuleSet:
        """Build the rule set completely; blocks until done."""
        return RuleSet(self.data).build()
