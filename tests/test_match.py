"""Rule language: results of expressions, faults at load, and compiled rules against a tree interpreter."""

from __future__ import annotations

import random
import time
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from interpreter import Interpreter, Overflow

from violetdoor.match import runtime
from violetdoor.match import types as t
from violetdoor.match.emit import Emitter
from violetdoor.match.faults import MAX_REPORTED_FAULTS, Faults, RulesError
from violetdoor.match.grammar import group_items, parse, parse_expression
from violetdoor.match.load import Loaded, Loader
from violetdoor.match.runtime import RuleSet, Verdict
from violetdoor.match.typed import TypedNode

SCHEMA = t.Schema("test", {
    "s": t.Field(t.STRING, max_bytes=24), "os": t.Field(t.optional(t.STRING), max_bytes=24),
    "n": t.Field(t.INT), "small": t.Field(t.INT, low=-9, high=9), "x": t.Field(t.FLOAT, low=-1e6, high=1e6),
    "d": t.Field(t.DURATION, low=0, high=10**12), "b": t.Field(t.BOOL), "ip": t.Field(t.ADDRESS),
    "m": t.Field(t.map_of(t.STRING), max_bytes=24, max_entries=4), "z": t.Field(t.SIZE, low=0, high=1 << 40),
})  # fmt: skip
SET_DEFINITIONS = 'set words = strings { "a", "ab", "b.c" };\nset nets = prefixes { "10.0.0.0/8", "10.1.0.0/16", "fd00::/8" };\n'


def load(text: str, limit_us: float = 1e6, **values: Any) -> Loaded:
    return Loader(SCHEMA, limit_us=limit_us, **values).load(text)


def request(**values: Any) -> tuple[Any, ...]:
    zero: dict[str, Any] = {"s": "", "os": None, "n": 0, "small": 0, "x": 0.0, "d": 0, "b": False,
                            "ip": bytes(4), "m": {}, "z": 0}  # fmt: skip
    return SCHEMA.request(zero | values)


def holds(condition: str, **values: Any) -> bool:
    rules = load(
        f'{SET_DEFINITIONS}rule "it" when {condition} {{ class = "yes"; }}\ndefault {{ class = "no"; }}'
    ).build()
    return rules.decide(request(**values)).cls == "yes"


@pytest.mark.parametrize(("condition", "values"), [
    ('s == "a" and not b', {"s": "a"}), ('os != "a"', {}), ('not (os == "a")', {}), ("not has(os)", {}),
    ('(os ?? "none") == "none"', {}), ('os in words', {"os": "b.c"}), ("ip in nets", {"ip": b"\x0a\x01\0\1"}),
    ("ip in nets", {"ip": b"\xfd" + bytes(15)}), ("ip not in nets", {"ip": b"\x0b" + bytes(3)}),
    ('s matches r"^a+$"', {"s": "aaa"}), ('s fits "a.*.>"', {"s": "a.b.c.d"}), ('not (s fits "a.>")', {"s": "a"}),
    ('s fits "*"', {"s": "q"}), ('s starts_with "ab" and s ends_with "yz"', {"s": "abyz"}),
    ('m["k"] == "v" and "k" in m', {"m": {"k": "v"}}), ('split(s, "-", 2)[1] == "b-c"', {"s": "a-b-c"}),
    ('token(s, 1) == "b"', {"s": "a.b"}), ("d > 1.5s and d <= 2m", {"d": 2_000_000}), ("z == 64KiB", {"z": 65536}),
    ('address("::ffff:10.0.0.1") in nets and s == ""', {}), ("n / small == 3", {"n": 7, "small": 2}),
    ("not (n / small == 0)", {}), ("n % 3 == 2", {"n": -1}), ('int(s) == -12', {"s": "-12"}),
    ('{"a": 1, "b": 2}[s] == 2', {"s": "b"}), ("x + 1 > 1.4", {"x": 0.5}), ("min(n, 3) + max(n, 3) == 8", {"n": 5}),
    ('lower(s) contains "ab"', {"s": "xAByz"}), ("let k = n + 1; k * k == 9", {"n": 2}),
    ('(if n > 1 then "many" else "few") == "many"', {"n": 2}), ('hash("gate", 100) == 51 and n == 0', {}),
    ('text(ip) == "10.0.0.1"', {"ip": b"\x0a\0\0\1"}), ('len(split(s, ".", 64)) == 3', {"s": "a.b.c"}),
])  # fmt: skip
def test_expressions_have_their_documented_results(condition: str, values: dict[str, Any]) -> None:
    assert holds(condition, **values)


