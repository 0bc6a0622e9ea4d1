"""Measures the price table of the match language: `python -m benchmarks.match_prices [--write]`.

Each step is timed on its worst input that we know, at a small and a large size; the base is what the small
one takes, the rest goes by byte or item. A figure is the 90 % quantile of 30 rounds, times a margin.
"""

from __future__ import annotations

import math
import random
import sys
from collections.abc import Callable
from typing import Any

import orjson

from benchmarks.machine import describe_machine, quantile, time_batches, time_calls
from violetdoor.match.prices import TABLE, contains_steps
from violetdoor.match.runtime import ENVIRONMENT, Nets, RuleSet, compiled_pattern

MARGIN = 1.3  # over the 90 % quantile: the cache is colder in service
ROUNDS = 30
Measured = tuple[float, float]


def timed(code: str, **values: Any) -> float:
    """Ns of one evaluation of an expression, the empty one's taken off."""
    space = dict(ENVIRONMENT) | values
    space["r"] = tuple(values.values())
    space["m"] = [1]

    def one(body: str) -> float:
        exec(f"def step(r=r, m=m):\n return {body}", space)
        step: Callable[[], object] = space["step"]
        step()
        calls = max(20, int(2e6 / max(50.0, time_batches(step, 20, 3)[1])))
        return quantile(time_batches(step, min(calls, 20_000), ROUNDS), 0.9)

    return max(15.0, one(code) - one("None"))


def line(points: list[tuple[float, float]]) -> Measured:
    """Base and price of a unit from (units, ns).

    The smallest gives the base, no large one lies above the line.
    """
    first, base = min(points)
    large = [(units, ns) for units, ns in points if units >= 16 * first]
    return base, max((max(0.0, ns - base) / (units - first) for units, ns in large), default=0.0)


def texts(
    code: str,
    sizes: tuple[int, ...],
    make: Callable[[int], dict[str, Any]],
    units: Callable[[int], float] = float,
) -> Measured:
    """The price of a step on texts of these sizes."""
    return line([(units(n), timed(code, **make(n))) for n in sizes])


