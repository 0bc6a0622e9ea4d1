"""Check that names on the documentation pages exist: paths, modules, members, events, log lines and imports.

The code is parsed, not imported. An unqualified name on a page may be defined in any module or class.
"""

from __future__ import annotations

import ast
import re
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

import pytest
from standins import ROOT
from test_imports import modules
from test_oncall_page import SERVICE_SOURCES, log_messages, pattern_matches_message, pattern_regex

DOCS = ROOT / "docs"
BACKQUOTED = re.compile(r"`([^`]+)`")
CODE_BLOCK = re.compile(r"^```.*?^```$", re.MULTILINE | re.DOTALL)
PATH = re.compile(r"[\w.-]+(/[\w.-]*)+")
DOTTED_NAME = re.compile(r"[A-Za-z_]\w*(\.[A-Za-z_]\w*)*")
COMMAND = re.compile(r"python -m (violetdoor[\w.]*)( .*)?")
# Index of the last glossary column, after term, meaning and code: terms used elsewhere, no names in our code.
EXTERNAL_TERMS_COLUMN = 3
MIN_BACKQUOTED_NAMES = 100  # fewer names on a page mean that the page was parsed wrongly
MIN_ERROR_NAMES = 10
MIN_PAGES = 20


@dataclass
class DefinedNames:
    """Names that the program defines."""

    modules: set[str] = field(default_factory=set)
    members: dict[str, set[str]] = field(
        default_factory=lambda: defaultdict(set)
    )  # by module, and by last part of a module or class name
    bases: dict[str, set[str]] = field(default_factory=lambda: defaultdict(set))

    def is_defined(self, name: str) -> bool:
        """Return whether the program defines a module, a qualified member or an unqualified name."""
        if name in self.modules or f"violetdoor.{name}" in self.modules:
            return True
        owner, _, member = name.rpartition(".")
        if not owner:
            return any(member in found for found in self.members.values())
        if owner in self.modules:
            return member in self.members[owner]
        return self.has_member(owner.rpartition(".")[2], member)

    def has_member(self, owner: str, member: str) -> bool:
        """Return whether a class, one of its bases or a module (by its last name part) has a member."""
        if member in self.members.get(owner, ()):
            return True
        return any(self.has_member(base, member) for base in self.bases.get(owner, ()) if base != owner)


def assignment_targets(node: ast.stmt) -> Iterator[ast.expr]:
    """Yield the targets of an assignment or annotated assignment."""
    if isinstance(node, ast.AnnAssign):
        yield node.target
    elif isinstance(node, ast.Assign):
        for target in node.targets:
            yield from target.elts if isinstance(target, ast.Tuple) else [target]


def names_defined_in_body(body: list[ast.stmt]) -> Iterator[str]:
    """Yield the names defined directly in the body of a module or class."""
    for node in body:
        if isinstance(node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef):
            yield node.name
        else:
            yield from (target.id for target in assignment_targets(node) if isinstance(target, ast.Name))


def self_attribute_names(node: ast.ClassDef) -> Iterator[str]:
    """Yield the attributes that a class's methods set on `self`."""
    for inner in ast.walk(node):
        if isinstance(inner, ast.stmt):
            for target in assignment_targets(inner):
                if isinstance(target, ast.Attribute) and ast.unparse(target.value) == "self":
                    yield target.attr


def collect_defined_names(root: Path) -> DefinedNames:
    """Return the names that the program's modules and classes define."""
    found = DefinedNames()
    for path in sorted((root / "violetdoor").rglob("*.py")):
        parts = path.relative_to(root).with_suffix("").parts
        module = ".".join(parts[:-1] if parts[-1] == "__init__" else parts)
        tree = ast.parse(path.read_text())
        found.modules.add(module)
        defined = set(names_defined_in_body(tree.body))
        found.members[module] |= defined
        found.members[module.rpartition(".")[2]] |= defined
        for node in ast.walk(tree):
            if isinstance(node, ast.ClassDef):
                found.members[node.name] |= {*names_defined_in_body(node.body), *self_attribute_names(node)}
                found.bases[node.name] |= {ast.unparse(base).partition("[")[0] for base in node.bases}
    return found


