"""Loads rules: parses, checks, plans and compiles the text of a rules file; reports all faults together."""

from __future__ import annotations

import graphlib
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass
from typing import Any

from violetdoor.match import tree
from violetdoor.match.check import Checker, parse_prefix
from violetdoor.match.emit import Emitter
from violetdoor.match.faults import Faults, Span, excerpt
from violetdoor.match.grammar import group_items, parse
from violetdoor.match.plan import Costs, Planner, RulePlan, split_terms, unreachable_rules
from violetdoor.match.prices import price_table
from violetdoor.match.runtime import FORMAT_VERSION, RuleSet
from violetdoor.match.typed import Graph, TypedNode
from violetdoor.match.types import BOOL, ERROR_TYPE, INT, PREFIX_SET, STRING, STRING_SET, Schema

MAX_RULES = 20_000
MAX_SET_MEMBERS = 1_000_000  # of all named sets of one source together
MAX_OUTPUT_BYTES = 512  # of one output's value
MAX_LABELS = 16
DEFAULT_LIMIT_US = 250.0  # limit on the worst-case cost of a request, unless the settings have another
VERDICT_OUTPUTS = ("class", "tenant", "group", "key", "pool", "refuse")
OUTPUT_TYPES = {"group": INT, "key": INT}

ReadFile = Callable[[str], str]


@dataclass(slots=True)
class CheckedRule:
    """A rule with its typed condition and outputs."""

    name: str
    rule: tree.Rule
    offset: int  # of the rule in the source, in characters
    when: TypedNode
    outputs: dict[str, TypedNode]
    labels: dict[str, TypedNode]
    cost_ns: float = 0.0


@dataclass(slots=True)
class Loaded:
    """A set of rules without faults: `data` is for serving processes, the rest is for tools."""

    data: dict[str, Any]
    rules: list[CheckedRule]
    default: CheckedRule
    text: str
    checker: Checker
    faults: Faults

    def build(self) -> RuleSet:
        """Return the rules, ready to decide in this process."""
        return RuleSet(self.data).build()


def reject_file(name: str) -> str:
    """Reject every file: rules that are loaded without a folder cannot read sets from files."""
    raise OSError(f"no file {name!r} here")


