"""Compiled rules at work.

What a process that serves holds of them. Neither grammar nor checker is needed here.
"""

from __future__ import annotations

import marshal
import math
import re
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from types import CodeType, MappingProxyType
from typing import Any, NamedTuple

from violetdoor.match.types import INT_HIGH, INT_LOW, format_address, pack_address

FORMAT = 1  # of what the compiler writes
CHUNK = 2000  # prefixes, or functions, taken in before others get a turn
WHOLE = re.compile(r"[+-]?[0-9]{1,19}")
REAL = re.compile(r"[+-]?[0-9]{1,19}(\.[0-9]{1,19})?")
Request = tuple[Any, ...]
Step = Callable[[Request, list[Any]], Any]


class Unset:
    """Stands in the memo where nothing was computed yet; None is a value."""


U = Unset()


def ck(n: int) -> int:
    """A whole number that fits 64 bits, or OverflowError."""
    if INT_LOW <= n <= INT_HIGH:
        return n
    raise OverflowError("a number over 64 bits")


def cf(x: float) -> float:
    """A finite number, or OverflowError."""
    if math.isfinite(x):
        return x
    raise OverflowError("a number over its range")


def div(a: int, b: int) -> int | None:
    """Division rounded down; nothing by zero."""
    return ck(a // b) if b else None


def mod(a: int, b: int) -> int | None:
    """The remainder, with the divisor's sign; nothing by zero."""
    return a % b if b else None


def fdiv(a: float, b: float) -> float | None:
    """Division of floats; nothing by zero."""
    return cf(a / b) if b else None


def split(text: str, by: str, most: int) -> tuple[str, ...]:
    """The parts of a text, so many at most; the last has the rest."""
    return tuple(text.split(by, most - 1))


def nth(items: tuple[Any, ...] | list[Any], n: int) -> Any:
    """An item of a list, counted from 0, or nothing."""
    return items[n] if 0 <= n < len(items) else None


def fits(subject: str, pattern: tuple[str, ...]) -> bool:
    """Whether a subject fits a pattern with the wildcards of the NATS client protocol."""
    tokens = subject.split(".")
    if len(tokens) != len(pattern) and (pattern[-1] != ">" or len(tokens) < len(pattern)):
        return False
    for wanted, token in zip(pattern, tokens, strict=False):
        if wanted != token and wanted != "*" and wanted != ">":
            return False
    return "" not in tokens


def to_int(text: str) -> int | None:
    """The whole number that a text is, or nothing."""
    if not WHOLE.fullmatch(text):
        return None
    n = int(text)
    return n if INT_LOW <= n <= INT_HIGH else None


def to_float(text: str) -> float | None:
    """The number that a text is, or nothing."""
    return float(text) if REAL.fullmatch(text) else None


def digest(value: str | bytes | int, n: int) -> int:
    """A hash in 0..n-1, the same on every machine: XXH3, 64 bits, of UTF-8, packed or little-endian bytes."""
    from xxhash import xxh3_64_intdigest

    if isinstance(value, str):
        value = value.encode("utf-8", "surrogatepass")
    elif isinstance(value, int):
        value = value.to_bytes(8, "little", signed=True)
    return xxh3_64_intdigest(value) % n


class PrefixTable:
    """A set of prefixes of both families.

    Each may carry a value. The longest that holds an address counts.
    """

    def __init__(self) -> None:
        from pytricia import PyTricia

        self.four, self.six = PyTricia(32), PyTricia(128)

    def fill(self, members: Iterable[tuple[bytes, int, Any]]) -> Iterator[None]:
        """Take in prefixes as packed address, length and value; yields now and then."""
        for n, (address, length, value) in enumerate(members, 1):
            (self.four if len(address) == 4 else self.six).insert(address, length, value)
            if n % CHUNK == 0:
                yield

    def get(self, address: bytes) -> Any:
        """The value of the longest prefix that holds the address, or None."""
        return (self.four if len(address) == 4 else self.six).get(address)


ENVIRONMENT: dict[str, Any] = {
    "U": U, "ck": ck, "cf": cf, "div": div, "mod": mod, "fdiv": fdiv, "split": split, "nth": nth,
    "fits": fits, "to_int": to_int, "to_float": to_float, "digest": digest, "packed": pack_address,
    "written": format_address,
    "__builtins__": {"len": len, "min": min, "max": max, "str": str, "float": float, "abs": abs},
}  # fmt: skip


def compile_pattern(pattern: str) -> Any:
    """A regular expression that runs in linear time, or ValueError."""
    import re2

    options = re2.Options()
    options.max_mem, options.log_errors, options.never_capture = 1 << 20, False, True
    try:
        return re2.compile(pattern, options)
    except re2.error as err:
        text = err.args[0]
        raise ValueError(text.decode("utf-8", "replace") if isinstance(text, bytes) else str(text)) from None


class Verdict(NamedTuple):
    """What the rules say of a request; None is what they leave to the front."""

    rule: str = "default"
    cls: str | None = None
    tenant: str | None = None
    group: int | None = None
    key: int | None = None
    pool: str | None = None
    refusal: str | None = None
    labels: Mapping[str, str] = MappingProxyType({})


@dataclass(slots=True)
class _Group:
    """Rules that test one value: which of them can match is looked up."""

    kind: str
    read: Step
    table: Any  # of values, of prefixes by their length, or of networks: rules in order


class RuleSet:
    """A whole set of rules, ready to decide."""

    def __init__(self, data: Mapping[str, Any]) -> None:
        """Take the compiler's product; it is ready once `install` has run to its end."""
        if data.get("format") != FORMAT:
            raise ValueError("the compiled rules are of another version")
        self.rule_names: list[str] = data["names"]
        self.used_fields: frozenset[str] = frozenset(data["used"])
        self.cost_ns: float = data["cost"]  # ns at the worst, by the price table
        self.origin: str = data["origin"]
        self.failure_count = 0
        self.last_failure = ""
        self._data = data
        self._blank: list[Any] = [U] * data["shared"]
        self._when: list[Step | None] = []
        self._out: list[Verdict | Step] = []
        self._fixed: tuple[int, ...] = data["fixed"]
        self._groups: list[_Group] = []
        self._default: Verdict | Step = Verdict()

    def install(self) -> Iterator[None]:
        """Build what decides, in steps.

        Guards against a large set that holds up the loop when it is swapped in.
        """
        data, space = self._data, dict(ENVIRONMENT)
        space["V"] = Verdict
        space["P"] = [compile_pattern(pattern) for pattern in data["patterns"]]
        space["S"] = data["texts"]
        space["C"] = data["constants"]
        space["N"] = nets = []
        for members in data["nets"]:
            nets.append(PrefixTable())
            yield from nets[-1].fill((address, length, True) for address, length in members)
        for blob in data["code"]:
            code = marshal.loads(blob)
            assert isinstance(code, CodeType)
            exec(code, space)
            yield

        def step(name: str | None) -> Any:
            return space[name] if name else None

        def outcome(out: Any) -> Verdict | Step:
            return step(out) if isinstance(out, str) else Verdict(*out)

        for n, (when, out) in enumerate(data["rules"], 1):
            self._when.append(step(when))
            self._out.append(outcome(out))
            if n % CHUNK == 0:
                yield
        self._default = outcome(data["default"])
        for kind, read, table in data["groups"]:
            if kind == "net":
                tree = PrefixTable()
                yield from tree.fill(table)
                table = tree
            self._groups.append(_Group(kind, step(read), table))
        self._data = {}

    def build(self) -> RuleSet:
        """Build all at once."""
        for _ in self.install():
            pass
        return self

    def candidates(self, request: Request, memo: list[Any]) -> list[int] | tuple[int, ...]:
        """The rules that can match, in order."""
        found: list[int] | tuple[int, ...] = self._fixed
        merged = False
        for group in self._groups:
            value = group.read(request, memo)
            if value is None:
                continue
            if group.kind == "prefix":
                for length, table in group.table:
                    if more := table.get(value[:length]):
                        merged = merged or bool(found)
                        found = (*found, *more)
            elif more := group.table.get(value):
                merged = merged or bool(found)
                found = (*found, *more)
        return sorted(found) if merged else found

    def decide(self, request: Request) -> Verdict:
        """The first rule's word that matches, else the default's; never an exception.

        Guards against a rule that fails all the same: its request gets the default, and the failure is
        counted.
        """
        memo = self._blank[:]
        at = -1
        try:
            when = self._when
            for at in self.candidates(request, memo):
                test = when[at]
                if test is None or test(request, memo):
                    out = self._out[at]
                    return out if isinstance(out, Verdict) else out(request, memo)
            at = -1
            out = self._default
            return out if isinstance(out, Verdict) else out(request, memo)
        except Exception as err:
            name = self.rule_names[at] if at >= 0 else "default"
            return self.record_failure(name, f"{type(err).__name__} {err}", request)

    def record_failure(self, rule: str, why: str, request: Request) -> Verdict:
        """Count a rule's failure; the default's word in its place."""
        self.failure_count += 1
        self.last_failure = f"{rule!r}: {why}"
        out = self._default
        if isinstance(out, Verdict):
            return out
        try:
            return out(request, self._blank[:])  # type: ignore[no-any-return]
        except Exception:
            return Verdict()