def unresolved_texts(quoted: list[str], names: DefinedNames, root: Path) -> list[str]:
    """Return the texts that are not an existing path, command or name."""
    return [text for text in quoted if not is_resolved(text, names, root)]


def is_resolved(text: str, names: DefinedNames, root: Path) -> bool:
    """Return whether a backquoted text is an existing path, or a command or name of the program."""
    if command := COMMAND.fullmatch(text):
        return command[1] in names.modules
    if PATH.fullmatch(text):
        return (root / text).exists()
    return DOTTED_NAME.fullmatch(text) is not None and names.is_defined(text)


def table_rows(page: str, section: str = "") -> list[list[str]]:
    """Return the cells of each table row on a page or in one section, without header rows."""
    text = page.partition(f"## {section}\n")[2].partition("\n## ")[0] if section else page
    lines = [line for line in text.splitlines() if line.startswith("|")]
    header_lines = {index - 1 for index, line in enumerate(lines) if line.startswith("| ---")}
    data_lines = [
        line for index, line in enumerate(lines) if index not in header_lines and not line.startswith("| ---")
    ]
    return [[cell.strip() for cell in line.strip("|").split(" | ")] for line in data_lines]


DEFINED_NAMES = collect_defined_names(ROOT)
ARCHITECTURE_PAGE = CODE_BLOCK.sub("", (DOCS / "architecture.md").read_text())
GLOSSARY_ROWS = table_rows((DOCS / "glossary.md").read_text())
RENAMED_PAGE = (DOCS / "renamed.md").read_text()
LOG_MESSAGES = [message for path in SERVICE_SOURCES for message in log_messages(ast.parse(path.read_text()))]


def test_names_on_the_architecture_page_exist() -> None:
    quoted = BACKQUOTED.findall(ARCHITECTURE_PAGE)
    assert len(quoted) > MIN_BACKQUOTED_NAMES
    assert unresolved_texts(quoted, DEFINED_NAMES, ROOT) == []


def test_every_package_is_on_the_architecture_page() -> None:
    packages = {path.parent.name for path in (ROOT / "violetdoor").glob("*/__init__.py")}
    assert {name for name in packages if f"`violetdoor/{name}/" not in ARCHITECTURE_PAGE} == set()


def unit(module: str) -> str:
    """Return the package or single-file module that contains a module, in the page's notation."""
    name = module.split(".")[1]
    return f"violetdoor/{name}/" if (ROOT / "violetdoor" / name).is_dir() else f"violetdoor/{name}.py"


def allowed_imports() -> dict[str, set[str]]:
    """Return the imports that the table on the architecture page allows each package."""
    allowed = {}
    for packages, _, imports in table_rows(ARCHITECTURE_PAGE, "Which package may import which"):
        words = set(re.findall(r"[a-z_]+", imports))
        for package in BACKQUOTED.findall(packages):
            allowed[package] = words
    return allowed


def forbidden_imports(allowed: dict[str, set[str]]) -> list[str]:
    """Return the imports between packages that a table does not allow."""
    found = []
    for name, module in modules(ROOT).items():
        if "." not in name:
            continue
        for target in sorted(module.project):
            if unit(name) != unit(target) and target.split(".")[1] not in allowed.get(unit(name), ()):
                found.append(f"{name} -> {target}")
    return found


def test_packages_import_only_what_the_architecture_page_allows() -> None:
    allowed = allowed_imports()
    assert forbidden_imports(allowed) == []
    assert {unit(name) for name in DEFINED_NAMES.modules if "." in name} == allowed.keys()


def test_forbidden_import_is_reported() -> None:
    allowed = allowed_imports()
    allowed["violetdoor/core/"] = {"nothing"}
    found = forbidden_imports(allowed)
    assert "violetdoor.core.controller -> violetdoor.balancing.balancer" in found
    assert all(text.startswith("violetdoor.core.") for text in found)


def test_neither_front_imports_the_other() -> None:
    graph = modules(ROOT)
    fronts = ("violetdoor.fronts.line", "violetdoor.fronts.nats")
    for own, other in (fronts, fronts[::-1]):
        imported = [
            target for name, module in graph.items() if name.startswith(own) for target in module.project
        ]
        assert imported
        assert not any(target.startswith(other) for target in imported)