@pytest.mark.parametrize(("text", "expected"), [
    ('rule "r" when usr == 1 {}', "1:15: found 'usr', unknown name"),
    ('rule "r" when s + 1 == s {}', "1:19: found '1', int; expected string"),
    ('rule "r" when os + "a" == 1 {}', "1:27: found '1', int; expected string as on the left"),
    ('rule "r" when s {}', "1:15: found 's', string; expected bool"),
    ('rule "r" when n == "x" {}', "1:20: found '\"x\"', string; expected int"),
    ('rule "r" when s matches "(a" {}', "1:25: found '\"(a\"', expected a regular expression of RE2"),
    ('rule "r" when s matches os {}', "expected a string that is known at load after 'matches'"),
    ('rule "r" when s fits "a..b" {}', "1:22: found '\"a..b\"', expected a subject pattern"),
    ('rule "r" when n == 9223372036854775808 {}', "too large; expected at most 9223372036854775807"),
    ('rule "r" when 9223372036854775807 + 1 == n {}', "1:15: found '9223372036854775807 + 1', goes over the range"),
    ('rule "r" when n / 0 == 1 {}', "expected a divisor that is not 0"),
    ('rule "r" when s in [1] {}', "string; expected int for a list of int"),
    ('rule "r" when s < b {}', "bool; expected string as on the left"),
    ('rule "r" when nosuch(s) {}', "1:15: found 'nosuch', unknown function"),
    ('rule "r" when lowr(s) == s {}', "did you mean 'lower'?"),
    ('rule "r" when split(s, "", 3)[0] == s {}', "not empty"),
    ('rule "r" when split(s, ".", n)[0] == s {}', "expected a whole number from 1 to 64"),
    ('rule "r" when b ?? true {}', "never missing; expected no '??'"),
    ('rule "r" when b { tenant = os; }', "string? may be missing; expected string: add '?? ...'"),
    ('rule "r" when b { key = s; }', "string; expected int"),
    ('rule "r" when b { class = "vip"; }', "unknown class 'vip'; expected one of booking, checkin"),
    ('rule "r" when b { class = if n > 1 then "vip" else "booking"; }', "unknown class 'vip'"),
    ('rule "r" when b { key = 1; key = 2; }', "expected each output once"),
    ('define n = 1;\n', "'n' is taken by a field"),
    ("define p = q + 1;\ndefine q = p;\n", "named expressions in a circle: p -> q -> p"),
    ('rule "r" when true {}\nrule "q" when b {}', "2:1: found 'q', unreachable: rule 'r' before it takes all"),
    ('rule "r" when s == "a" {}\nrule "q" when s == "a" and b {}', "unreachable: rule 'r' before it"),
    ('rule "r" when s starts_with "a" {}\nrule "q" when s in ["ab", "ac"] {}', "unreachable: rule 'r' before it"),
    ('set w = prefixes { "10.0.0.0/8" };\nset v = prefixes { "10.1.0.0/16" };\nrule "r" when ip in w {}\n'
     'rule "q" when ip in v and b {}', "4:1: found 'q', unreachable"),
    ('rule "r" when b {}\nrule "q" when n > 1 and b {}', "2:1: found 'q', unreachable"),
    ('rule "r" when s == "a" and s == "b" {}', "unreachable: its terms exclude each other"),
    ('rule "r" when false {}', "unreachable: its condition is never true"),
    ('rule "r" when b {}\nrule "r" when n > 1 {}', "expected a name of its own"),
    ('set w = prefixes { "10.0.0.1/8" };\n', "1:20: found '\"10.0.0.1/8\"', expected an address or a prefix"),
    ('set w = strings from "none.txt";\n', "no file 'none.txt' here"),
    ('rule "r" when s == "abc {\n}\n', '1:20: found \'"\', expected a string that ends on its line'),
    ("rule x {}", "1:6: found 'x', expected a string"), ("hello", "1:1: found 'hello', expected set, define, rule"),
    ('rule "r" when s == "\\q" {}', r"unknown escape \q"), ("default {}", "a second default; expected one"),
    ('rule "r" when n == 1 { label a = "x"; pool = s + s + s; class = "booking" }', "found '}', expected"),
    ("rule \"r\" when (s + s + s + s) == \"\" and " + "(((s" * 3 + ")))" * 3, "expected"),
])  # fmt: skip
def test_each_fault_is_reported_with_its_position(text: str, expected: str) -> None:
    with pytest.raises(RulesError) as caught:
        load(f"{text}\ndefault {{}}", classes=("booking", "checkin"))
    assert expected in str(caught.value), str(caught.value)


