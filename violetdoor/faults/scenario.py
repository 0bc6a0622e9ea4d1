"""Scenarios: what runs, for how long, and which faults come when; read from TOML or drawn."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from random import Random
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, field

from violetdoor.configuration.errors import ConfigError
from violetdoor.configuration.field_types import Positive, StrictTable
from violetdoor.configuration.files import describe_violations, read_table
from violetdoor.configuration.validation import FieldViolation, form_violations

RELAYS_MOST, SERVERS_MOST, SECONDS_MOST = 64, 64, 3600.0
FAULTS_MOST = 1000
ON_ONE = ("kill", "restart", "stop", "continue", "join", "leave", "upgrade")
ON_LINKS = ("cut", "one_way", "loss", "delay", "heal")
KINDS = Literal[
    "kill",
    "restart",
    "stop",
    "continue",
    "cut",
    "one_way",
    "loss",
    "delay",
    "heal",
    "join",
    "leave",
    "upgrade",
]
SERVERS_TAKE = ("kill", "restart", "stop", "continue")  # what can happen to a gate server

Seconds = Annotated[float, Meta(ge=0)]
Names = list[str | list[str]]


class FaultLine(StrictTable):
    """One fault. `who`: relays r0.., servers s0..; for links two lists, or for `loss` and `delay` one."""

    at_s: Seconds
    kind: KINDS
    who: Names = field(default_factory=list)
    for_s: Positive | None = None  # then it is undone: what was killed restarts, what was cut heals
    value: Seconds = 0.0  # a part that is lost, or ms of delay


class Scenario(StrictTable):
    """What is played."""

    relays: Annotated[int, Meta(ge=1, le=RELAYS_MOST)]
    servers: Annotated[int, Meta(ge=1, le=SERVERS_MOST)] = 2
    seconds: Annotated[float, Meta(gt=0, le=SECONDS_MOST)] = 20.0
    seed: int = 1
    name: str = ""
    front: Literal["line", "nats"] = "line"
    founders: Annotated[int, Meta(ge=1)] = 3
    state: bool = True  # relays keep what must not be forgotten
    clients: Annotated[int, Meta(ge=0, le=1000)] = 6
    fault: list[FaultLine] = field(default_factory=list)

    @property
    def names(self) -> list[str]:
        """All relays that ever run: those of the start, and those that join."""
        first = [f"r{n}" for n in range(self.relays)]
        joins = [str(who) for f in self.fault if f.kind == "join" for who in f.who]
        return [*first, *(n for n in dict.fromkeys(joins) if n not in first)]

    def started(self) -> list[str]:
        """The relays that run from the start: those that `join` later do not."""
        later = {str(who) for f in self.fault if f.kind == "join" for who in f.who}
        return [n for n in (f"r{n}" for n in range(self.relays)) if n not in later]


def faults_of(scenario: Scenario) -> Iterator[FieldViolation]:
    """What only the whole of a sound file can tell."""
    relays = set(scenario.names)
    servers = {f"s{n}" for n in range(scenario.servers)}
    if len(scenario.fault) > FAULTS_MOST:
        yield FieldViolation(("fault",), f"found {len(scenario.fault)}, expected {FAULTS_MOST} at most")
    if not scenario.started():
        yield FieldViolation(("relays",), "no relay runs from the start")
    for n, one in enumerate(scenario.fault):
        at = ("fault", n)
        if one.at_s >= scenario.seconds:
            yield FieldViolation(
                (*at, "at_s"), f"found {one.at_s:g}, expected a time before the end at {scenario.seconds:g}"
            )
        nested = [w for w in one.who if isinstance(w, list)]
        flat = [w for w in one.who if isinstance(w, str)]
        names = flat + [name for group in nested for name in group]
        known = relays if one.kind in ON_LINKS or one.kind not in SERVERS_TAKE else relays | servers
        for name in names:
            if name not in known:
                what = "a relay" if known is relays else "a relay or a server"
                yield FieldViolation((*at, "who"), f"unknown name {name!r}, expected {what} of this scenario")
        if one.kind in ON_ONE and (nested or not flat):
            yield FieldViolation((*at, "who"), f"{one.kind!r} takes a list of names")
        if one.kind in ("cut", "one_way") and len(nested) != 2:
            yield FieldViolation((*at, "who"), f"{one.kind!r} takes two lists of names")
        if one.kind in ("loss", "delay"):
            if len(nested) not in (0, 2) or bool(nested) == bool(flat):
                yield FieldViolation((*at, "who"), f"{one.kind!r} takes a list of names, or two lists")
            if one.kind == "loss" and not 0 <= one.value <= 1:
                yield FieldViolation((*at, "value"), f"found {one.value:g}, expected a part from 0 to 1")
        if one.for_s is not None and one.kind in ("restart", "continue", "heal", "upgrade"):
            yield FieldViolation((*at, "for_s"), f"{one.kind!r} can't be undone")


def read_scenario(path: Path) -> Scenario:
    """A scenario's file; ConfigError with all its faults and their places."""
    data = read_table(path)
    try:
        scenario = msgspec.convert(data, Scenario)
    except msgspec.ValidationError as err:
        found = form_violations(Scenario, data) or [FieldViolation((), str(err))]
        raise ConfigError("\n".join(describe_violations(path, found))) from err
    if found := list(faults_of(scenario)):
        raise ConfigError("\n".join(describe_violations(path, found)))
    return msgspec.structs.replace(scenario, name=scenario.name or path.stem)


