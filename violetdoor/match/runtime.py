"""Run time of compiled rules.

Here and in types is all that a serving process needs; grammar and checker are not loaded.
"""

from __future__ import annotations

import marshal
import math
import re
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from types import CodeType, MappingProxyType
from typing import Any, NamedTuple

from violetdoor.match.types import MAX_INT, MIN_INT, format_address, pack_address

FORMAT_VERSION = 1  # of the compiler's output
INSTALL_CHUNK = 2000  # prefixes or rules installed before the event loop gets a turn
INTEGER_PATTERN = re.compile(r"[+-]?[0-9]{1,19}")
DECIMAL_PATTERN = re.compile(r"[+-]?[0-9]{1,19}(\.[0-9]{1,19})?")
Request = tuple[Any, ...]
Step = Callable[[Request, list[Any]], Any]


class Unset:
    """Marks a memo slot that is not computed yet; None is a valid value."""


UNSET = Unset()


def check_int64(n: int) -> int:
    """Return an integer that fits 64 bits; raises OverflowError for any other."""
    if MIN_INT <= n <= MAX_INT:
        return n
    raise OverflowError("integer result does not fit 64 bits")


def check_finite(x: float) -> float:
    """Return a finite number; raises OverflowError for any other."""
    if math.isfinite(x):
        return x
    raise OverflowError("float result is not finite")