@dataclass(slots=True)
class Loader:
    """Loads one rules source."""

    schema: Schema
    classes: Collection[str] | None = None  # classes that outputs may name; None allows any
    limit_us: float = DEFAULT_LIMIT_US
    read_file: ReadFile = reject_file
    file: str = "rules"
    first_line: int = 1
    first_column: int = 1
    emitter: Callable[[dict[int, TypedNode]], Emitter] = Emitter

    def load(self, text: str) -> Loaded:
        """Return the rules of a text; raises RulesError with all faults."""
        faults = Faults(self.file, text, self.first_line, self.first_column)
        source, offsets = group_items(parse(text, faults))
        checker = Checker(self.schema, faults, Graph(price_table()))
        file_faults = self.load_sets(source, offsets, checker)
        self.check_defines(source, offsets, checker)
        rules = [self.check_rule(rule, offsets[id(rule)], checker) for rule in source.rules[:MAX_RULES]]
        if len(source.rules) > MAX_RULES:
            faults.add(self.item_span(source.rules[MAX_RULES], offsets), f"over {MAX_RULES} rules")
        self.check_names(source, offsets, checker)
        default = None
        if not source.defaults:
            faults.add(Span(len(text), len(text)), "expected a default: default { ... }", "the end")
        else:
            default = self.check_rule(source.defaults[0], offsets[id(source.defaults[0])], checker)
        faults.raise_if_any(*file_faults)
        assert default is not None
        plans = [RulePlan(r.name, split_terms(r.when)) for r in rules]
        planner = Planner(plans, checker.sets)
        for index, reason in unreachable_rules(planner):
            faults.add(
                Span(rules[index].offset, rules[index].offset),
                f"unreachable: {reason}",
                excerpt(rules[index].name),
            )
        faults.raise_if_any()
        data = self.compile(rules, default, planner, checker, faults)
        faults.raise_if_any()
        return Loaded(data, rules, default, text, checker, faults)

    def item_span(self, item: Any, offsets: dict[int, int]) -> Span:
        start = offsets[id(item)]
        return Span(start + item.span.start, start + item.span.end)

    # Names.

    def check_names(self, source: tree.Source, offsets: dict[int, int], checker: Checker) -> None:
        """Report names that are used twice, and more than one default."""
        taken: dict[str, str] = {name: "a field" for name in self.schema.fields}
        items: list[tree.NamedSet | tree.Define] = [*source.sets, *source.defines]
        for item in items:
            if item.name in taken:
                expected = f"{item.name!r} is taken by {taken[item.name]}; expected a new name"
                checker.faults.add(self.item_span(item, offsets), expected)
            taken[item.name] = "a set" if isinstance(item, tree.NamedSet) else "a named expression"
        names: set[str] = set()
        for rule in source.rules:
            if rule.name in names or rule.name == "default" or not rule.name:
                checker.faults.add(
                    self.item_span(rule, offsets), f"rule {rule.name!r}: expected a name of its own"
                )
            names.add(rule.name)
        for extra in source.defaults[1:]:
            checker.faults.add(self.item_span(extra, offsets), "a second default; expected one")

    def load_sets(self, source: tree.Source, offsets: dict[int, int], checker: Checker) -> list[Faults]:
        """Read the named sets; return the faults of the files that list their members."""
        file_faults: list[Faults] = []
        remaining_members = MAX_SET_MEMBERS
        for item in source.sets:
            item_offset = offsets[id(item)]
            member_faults, offset = checker.faults, item_offset
            members: list[tuple[str, Span]] = list(item.members)
            if item.file:
                try:
                    text = self.read_file(item.file)
                except (OSError, ValueError) as err:
                    reason = getattr(err, "strerror", None) or str(err)
                    checker.faults.add(self.item_span(item, offsets), f"{item.file}: {reason}")
                    continue
                member_faults, offset = Faults(item.file, text), 0
                file_faults.append(member_faults)
                members = list(parse_members(text))
            remaining_members -= len(members)
            if remaining_members < 0:
                expected = f"the sets hold over {MAX_SET_MEMBERS} members together"
                checker.faults.add(self.item_span(item, offsets), expected)
                break
            kind = STRING_SET if item.kind == "strings" else PREFIX_SET
            set_index = self.add_members(kind, members, checker, member_faults, offset)
            checker.sets.by_name.setdefault(item.name, TypedNode("set", kind, value=set_index))
        return file_faults

    def add_members(
        self, kind: Any, members: list[tuple[str, Span]], checker: Checker, faults: Faults, offset: int
    ) -> int:
        if kind == STRING_SET:
            checker.sets.string_sets.append(frozenset(text for text, _ in members))
            return len(checker.sets.string_sets) - 1
        prefixes: dict[tuple[bytes, int], None] = {}
        for text, span in members:
            prefix = parse_prefix(text)
            if prefix is None:
                expected = "expected an address or a prefix with no bits set behind its length"
                faults.add(Span(span.start + offset, span.end + offset), expected)
            else:
                prefixes[prefix] = None
        checker.sets.prefix_sets.append(tuple(prefixes))
        return len(checker.sets.prefix_sets) - 1

    def check_defines(self, source: tree.Source, offsets: dict[int, int], checker: Checker) -> None:
        """Type-check the named expressions, each after those that it uses."""
        defines = {definition.name: definition for definition in source.defines}
        dependencies = {
            name: used_names(definition.body) & defines.keys() for name, definition in defines.items()
        }
        sorter = graphlib.TopologicalSorter(dependencies)
        try:
            order = list(sorter.static_order())
        except graphlib.CycleError as err:
            cycle = [str(name) for name in reversed(err.args[1])]
            first = defines[cycle[0]]
            checker.faults.add(
                self.item_span(first, offsets), f"named expressions in a circle: {' -> '.join(cycle)}"
            )
            order = []
            checker.defines.update({name: checker.error_node for name in defines})
        for name in order:
            define = defines[name]
            checker.offset = offsets[id(define)]
            checker.defines[name] = checker.check(define.body)

    # Rules.

    def check_rule(self, rule: tree.Rule, offset: int, checker: Checker) -> CheckedRule:
        """Type-check a rule's condition and outputs."""
        checker.offset = offset
        when = checker.graph.constant(BOOL, True)
        if rule.when is not None:
            when = checker.require_type(rule.when, checker.check(rule.when), BOOL)
        outputs: dict[str, TypedNode] = {}
        labels: dict[str, TypedNode] = {}
        for output in rule.outputs:
            value = self.check_output(output, checker)
            destination, name = (labels, output.label) if output.name == "label" else (outputs, output.name)
            if output.name not in self.schema.outputs:
                supported = ", ".join(sorted(self.schema.outputs))
                checker.report(output.span, f"{self.schema.front} can't use it; expected one of {supported}")
            if name in destination or len(labels) >= MAX_LABELS:
                checker.report(output.span, "expected each output once, and at most 16 labels")
            destination[name] = value
        return CheckedRule(rule.name, rule, offset, when, outputs, labels)

    def check_output(self, output: tree.Output, checker: Checker) -> TypedNode:
        value = checker.require_type(
            output.value, checker.check(output.value), OUTPUT_TYPES.get(output.name, STRING)
        )
        if value.type is ERROR_TYPE:
            return value
        if value.type == STRING and value.max_bytes > MAX_OUTPUT_BYTES:
            return checker.report(
                output.value.span, f"may hold {value.max_bytes} bytes; expected at most {MAX_OUTPUT_BYTES}"
            )
        if output.name == "class" and self.classes is not None:
            for class_name in possible_constants(value):
                if class_name not in self.classes:
                    known = ", ".join(sorted(self.classes)[:10])
                    return checker.report(
                        output.value.span, f"unknown class {class_name!r}; expected one of {known}"
                    )
        return value

    # Compiling.

    def compile(
        self,
        rules: list[CheckedRule],
        default: CheckedRule,
        planner: Planner,
        checker: Checker,
        faults: Faults,
    ) -> dict[str, Any]:
        """Return the data that a serving process takes; report a fault if the set costs too much."""
        groups = planner.plan_groups()
        all_rules = [*rules, default]
        roots: list[TypedNode] = [g.value for g in groups]
        for plan in planner.rules:
            roots += plan.remaining_terms
        for rule in all_rules:
            roots += [v for v in (*rule.outputs.values(), *rule.labels.values())]
        step_cost_ns = checker.graph.step_cost_ns
        costs = Costs(step_cost_ns("memo"), 2 * step_cost_ns("memo"))
        costs.analyze(roots)
        emitter = self.emitter(costs.shared)
        group_tables, worst_ns = [], step_cost_ns("decide")
        for n, group in enumerate(groups):
            table, rules_to_test = planner.lookup_table(group)
            lookups = len(table) if group.kind == "prefix" else 1
            worst_ns += (
                step_cost_ns("net" if group.kind == "net" else "lookup", group.value.max_bytes) * lookups
            )
            worst_ns += costs.cost_of(group.value)
            worst_ns += max(
                (
                    sum(
                        self.rule_test_cost_ns(planner.rules[index], costs, step_cost_ns) for index in indexes
                    )
                    for indexes in rules_to_test
                ),
                default=0.0,
            )
            group_tables.append((group.kind, emitter.function(f"g{n}", group.value), table))
        ungrouped = tuple(index for index, plan in enumerate(planner.rules) if plan.index_term is None)
        worst_ns += sum(
            self.rule_test_cost_ns(planner.rules[index], costs, step_cost_ns) for index in ungrouped
        )
        outputs = [self.emit_verdict(f"o{n}", rule, emitter, costs) for n, rule in enumerate(all_rules)]
        worst_ns += step_cost_ns("verdict") + max(cost for _, cost in outputs) + costs.shared_cost_ns()
        compiled_rules = []
        for n, plan in enumerate(planner.rules):
            rules[n].cost_ns = self.rule_test_cost_ns(plan, costs, step_cost_ns) + outputs[n][1]
            compiled_rules.append((emitter.conjunction(f"w{n}", plan.remaining_terms), outputs[n][0]))
        self.check_cost(worst_ns, rules, costs, faults)
        used_string_sets = {n for table_, n in emitter.used_sets if table_ == "S"}
        used_prefix_sets = {n for table_, n in emitter.used_sets if table_ == "N"}
        return {
            "format": FORMAT_VERSION, "names": [r.name for r in rules], "used": sorted(emitter.used_fields),
            "cost": worst_ns, "origin": self.file, "shared": len(costs.shared), "fixed": ungrouped,
            "patterns": emitter.patterns, "constants": emitter.constants, "code": emitter.compile_functions(),
            "rules": compiled_rules, "default": outputs[-1][0], "groups": group_tables,
            "texts": [members if n in used_string_sets else frozenset()
                      for n, members in enumerate(checker.sets.string_sets)],
            "nets": [members if n in used_prefix_sets else ()
                     for n, members in enumerate(checker.sets.prefix_sets)],
        }  # fmt: skip

    @staticmethod
    def rule_test_cost_ns(plan: RulePlan, costs: Costs, step_cost_ns: Callable[..., float]) -> float:
        """Return the cost of testing a rule that no look-up excludes."""
        return step_cost_ns("rule") + sum(costs.cost_of(term) for term in plan.remaining_terms)

    def emit_verdict(self, name: str, rule: CheckedRule, emitter: Emitter, costs: Costs) -> tuple[Any, float]:
        """Return a rule's verdict and its cost: the values if all are constants, else a function's name."""
        values = [rule.outputs.get(output) for output in VERDICT_OUTPUTS]
        nodes = [*values, *rule.labels.values()]
        cost_ns = sum(costs.cost_of(v) for v in nodes if v is not None)
        if all(v is None or v.is_constant for v in nodes):
            labels = {label: v.value for label, v in rule.labels.items()}
            return (rule.name, *(v.value if v else None for v in values), labels), cost_ns
        values_code = ", ".join("None" if v is None else emitter.code(v) for v in values)
        labels_code = ", ".join(f"{label!r}: {emitter.code(v)}" for label, v in rule.labels.items())
        return emitter.define(name, f"V({rule.name!r}, {values_code}, {{{labels_code}}})"), cost_ns

    def check_cost(self, worst_ns: float, rules: list[CheckedRule], costs: Costs, faults: Faults) -> None:
        """Report a fault if the set could cost a request more than the limit."""
        if worst_ns <= self.limit_us * 1000:
            return
        most_expensive = sorted(rules, key=lambda r: r.cost_ns, reverse=True)[:3]
        names = ", ".join(f"{r.name!r} {r.cost_ns / 1000:.1f}" for r in most_expensive)
        shared = f", shared parts {costs.shared_cost_ns() / 1000:.1f}" if costs.shared else ""
        start = most_expensive[0].offset if most_expensive else 0
        faults.add(
            Span(start, start),
            f"the rules cost a request up to {worst_ns / 1000:.0f} us; expected at most {self.limit_us:g}: "
            f"{names}{shared}",
            excerpt(most_expensive[0].name) if most_expensive else "the default",
        )