def test_all_faults_are_reported_together_up_to_a_limit() -> None:
    text = "".join(f'rule "r{n}" when who{n} {{ class = 1; }}\n' for n in range(200))
    with pytest.raises(RulesError) as caught:
        load(text)
    assert len(caught.value.faults) == MAX_REPORTED_FAULTS
    assert caught.value.omitted_count > 100
    assert [f.line for f in caught.value.faults][:4] == [1, 1, 2, 2]


def doubling_rule(times: int) -> str:
    lets = "".join(f"let a{n + 1} = a{n} + a{n}; " for n in range(times))
    return f'rule "r" when (let a0 = s; {lets}a{times} == "x") {{}}\ndefault {{}}'


HOSTILE = {
    "nested": 'rule "r" when ' + "not " * 10_000 + "b {}\ndefault {}",
    "brackets": 'rule "r" when ' + "(" * 10_000 + "b" + ")" * 9_999 + " {}\ndefault {}",
    "chain": 'rule "r" when n' + " + n" * 10_000 + " == 1 {}\ndefault {}",
    "doubling": doubling_rule(40),
    "names in names": "".join(f"define a{n} = n + {f'a{n - 1}' if n else 1};\n" for n in range(5000))
    + "default {}",
    "garbage": "\x00(\xff\n" * 250_000,
    "one line": "a" * 1_000_000,
    "strings": 'set w = strings { "' + "x" * 1_000_000 + '" };',
    "number": 'rule "r" when n == ' + "9" * 1_000_000 + " {}",
    "backtracking, too dear": 'rule "r" when s matches "(x+x+)+y{900}" and os matches "(a|b)*a(a|b){900}" {}\ndefault {}',
}


@pytest.mark.parametrize("name", HOSTILE)
def test_hostile_source_is_rejected_in_bounded_time(name: str) -> None:
    started_at = time.monotonic()
    with pytest.raises(RulesError) as caught:
        load(HOSTILE[name], limit_us=250.0)
    assert time.monotonic() - started_at < 20
    assert (len(str(caught.value)) < 20_000 and ":1:" in str(caught.value)) or caught.value.faults[
        0
    ].line >= 1


def test_regular_expression_with_catastrophic_backtracking_takes_linear_time() -> None:
    rules = load('rule "r" when s matches "(x+x+)+y" { key = 1; }\ndefault {}').build()
    assert rules.decide(request(s="x" * 24)).rule == "default"


def test_a_rule_that_fails_gets_the_default_and_is_counted() -> None:
    rules = load('rule "r" when n * n > 5 { tenant = "big"; }\ndefault { tenant = "none"; }').build()
    assert rules.decide(request(n=1 << 40)) == Verdict("default", tenant="none")
    assert rules.failure_count == 1
    assert "'r': OverflowError" in rules.last_failure
    assert rules.decide(request(n=3)).tenant == "big"
    assert rules.failure_count == 1


