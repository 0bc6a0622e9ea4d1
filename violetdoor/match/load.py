"""From the text of a rules file to what decides: parse, check, plan, compile; all faults together."""

from __future__ import annotations

import graphlib
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass
from typing import Any

from violetdoor.match import tree
from violetdoor.match.check import Checker, prefix
from violetdoor.match.emit import Emitter
from violetdoor.match.faults import Faults, Span, shown
from violetdoor.match.grammar import parse, sorted_out
from violetdoor.match.plan import Costs, Planner, RulePlan, terms_of, unreachable
from violetdoor.match.prices import table
from violetdoor.match.runtime import FORMAT, RuleSet
from violetdoor.match.typed import Graph, Typed
from violetdoor.match.types import BOOL, FAULTY, INT, PREFIXES, STRING, STRINGS, Schema

RULES_MOST = 20_000
MEMBERS_MOST = 1_000_000  # of all named sets of one source
OUTPUT_MOST = 512  # bytes of one output
LABELS_MOST = 16
DEFAULT_LIMIT_US = 250.0  # that a set may cost a request at the worst, where the settings say nothing
OUTPUTS = ("class", "tenant", "group", "key", "pool", "refuse")
TYPES = {"group": INT, "key": INT}

Reader = Callable[[str], str]


@dataclass(slots=True)
class Checked:
    """A rule that has passed the checker, with the text of each of its terms."""

    name: str
    rule: tree.Rule
    offset: int
    when: Typed
    outputs: dict[str, Typed]
    labels: dict[str, Typed]
    cost: float = 0.0


@dataclass(slots=True)
class Loaded:
    """A set of rules that loads: `data` is what a serving process takes, the rest is for tools."""

    data: dict[str, Any]
    rules: list[Checked]
    default: Checked
    text: str
    checker: Checker
    faults: Faults

    def build(self) -> RuleSet:
        """The rules, ready to decide in this process."""
        return RuleSet(self.data).build()


def no_files(name: str) -> str:
    """For rules that come without a folder: they may name no file."""
    raise OSError(f"no file {name!r} here")