def possible_constants(value: TypedNode) -> Iterator[str]:
    """Yield the constants that an output can be, as far as they are known at load."""
    if value.is_constant:
        if isinstance(value.value, str):
            yield value.value
        elif isinstance(value.value, dict):
            yield from value.value.values()
    elif value.op in ("if", "??"):
        yield from (constant for arg in value.args[-2:] for constant in possible_constants(arg))
    elif value.op == "get":
        yield from possible_constants(value.args[0])


def used_names(node: tree.Node) -> set[str]:
    """Return all names that an expression uses."""
    names, pending = set[str](), [node]
    while pending:
        match pending.pop():
            case tree.Name(name=name):
                names.add(name)
            case tree.Operation(args=args) | tree.ListLiteral(items=args):
                pending += args
            case tree.Let(value=value, body=body):
                pending += [value, body]
            case tree.MapLiteral(pairs=pairs):
                pending += [n for p in pairs for n in p]
    return names


def parse_members(text: str) -> Iterator[tuple[str, Span]]:
    """Yield the members listed in a set's file, one a line; blank lines and comments are skipped."""
    line_start = 0
    for line in text.splitlines(keepends=True):
        member = line.partition("#")[0].strip()
        if member:
            start = line_start + line.index(member)
            yield member, Span(start, start + len(member))
        line_start += len(line)
