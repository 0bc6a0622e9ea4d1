"""Why the rules decide as they do.

For one request, each rule before the one that matched and the term that failed.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from violetdoor.match import tree
from violetdoor.match.emit import Emitter
from violetdoor.match.faults import Span, shown
from violetdoor.match.load import Checked, Loaded
from violetdoor.match.runtime import ENVIRONMENT, PrefixTable, Request, Verdict, compile_pattern
from violetdoor.match.typed import Typed
from violetdoor.match.types import ADDRESS, format_address

VALUES_MOST = 4  # operands that are shown of one term


@dataclass(slots=True)
class Step:
    """One rule that was looked at: whether it matched, else the term that did not hold and its operands."""

    rule: str
    line: int
    matched: bool
    term: str = ""
    values: list[str] = field(default_factory=list)
    looked_up: bool = False  # the compiled rules do not even test it for this request
    cost_us: float = 0.0


@dataclass(slots=True)
class Explanation:
    """What decided a request."""

    verdict: Verdict
    steps: list[Step]
    cost_us: float  # of the whole set at the worst
    tested_rules: int  # rules that were tested one by one, after the look-ups
    failure: str = ""


def conjuncts(node: tree.Node) -> Iterator[tree.Node]:
    """The parts of a condition that must all hold, as they are written."""
    if isinstance(node, tree.Apply) and node.op == "and":
        for arg in node.args:
            yield from conjuncts(arg)
    else:
        yield node


class Evaluator:
    """Computes any checked part for a request."""

    def __init__(self, loaded: Loaded) -> None:
        self.loaded = loaded
        sets = loaded.checker.sets
        self.space: dict[str, Any] = dict(ENVIRONMENT) | {"S": sets.texts, "N": [], "V": Verdict}
        for members in sets.nets:
            nets = PrefixTable()
            for _ in nets.fill((address, length, True) for address, length in members):
                pass
            self.space["N"].append(nets)

    def value(self, node: Typed, request: Request) -> Any:
        """The value of a part."""
        emitter = Emitter({})
        emitter.function("value", node)
        space = dict(self.space)
        space["P"] = [compile_pattern(p) for p in emitter.patterns]
        space["C"] = emitter.constants
        exec("".join(emitter.functions), space)
        return space["value"](request, [])


def explain(loaded: Loaded, request: Request) -> Explanation:
    """Follow one request through all rules up to the one that decides it."""
    ready = loaded.build()
    evaluator = Evaluator(loaded)
    candidates = set(ready.candidates(request, [*ready._blank]))
    verdict = ready.decide(request)
    steps: list[Step] = []
    tested = 0
    for n, checked in enumerate(loaded.rules):
        step = _step(loaded, evaluator, checked, request)
        step.looked_up = n not in candidates
        tested += not step.looked_up
        steps.append(step)
        if step.matched:
            break
    else:
        line, _ = loaded.faults.place(loaded.default.offset)
        steps.append(Step("default", line, True))
    return Explanation(verdict, steps, ready.cost_ns / 1000, tested, ready.last_failure)


def _step(loaded: Loaded, evaluator: Evaluator, checked: Checked, request: Request) -> Step:
    line, _ = loaded.faults.place(checked.offset)
    step = Step(checked.name, line, True, cost_us=checked.cost / 1000)
    assert checked.rule.when is not None
    for node in conjuncts(checked.rule.when):
        loaded.checker.offset = checked.offset
        typed = loaded.checker.check(node)
        try:
            held = evaluator.value(typed, request)
        except (OverflowError, ZeroDivisionError) as err:
            held, step.values = False, [f"fails: {err}"]
        if not held:
            step.matched = False
            step.term = shown(_text(loaded, node.span, checked.offset))[1:-1]
            step.values += list(_operands(loaded, evaluator, node, checked.offset, request))
            break
    return step


def _text(loaded: Loaded, span: Span, offset: int) -> str:
    return loaded.text[span.start + offset : span.end + offset]


def _operands(
    loaded: Loaded, evaluator: Evaluator, node: tree.Node, offset: int, request: Request
) -> Iterator[str]:
    """The values that a term was about: of names and look-ups in it that are no constants."""
    todo, seen = [node], set[str]()
    while todo and len(seen) < VALUES_MOST:
        at = todo.pop(0)
        match at:
            case tree.Apply(op=op, args=args) if op not in ("index", "lower", "split", "token"):
                todo += args
                continue
            case tree.Apply() | tree.Name():
                pass
            case tree.Items(items=items):
                todo += items
                continue
            case _:
                continue
        text = _text(loaded, at.span, offset)
        typed = loaded.checker.check(at)
        if text in seen or typed.constant or typed.op == "set":
            continue
        seen.add(text)
        try:
            value = evaluator.value(typed, request)
        except (OverflowError, ZeroDivisionError):
            continue
        yield f"{text} is {'missing' if value is None else _shown(typed, value)}"


def _shown(typed: Typed, value: Any) -> str:
    return (
        format_address(value)
        if typed.type.inner == ADDRESS
        else shown(str(value))
        if isinstance(value, str)
        else str(value)
    )
