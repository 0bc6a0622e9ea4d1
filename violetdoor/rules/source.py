"""What is compiled, and what comes of it.

Rules are compiled in a process of their own: the serving one needs no grammar in its memory and its event
loop waits for nothing while thousands of rules are read.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any, TypedDict

import orjson

from violetdoor.match.runtime import RuleSet

EXIT_INVALID_RULES = 2  # status of the worker: its standard error has a line for each fault


class WorkerOutput(TypedDict):
    """What the worker writes, by marshal."""

    data: dict[str, Any]  # the compiled rules, as RuleSet takes them
    files: dict[str, str]  # the sets' files that were read, by name


@dataclass(slots=True, frozen=True)
class RulesSource:
    """The text of a set of rules and everything that its compilation depends on.

    The worker gets it as JSON, by the names of its fields.
    """

    front: str
    text: str
    file: str  # as faults name it
    folder: str  # where the sets' files are
    classes: tuple[str, ...]
    limit_us: float
    line: int = 1  # where the text begins in its file
    column: int = 1
    files: Mapping[str, str] = field(default_factory=dict)  # sets' files that were read already, by name

    def serialize(self) -> bytes:
        """Return what the worker reads."""
        return orjson.dumps(self)

    def has_same_rules(self, other: RulesSource) -> bool:
        """Whether both compile to the same rules, wherever their text stands."""
        return self._without_location() == other._without_location()

    def _without_location(self) -> RulesSource:
        return replace(self, file="", folder="", line=1, column=1)


@dataclass(slots=True)
class CompiledRules:
    """A source, and what the worker made of it."""

    source: RulesSource
    data: dict[str, Any]  # as RuleSet takes it

    def build(self) -> RuleSet:
        """Return the set, ready to decide; takes its time all at once."""
        return RuleSet(self.data).build()
