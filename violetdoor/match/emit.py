"""Code generation: one small Python function for each condition, output and shared expression."""

from __future__ import annotations

import marshal
from typing import Any

from violetdoor.match.typed import TypedNode, generate_code

MAX_NESTING = 20  # levels of the expression in one function; Python's parser accepts 200 nested brackets
FUNCTIONS_PER_BLOB = 500  # functions compiled into one code object
INLINE_TYPES = (str, int, float, bytes, type(None))  # constants of these types are written into the code


class Emitter:
    """Collects generated functions and the tables that they read.

    Each function takes a request `r` and the memo `m` of shared values.
    """

    def __init__(self, shared: dict[int, TypedNode]) -> None:
        self.memo_slots = {node_id: slot for slot, node_id in enumerate(shared)}
        self.functions: list[str] = []
        self.patterns: list[str] = []
        self.constants: list[Any] = []
        self.constant_indexes: dict[tuple[str, Any], int] = {}
        self.used_fields: set[str] = set()
        self.used_sets: set[tuple[str, int]] = set()
        self._helper_count = self._name_count = 0
        for node_id, node in shared.items():
            slot = self.memo_slots[node_id]
            body = self.code(node, ignore_memo=True)
            self.functions.append(f"def s{slot}(r, m):\n x = m[{slot}] = {body}\n return x\n")

    def function(self, name: str, node: TypedNode) -> str:
        """Define a function that computes a node; return the function's name."""
        return self.define(name, self.code(node))

    def define(self, name: str, body: str) -> str:
        """Define a function that returns an expression; return the function's name."""
        self.functions.append(f"def {name}(r, m):\n return {body}\n")
        return name

    def conjunction(self, name: str, terms: tuple[TypedNode, ...]) -> str | None:
        """Define a function that tests whether all terms hold; return its name, None without terms."""
        return self.define(name, " and ".join(map(self.code, terms))) if terms else None

    def new_name(self) -> str:
        """Return a variable name that is not used yet."""
        self._name_count += 1
        return f"x{self._name_count}"

    def code(self, node: TypedNode, ignore_memo: bool = False, level: int = 0) -> str:
        """Return the expression that computes a node.

        With `ignore_memo`, a shared node is computed, not read from its memo slot.
        """
        if node.is_constant:
            return self.constant(node.value)
        if node.op == "field":
            self.used_fields.add(node.value[1])
            return f"r[{node.value[0]}]"
        if node.node_id in self.memo_slots and not ignore_memo:
            slot = self.memo_slots[node.node_id]
            return f"(m[{slot}] if m[{slot}] is not U else s{slot}(r, m))"
        if level >= MAX_NESTING:
            self._helper_count += 1
            return self.define(f"h{self._helper_count}", self.code(node, ignore_memo=True)) + "(r, m)"
        args = [self.code(arg, level=level + 1) for arg in node.args]
        return generate_code(node, args, self.operand_constant(node), self.new_name)

    def operand_constant(self, node: TypedNode) -> str:
        """Return the code of the constant that a node has besides its operands."""
        if node.value is None:
            return ""
        kind, content = node.value
        match kind:
            case "set":
                table = "N" if node.op == "in nets" else "S"
                self.used_sets.add((table, content))
                return f"{table}[{content}]"
            case "values":
                return f"C[{self.constant_index('values', content, frozenset(content))}]"
            case "pattern":
                if ("pattern", content) not in self.constant_indexes:
                    self.constant_indexes["pattern", content] = len(self.patterns)
                    self.patterns.append(content)
                return f"P[{self.constant_indexes['pattern', content]}]"
            case "tokens":
                return self.constant(content)
        return repr(content)

    def constant(self, value: Any) -> str:
        """Return the code of a constant: its literal, or a reference to the table of constants."""
        if isinstance(value, INLINE_TYPES):
            return f"({value!r})" if isinstance(value, (int, float)) and value < 0 else repr(value)
        return f"C[{self.constant_index('constant', repr(value), value)}]"

    def constant_index(self, kind: str, key: Any, value: Any) -> int:
        """Return the index of a constant in the table; add the constant if it is missing."""
        key = (kind, repr(key))
        if key not in self.constant_indexes:
            self.constant_indexes[key] = len(self.constants)
            self.constants.append(value)
        return self.constant_indexes[key]

    def compile_functions(self) -> list[bytes]:
        """Return all functions as marshalled code objects, for processes of the same Python version."""
        starts = range(0, len(self.functions), FUNCTIONS_PER_BLOB)
        sources = ["".join(self.functions[n : n + FUNCTIONS_PER_BLOB]) for n in starts]
        return [marshal.dumps(compile(source, "<rules>", "exec", optimize=2)) for source in sources]