def test_readme_names_every_page() -> None:
    readme = (ROOT / "README.md").read_text()
    pages = {str(path.relative_to(ROOT)) for path in DOCS.rglob("*.*")}
    assert len(pages) > MIN_PAGES
    assert {page for page in pages if f"`{page}`" not in readme} == set()
    paths = [text for text in BACKQUOTED.findall(readme) if PATH.fullmatch(text)]
    assert [path for path in paths if not (ROOT / path).exists()] == []


def test_names_in_the_glossary_exist() -> None:
    quoted = [
        text for row in GLOSSARY_ROWS for text in BACKQUOTED.findall(" ".join(row[:EXTERNAL_TERMS_COLUMN]))
    ]
    assert len(quoted) > MIN_BACKQUOTED_NAMES
    assert unresolved_texts(quoted, DEFINED_NAMES, ROOT) == []


def test_glossary_has_each_term_once_in_alphabetical_order() -> None:
    terms = [row[0].casefold() for row in GLOSSARY_ROWS]
    assert terms == sorted(set(terms))
    assert all(len(row) == EXTERNAL_TERMS_COLUMN + 1 for row in GLOSSARY_ROWS)


def test_program_emits_each_new_event_and_no_old_one() -> None:
    source = (ROOT / "violetdoor" / "events.py").read_text()
    written = {
        str(node.value)
        for node in ast.walk(ast.parse(source))
        if isinstance(node, ast.Constant) and re.fullmatch(r"(fleet|control|attach)\.\w+", str(node.value))
    }
    renamed = table_rows(RENAMED_PAGE, "Events")
    assert {row[1].strip("`") for row in renamed} <= written
    assert {row[0].strip("`") for row in renamed} & written == set()
    unchanged = written - {row[1].strip("`") for row in renamed}
    assert unchanged == {"fleet.view", "fleet.founded", "fleet.removed", "fleet.left"}


@pytest.mark.parametrize("row", table_rows(RENAMED_PAGE, "Log lines"), ids=lambda row: row[1])
def test_program_logs_each_new_line_and_no_old_one(row: list[str]) -> None:
    old, new, source = row
    # Without a source file, the row lists error names: the beginning of its line is unchanged.
    if not source.startswith("`violetdoor/"):
        assert any(pattern_regex(BACKQUOTED.findall(old)[0]).match(message) for message in LOG_MESSAGES)
        return
    messages = list(log_messages(ast.parse((ROOT / source.strip("`")).read_text())))
    assert any(pattern_matches_message(BACKQUOTED.findall(new)[0], message) for message in messages)
    assert not any(pattern_regex(BACKQUOTED.findall(old)[0]).fullmatch(message) for message in LOG_MESSAGES)


def test_error_names_in_renamed_log_lines_exist() -> None:
    errors = [
        BACKQUOTED.findall(row[2])
        for row in table_rows(RENAMED_PAGE, "Log lines")
        if not row[2].startswith("`violetdoor/")
    ]
    names = [name for texts in errors for text in texts for name in re.findall(r"^[A-Z]\w+", text)]
    assert len(names) > MIN_ERROR_NAMES
    assert [name for name in names if not DEFINED_NAMES.is_defined(name)] == []


@pytest.mark.parametrize(
    "text",
    [
        "violetdoor/no_such_module.py",
        "docs/no_such_page.md",
        "python -m violetdoor.no_such_module",
        "violetdoor.program.NoSuchClass",
        "NoSuchClass",
        "Program.no_such_method",
        "program.no_such_function",
        "no_such_name",
        "some words",
    ],
)
def test_unresolved_text_is_reported(text: str) -> None:
    assert unresolved_texts([text], DEFINED_NAMES, ROOT) == [text]


@pytest.mark.parametrize(
    "text",
    [
        "violetdoor/program.py",
        "violetdoor/balancing/",
        "python -m violetdoor --config FILE",
        "violetdoor.program.Program",
        "Program.run",
        "LineService.on_successor_accepting",  # defined by the base class
        "serve.serve",
        "Program.config",  # set on `self`
        "RelaySnapshot.config",  # field of a struct
    ],
)
def test_existing_name_is_resolved(text: str) -> None:
    assert unresolved_texts([text], DEFINED_NAMES, ROOT) == []
