"""Explains a decision.

For one request, lists each rule before the one that matched, with the term that failed.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from violetdoor.match import tree
from violetdoor.match.emit import Emitter
from violetdoor.match.faults import Span, excerpt
from violetdoor.match.load import CheckedRule, Loaded
from violetdoor.match.runtime import ENVIRONMENT, PrefixTable, Request, Verdict, compile_pattern
from violetdoor.match.typed import TypedNode
from violetdoor.match.types import ADDRESS, format_address

MAX_SHOWN_OPERANDS = 4  # of one term


@dataclass(slots=True)
class Step:
    """One rule that was evaluated: whether it matched, else the term that failed and its operands."""

    rule: str
    line: int
    matched: bool
    term: str = ""
    values: list[str] = field(default_factory=list)
    looked_up: bool = False  # a look-up excludes the rule for this request: the compiled rules do not test it
    cost_us: float = 0.0


@dataclass(slots=True)
class Explanation:
    """The verdict on a request, and the rules that were evaluated for it."""

    verdict: Verdict
    steps: list[Step]
    cost_us: float  # worst case of the whole set
    tested_rules: int  # rules that no look-up excluded
    failure: str = ""


def conjuncts(node: tree.Node) -> Iterator[tree.Node]:
    """Yield the terms of a condition that must all hold, as written in the source."""
    if isinstance(node, tree.Operation) and node.op == "and":
        for arg in node.args:
            yield from conjuncts(arg)
    else:
        yield node


class Evaluator:
    """Evaluates any checked expression on a request."""

    def __init__(self, loaded: Loaded) -> None:
        self.loaded = loaded
        sets = loaded.checker.sets
        self.namespace: dict[str, Any] = dict(ENVIRONMENT) | {"S": sets.string_sets, "N": [], "V": Verdict}
        for members in sets.prefix_sets:
            prefix_table = PrefixTable()
            for _ in prefix_table.fill((address, length, True) for address, length in members):
                pass
            self.namespace["N"].append(prefix_table)

    def value(self, node: TypedNode, request: Request) -> Any:
        """Return the value of a node."""
        emitter = Emitter({})
        emitter.function("value", node)
        namespace = dict(self.namespace)
        namespace["P"] = [compile_pattern(p) for p in emitter.patterns]
        namespace["C"] = emitter.constants
        exec("".join(emitter.functions), namespace)
        return namespace["value"](request, [])


def explain(loaded: Loaded, request: Request) -> Explanation:
    """Evaluate the rules on a request, up to the one that decides it."""
    rule_set = loaded.build()
    evaluator = Evaluator(loaded)
    candidates = set(rule_set.candidates(request, [*rule_set._empty_memo]))
    verdict = rule_set.decide(request)
    steps: list[Step] = []
    tested_rules = 0
    for index, checked in enumerate(loaded.rules):
        step = _explain_rule(loaded, evaluator, checked, request)
        step.looked_up = index not in candidates
        tested_rules += not step.looked_up
        steps.append(step)
        if step.matched:
            break
    else:
        line, _ = loaded.faults.position(loaded.default.offset)
        steps.append(Step("default", line, True))
    return Explanation(verdict, steps, rule_set.cost_ns / 1000, tested_rules, rule_set.last_failure)


def _explain_rule(loaded: Loaded, evaluator: Evaluator, checked: CheckedRule, request: Request) -> Step:
    line, _ = loaded.faults.position(checked.offset)
    step = Step(checked.name, line, True, cost_us=checked.cost_ns / 1000)
    assert checked.rule.when is not None
    for node in conjuncts(checked.rule.when):
        loaded.checker.offset = checked.offset
        typed = loaded.checker.check(node)
        try:
            holds = evaluator.value(typed, request)
        except (OverflowError, ZeroDivisionError) as err:
            holds, step.values = False, [f"fails: {err}"]
        if not holds:
            step.matched = False
            step.term = excerpt(_source_text(loaded, node.span, checked.offset))[1:-1]
            step.values += list(_operands(loaded, evaluator, node, checked.offset, request))
            break
    return step


def _source_text(loaded: Loaded, span: Span, offset: int) -> str:
    return loaded.text[span.start + offset : span.end + offset]


def _operands(
    loaded: Loaded, evaluator: Evaluator, node: tree.Node, offset: int, request: Request
) -> Iterator[str]:
    """Yield the values of the names and look-ups in a term, constants excepted."""
    pending, seen = [node], set[str]()
    while pending and len(seen) < MAX_SHOWN_OPERANDS:
        current = pending.pop(0)
        match current:
            case tree.Operation(op=op, args=args) if op not in ("index", "lower", "split", "token"):
                pending += args
                continue
            case tree.Operation() | tree.Name():
                pass
            case tree.ListLiteral(items=items):
                pending += items
                continue
            case _:
                continue
        text = _source_text(loaded, current.span, offset)
        typed = loaded.checker.check(current)
        if text in seen or typed.is_constant or typed.op == "set":
            continue
        seen.add(text)
        try:
            value = evaluator.value(typed, request)
        except (OverflowError, ZeroDivisionError):
            continue
        yield f"{text} is {'missing' if value is None else _format_value(typed, value)}"


def _format_value(typed: TypedNode, value: Any) -> str:
    return (
        format_address(value)
        if typed.type.base == ADDRESS
        else excerpt(str(value))
        if isinstance(value, str)
        else str(value)
    )