def test_first_matching_rule_decides_where_rules_are_looked_up() -> None:
    """Compares look-ups with the interpreter: nested prefixes, both address families, sets, ungrouped rules."""
    rng = random.Random(5)
    parts = []
    for n in range(300):
        kind = n % 5
        word = "".join(rng.choice("ab") for _ in range(rng.randint(1, 6)))
        parts.append({
            0: f's == "{word}{n}" or s == "k{n}"', 1: f's starts_with "{word}{n % 7}" and n > {n}',
            2: f"ip in net{n} and n != {n}", 3: f"n == {n} and small > {n % 9}", 4: f'os in ["{word}", "q{n}"] and n < {n}',
        }[kind])  # fmt: skip
    nets = "".join(
        f'set net{n} = prefixes {{ "10.{n % 4}.0.0/16", "10.{n % 4}.{n % 7}.0/24", "fd00:{n:x}::/32" }};\n'
        for n in range(2, 300, 5)
    )
    rules = "".join(f'rule "r{n}" when {part} {{ key = {n}; }}\n' for n, part in enumerate(parts))
    loaded = load(nets + rules + "default {}")
    assert {g[0] for g in loaded.data["groups"]} == {"value", "prefix", "net"}
    rule_set = loaded.build()
    faults = Faults("x", nets + rules + "default {}")
    source, _ = group_items(parse(faults.text, faults))
    sets = {s.name: tuple(map(parse_member, s.members)) for s in source.sets}
    for _ in range(400):
        n = rng.randint(0, 300)
        values = {"s": rng.choice(["", "k5", "k10", f"k{n}", "ab" * 3 + str(n % 7), f"aab{n % 7}"]), "n": n,
                  "os": rng.choice([None, "a", "ab", f"q{n}"]), "small": rng.randint(-9, 9),
                  "ip": rng.choice([bytes([10, n % 4, n % 7, 1]), bytes([0xFD, 0, 0, n % 256]) + bytes(12)])}  # fmt: skip
        fields = dict(zip(SCHEMA.fields, request(**values), strict=True))
        interpreter = Interpreter(fields, sets, {})
        first = next((r.name for r in source.rules if r.when and interpreter.evaluate(r.when, {})), "default")
        assert rule_set.decide(request(**values)).rule == first


def parse_member(member: tuple[str, Any]) -> tuple[bytes, int]:
    text, _, length = member[0].partition("/")
    address = t.pack_address(text)
    assert address is not None
    return address, int(length)


def test_a_hundred_thousand_prefixes_with_overlaps() -> None:
    """Compares look-ups in overlapping prefixes with a search through all prefixes."""
    rng = random.Random(7)
    nets = [
        ((rng.getrandbits(n) << (32 - n)).to_bytes(4, "big"), n)
        for n in (rng.randint(6, 30) for _ in range(100_000))
    ]
    files = {"a.txt": nets[:60_000], "b.txt": nets[40_000:]}
    texts = {
        name: "".join(f"{t.format_address(a)}/{n}\n" for a, n in prefixes) for name, prefixes in files.items()
    }
    rules = load('set one = prefixes from "a.txt";\nset two = prefixes from "b.txt";\n'
                 'rule "both" when ip in one and ip in two {}\nrule "a" when ip in one {}\ndefault {}',
                 read_file=texts.__getitem__).build()  # fmt: skip
    networks = {name: {n: {int.from_bytes(a, "big") >> (32 - n) for a, m in pairs if m == n} for n in range(6, 31)}
            for name, pairs in files.items()}  # fmt: skip
    for _ in range(2000):
        ip = rng.getrandbits(32)
        contained = [
            any(ip >> (32 - n) in numbers for n, numbers in networks[name].items()) for name in files
        ]
        expected = "both" if all(contained) else "a" if contained[0] else "default"
        assert rules.decide(request(ip=ip.to_bytes(4, "big"))).rule == expected


# Compiled rules compared with the interpreter, for generated expressions and requests.

TEXTS = ["", "a", "ab", "b.c", "a.b", "A-b-C", "10", "-3", "1.5", "10.1.2.3", "\u0130x", "\u00e9", "ab.ab.ab"]
LITERALS = {
    "bool": ["true", "false"], "string": [f'"{s}"' for s in TEXTS[:9]], "int": ["0", "1", "-7", "3", "9223372036854775807"],
    "float": ["0.0", "1.5", "-2.5"], "duration": ["0ms", "1s", "90m"], "size": ["1KiB", "7B"],
}  # fmt: skip
FIELDS = {"bool": ["b"], "string": ["s"], "int": ["n", "small"], "float": ["x"], "duration": ["d"], "size": ["z"],
          "string?": ["os", 'm["a"]'], "address": ["ip"]}  # fmt: skip


