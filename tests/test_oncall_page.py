"""Check that docs/oncall.md lists exactly the log lines and counters that the program has."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest
from standins import ROOT

from violetdoor import events

ONCALL_PAGE = (ROOT / "docs" / "oncall.md").read_text()
# Packages that don't run as a service are left out.
SERVICE_SOURCES = sorted(
    path
    for path in (ROOT / "violetdoor").rglob("*.py")
    if not {"faults", "cli", "simhost"} & set(path.relative_to(ROOT).parts)
)
LOG_LEVELS = {"debug", "info", "warning", "error", "exception", "critical"}
COUNTER_TABLES = {"counts", "counters"}
PLACEHOLDER = re.compile(r"%(?:\.\d+)?[sdrgf]")
# In a pattern on the page, three dots or a word in capitals, also between underscores, stand for any text.
WILDCARD = re.compile(r"\.\.\.|(?<![A-Za-z0-9])[A-Z][A-Z0-9]*(?![A-Za-z0-9])")
EVENT_MESSAGE = "X X"  # event name and values; tests/test_fleet_process.py checks the page's event names
# Lines that are no literal of a log call: the log rate limit's suffix, and the error of a failed start.
LINES_WITHOUT_LITERAL_CALL = {"... (and N like it left out)", "violetdoor: ..."}


def page_section(title: str) -> str:
    return ONCALL_PAGE.partition(f"## {title}\n")[2].partition("\n## ")[0]


def table_patterns(text: str) -> list[str]:
    """Return the backquoted patterns in the first column of the tables in a text."""
    cells = [line.split(" | ")[0] for line in text.splitlines() if line.startswith("| `")]
    return [pattern for cell in cells for pattern in re.findall(r"`([^`]+)`", cell)]


def pattern_regex(pattern: str) -> re.Pattern[str]:
    """Return the regular expression of a pattern on the page: words in capitals and "..." match any text."""
    return re.compile(".*".join(re.escape(text) for text in WILDCARD.split(pattern)))


def pattern_matches_message(pattern: str, text: str) -> bool:
    """Return whether a pattern on the page and a message (X for each value) can be the same log line."""
    message_regex = re.compile(
        ".+".join(re.escape(part) for part in re.split(r"(?<![A-Za-z0-9])X(?![A-Za-z0-9])", text))
    )
    return bool(pattern_regex(pattern).search(text) or message_regex.fullmatch(pattern))


def is_logger(node: ast.expr) -> bool:
    name = node.attr if isinstance(node, ast.Attribute) else node.id if isinstance(node, ast.Name) else ""
    return name.strip("_") in {"log", "logger"}


def log_messages(tree: ast.AST) -> Iterator[str]:
    """Yield the message of each log call, with X for each placeholder."""
    for node in ast.walk(tree):
        if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute) or not node.args:
            continue
        if node.func.attr in LOG_LEVELS and is_logger(node.func.value):
            message = node.args[0]
            assert isinstance(message, ast.Constant), (
                f"{ast.unparse(node)}: the message must be a string literal"
            )
            yield PLACEHOLDER.sub("X", str(message.value))


def counter_names(node: ast.expr) -> Iterator[str]:
    """Yield the possible keys of a counter table's subscript, with X for each part computed at run time."""
    if isinstance(node, ast.Constant):
        yield str(node.value)
    elif isinstance(node, ast.IfExp):
        yield from counter_names(node.body)
        yield from counter_names(node.orelse)
    elif isinstance(node, ast.JoinedStr):
        yield "".join(str(part.value) if isinstance(part, ast.Constant) else "X" for part in node.values)


def counted_names(tree: ast.AST) -> Iterator[str]:
    """Yield the names of the program's counters; docs/operators.md documents the metrics of /stats."""
    for node in ast.walk(tree):
        if not isinstance(node, ast.Subscript) or not isinstance(node.ctx, ast.Store):
            continue
        table = ast.unparse(node.value)
        if (
            table.rpartition(".")[2].strip("_") in COUNTER_TABLES
            and "metrics" not in table
            and "figures" not in table
        ):
            yield from counter_names(node.slice)


def pattern_matches_counter(pattern: str, name: str) -> bool:
    """Return whether a pattern on the page and a counter name (X for each value) can be the same counter."""
    name_regex = re.compile(re.escape(name).replace("X", r"\w+"))
    return bool(pattern_regex(pattern).fullmatch(name) or name_regex.fullmatch(pattern))


def parsed_sources() -> list[tuple[Path, ast.Module]]:
    return [(path, ast.parse(path.read_text())) for path in SERVICE_SOURCES]


def test_every_log_line_is_on_the_page() -> None:
    patterns = table_patterns(page_section("Log lines"))
    found = [(path.name, message) for path, tree in parsed_sources() for message in log_messages(tree)]
    assert len(found) > 50
    missing = [
        entry
        for entry in found
        if entry[1] != EVENT_MESSAGE and not any(pattern_matches_message(p, entry[1]) for p in patterns)
    ]
    assert missing == []


def test_every_log_line_on_the_page_is_logged_by_the_program() -> None:
    messages = [
        message for _, tree in parsed_sources() for message in log_messages(tree) if message != EVENT_MESSAGE
    ]
    event_names = {value for name, value in vars(events).items() if name.isupper()}
    unmatched_patterns = [
        pattern
        for pattern in table_patterns(page_section("Log lines"))
        if pattern not in LINES_WITHOUT_LITERAL_CALL
        and pattern.split()[0] not in event_names
        and not any(pattern_matches_message(pattern, message) for message in messages)
    ]
    assert unmatched_patterns == []


def test_every_counter_is_on_the_page() -> None:
    patterns = table_patterns(page_section("Counters"))
    found = {(path.name, name) for path, tree in parsed_sources() for name in counted_names(tree)}
    assert len(found) > 80
    assert (
        sorted(entry for entry in found if not any(pattern_matches_counter(p, entry[1]) for p in patterns))
        == []
    )


def string_literals(tree: ast.AST) -> Iterator[str]:
    """Yield all string literals; they include the values of enums used as counter names."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and isinstance(node.value, str):
            yield node.value


def test_every_counter_of_the_page_is_counted() -> None:
    found = {name for _, tree in parsed_sources() for name in counted_names(tree)}
    literals = {text for _, tree in parsed_sources() for text in string_literals(tree)}
    unmatched_patterns = [
        pattern
        for pattern in table_patterns(page_section("Counters"))
        if pattern not in literals and not any(pattern_matches_counter(pattern, name) for name in found)
    ]
    assert unmatched_patterns == []


@pytest.mark.parametrize(
    ("pattern", "text", "is_matched"),
    [
        ("server ID is draining", "server X is draining", True),
        ("server ID is draining", "server X is gone", False),
        ("reload failed: ...", "reload failed: X", True),
        ("attempt_RESULT", "attempt_X", True),
    ],
)
def test_patterns_of_the_page_match_texts_of_the_program(pattern: str, text: str, is_matched: bool) -> None:
    assert (pattern_regex(pattern).fullmatch(text) is not None) is is_matched