def scenario_to_toml(scenario: Scenario) -> str:
    """A scenario as TOML."""

    def value(one: Any) -> str:
        if isinstance(one, bool):
            return "true" if one else "false"
        if isinstance(one, list):
            return "[" + ", ".join(map(value, one)) + "]"
        return f'"{one}"' if isinstance(one, str) else f"{one:g}" if isinstance(one, float) else str(one)

    rows = msgspec.to_builtins(scenario)
    lines = [f"{name} = {value(v)}" for name, v in rows.items() if name != "fault" and v not in (None, "")]
    for row in rows["fault"]:
        lines += ["", "[[fault]]"]
        lines += [
            f"{name} = {value(v)}" for name, v in row.items() if v not in (None, [], 0.0) or name == "at_s"
        ]
    return "\n".join(lines) + "\n"


QUIET = 12.0  # s at the start for founding, and at the end for settling, in which no drawn fault begins
GAP = 2.5  # s between two drawn faults, on average


def random_scenario(seed: int, seconds: float = 60.0) -> Scenario:
    """A random schedule: the same for the same seed."""
    random = Random(f"schedule {seed}")
    relays = random.choice([3, 3, 4, 5, 7])
    names, servers = [f"r{n}" for n in range(relays)], random.randint(2, 4)
    lines: list[FaultLine] = []
    at = QUIET
    while (at := at + random.expovariate(1 / GAP)) < seconds - QUIET:
        kind = random.choice(
            ["kill", "kill", "stop", "cut", "cut", "one_way", "loss", "delay", "leave", "upgrade", "server"]
        )
        most = min(8.0, seconds - QUIET / 2 - at)
        for_s = round(random.uniform(0.5, max(0.6, most)), 2)
        some = random.sample(names, random.randint(1, max(1, relays // 2)))
        others = [n for n in names if n not in some]
        one: Names = [some[0]]
        line = FaultLine(round(at, 2), "kill", one, for_s)
        if kind in ("cut", "one_way"):
            line = FaultLine(round(at, 2), kind, [some, others], for_s)  # type: ignore[arg-type]
        elif kind == "loss":
            line = FaultLine(round(at, 2), "loss", [*names], for_s, random.choice([0.1, 0.2, 0.3]))
        elif kind == "delay":
            line = FaultLine(round(at, 2), "delay", [*some], for_s, random.choice([5.0, 20.0, 60.0]))
        elif kind == "server":
            line = FaultLine(
                round(at, 2), random.choice(["kill", "stop"]), [f"s{random.randrange(servers)}"], for_s
            )
        elif kind == "upgrade":
            line = FaultLine(round(at, 2), "upgrade", one)
        elif kind in ("kill", "stop", "leave"):
            line = FaultLine(round(at, 2), kind, some if kind == "kill" else some[:1], for_s)  # type: ignore[arg-type]
        lines.append(line)
    return Scenario(relays, servers, seconds, seed, f"random-{seed}", fault=lines)
