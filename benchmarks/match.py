"""Measure match rules: `python -m benchmarks.match [--write]`, results in docs/measurements/match.md.

The comparison with cel-python needs that package (`pip install -e '.[lab]'`); without it the page says that
nothing was measured.
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
from violetdoor.match.runtime import PrefixTable, RuleSet

PAGE = Path(__file__).parent.parent / "docs" / "measurements" / "match.md"
LIMIT_US = 250.0  # highest accepted cost of a rule set, by the price table
REQUEST_COUNT = 20_000
CLUB_COUNT, USER_KINDS = 40, ("app", "gate", "desk", "kiosk")


def rule_text(n: int) -> str:
    """Return the n-th rule of a mixed set; rules match the user, subject, network, or name with headers."""
    match n % 5:
        case 0 | 1:
            return f'rule "u{n}" when connect.user == "club{n}.app" {{ class = "booking"; tenant = "club{n % CLUB_COUNT}"; }}\n'
        case 2:
            return (
                f'rule "s{n}" when first.subject starts_with "booking.{n}." and connect.lang != "c" '
                f'{{ class = "booking"; tenant = token(first.subject, 1) ?? "none"; }}\n'
            )
        case 3:
            return f'rule "n{n}" when peer.address in net{n} {{ class = "checkin"; group = hash(connect.user ?? "", 64); }}\n'
    return f'rule "m{n}" when connect.name in ["name{n}", "other{n}"] and connect.headers {{ tenant = "t{n}"; }}\n'


def rules_text(count: int) -> str:
    """Return a rule set with `count` rules and the networks that they use."""
    nets = "".join(
        f'set net{n} = prefixes {{ "10.{n >> 8 & 255}.{n & 255}.0/24", "fd00:{n:x}::/32" }};\n'
        for n in range(3, count, 5)
    )
    rules = "".join(map(rule_text, range(count)))
    return nets + rules + 'default { class = "checkin"; tenant = "others"; }\n'


def random_request(rng: random.Random, count: int) -> tuple[Any, ...]:
    """Return a request that one of the `count` rules may match."""
    n = rng.randrange(count)
    return SCHEMA.request({
        "peer.address": bytes([10, n >> 8 & 255, n & 255, 7]) if rng.random() < 0.3 else bytes([192, 0, 2, n & 255]),
        "peer.port": 4000, "connect.user": f"club{n}.{rng.choice(USER_KINDS)}", "connect.name": f"name{n}",
        "connect.lang": "go", "connect.version": "1.2.3", "connect.verbose": False, "connect.headers": True,
        "first.op": "SUB", "first.subject": f"booking.{n}.slots", "first.headers": {},
    })  # fmt: skip


def load_rules(text: str, limit: float = 1e9) -> Loaded:
    """Compile rules for the NATS front."""
    return Loader(SCHEMA, limit_us=limit).load(text)


def latency_figures_us(rule_set: RuleSet, requests: list[Any]) -> tuple[float, float, float]:
    """Decide every request once; return the p50, p99 and maximum time in us."""
    for request in requests[:200]:
        rule_set.decide(request)
    call_ns = time_calls(rule_set.decide, requests)  # type: ignore[arg-type]
    return quantile(call_ns, 0.5) / 1000, quantile(call_ns, 0.99) / 1000, call_ns[-1] / 1000


def latency_by_rule_count() -> list[str]:
    """Return a table of the time per request by number of rules."""
    lines = [
        "| rules | p50 us | p99 us | max us | at the worst by the table, us |",
        "| --- | --- | --- | --- | --- |",
    ]
    for count in (10, 50, 100, 1000, 10_000):
        rule_set = load_rules(rules_text(count)).build()
        rng = random.Random(count)
        p50_us, p99_us, max_us = latency_figures_us(
            rule_set, [random_request(rng, count) for _ in range(REQUEST_COUNT)]
        )
        lines.append(
            f"| {count} | {p50_us:.2f} | {p99_us:.2f} | {max_us:.0f} | {rule_set.cost_ns / 1000:.0f} |"
        )
    return lines


# Search for the slowest rule set that the checker accepts: sets are mutated at random, the slowest is kept.

TEXT_FIELDS = ("connect.user", "connect.name", "first.subject", 'first.headers["k"]', 'first.headers["q"]')


def random_term(rng: random.Random) -> str:
    """Return an expensive condition that no request of `slow_request` meets."""
    field, other_field = rng.sample(TEXT_FIELDS, 2)
    match rng.randrange(9):
        case 0:
            return f'{field} contains ({other_field} ?? "x")'
        case 1:
            return f'{field} contains "{"a" * rng.randint(1, 40)}b{"a" * rng.randint(1, 40)}"'
        case 2:
            return f'{field} matches r"(a|b)*a(a|b){{{rng.randint(1, 12)}}}c"'
        case 3:
            return f'{field} matches r"(x+x+)+{"y" * rng.randint(1, 9)}z$"'
        case 4:
            return f'lower({field}) == lower({other_field}) + "z"'
        case 5:
            return f'{field} fits "{".".join(rng.choice("*a") for _ in range(rng.randint(1, 30)))}.q"'
        case 6:
            return f'split({field}, "{rng.choice(["a", ".", "ab"])}", {rng.randint(2, 64)})[{rng.randint(0, 63)}] == "none"'
        case 7:
            return f'hash(({field} ?? "") + ({other_field} ?? ""), 1000003) == -1'
    conversion = rng.choice(["address", "int", "float"])
    return f"{conversion}({field}) == {conversion}({other_field})"


def slow_request(rng: random.Random) -> tuple[Any, ...]:
    """Return a request with fields of the greatest length allowed and contents that are slow to match."""

    def text(size: int) -> str:
        pattern = rng.randrange(5)
        if pattern == 0:
            return "a" * size
        if pattern == 1:
            return "".join(rng.choice("ab") for _ in range(size))
        if pattern == 2:
            return ".".join("a" * (size // 2))[:size]
        if pattern == 3:
            return "\u0130" * (size // 2)
        return "x" * (size - 1) + "w"

    return SCHEMA.request({
        "peer.address": bytes(4), "peer.port": 1, "connect.user": text(128), "connect.name": text(128),
        "connect.lang": text(32), "connect.version": text(32), "connect.verbose": True, "connect.headers": True,
        "first.op": "HPUB", "first.subject": text(255), "first.headers": {"k": text(256), "q": text(256)},
    })  # fmt: skip


def rules_of_terms(terms: list[str]) -> str:
    """Return a rule set with one rule for each term."""
    rules = "".join(f'rule "r{n}" when {term} {{ tenant = "t"; }}\n' for n, term in enumerate(terms))
    return rules + "default { }\n"


def slowest_accepted_set(seconds: float = 60.0) -> list[str]:
    """Search for the accepted rule set with the highest p99; return the paragraph and the rules found."""
    rng = random.Random(11)
    requests = [slow_request(rng) for _ in range(300)]
    slowest: tuple[float, list[str], RuleSet] | None = None
    tried_count = accepted_count = 0
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        terms = list(slowest[1]) if slowest and rng.random() < 0.6 else []
        if terms:
            terms.pop(rng.randrange(len(terms)))
        accepted_set: RuleSet | None = None
        for _ in range(12):  # add terms while the set stays below the limit
            tried_count += 1
            try:
                accepted_set = load_rules(
                    rules_of_terms([*terms, extra := random_term(rng)]), LIMIT_US
                ).build()
            except RulesError:
                continue
            terms.append(extra)
            accepted_count += 1
        if accepted_set is None:
            continue
        rule_set = load_rules(rules_of_terms(terms), LIMIT_US).build()
        p99_us = min(quantile(time_calls(rule_set.decide, requests), 0.99) for _ in range(2)) / 1000  # type: ignore[arg-type]
        if slowest is None or p99_us > slowest[0]:
            slowest = p99_us, terms, rule_set
    assert slowest is not None
    new_requests = [slow_request(rng) for _ in range(4000)]
    p50_us, p99_us, max_us = latency_figures_us(slowest[2], new_requests)
    return [
        f"{tried_count} sets tried in {seconds:.0f} s, {accepted_count} accepted under {LIMIT_US:g} us. "
        f"The slowest found, on 4,000 new requests made to take long: p50 {p50_us:.1f} us, "
        f"**p99 {p99_us:.1f} us**, max {max_us:.0f} us; by the price table "
        f"{slowest[2].cost_ns / 1000:.1f} us. Its {len(slowest[1])} rules:",
        "",
        *(f"    {term}" for term in slowest[1]),
    ]


def prefix_lookups() -> list[str]:
    """Return a table of build and look-up times for sets of 100,000 prefixes."""
    rng = random.Random(3)
    lines = ["| prefixes | build s | look-up ns, median round | 90 % round |", "| --- | --- | --- | --- |"]
    for address_bytes, bits in ((4, 32), (16, 128)):
        members = []
        for _ in range(100_000):
            length = rng.randint(8, 32 if bits == 32 else 64)
            members.append(
                ((rng.getrandbits(length) << (bits - length)).to_bytes(address_bytes, "big"), length, True)
            )
        nets, started_at = PrefixTable(), time.perf_counter()
        for _ in nets.fill(members):
            pass
        build_seconds = time.perf_counter() - started_at
        addresses = [rng.getrandbits(bits).to_bytes(address_bytes, "big") for _ in range(20_000)]
        look_up = nets.get

        def step(addresses: list[bytes] = addresses, look_up: Callable[[bytes], Any] = look_up) -> None:
            for address in addresses:
                look_up(address)

        round_ns = time_batches(step, 1, 20)
        ns_per_lookup = [quantile(round_ns, fraction) / len(addresses) for fraction in (0.5, 0.9)]
        lines.append(
            f"| 100,000 IPv{4 if bits == 32 else 6} | {build_seconds:.2f} | {ns_per_lookup[0]:.0f} "
            f"| {ns_per_lookup[1]:.0f} |"
        )
    return lines


def loading_figures() -> list[str]:
    """Measure time and memory of loading 10,000 rules: compiled in one process, installed in another."""
    script = (
        "import sys, time, marshal\n"
        "from benchmarks.machine import rss_kib\n"
        "from violetdoor.match.runtime import RuleSet\n"
        "data = marshal.loads(sys.stdin.buffer.read())\n"
        "before = rss_kib(); began = time.perf_counter(); longest = 0.0; last = began\n"
        "rules = RuleSet(data); del data\n"
        "for _ in rules.install():\n"
        "    now = time.perf_counter(); longest = max(longest, now - last); last = now\n"
        "print(time.perf_counter() - began, longest, rss_kib() - before, len(rules.rule_names))\n"
    )
    import marshal

    text = rules_text(10_000)
    rss_before_kib, started_at = rss_kib(), time.perf_counter()
    loaded = load_rules(text)
    compile_seconds, growth_kib = time.perf_counter() - started_at, rss_kib() - rss_before_kib
    compiled = marshal.dumps(loaded.data)
    completed = subprocess.run(
        [sys.executable, "-c", script], input=compiled, capture_output=True, check=True
    )
    install_seconds, longest_step_seconds, growth_in_server_kib, _ = map(float, completed.stdout.split())
    return [
        f"10,000 rules, {len(text) // 1000} kB of text: compiled in {compile_seconds:.1f} s in the child "
        f"(which grows by {growth_kib // 1024} MiB and ends), {len(compiled) // 1000} kB handed over, "
        f"installed by the serving process in {install_seconds * 1000:.0f} ms in steps of at most "
        f"{longest_step_seconds * 1000:.0f} ms; its memory grows by {growth_in_server_kib / 1024:.1f} MiB "
        "once the text of the product is dropped."
    ]


EQUIVALENT_EXPRESSIONS = [
    ('connect.user == "club7.app" and connect.headers', 'user == "club7.app" && headers'),
    (
        'connect.user starts_with "club" and connect.user ends_with ".app"',
        'user.startsWith("club") && user.endsWith(".app")',
    ),
    ('connect.lang in ["go", "c", "rust"] or peer.port < 1024', 'lang in ["go", "c", "rust"] || port < 1024'),
    ('(if peer.port > 1000 then "high" else "low") == "high"', '(port > 1000 ? "high" : "low") == "high"'),
    ('connect.user matches r"^club[0-9]+[.]app$"', 'user.matches("^club[0-9]+[.]app$")'),
]


def comparison_with_cel() -> list[str]:
    """Return a table of the same expressions evaluated by the match rules and by cel-python, in one run."""
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
    for rules_expression, cel_expression in EQUIVALENT_EXPRESSIONS:
        rule_set = load_rules(f'rule "r" when {rules_expression} {{ tenant = "x"; }}\ndefault {{ }}').build()
        environment = celpy.Environment()
        program = environment.program(environment.compile(cel_expression))
        assert rule_set.decide(request).rule == "r" and bool(program.evaluate(activation))
        rules_us = quantile(time_batches(lambda: rule_set.decide(request), 2000, 9), 0.5) / 1000  # noqa: B023
        cel_us = quantile(time_batches(lambda: program.evaluate(activation), 200, 9), 0.5) / 1000  # noqa: B023
        lines.append(f"| `{rules_expression}` | {rules_us:.2f} | {cel_us:.1f} | {cel_us / rules_us:.0f} |")
    return lines


def main() -> int:
    """Print the page; `--write` also stores it."""
    parts = [
        ("Time per request as rules grow", latency_by_rule_count),
        ("The worst set that is accepted", slowest_accepted_set),
        ("Prefixes", prefix_lookups), ("Loading", loading_figures),
        ("Against cel-python", comparison_with_cel),
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