COMPARISONS = [
    (f"({{}} {op} {{}})", k, k)
    for k in ("int", "string", "float", "duration")
    for op in ("==", "!=", "<", ">=")
]
FORMS: dict[str, list[tuple[str, ...]]] = {
    "bool": [
        ("({} and {})", "bool", "bool"), ("({} or {})", "bool", "bool"), ("(not {})", "bool"), *COMPARISONS,
        *((f"({{}} {op} {{}})", "string?", "string") for op in ("==", "!=", "<", "starts_with", "contains")),
        ("({} ends_with {})", "string", "string"), ("({} in words)", "string?"), ("({} in nets)", "address"),
        ('({} in ["a", "ab", "b"])', "string"), ('({} fits "a.>")', "string"), ("has({})", "string?"),
        ('({} matches r"[ab]+[.]b?$")', "string?"), ("(n == 1 or n == 3 or n in [5, 7])",),
    ],
    "int": [
        *((f"({{}} {op} {{}})", "int", "int") for op in ("+", "-", "*")), ("(({} / {}) ?? 5)", "int", "int"),
        ("(({} % {}) ?? 6)", "int", "int"), ("(-{})", "int"), ("len({})", "string"), ("hash({}, 97)", "string"),
        ("(int({}) ?? 4)", "string"), ("int({})", "duration"), ("min({}, {})", "int", "int"),
        ('len(split({}, ".", 5))', "string"), ('({{"a": 1, "ab": 2}}[{}] ?? 3)', "string"),
    ],
    "string": [("lower({})", "string"), ("({} ?? {})", "string?", "string"), ("text({})", "int"),
               ("text({})", "address"), ("(s + {})", "string")],
    "string?": [('split({}, "-", 3)[1]', "string"), ("token({}, 1)", "string?"), ("lower({})", "string?"),
                ('[s, "q"][{}]', "int")],
    "float": [("({} + {})", "float", "int"), ("({} * {})", "float", "float"), ("(({} / {}) ?? 0.5)", "float", "float")],
    "duration": [("({} * {})", "duration", "int"), ("({} - {})", "duration", "duration")],
    "size": [("({} + {})", "size", "size")], "address": [("(address({}) ?? {})", "string", "address")],
}  # fmt: skip
for _kind in LITERALS:
    FORMS[_kind] += [
        ("(if {} then {} else {})", "bool", _kind, _kind),
        (f"(let v = {{}}; if b then v else {FIELDS[_kind][0]})", _kind),
    ]


@st.composite
def expressions(draw: st.DrawFn, kind: str, depth: int) -> str:
    """Source of an expression of this type; only ranges and constant divisors can be invalid."""
    if depth <= 0 or draw(st.integers(0, 5)) == 0:
        return draw(st.sampled_from([*LITERALS.get(kind, []), *FIELDS.get(kind, [])]))
    form, *kinds = draw(st.sampled_from(FORMS[kind]))
    return form.format(*(draw(expressions(k, depth - 1)) for k in kinds))


REQUESTS = st.fixed_dictionaries({
    "s": st.sampled_from(TEXTS), "os": st.sampled_from([None, *TEXTS]), "n": st.sampled_from([0, 1, -1, 3, 1 << 62, -(1 << 63)]),
    "small": st.integers(-9, 9), "x": st.sampled_from([0.0, 1.5, -2.5, 1e6]), "d": st.sampled_from([0, 1_000_000, 10**12]),
    "b": st.booleans(), "ip": st.sampled_from([b"\x0a\x01\x02\x03", b"\x0b\0\0\1", b"\xfd" + bytes(15)]),
    "m": st.sampled_from([{}, {"a": "ab"}, {"b": "a", "a": ""}]), "z": st.sampled_from([0, 7, 1024]),
})  # fmt: skip


