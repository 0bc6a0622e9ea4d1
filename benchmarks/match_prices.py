"""Measure the price table of the match language: `python -m benchmarks.match_prices [--write]`.

Each step is timed on the worst known input at a small and a large size. The time at the small size is the
base price, the increase up to the large size gives the price of a byte or item. Each price is the 90 % quantile
of 30 rounds, times a margin.
"""

from __future__ import annotations

import math
import random
import sys
from collections.abc import Callable
from typing import Any

import orjson

from benchmarks.machine import describe_machine, quantile, time_batches, time_calls
from violetdoor.match.prices import PRICE_TABLE_PATH, contains_steps
from violetdoor.match.runtime import ENVIRONMENT, PrefixTable, RuleSet, compile_pattern

MARGIN = 1.3  # factor on the 90 % quantile, since processor caches are colder in a serving relay
ROUNDS = 30
Price = tuple[float, float]  # base in ns, ns per unit (byte, item or step)


def time_expression(code: str, **values: Any) -> float:
    """Return the ns of one evaluation of an expression, less those of an empty one; at least 15."""
    namespace = dict(ENVIRONMENT) | values
    namespace["r"] = tuple(values.values())
    namespace["m"] = [1]

    def ns_of_body(body: str) -> float:
        exec(f"def step(r=r, m=m):\n return {body}", namespace)
        step: Callable[[], object] = namespace["step"]
        step()
        calls = max(20, int(2e6 / max(50.0, time_batches(step, 20, 3)[1])))
        return quantile(time_batches(step, min(calls, 20_000), ROUNDS), 0.9)

    return max(15.0, ns_of_body(code) - ns_of_body("None"))


def fit_price(points: list[tuple[float, float]]) -> Price:
    """Fit a price to points (units, ns).

    The smallest point gives the base; the slope is such that no point of 16 times its units or more lies above
    the line.
    """
    smallest_units, base_ns = min(points)
    large = [(units, ns) for units, ns in points if units >= 16 * smallest_units]
    return base_ns, max(
        (max(0.0, ns - base_ns) / (units - smallest_units) for units, ns in large), default=0.0
    )


def price_by_size(
    code: str,
    sizes: tuple[int, ...],
    values_of_size: Callable[[int], dict[str, Any]],
    units: Callable[[int], float] = float,
) -> Price:
    """Return the price of an expression, timed on values of these sizes."""
    return fit_price([(units(n), time_expression(code, **values_of_size(n))) for n in sizes])