@dataclass(slots=True)
class Loader:
    """Loads one source."""

    schema: Schema
    classes: Collection[str] | None = None  # that the site knows; none: any
    limit_us: float = DEFAULT_LIMIT_US
    read: Reader = no_files
    file: str = "rules"
    line: int = 1
    column: int = 1
    emitter: Callable[[dict[int, Typed]], Emitter] = Emitter

    def load(self, text: str) -> Loaded:
        """The rules of a text, or RulesError with all that is wrong."""
        faults = Faults(self.file, text, self.line, self.column)
        source, offsets = sorted_out(parse(text, faults))
        checker = Checker(self.schema, faults, Graph(table()))
        others = self.take_sets(source, offsets, checker)
        self.take_defines(source, offsets, checker)
        rules = [self.rule(rule, offsets[id(rule)], checker) for rule in source.rules[:RULES_MOST]]
        if len(source.rules) > RULES_MOST:
            faults.add(self.span(source.rules[RULES_MOST], offsets), f"over {RULES_MOST} rules")
        self.once(source, offsets, checker)
        default = None
        if not source.defaults:
            faults.add(Span(len(text), len(text)), "expected a default: default { ... }", "the end")
        else:
            default = self.rule(source.defaults[0], offsets[id(source.defaults[0])], checker)
        faults.check(*others)
        assert default is not None
        plans = [RulePlan(r.name, terms_of(r.when)) for r in rules]
        planner = Planner(plans, checker.sets)
        for at, why in unreachable(planner):
            faults.add(Span(rules[at].offset, rules[at].offset), f"unreachable: {why}", shown(rules[at].name))
        faults.check()
        data = self.compile(rules, default, planner, checker, faults)
        faults.check()
        return Loaded(data, rules, default, text, checker, faults)

    def span(self, item: Any, offsets: dict[int, int]) -> Span:
        start = offsets[id(item)]
        return Span(start + item.span.start, start + item.span.end)

    # Names.

    def once(self, source: tree.Source, offsets: dict[int, int], checker: Checker) -> None:
        """See that each name stands for one thing only."""
        taken: dict[str, str] = {name: "a field" for name in self.schema.fields}
        items: list[tree.NamedSet | tree.Define] = [*source.sets, *source.defines]
        for item in items:
            if item.name in taken:
                expected = f"{item.name!r} is taken by {taken[item.name]}; expected a new name"
                checker.faults.add(self.span(item, offsets), expected)
            taken[item.name] = "a set" if isinstance(item, tree.NamedSet) else "a named expression"
        names: set[str] = set()
        for rule in source.rules:
            if rule.name in names or rule.name == "default" or not rule.name:
                checker.faults.add(
                    self.span(rule, offsets), f"rule {rule.name!r}: expected a name of its own"
                )
            names.add(rule.name)
        for extra in source.defaults[1:]:
            checker.faults.add(self.span(extra, offsets), "a second default; expected one")

    def take_sets(self, source: tree.Source, offsets: dict[int, int], checker: Checker) -> list[Faults]:
        """Read the named sets; the faults of files that they come from."""
        others: list[Faults] = []
        room = MEMBERS_MOST
        for item in source.sets:
            start = offsets[id(item)]
            faults, shift = checker.faults, start
            members: list[tuple[str, Span]] = list(item.members)
            if item.file:
                try:
                    text = self.read(item.file)
                except (OSError, ValueError) as err:
                    why = getattr(err, "strerror", None) or str(err)
                    checker.faults.add(self.span(item, offsets), f"{item.file}: {why}")
                    continue
                faults, shift = Faults(item.file, text), 0
                others.append(faults)
                members = list(lines(text))
            room -= len(members)
            if room < 0:
                expected = f"the sets hold over {MEMBERS_MOST} members together"
                checker.faults.add(self.span(item, offsets), expected)
                break
            kind = STRINGS if item.kind == "strings" else PREFIXES
            place = self.take_members(kind, members, checker, faults, shift)
            checker.sets.named.setdefault(item.name, Typed("set", kind, value=place))
        return others

    def take_members(
        self, kind: Any, members: list[tuple[str, Span]], checker: Checker, faults: Faults, shift: int
    ) -> int:
        if kind == STRINGS:
            checker.sets.texts.append(frozenset(text for text, _ in members))
            return len(checker.sets.texts) - 1
        found: dict[tuple[bytes, int], None] = {}
        for text, span in members:
            network = prefix(text)
            if network is None:
                expected = "expected an address or a prefix with no bits set behind its length"
                faults.add(Span(span.start + shift, span.end + shift), expected)
            else:
                found[network] = None
        checker.sets.nets.append(tuple(found))
        return len(checker.sets.nets) - 1

    def take_defines(self, source: tree.Source, offsets: dict[int, int], checker: Checker) -> None:
        """Type the named expressions, each after those that it uses."""
        named = {d.name: d for d in source.defines}
        uses = {name: names_in(d.body) & named.keys() for name, d in named.items()}
        sorter = graphlib.TopologicalSorter(uses)
        try:
            order = list(sorter.static_order())
        except graphlib.CycleError as err:
            cycle = [str(name) for name in reversed(err.args[1])]
            first = named[cycle[0]]
            checker.faults.add(
                self.span(first, offsets), f"named expressions in a circle: {' -> '.join(cycle)}"
            )
            order = []
            checker.defines.update({name: checker.faulty for name in named})
        for name in order:
            define = named[name]
            checker.offset = offsets[id(define)]
            checker.defines[name] = checker.check(define.body)

    # Rules.

    def rule(self, rule: tree.Rule, offset: int, checker: Checker) -> Checked:
        """Type a rule's condition and outputs."""
        checker.offset = offset
        when = checker.graph.constant(BOOL, True)
        if rule.when is not None:
            when = checker.wanted(rule.when, checker.check(rule.when), BOOL)
        outputs: dict[str, Typed] = {}
        labels: dict[str, Typed] = {}
        for output in rule.outputs:
            value = self.output(output, checker)
            held, name = (labels, output.label) if output.name == "label" else (outputs, output.name)
            if output.name not in self.schema.outputs:
                can = ", ".join(sorted(self.schema.outputs))
                checker.fault(output.span, f"{self.schema.front} can't use it; expected one of {can}")
            if name in held or len(labels) >= LABELS_MOST:
                checker.fault(output.span, "expected each output once, and at most 16 labels")
            held[name] = value
        return Checked(rule.name, rule, offset, when, outputs, labels)

    def output(self, output: tree.Output, checker: Checker) -> Typed:
        value = checker.wanted(output.value, checker.check(output.value), TYPES.get(output.name, STRING))
        if value.type is FAULTY:
            return value
        if value.type == STRING and value.size > OUTPUT_MOST:
            return checker.fault(
                output.value.span, f"may hold {value.size} bytes; expected at most {OUTPUT_MOST}"
            )
        if output.name == "class" and self.classes is not None:
            for one in possible(value):
                if one not in self.classes:
                    known = ", ".join(sorted(self.classes)[:10])
                    return checker.fault(output.value.span, f"unknown class {one!r}; expected one of {known}")
        return value

    # Compiling.

    def compile(
        self, rules: list[Checked], default: Checked, planner: Planner, checker: Checker, faults: Faults
    ) -> dict[str, Any]:
        """What a serving process takes, and the set's cost."""
        groups = planner.groups()
        every = [*rules, default]
        roots: list[Typed] = [g.value for g in groups]
        for plan in planner.rules:
            roots += plan.rest
        for rule in every:
            roots += [v for v in (*rule.outputs.values(), *rule.labels.values())]
        price = checker.graph.price
        costs = Costs(price("memo"), 2 * price("memo"))
        costs.learn(roots)
        emitter = self.emitter(costs.shared)
        tables, worst = [], price("decide")
        for n, group in enumerate(groups):
            found, chains = planner.table(group)
            lookups = len(found) if group.kind == "prefix" else 1
            worst += price("net" if group.kind == "net" else "lookup", group.value.size) * lookups
            worst += costs.of(group.value)
            worst += max(
                (sum(self.tested(planner.rules[at], costs, price) for at in c) for c in chains), default=0.0
            )
            tables.append((group.kind, emitter.function(f"g{n}", group.value), found))
        fixed = tuple(at for at, plan in enumerate(planner.rules) if plan.index is None)
        worst += sum(self.tested(planner.rules[at], costs, price) for at in fixed)
        outputs = [self.outcome(f"o{n}", rule, emitter, costs) for n, rule in enumerate(every)]
        worst += price("verdict") + max(cost for _, cost in outputs) + costs.once()
        rows = []
        for n, plan in enumerate(planner.rules):
            rules[n].cost = self.tested(plan, costs, price) + outputs[n][1]
            rows.append((emitter.conjunction(f"w{n}", plan.rest), outputs[n][0]))
        self.see_cost(worst, rules, costs, faults)
        texts = {n for table_, n in emitter.sets_used if table_ == "S"}
        nets = {n for table_, n in emitter.sets_used if table_ == "N"}
        return {
            "format": FORMAT, "names": [r.name for r in rules], "used": sorted(emitter.used), "cost": worst,
            "origin": self.file, "shared": len(costs.shared), "fixed": fixed, "patterns": emitter.patterns,
            "constants": emitter.constants, "code": emitter.compiled(), "rules": rows,
            "default": outputs[-1][0], "groups": tables,
            "texts": [held if n in texts else frozenset() for n, held in enumerate(checker.sets.texts)],
            "nets": [held if n in nets else () for n, held in enumerate(checker.sets.nets)],
        }  # fmt: skip

    @staticmethod
    def tested(plan: RulePlan, costs: Costs, price: Callable[..., float]) -> float:
        """What a rule costs that a look-up has not left out."""
        return price("rule") + sum(costs.of(term) for term in plan.rest)

    def outcome(self, name: str, rule: Checked, emitter: Emitter, costs: Costs) -> tuple[Any, float]:
        """A rule's verdict: its values where all are known, else the function that makes it; and its cost."""
        values = [rule.outputs.get(output) for output in OUTPUTS]
        held = [*values, *rule.labels.values()]
        cost = sum(costs.of(v) for v in held if v is not None)
        if all(v is None or v.constant for v in held):
            labels = {label: v.value for label, v in rule.labels.items()}
            return (rule.name, *(v.value if v else None for v in values), labels), cost
        parts = ", ".join("None" if v is None else emitter.code(v) for v in values)
        labels_code = ", ".join(f"{label!r}: {emitter.code(v)}" for label, v in rule.labels.items())
        return emitter.define(name, f"V({rule.name!r}, {parts}, {{{labels_code}}})"), cost

    def see_cost(self, worst: float, rules: list[Checked], costs: Costs, faults: Faults) -> None:
        """Refuse a set that could cost a request more than its site allows."""
        if worst <= self.limit_us * 1000:
            return
        dear = sorted(rules, key=lambda r: r.cost, reverse=True)[:3]
        names = ", ".join(f"{r.name!r} {r.cost / 1000:.1f}" for r in dear)
        shared = f", shared parts {costs.once() / 1000:.1f}" if costs.shared else ""
        start = dear[0].offset if dear else 0
        faults.add(
            Span(start, start),
            f"the rules cost a request up to {worst / 1000:.0f} us; expected at most {self.limit_us:g}: "
            f"{names}{shared}",
            shown(dear[0].name) if dear else "the default",
        )


def possible(value: Typed) -> Iterator[str]:
    """The constants that an output can be, as far as they are known at load."""
    if value.constant:
        if isinstance(value.value, str):
            yield value.value
        elif isinstance(value.value, dict):
            yield from value.value.values()
    elif value.op in ("if", "??"):
        yield from (one for arg in value.args[-2:] for one in possible(arg))
    elif value.op == "get":
        yield from possible(value.args[0])


def names_in(node: tree.Node) -> set[str]:
    """All names that an expression uses."""
    found, todo = set[str](), [node]
    while todo:
        match todo.pop():
            case tree.Name(name=name):
                found.add(name)
            case tree.Apply(args=args) | tree.Items(items=args):
                todo += args
            case tree.Let(value=value, body=body):
                todo += [value, body]
            case tree.Pairs(pairs=pairs):
                todo += [n for p in pairs for n in p]
    return found


def lines(text: str) -> Iterator[tuple[str, Span]]:
    """The members that a set's file lists: one a line, nothing for blank lines and comments."""
    at = 0
    for line in text.splitlines(keepends=True):
        member = line.partition("#")[0].strip()
        if member:
            start = at + line.index(member)
            yield member, Span(start, start + len(member))
        at += len(line)