class ProbingEmitter(Emitter):
    """Wraps the code of each node in a call that reports the node's id and value."""

    nodes: dict[int, TypedNode] = {}  # noqa: RUF012

    def code(self, node: TypedNode, ignore_memo: bool = False, level: int = 0) -> str:
        text = super().code(node, ignore_memo, level)
        if node.is_constant or (node.node_id in self.memo_slots and not ignore_memo):
            return text
        self.nodes[node.node_id] = node
        return f"probe({node.node_id}, {text})"


@settings(max_examples=250, deadline=None)
@given(expressions("bool", 4), expressions("string", 2), st.lists(REQUESTS, min_size=3, max_size=6))
def test_compiled_rules_equal_the_interpreter_and_keep_their_bounds(
    when: str, out: str, requests: list[dict[str, Any]]
) -> None:
    """Checks also that each computed value and the total cost stay within the checker's bounds."""
    text = f'{SET_DEFINITIONS}rule "r" when {when} {{ tenant = {out}; }}\ndefault {{ tenant = "none"; }}'
    try:
        loaded = load(text, emitter=ProbingEmitter)
    except RulesError as err:
        assert all("goes over the range" in f.expected or "never true" in f.expected or "divisor" in f.expected or "never missing" in f.expected
                   for f in err.faults), str(err)  # fmt: skip
        return
    spent_ns = 0.0

    def probe(number: int, value: Any) -> Any:
        nonlocal spent_ns
        node = ProbingEmitter.nodes[number]
        spent_ns += node.own_cost_ns
        checked_values = (
            [value]
            if isinstance(value, (str, int, float))
            else value
            if isinstance(value, (list, tuple))
            else []
        )
        assert len(checked_values) <= max(1, node.max_items)
        for v in checked_values:
            if isinstance(v, str):
                assert len(v.encode()) <= node.max_bytes
            elif not isinstance(v, bool):
                assert node.low <= v <= node.high
        return value

    with pytest.MonkeyPatch.context() as patch:
        patch.setitem(runtime.ENVIRONMENT, "probe", probe)
        rules = loaded.build()
        faults = Faults("x", text)
        source, _ = group_items(parse(text, faults))
        sets = {"words": {"a", "ab", "b.c"}, "nets": tuple(map(parse_member, source.sets[1].members))}
        for values in requests:
            interpreter = Interpreter(dict(values), sets, {})
            rule = source.rules[0]
            assert rule.when is not None
            failures_before, spent_ns = rules.failure_count, 0.0
            found = rules.decide(request(**values))
            try:
                tenant = (
                    interpreter.evaluate(rule.outputs[0].value, {})
                    if interpreter.evaluate(rule.when, {})
                    else "none"
                )
            except Overflow:
                continue  # the compiler orders the terms: its rule may answer before the overflow
            if rules.failure_count == failures_before:
                assert found.tenant == tenant
            assert spent_ns <= loaded.data["cost"]


@settings(max_examples=150, deadline=None)
@given(st.one_of(
    st.text(max_size=200), st.binary(max_size=200).map(lambda b: b.decode("latin-1")),
    st.lists(st.sampled_from(['rule "r" when', "{", "}", ";", "s", "==", '"a"', "\n", "default", "and", "let x = 1;", "in",
                              "[", "]", "(", ")", "1", "??", "set w = strings", "if", "then", "else", "class ="]),
             max_size=30).map(" ".join),
))  # fmt: skip
def test_any_text_loads_or_gives_faults_with_positions(text: str) -> None:
    for source in (text, f'rule "r" when {text} {{}}\ndefault {{}}'):
        faults = Faults("f", source)
        parse_expression(source, faults)
        try:
            assert isinstance(load(source).build(), RuleSet)
        except RulesError as err:
            assert all(f.line >= 1 and f.column >= 1 and f.expected for f in err.faults)


def test_ten_thousand_rules_cost_little_more_than_ten() -> None:
    """Compares costs by the price table, so that load on the machine has no influence."""

    def cost(rules: int) -> float:
        text = "".join(f'rule "r{n}" when s == "u{n}" {{ tenant = "t{n % 50}"; }}\n' for n in range(rules))
        return float(load(text + "default {}").data["cost"])

    assert cost(3000) < 1.5 * cost(10)