def price_contains() -> Price:
    """Price a search for a substring that differs from every place of the text only in its middle."""
    points = []
    for n in (16, 256, 1250, 2400, 4000):
        for m in (4, 60, 99, n // 2):
            text, needle = "a" * n, "a" * (m // 2) + "b" + "a" * (m - m // 2 - 1)
            if n // 2 >= m:
                points.append((contains_steps(n, m), time_expression("b in a", a=text, b=needle)))
    return fit_price(points)


def price_patterns() -> Price:
    """Price regular expressions whose automaton exceeds its memory, on a new worst-case text for each search.

    The longest of 30 searches is used: most of the time goes into states built for the first time, in bursts.
    """
    short_pattern = compile_pattern("a")
    base_ns = quantile(time_batches(lambda: short_pattern.search(b"a") is not None, 1000, ROUNDS), 0.9)
    ns_per_unit, rng = 0.0, random.Random(1)
    for k in (4, 10, 16, 40):
        for source in (f"(a|b)*a(a|b){{{k}}}c", f"(x+x+)+{'y' * k}", f"([ab]*[abc]*){{{min(k, 20)}}}d"):
            program = compile_pattern(source)
            for n in (256, 1024, 4096):
                texts: list[object] = [bytes(rng.choices(b"abx", (8, 8, 1), k=n)) for _ in range(30)]
                search_ns = [t - base_ns for t in time_calls(lambda t: program.search(t), texts)]  # noqa: B023
                ns_per_unit = max(ns_per_unit, search_ns[-1] / (n * program.programsize))
    return base_ns, ns_per_unit


def price_network_lookups() -> Price:
    """Price look-ups of random addresses in 100,000 prefixes: most of them miss the processor's caches."""
    rng = random.Random(2)
    nets = PrefixTable()
    members = []
    for _ in range(100_000):
        length = rng.randint(8, 32)
        members.append(((rng.getrandbits(length) << (32 - length)).to_bytes(4, "big"), length, True))
    for _ in nets.fill(members):
        pass
    addresses = [rng.getrandbits(32).to_bytes(4, "big") for _ in range(5000)]

    def step() -> None:
        for address in addresses:
            nets.get(address)

    return quantile(time_batches(step, 1, ROUNDS), 0.9) / len(addresses), 0.0


def price_decisions() -> dict[str, Price]:
    """Price what a rule set costs in addition to its expressions: the decision, each rule and the verdict."""

    def decide_ns(rules: int, default: str = "") -> float:
        code = "def w(r, m):\n return False\ndef o(r, m):\n return V('x', 'a', 'b', 1)\n"
        import marshal

        data = {
            "format": 1, "names": ["x"] * rules, "used": [], "cost": 0.0, "origin": "", "shared": 8,
            "texts": [],
            "fixed": tuple(range(rules)), "patterns": [], "constants": [], "nets": [], "groups": [],
            "code": [marshal.dumps(compile(code, "x", "exec"))], "rules": [("w", ("x",))] * rules,
            "default": default or ("default",),
        }  # fmt: skip
        rule_set = RuleSet(data).build()
        return quantile(time_batches(lambda: rule_set.decide(()), 1000, ROUNDS), 0.9)

    no_rules_ns, hundred_rules_ns = decide_ns(0), decide_ns(100)
    return {
        "decide": (no_rules_ns, 0.0),
        "rule": ((hundred_rules_ns - no_rules_ns) / 100, 0.0),
        "verdict": (decide_ns(0, "o") - no_rules_ns, 0.0),
    }


def price_table() -> dict[str, Price]:
    """Return the whole price table, without the margin."""
    text_of_size = lambda n: {"a": "x" * n}  # noqa: E731
    member_set = frozenset(f"m{n}" for n in range(5000))
    lookup_table = dict.fromkeys(member_set)
    return {
        "constant": (time_expression("(1)"), 0.0),
        "field": (time_expression("r[0]", a=1), 0.0),
        "glue": (time_expression("(x if (x := a) is not None else None)", a=1), 0.0),
        "memo": (time_expression("(m[0] if m[0] is not U else None)"), 0.0),
        "compare": price_by_size("a == b", (1, 64, 4096), lambda n: {"a": "x" * n, "b": "x" * (n - 1) + "y"}),
        "arithmetic": (time_expression("a + b", a=1 << 61, b=1 << 61), 0.0),
        "checked": (time_expression("ck(a * b)", a=1 << 31, b=1 << 31), 0.0),
        "concat": price_by_size("a + b", (2, 64, 4096), lambda n: {"a": "x" * (n // 2), "b": "y" * (n // 2)}),
        # A string caches its hash, so each evaluation makes a new string; the price includes making it.
        "member": fit_price([(n, time_expression("a[:-1] in s", a="x" * (n + 1), s=member_set))
            for n in (1, 64, 4096)]),
        "lookup": fit_price([(n, time_expression("s.get(a[:-1])", a="x" * (n + 1), s=lookup_table))
            for n in (1, 64, 4096)]),
        "scan": fit_price([(n, time_expression("a in s", a="x", s=("y",) * n)) for n in (1, 64, 1024)]),
        "net": price_network_lookups(),
        "match": price_patterns(),
        "prefix": price_by_size("a.startswith(b)", (1, 64, 4096), lambda n: {"a": "x" * n + "z", "b": "x" * n}),
        "contains": price_contains(),
        "fits": fit_price([(2 * n, time_expression("fits(a, b)", a=".".join("x" * n), b=("x",) * n))
            for n in (1, 64, 512)]),
        "lower": price_by_size("a.lower()", (1, 64, 4096), lambda n: {"a": "\u0130" * (n // 2) or "X"}),
        "split": fit_price([(2 * n, time_expression("split(a, '.', 64)", a=".".join("x" * n)))
            for n in (1, 64, 2048)]),
        "hash": price_by_size("digest(a, 1000)", (1, 64, 4096), text_of_size),
        "number": price_by_size("to_float(a)", (1, 20), lambda n: {"a": "9" * n}),
        "address": price_by_size("packed(a)", (2, 39 + 1), lambda n: {"a": ("2001:" * 8)[: n - 1] + "1"}),
        "text": (max(time_expression("str(a)", a=-(1 << 62)),
            time_expression("written(a)", a=b"\x20\x01" * 8)), 0.0),
    } | price_decisions()  # fmt: skip


def main() -> int:
    """Print the price table; `--write` also stores it."""
    table = {
        name: [math.ceil(base_ns * MARGIN), round(ns_per_unit * MARGIN + 0.0005, 3)]
        for name, (base_ns, ns_per_unit) in price_table().items()
    }
    text = orjson.dumps(
        {"measured on": describe_machine(), "margin": MARGIN, "ns": table},
        option=orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE,
    )
    print(text.decode(), end="")
    if "--write" in sys.argv[1:]:
        PRICE_TABLE_PATH.write_bytes(text)
    return 0


if __name__ == "__main__":
    sys.exit(main())