def floor_divide(a: int, b: int) -> int | None:
    """Return the quotient rounded down, None for a divisor of 0."""
    return check_int64(a // b) if b else None


def modulo(a: int, b: int) -> int | None:
    """Return the remainder, with the divisor's sign; None for a divisor of 0."""
    return a % b if b else None


def float_divide(a: float, b: float) -> float | None:
    """Return the quotient of floats, None for a divisor of 0."""
    return check_finite(a / b) if b else None


def split(text: str, separator: str, max_parts: int) -> tuple[str, ...]:
    """Return the parts of a text, `max_parts` at most; the last holds the rest."""
    return tuple(text.split(separator, max_parts - 1))


def item_at(items: tuple[Any, ...] | list[Any], n: int) -> Any:
    """Return an item of a list, counted from 0; None if there is no such item."""
    return items[n] if 0 <= n < len(items) else None


def matches_subject(subject: str, pattern: tuple[str, ...]) -> bool:
    """Whether a subject matches a pattern with the wildcards of the NATS client protocol."""
    tokens = subject.split(".")
    if len(tokens) != len(pattern) and (pattern[-1] != ">" or len(tokens) < len(pattern)):
        return False
    for expected, token in zip(pattern, tokens, strict=False):
        if expected != token and expected != "*" and expected != ">":
            return False
    return "" not in tokens


def to_int(text: str) -> int | None:
    """Return the integer that a text represents; None if it is not one or does not fit 64 bits."""
    if not INTEGER_PATTERN.fullmatch(text):
        return None
    n = int(text)
    return n if MIN_INT <= n <= MAX_INT else None


def to_float(text: str) -> float | None:
    """Return the decimal number that a text represents, None if it is not one."""
    return float(text) if DECIMAL_PATTERN.fullmatch(text) else None


def hash_bucket(value: str | bytes | int, buckets: int) -> int:
    """Return a hash in 0..buckets-1, the same on every machine.

    It is the 64-bit XXH3 of a string's UTF-8, an address's packed or an integer's little-endian bytes.
    """
    from xxhash import xxh3_64_intdigest

    if isinstance(value, str):
        value = value.encode("utf-8", "surrogatepass")
    elif isinstance(value, int):
        value = value.to_bytes(8, "little", signed=True)
    return xxh3_64_intdigest(value) % buckets


class PrefixTable:
    """A table of IPv4 and IPv6 prefixes, each with a value; look-ups use the longest match."""

    def __init__(self) -> None:
        from pytricia import PyTricia

        self.ipv4, self.ipv6 = PyTricia(32), PyTricia(128)

    def fill(self, members: Iterable[tuple[bytes, int, Any]]) -> Iterator[None]:
        """Insert prefixes given as packed address, length and value; yields after INSTALL_CHUNK of them."""
        for n, (address, length, value) in enumerate(members, 1):
            (self.ipv4 if len(address) == 4 else self.ipv6).insert(address, length, value)
            if n % INSTALL_CHUNK == 0:
                yield

    def get(self, address: bytes) -> Any:
        """Return the value of the longest prefix that contains the address, or None."""
        return (self.ipv4 if len(address) == 4 else self.ipv6).get(address)


# Globals of generated code, by the names that typed.OPERATORS and Emitter use.
ENVIRONMENT: dict[str, Any] = {
    "U": UNSET, "ck": check_int64, "cf": check_finite, "div": floor_divide, "mod": modulo,
    "fdiv": float_divide, "split": split, "nth": item_at, "fits": matches_subject, "to_int": to_int,
    "to_float": to_float, "digest": hash_bucket, "packed": pack_address, "written": format_address,
    "__builtins__": {"len": len, "min": min, "max": max, "str": str, "float": float, "abs": abs},
}  # fmt: skip


def compile_pattern(pattern: str) -> Any:
    """Return a regular expression that matches in linear time; raises ValueError if it is invalid."""
    import re2

    options = re2.Options()
    options.max_mem, options.log_errors, options.never_capture = 1 << 20, False, True
    try:
        return re2.compile(pattern, options)
    except re2.error as err:
        text = err.args[0]
        raise ValueError(text.decode("utf-8", "replace") if isinstance(text, bytes) else str(text)) from None


class Verdict(NamedTuple):
    """The rules' decision on a request; None leaves the value to the front."""

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
    """Rules that test the same value; a look-up finds those that can match."""

    kind: str
    read_value: Step
    table: Any  # indexes of rules, by value, by string prefix for each length, or by address prefix


class RuleSet:
    """A compiled set of rules."""

    def __init__(self, data: Mapping[str, Any]) -> None:
        """Take the compiler's output; the set can decide once `install` is exhausted."""
        if data.get("format") != FORMAT_VERSION:
            raise ValueError("the compiled rules have an unsupported format version")
        self.rule_names: list[str] = data["names"]
        self.used_fields: frozenset[str] = frozenset(data["used"])
        self.cost_ns: float = data["cost"]  # worst case of one request, by the price table
        self.origin: str = data["origin"]
        self.failure_count = 0
        self.last_failure = ""
        self._data = data
        self._empty_memo: list[Any] = [UNSET] * data["shared"]
        self._conditions: list[Step | None] = []
        self._outcomes: list[Verdict | Step] = []
        self._ungrouped: tuple[int, ...] = data["fixed"]
        self._groups: list[_Group] = []
        self._default: Verdict | Step = Verdict()

    def install(self) -> Iterator[None]:
        """Install the set in small steps, yielding between them.

        Guards against a large set blocking the event loop while it is swapped in.
        """
        data, namespace = self._data, dict(ENVIRONMENT)
        # Verdict type, patterns, string sets, constants and prefix sets, by the names that Emitter uses.
        namespace["V"] = Verdict
        namespace["P"] = [compile_pattern(pattern) for pattern in data["patterns"]]
        namespace["S"] = data["texts"]
        namespace["C"] = data["constants"]
        namespace["N"] = prefix_tables = []
        for members in data["nets"]:
            prefix_tables.append(PrefixTable())
            yield from prefix_tables[-1].fill((address, length, True) for address, length in members)
        for blob in data["code"]:
            code = marshal.loads(blob)
            assert isinstance(code, CodeType)
            exec(code, namespace)
            yield

        def step(name: str | None) -> Any:
            return namespace[name] if name else None

        def outcome(out: Any) -> Verdict | Step:
            return step(out) if isinstance(out, str) else Verdict(*out)

        for n, (when, out) in enumerate(data["rules"], 1):
            self._conditions.append(step(when))
            self._outcomes.append(outcome(out))
            if n % INSTALL_CHUNK == 0:
                yield
        self._default = outcome(data["default"])
        for kind, read_value, table in data["groups"]:
            if kind == "net":
                prefix_table = PrefixTable()
                yield from prefix_table.fill(table)
                table = prefix_table
            self._groups.append(_Group(kind, step(read_value), table))
        self._data = {}

    def build(self) -> RuleSet:
        """Install the whole set at once; return it."""
        for _ in self.install():
            pass
        return self

    def candidates(self, request: Request, memo: list[Any]) -> list[int] | tuple[int, ...]:
        """Return the indexes of the rules that can match, in order."""
        found: list[int] | tuple[int, ...] = self._ungrouped
        unsorted = False
        for group in self._groups:
            value = group.read_value(request, memo)
            if value is None:
                continue
            if group.kind == "prefix":
                for length, table in group.table:
                    if matching := table.get(value[:length]):
                        unsorted = unsorted or bool(found)
                        found = (*found, *matching)
            elif matching := group.table.get(value):
                unsorted = unsorted or bool(found)
                found = (*found, *matching)
        return sorted(found) if unsorted else found

    def decide(self, request: Request) -> Verdict:
        """Return the verdict of the first rule that matches, else the default's; never raises.

        If a rule fails index run time, its request gets the default verdict and the failure is counted.
        """
        memo = self._empty_memo[:]
        index = -1
        try:
            conditions = self._conditions
            for index in self.candidates(request, memo):
                test = conditions[index]
                if test is None or test(request, memo):
                    out = self._outcomes[index]
                    return out if isinstance(out, Verdict) else out(request, memo)
            index = -1
            out = self._default
            return out if isinstance(out, Verdict) else out(request, memo)
        except Exception as err:
            name = self.rule_names[index] if index >= 0 else "default"
            return self.record_failure(name, f"{type(err).__name__} {err}", request)

    def record_failure(self, rule: str, reason: str, request: Request) -> Verdict:
        """Count a rule's failure; return the default verdict."""
        self.failure_count += 1
        self.last_failure = f"{rule!r}: {reason}"
        out = self._default
        if isinstance(out, Verdict):
            return out
        try:
            return out(request, self._empty_memo[:])  # type: ignore[no-any-return]
        except Exception:
            return Verdict()
