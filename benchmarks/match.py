"""Measures match rules: `python -m benchmarks.match [--write]`, results in docs/measurements/match.md.

Needs cel-python for one of its parts (`pip install -e '.[lab]'`); without it that part says so.
"""

from __future__ import annotations

import random
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from benchmarks.machine import describe_machine, quantile, rss_kib, time_batches, time_calls
from violetdoor.fronts.nats.fields import SCHEMA
from violetdoor.match.faults import RulesError
from violetdoor.match.load import Loaded, Loader
from violetdoor.match.runtime import Nets, RuleSet

PAGE = Path(__file__).parent.parent / "docs" / "measurements" / "match.md"
LIMIT_US = 250.0
CALLS = 20_000
CLUBS, KINDS = 40, ("app", "gate", "desk", "kiosk")


def rule_text(n: int) -> str:
    """The n-th rule of a mixed set: by user, by subject, by network, by several."""
    match n % 5:
        case 0 | 1:
            return f'rule "u{n}" when connect.user == "club{n}.app" {{ class = "booking"; tenant = "club{n % CLUBS}"; }}\n'
        case 2:
            return (
                f'rule "s{n}" when first.subject starts_with "booking.{n}." and connect.lang != "c" '
                f'{{ class = "booking"; tenant = token(first.subject, 1) ?? "none"; }}\n'
            )
        case 3:
            return f'rule "n{n}" when peer.address in net{n} {{ class = "checkin"; group = hash(connect.user ?? "", 64); }}\n'
    return f'rule "m{n}" when connect.name in ["name{n}", "other{n}"] and connect.headers {{ tenant = "t{n}"; }}\n'


def rules_text(count: int) -> str:
    """A whole set of so many rules."""
    nets = "".join(
        f'set net{n} = prefixes {{ "10.{n >> 8 & 255}.{n & 255}.0/24", "fd00:{n:x}::/32" }};\n'
        for n in range(3, count, 5)
    )
    rules = "".join(map(rule_text, range(count)))
    return nets + rules + 'default { class = "checkin"; tenant = "others"; }\n'


def some_request(rng: random.Random, count: int) -> tuple[Any, ...]:
    """A request that one of the rules may match."""
    n = rng.randrange(count)
    return SCHEMA.request({
        "peer.address": bytes([10, n >> 8 & 255, n & 255, 7]) if rng.random() < 0.3 else bytes([192, 0, 2, n & 255]),
        "peer.port": 4000, "connect.user": f"club{n}.{rng.choice(KINDS)}", "connect.name": f"name{n}",
        "connect.lang": "go", "connect.version": "1.2.3", "connect.verbose": False, "connect.headers": True,
        "first.op": "SUB", "first.subject": f"booking.{n}.slots", "first.headers": {},
    })  # fmt: skip


def load(text: str, limit: float = 1e9) -> Loaded:
    """Rules of the NATS front."""
    return Loader(SCHEMA, limit_us=limit).load(text)


def figures(ready: RuleSet, requests: list[Any]) -> tuple[float, float, float]:
    """p50, p99 and the longest in us; every request once."""
    for request in requests[:200]:
        ready.decide(request)
    taken = time_calls(ready.decide, requests)  # type: ignore[arg-type]
    return quantile(taken, 0.5) / 1000, quantile(taken, 0.99) / 1000, taken[-1] / 1000


def sizes() -> list[str]:
    """Time per request as rules grow."""
    lines = [
        "| rules | p50 us | p99 us | max us | at the worst by the table, us |",
        "| --- | --- | --- | --- | --- |",
    ]
    for count in (10, 50, 100, 1000, 10_000):
        ready = load(rules_text(count)).ready()
        rng = random.Random(count)
        p50, p99, most = figures(ready, [some_request(rng, count) for _ in range(CALLS)])
        lines.append(f"| {count} | {p50:.2f} | {p99:.2f} | {most:.0f} | {ready.cost / 1000:.0f} |")
    return lines


# The worst that the checker accepts: sets are put together and changed at random, the slowest found is kept.

TEXTS = ("connect.user", "connect.name", "first.subject", 'first.headers["k"]', 'first.headers["q"]')