def contains() -> Measured:
    """A part that differs from every place of the text only in its middle."""
    points = []
    for n in (16, 256, 1250, 2400, 4000):
        for m in (4, 60, 99, n // 2):
            text, part = "a" * n, "a" * (m // 2) + "b" + "a" * (m - m // 2 - 1)
            if n // 2 >= m:
                points.append((contains_steps(n, m), timed("b in a", a=text, b=part)))
    return line(points)


def patterns() -> Measured:
    """Expressions whose automaton outgrows its memory, on texts made for it and new to it each time.

    The longest of 30 counts: most of these times are states built for the first time, and those come in bursts.
    """
    one = compiled_pattern("a")
    base = quantile(time_batches(lambda: one.search(b"a") is not None, 1000, ROUNDS), 0.9)
    each, rng = 0.0, random.Random(1)
    for k in (4, 10, 16, 40):
        for source in (f"(a|b)*a(a|b){{{k}}}c", f"(x+x+)+{'y' * k}", f"([ab]*[abc]*){{{min(k, 20)}}}d"):
            program = compiled_pattern(source)
            for n in (256, 1024, 4096):
                tried: list[object] = [bytes(rng.choices(b"abx", (8, 8, 1), k=n)) for _ in range(30)]
                taken = [t - base for t in time_calls(lambda t: program.search(t), tried)]  # noqa: B023
                each = max(each, taken[-1] / (n * program.programsize))
    return base, each


def networks() -> Measured:
    """Addresses all over a set of 100,000 prefixes: most look-ups miss the processor's caches."""
    rng = random.Random(2)
    nets = Nets()
    members = []
    for _ in range(100_000):
        length = rng.randint(8, 32)
        members.append(((rng.getrandbits(length) << (32 - length)).to_bytes(4, "big"), length, True))
    for _ in nets.fill(members):
        pass
    asked = [rng.getrandbits(32).to_bytes(4, "big") for _ in range(5000)]

    def step() -> None:
        for address in asked:
            nets.get(address)

    return quantile(time_batches(step, 1, ROUNDS), 0.9) / len(asked), 0.0


def deciding() -> dict[str, Measured]:
    """What a set costs beside its expressions."""

    def ns(rules: int, out: str = "") -> float:
        code = "def w(r, m):\n return False\ndef o(r, m):\n return V('x', 'a', 'b', 1)\n"
        import marshal

        data = {
            "format": 1, "names": ["x"] * rules, "used": [], "cost": 0.0, "origin": "", "shared": 8,
            "texts": [],
            "fixed": tuple(range(rules)), "patterns": [], "constants": [], "nets": [], "groups": [],
            "code": [marshal.dumps(compile(code, "x", "exec"))], "rules": [("w", ("x",))] * rules,
            "default": out or ("default",),
        }  # fmt: skip
        ready = RuleSet(data).ready()
        return quantile(time_batches(lambda: ready.decide(()), 1000, ROUNDS), 0.9)

    empty, many = ns(0), ns(100)
    return {"decide": (empty, 0.0), "rule": ((many - empty) / 100, 0.0), "verdict": (ns(0, "o") - empty, 0.0)}


def measured() -> dict[str, Measured]:
    """The whole table, without the margin."""
    word = lambda n: {"a": "x" * n}  # noqa: E731
    held = frozenset(f"m{n}" for n in range(5000))
    table = dict.fromkeys(held)
    return {
        "constant": (timed("(1)"), 0.0),
        "field": (timed("r[0]", a=1), 0.0),
        "glue": (timed("(x if (x := a) is not None else None)", a=1), 0.0),
        "memo": (timed("(m[0] if m[0] is not U else None)"), 0.0),
        "compare": texts("a == b", (1, 64, 4096), lambda n: {"a": "x" * n, "b": "x" * (n - 1) + "y"}),
        "arithmetic": (timed("a + b", a=1 << 61, b=1 << 61), 0.0),
        "checked": (timed("ck(a * b)", a=1 << 31, b=1 << 31), 0.0),
        "concat": texts("a + b", (2, 64, 4096), lambda n: {"a": "x" * (n // 2), "b": "y" * (n // 2)}),
        # A string's hash is kept with it: a new string each time, whose making is in the figure.
        "member": line([(n, timed("a[:-1] in s", a="x" * (n + 1), s=held)) for n in (1, 64, 4096)]),
        "lookup": line([(n, timed("s.get(a[:-1])", a="x" * (n + 1), s=table)) for n in (1, 64, 4096)]),
        "scan": line([(n, timed("a in s", a="x", s=("y",) * n)) for n in (1, 64, 1024)]),
        "net": networks(),
        "match": patterns(),
        "prefix": texts("a.startswith(b)", (1, 64, 4096), lambda n: {"a": "x" * n + "z", "b": "x" * n}),
        "contains": contains(),
        "fits": line([(2 * n, timed("fits(a, b)", a=".".join("x" * n), b=("x",) * n)) for n in (1, 64, 512)]),
        "lower": texts("a.lower()", (1, 64, 4096), lambda n: {"a": "\u0130" * (n // 2) or "X"}),
        "split": line([(2 * n, timed("split(a, '.', 64)", a=".".join("x" * n))) for n in (1, 64, 2048)]),
        "hash": texts("digest(a, 1000)", (1, 64, 4096), word),
        "number": texts("to_float(a)", (1, 20), lambda n: {"a": "9" * n}),
        "address": texts("packed(a)", (2, 39 + 1), lambda n: {"a": ("2001:" * 8)[: n - 1] + "1"}),
        "text": (max(timed("str(a)", a=-(1 << 62)), timed("written(a)", a=b"\x20\x01" * 8)), 0.0),
    } | deciding()  # fmt: skip


def main() -> int:
    """Print the table, and write it where it is asked for."""
    found = {
        name: [math.ceil(base * MARGIN), round(each * MARGIN + 0.0005, 3)]
        for name, (base, each) in measured().items()
    }
    text = orjson.dumps(
        {"measured on": describe_machine(), "margin": MARGIN, "ns": found},
        option=orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE,
    )
    print(text.decode(), end="")
    if "--write" in sys.argv[1:]:
        TABLE.write_bytes(text)
    return 0


if __name__ == "__main__":
    sys.exit(main())
