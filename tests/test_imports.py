"""Import rules: no import cycles, and no input or output reachable from modules that make decisions."""

from __future__ import annotations

import ast
import re
from dataclasses import dataclass, field
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import pytest
from standins import ROOT

PACKAGES = ("violetdoor",)
# Packages that make decisions without input or output, and the modules of each that do its input and output.
DECISION_PACKAGES: dict[str, set[str]] = {
    "violetdoor.balancing": set(),
    "violetdoor.simhost": set(),
    "violetdoor.match": set(),
    "violetdoor.control.relay": {"client"},
    "violetdoor.fleet": {
        "calls",
        "datagrams",
        "durable_output",
        "endpoint",
        "frame_socket",
        "service",
        "state_file",
        "streams",
        "tasks",
    },
    "violetdoor.overload": {"meter", "service"},
}
# In the docstring of a module of another package, marks that it makes decisions without input or output.
NO_IO_PHRASE = re.compile(r"\b(without|no) (input or output|I/O)\b", re.IGNORECASE)
INPUT_OUTPUT = {
    "asyncio",
    "http",
    "select",
    "selectors",
    "socket",
    "socketserver",
    "ssl",
    "subprocess",
    "uvloop",
}
# Members of `socket` that only convert addresses.
PURE_SOCKET_MEMBERS = {"AF_INET", "AF_INET6", "inet_ntop", "inet_pton"}


@dataclass
class Module:
    """One module: its docstring, and its imports, including those for type checking only."""

    doc: str
    project: set[str] = field(default_factory=set)  # modules of the project
    input_output: set[str] = field(default_factory=set)


def modules(root: Path) -> dict[str, Module]:
    """Return all modules of the project by name."""
    paths = {}
    for package in PACKAGES:
        for path in (root / package).rglob("*.py"):
            parts = path.relative_to(root).with_suffix("").parts
            paths[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    found = {}
    for name, path in paths.items():
        tree = ast.parse(path.read_text())
        found[name] = module = Module(ast.get_docstring(tree) or "")
        for node in ast.walk(tree):
            if isinstance(node, ast.Import):
                imported = [(alias.name, "") for alias in node.names]
            elif isinstance(node, ast.ImportFrom):
                assert not node.level, f"{path}: a relative import"
                imported = [(node.module or "", alias.name) for alias in node.names]
            else:
                continue
            for source, member in imported:
                target = f"{source}.{member}" if f"{source}.{member}" in paths else source
                if target in paths and target != name:
                    module.project.add(target)
                elif target.partition(".")[0] in INPUT_OUTPUT and not (
                    target == "socket" and member in PURE_SOCKET_MEMBERS
                ):
                    module.input_output.add(target)
    return found


def import_cycle(graph: dict[str, Module]) -> list[str]:
    """Return the modules of one import cycle; empty if there is no cycle."""
    try:
        TopologicalSorter({name: module.project for name, module in graph.items()}).prepare()
    except CycleError as err:
        return list(err.args[1])
    return []


def makes_decisions(name: str, module: Module) -> bool:
    """Return whether a module makes decisions without input or output."""
    package, _, last = name.rpartition(".")
    if package in DECISION_PACKAGES:
        return last not in DECISION_PACKAGES[package]
    return name in DECISION_PACKAGES or NO_IO_PHRASE.search(module.doc) is not None


def input_output(graph: dict[str, Module]) -> list[str]:
    """Return each import path from a module that makes decisions to one for input or output."""
    found = []
    for name in sorted(n for n, module in graph.items() if makes_decisions(n, module)):
        seen, waiting = {name}, [[name]]
        while waiting:
            import_path = waiting.pop()
            module = graph[import_path[-1]]
            found += [" -> ".join([*import_path, one]) for one in sorted(module.input_output)]
            waiting += [[*import_path, one] for one in sorted(module.project - seen)]
            seen |= module.project
    return found


def test_there_is_no_circle_of_imports() -> None:
    graph = modules(ROOT)
    assert len(graph) > 100
    assert import_cycle(graph) == []


def test_what_decides_reaches_no_socket_and_no_event_loop() -> None:
    graph = modules(ROOT)
    assert sum(makes_decisions(name, module) for name, module in graph.items()) > 40
    assert input_output(graph) == []


@pytest.mark.parametrize("under", ["", "if TYPE_CHECKING:\n    ", "def late():\n    "])
def test_a_circle_is_found_however_it_is_imported(tmp_path: Path, under: str) -> None:
    package = tmp_path / "violetdoor"
    package.mkdir()
    (package / "a.py").write_text("from violetdoor import b\n")
    (package / "b.py").write_text(f"{under}from violetdoor.c import thing\n")
    (package / "c.py").write_text("import json\n")
    assert import_cycle(modules(tmp_path)) == []
    (package / "c.py").write_text(f"{under}import violetdoor.a\n")
    assert set(import_cycle(modules(tmp_path))) == {"violetdoor.a", "violetdoor.b", "violetdoor.c"}


@pytest.mark.parametrize(
    "line", ["import socket", "from asyncio import Event", "from http.client import HTTPConnection"]
)
def test_input_and_output_is_found_also_behind_another_module(tmp_path: Path, line: str) -> None:
    package = tmp_path / "violetdoor"
    package.mkdir()
    (package / "rule.py").write_text(
        '"""Decides, without input or output."""\nfrom violetdoor.helper import x\n'
    )
    (package / "helper.py").write_text("from socket import inet_pton\n")
    assert input_output(modules(tmp_path)) == []
    (package / "helper.py").write_text(f"{line}\n")
    (found,) = input_output(modules(tmp_path))
    assert found.startswith("violetdoor.rule -> violetdoor.helper -> ")
