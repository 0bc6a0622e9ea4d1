"""Code out of typed parts: one small function for each condition, output and shared part."""

from __future__ import annotations

import marshal
from typing import Any

from violetdoor.match.typed import Typed, generate_code

LEVELS_MOST = 20  # in one function: Python's own parser takes 200 brackets inside each other
FUNCTIONS_A_CODE = 500
PLAIN = (str, int, float, bytes, type(None))


class Emitter:
    """Collects functions and the tables that they read."""

    def __init__(self, shared: dict[int, Typed]) -> None:
        self.slots = {number: slot for slot, number in enumerate(shared)}
        self.functions: list[str] = []
        self.patterns: list[str] = []
        self.constants: list[Any] = []
        self.places: dict[tuple[str, Any], int] = {}
        self.used: set[str] = set()
        self.sets_used: set[tuple[str, int]] = set()
        self._helpers = self._names = 0
        for number, node in shared.items():
            slot = self.slots[number]
            body = self.code(node, top=True)
            self.functions.append(f"def s{slot}(r, m):\n x = m[{slot}] = {body}\n return x\n")

    def function(self, name: str, node: Typed) -> str:
        """A function that computes a part."""
        return self.define(name, self.code(node))

    def define(self, name: str, body: str) -> str:
        """A function that returns this."""
        self.functions.append(f"def {name}(r, m):\n return {body}\n")
        return name

    def conjunction(self, name: str, terms: tuple[Typed, ...]) -> str | None:
        """A function that tells whether all terms hold; none where there are none."""
        return self.define(name, " and ".join(map(self.code, terms))) if terms else None

    def fresh(self) -> str:
        """A name that no code has yet."""
        self._names += 1
        return f"x{self._names}"

    def code(self, node: Typed, top: bool = False, level: int = 0) -> str:
        """The expression that computes a part."""
        if node.constant:
            return self.constant(node.value)
        if node.op == "field":
            self.used.add(node.value[1])
            return f"r[{node.value[0]}]"
        if node.number in self.slots and not top:
            slot = self.slots[node.number]
            return f"(m[{slot}] if m[{slot}] is not U else s{slot}(r, m))"
        if level >= LEVELS_MOST:
            self._helpers += 1
            return self.define(f"h{self._helpers}", self.code(node, top=True)) + "(r, m)"
        args = [self.code(arg, level=level + 1) for arg in node.args]
        return generate_code(node, args, self.value(node), self.fresh)

    def value(self, node: Typed) -> str:
        """The constant beside a part's operands."""
        if node.value is None:
            return ""
        kind, held = node.value
        match kind:
            case "set":
                table = "N" if node.op == "in nets" else "S"
                self.sets_used.add((table, held))
                return f"{table}[{held}]"
            case "values":
                return f"C[{self.place('values', held, frozenset(held))}]"
            case "pattern":
                if ("pattern", held) not in self.places:
                    self.places["pattern", held] = len(self.patterns)
                    self.patterns.append(held)
                return f"P[{self.places['pattern', held]}]"
            case "tokens":
                return self.constant(held)
        return repr(held)

    def constant(self, value: Any) -> str:
        """A constant where it stands, or in the table where it is no plain one."""
        if isinstance(value, PLAIN):
            return f"({value!r})" if isinstance(value, (int, float)) and value < 0 else repr(value)
        return f"C[{self.place('constant', repr(value), value)}]"

    def place(self, kind: str, key: Any, value: Any) -> int:
        """Where a constant stands in the table."""
        key = (kind, repr(key))
        if key not in self.places:
            self.places[key] = len(self.constants)
            self.constants.append(value)
        return self.places[key]

    def compiled(self) -> list[bytes]:
        """All functions as code that a process of the same Python takes in."""
        parts = range(0, len(self.functions), FUNCTIONS_A_CODE)
        texts = ["".join(self.functions[n : n + FUNCTIONS_A_CODE]) for n in parts]
        return [marshal.dumps(compile(text, "<rules>", "exec", optimize=2)) for text in texts]
