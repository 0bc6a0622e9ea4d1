"""Tree interpreter of the rule language: the reference for the results of compiled rules."""

from __future__ import annotations

import math
import re
from typing import Any

import xxhash

from violetdoor.match import tree
from violetdoor.match.types import format_address, pack_address


class Overflow(Exception):
    """Raised where compiled rules raise OverflowError."""


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
                first = self.evaluate(one, names)
                return self.evaluate(other, names) if first is None else first
            case tree.Operation(op=op, args=args):
                return self.evaluate_operation(op, [self.evaluate(a, names) for a in args])
        raise TypeError(node)

    def evaluate_operation(self, op: str, args: list[Any]) -> Any:
        if op == "not":
            return not args[0]
        if op == "has":
            return args[0] is not None
        if op == "!=":
            return not self.evaluate_operation("==", args)
        if None in args:
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
                return args[0] == args[1]
            case "<":
                return args[0] < args[1]
            case "<=":
                return args[0] <= args[1]
            case ">":
                return args[0] > args[1]
            case ">=":
                return args[0] >= args[1]
            case "in":
                return (
                    any(prefix_contains(p, args[0]) for p in args[1])
                    if isinstance(args[1], tuple)
                    else args[0] in args[1]
                )
            case "matches":
                return re.search(args[1], args[0]) is not None
            case "fits":
                pattern = re.escape(args[1]).replace(r"\*", r"[^.]+")
                return re.fullmatch(re.sub(r">$", r"[^.]+(\\.[^.]+)*", pattern), args[0], re.S) is not None
            case "starts_with":
                return args[0][: len(args[1])] == args[1]
            case "ends_with":
                return args[1] == "" or args[0][-len(args[1]) :] == args[1]
            case "contains":
                return args[0].find(args[1]) >= 0
            case "+":
                return check_range(args[0] + args[1])
            case "-":
                return check_range(args[0] - args[1])
            case "*":
                return check_range(args[0] * args[1])
            case "/":
                if args[1] == 0:
                    return None
                return check_range(
                    args[0] / args[1] if isinstance(args[0] + args[1], float) else args[0] // args[1]
                )
            case "%":
                return args[0] % args[1] if args[1] else None
            case "negative":
                return check_range(-args[0])
            case "index":
                if isinstance(args[0], dict):
                    return args[0].get(args[1])
                return args[0][args[1]] if 0 <= args[1] < len(args[0]) else None
            case "lower":
                return args[0].lower()
            case "split":
                return args[0].split(args[1], args[2] - 1)
            case "token":
                tokens = args[0].split(".", args[1] + 1)
                return tokens[args[1]] if args[1] < len(tokens) else None
            case "len":
                return len(args[0])
            case "hash":
                hashed_bytes = (
                    args[0].to_bytes(8, "little", signed=True)
                    if isinstance(args[0], int)
                    else args[0].encode()
                )
                return xxhash.xxh3_64_intdigest(hashed_bytes) % args[1]
            case "int":
                if not isinstance(args[0], str):
                    return args[0]
                found = re.fullmatch(r"[+-]?[0-9]{1,19}", args[0])
                n = int(args[0]) if found else None
                return n if n is not None and -(1 << 63) <= n < 1 << 63 else None
            case "float":
                if not isinstance(args[0], str):
                    return float(args[0])
                return float(args[0]) if re.fullmatch(r"[+-]?[0-9]{1,19}(\.[0-9]{1,19})?", args[0]) else None
            case "address":
                return pack_address(args[0])
            case "text":
                return format_address(args[0]) if isinstance(args[0], bytes) else str(args[0])
            case "min" | "max":
                return (min if op == "min" else max)(args)
        raise TypeError(op)


def prefix_contains(prefix: tuple[bytes, int], address: bytes) -> bool:
    bits = len(address) * 8
    prefix_bits, address_bits = int.from_bytes(prefix[0], "big"), int.from_bytes(address, "big")
    return len(prefix[0]) == len(address) and (prefix_bits ^ address_bits) >> (bits - prefix[1]) == 0