def some_term(rng: random.Random) -> str:
    """A test that costs much and never holds for the requests below."""
    one, other = rng.sample(TEXTS, 2)
    match rng.randrange(9):
        case 0:
            return f'{one} contains ({other} ?? "x")'
        case 1:
            return f'{one} contains "{"a" * rng.randint(1, 40)}b{"a" * rng.randint(1, 40)}"'
        case 2:
            return f'{one} matches r"(a|b)*a(a|b){{{rng.randint(1, 12)}}}c"'
        case 3:
            return f'{one} matches r"(x+x+)+{"y" * rng.randint(1, 9)}z$"'
        case 4:
            return f'lower({one}) == lower({other}) + "z"'
        case 5:
            return f'{one} fits "{".".join(rng.choice("*a") for _ in range(rng.randint(1, 30)))}.q"'
        case 6:
            return f'split({one}, "{rng.choice(["a", ".", "ab"])}", {rng.randint(2, 64)})[{rng.randint(0, 63)}] == "none"'
        case 7:
            return f'hash(({one} ?? "") + ({other} ?? ""), 1000003) == -1'
    reader = rng.choice(["address", "int", "float"])
    return f"{reader}({one}) == {reader}({other})"


def hostile_request(rng: random.Random) -> tuple[Any, ...]:
    """Values as long as they may be, made to take long."""

    def text(size: int) -> str:
        kind = rng.randrange(5)
        if kind == 0:
            return "a" * size
        if kind == 1:
            return "".join(rng.choice("ab") for _ in range(size))
        if kind == 2:
            return ".".join("a" * (size // 2))[:size]
        if kind == 3:
            return "\u0130" * (size // 2)
        return "x" * (size - 1) + "w"

    return SCHEMA.request({
        "peer.address": bytes(4), "peer.port": 1, "connect.user": text(128), "connect.name": text(128),
        "connect.lang": text(32), "connect.version": text(32), "connect.verbose": True, "connect.headers": True,
        "first.op": "HPUB", "first.subject": text(255), "first.headers": {"k": text(256), "q": text(256)},
    })  # fmt: skip


def as_set(terms: list[str]) -> str:
    """One rule a term."""
    rules = "".join(f'rule "r{n}" when {term} {{ tenant = "t"; }}\n' for n, term in enumerate(terms))
    return rules + "default { }\n"


def worst(seconds: float = 60.0) -> list[str]:
    """Search for the accepted set with the longest p99."""
    rng = random.Random(11)
    requests = [hostile_request(rng) for _ in range(300)]
    best: tuple[float, list[str], RuleSet] | None = None
    tried = accepted = 0
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        terms = list(best[1]) if best and rng.random() < 0.6 else []
        if terms:
            terms.pop(rng.randrange(len(terms)))
        found: RuleSet | None = None
        for _ in range(12):  # add what still fits
            tried += 1
            try:
                found = load(as_set([*terms, extra := some_term(rng)]), LIMIT_US).ready()
            except RulesError:
                continue
            terms.append(extra)
            accepted += 1
        if found is None:
            continue
        ready = load(as_set(terms), LIMIT_US).ready()
        p99 = min(quantile(time_calls(ready.decide, requests), 0.99) for _ in range(2)) / 1000  # type: ignore[arg-type]
        if best is None or p99 > best[0]:
            best = p99, terms, ready
    assert best is not None
    again = [hostile_request(rng) for _ in range(4000)]
    p50, p99, most = figures(best[2], again)
    return [
        f"{tried} sets tried in {seconds:.0f} s, {accepted} accepted under {LIMIT_US:g} us. The slowest found, on 4,000 "
        f"new requests made to take long: p50 {p50:.1f} us, **p99 {p99:.1f} us**, max {most:.0f} us; by the price table "
        f"{best[2].cost / 1000:.1f} us. Its {len(best[1])} rules:",
        "",
        *(f"    {term}" for term in best[1]),
    ]


def prefixes() -> list[str]:
    """Look-ups in 100,000 prefixes."""
    rng = random.Random(3)
    lines = ["| prefixes | build s | look-up ns, median round | 90 % round |", "| --- | --- | --- | --- |"]
    for family, bits in ((4, 32), (16, 128)):
        members = []
        for _ in range(100_000):
            length = rng.randint(8, 32 if bits == 32 else 64)
            members.append(
                ((rng.getrandbits(length) << (bits - length)).to_bytes(family, "big"), length, True)
            )
        nets, began = Nets(), time.perf_counter()
        for _ in nets.fill(members):
            pass
        built = time.perf_counter() - began
        asked = [rng.getrandbits(bits).to_bytes(family, "big") for _ in range(20_000)]
        get = nets.get

        def step(asked: list[bytes] = asked, get: Callable[[bytes], Any] = get) -> None:
            for address in asked:
                get(address)

        found = time_batches(step, 1, 20)
        per = [quantile(found, part) / len(asked) for part in (0.5, 0.9)]
        lines.append(f"| 100,000 IPv{4 if bits == 32 else 6} | {built:.2f} | {per[0]:.0f} | {per[1]:.0f} |")
    return lines


def loading() -> list[str]:
    """Time and memory of 10,000 rules: compiled in one process, taken in by another."""
    script = (
        "import sys, time, marshal\n"
        "from benchmarks.machine import rss_kib\n"
        "from violetdoor.match.runtime import RuleSet\n"
        "data = marshal.loads(sys.stdin.buffer.read())\n"
        "before = rss_kib(); began = time.perf_counter(); longest = 0.0; last = began\n"
        "rules = RuleSet(data); del data\n"
        "for _ in rules.install():\n"
        "    now = time.perf_counter(); longest = max(longest, now - last); last = now\n"
        "print(time.perf_counter() - began, longest, rss_kib() - before, len(rules.names))\n"
    )
    import marshal

    text = rules_text(10_000)
    before, began = rss_kib(), time.perf_counter()
    loaded = load(text)
    taken, grown = time.perf_counter() - began, rss_kib() - before
    blob = marshal.dumps(loaded.data)
    done = subprocess.run([sys.executable, "-c", script], input=blob, capture_output=True, check=True)
    install, longest, memory, _ = map(float, done.stdout.split())
    return [
        f"10,000 rules, {len(text) // 1000} kB of text: compiled in {taken:.1f} s in the child (which grows by "
        f"{grown // 1024} MiB and ends), {len(blob) // 1000} kB handed over, installed by the serving process in "
        f"{install * 1000:.0f} ms in steps of at most {longest * 1000:.0f} ms; its memory grows by {memory / 1024:.1f} MiB "
        "once the text of the product is dropped."
    ]


PAIRS = [
    ('connect.user == "club7.app" and connect.headers', 'user == "club7.app" && headers'),
    (
        'connect.user starts_with "club" and connect.user ends_with ".app"',
        'user.startsWith("club") && user.endsWith(".app")',
    ),
    ('connect.lang in ["go", "c", "rust"] or peer.port < 1024', 'lang in ["go", "c", "rust"] || port < 1024'),
    ('(if peer.port > 1000 then "high" else "low") == "high"', '(port > 1000 ? "high" : "low") == "high"'),
    ('connect.user matches r"^club[0-9]+[.]app$"', 'user.matches("^club[0-9]+[.]app$")'),
]


def against_cel() -> list[str]:
    """The same expressions in cel-python, in the same run."""
    try:
        import celpy
        from celpy import celtypes
    except ImportError:
        return ["cel-python is not installed here: not measured."]
    request = SCHEMA.request({"peer.address": bytes(4), "peer.port": 4000, "connect.user": "club7.app", "connect.name": "n",
                              "connect.lang": "go", "connect.version": "1", "connect.verbose": False,
                              "connect.headers": True, "first.headers": {}})  # fmt: skip
    activation: Any = {"user": celtypes.StringType("club7.app"), "headers": celtypes.BoolType(True),
                  "lang": celtypes.StringType("go"), "port": celtypes.IntType(4000)}  # fmt: skip
    lines = ["| expression | ours us | cel-python us | ratio |", "| --- | --- | --- | --- |"]
    for ours, cel in PAIRS:
        ready = load(f'rule "r" when {ours} {{ tenant = "x"; }}\ndefault {{ }}').ready()
        environment = celpy.Environment()
        program = environment.program(environment.compile(cel))
        assert ready.decide(request).rule == "r" and bool(program.evaluate(activation))
        mine = quantile(time_batches(lambda: ready.decide(request), 2000, 9), 0.5) / 1000  # noqa: B023
        other = quantile(time_batches(lambda: program.evaluate(activation), 200, 9), 0.5) / 1000  # noqa: B023
        lines.append(f"| `{ours}` | {mine:.2f} | {other:.1f} | {other / mine:.0f} |")
    return lines


def main() -> int:
    """Print the page, and write it where that is asked for."""
    parts = [
        ("Time per request as rules grow", sizes), ("The worst set that is accepted", worst),
        ("Prefixes", prefixes), ("Loading", loading), ("Against cel-python", against_cel),
    ]  # fmt: skip
    lines = [
        "# Match rules, measured",
        "",
        f"On {describe_machine()}, by `python -m benchmarks.match --write`.",
        "",
    ]
    for title, part in parts:
        lines += [f"## {title}", "", *part(), ""]
    text = "\n".join(lines).rstrip() + "\n"
    print(text, end="")
    if "--write" in sys.argv[1:]:
        PAGE.write_text(text)
    return 0


if __name__ == "__main__":
    sys.exit(main())
