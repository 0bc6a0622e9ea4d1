"""The match language carried out as a plain tree, one node after another: what the compiled rules must equal."""

from __future__ import annotations

import math
import re
from typing import Any

import xxhash

from violetdoor.match import tree
from violetdoor.match.types import format_address, pack_address


class Overflow(Exception):
    """What compiled rules meet as OverflowError."""


def check_range(n: Any) -> Any:
    if isinstance(n, bool) or not isinstance(n, (int, float)):
        return n
    if isinstance(n, float):
        if not math.isfinite(n):
            raise Overflow
    elif not -(1 << 63) <= n < 1 << 63:
        raise Overflow
    return n


class Interpreter:
    def __init__(self, fields: dict[str, Any], sets: dict[str, Any], defines: dict[str, tree.Node]) -> None:
        self.fields, self.sets, self.defines = fields, sets, defines

    def evaluate(self, node: tree.Node, names: dict[str, Any]) -> Any:
        match node:
            case tree.Literal(value=value):
                return value
            case tree.Name(name=name):
                if name in names:
                    return names[name]
                if name in self.defines:
                    return self.evaluate(self.defines[name], {})
                return self.sets[name] if name in self.sets else self.fields[name]
            case tree.Let(name=name, value=value, body=body):
                return self.evaluate(body, names | {name: self.evaluate(value, names)})
            case tree.ListLiteral(items=items):
                return [self.evaluate(i, names) for i in items]
            case tree.MapLiteral(pairs=pairs):
                return {self.evaluate(k, names): self.evaluate(v, names) for k, v in pairs}
            case tree.Operation(op="and", args=args):
                return all(self.evaluate(a, names) for a in args)
            case tree.Operation(op="or", args=args):
                return any(self.evaluate(a, names) for a in args)
            case tree.Operation(op="if", args=(test, one, other)):
                return self.evaluate(one if self.evaluate(test, names) else other, names)
            case tree.Operation(op="??", args=(one, other)):
                held = self.evaluate(one, names)
                return self.evaluate(other, names) if held is None else held
            case tree.Operation(op=op, args=args):
                return self.evaluate_operation(op, [self.evaluate(a, names) for a in args])
        raise TypeError(node)

    def evaluate_operation(self, op: str, a: list[Any]) -> Any:
        if op == "not":
            return not a[0]
        if op == "has":
            return a[0] is not None
        if op == "!=":
            return not self.evaluate_operation("==", a)
        if None in a:
            tests = (
                "==",
                "<",
                "<=",
                ">",
                ">=",
                "in",
                "matches",
                "fits",
                "starts_with",
                "ends_with",
                "contains",
            )
            return False if op in tests else None
        match op:
            case "==":
                return a[0] == a[1]
            case "<":
                return a[0] < a[1]
            case "<=":
                return a[0] <= a[1]
            case ">":
                return a[0] > a[1]
            case ">=":
                return a[0] >= a[1]
            case "in":
                return (
                    any(prefix_contains(p, a[0]) for p in a[1]) if isinstance(a[1], tuple) else a[0] in a[1]
                )
            case "matches":
                return re.search(a[1], a[0]) is not None
            case "fits":
                pattern = re.escape(a[1]).replace(r"\*", r"[^.]+")
                return re.fullmatch(re.sub(r">$", r"[^.]+(\\.[^.]+)*", pattern), a[0], re.S) is not None
            case "starts_with":
                return a[0][: len(a[1])] == a[1]
            case "ends_with":
                return a[1] == "" or a[0][-len(a[1]) :] == a[1]
            case "contains":
                return a[0].find(a[1]) >= 0
            case "+":
                return check_range(a[0] + a[1])
            case "-":
                return check_range(a[0] - a[1])
            case "*":
                return check_range(a[0] * a[1])
            case "/":
                if a[1] == 0:
                    return None
                return check_range(a[0] / a[1] if isinstance(a[0] + a[1], float) else a[0] // a[1])
            case "%":
                return a[0] % a[1] if a[1] else None
            case "negative":
                return check_range(-a[0])
            case "index":
                if isinstance(a[0], dict):
                    return a[0].get(a[1])
                return a[0][a[1]] if 0 <= a[1] < len(a[0]) else None
            case "lower":
                return a[0].lower()
            case "split":
                return a[0].split(a[1], a[2] - 1)
            case "token":
                held = a[0].split(".", a[1] + 1)
                return held[a[1]] if a[1] < len(held) else None
            case "len":
                return len(a[0])
            case "hash":
                raw = a[0].to_bytes(8, "little", signed=True) if isinstance(a[0], int) else a[0].encode()
                return xxhash.xxh3_64_intdigest(raw) % a[1]
            case "int":
                if not isinstance(a[0], str):
                    return a[0]
                found = re.fullmatch(r"[+-]?[0-9]{1,19}", a[0])
                n = int(a[0]) if found else None
                return n if n is not None and -(1 << 63) <= n < 1 << 63 else None
            case "float":
                if not isinstance(a[0], str):
                    return float(a[0])
                return float(a[0]) if re.fullmatch(r"[+-]?[0-9]{1,19}(\.[0-9]{1,19})?", a[0]) else None
            case "address":
                return pack_address(a[0])
            case "text":
                return format_address(a[0]) if isinstance(a[0], bytes) else str(a[0])
            case "min" | "max":
                return (min if op == "min" else max)(a)
        raise TypeError(op)


def prefix_contains(prefix: tuple[bytes, int], address: bytes) -> bool:
    bits = len(address) * 8
    prefix_bits, address_bits = int.from_bytes(prefix[0], "big"), int.from_bytes(address, "big")
    return len(prefix[0]) == len(address) and (prefix_bits ^ address_bits) >> (bits - prefix[1]) == 0
