"""Scenarios: what runs, for how long, and when which faults are injected; read from TOML or random."""

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

MAX_RELAYS, MAX_SERVERS, MAX_SECONDS = 64, 64, 3600.0
MAX_FAULTS = 1000
PROCESS_FAULTS = ("kill", "restart", "stop", "continue", "join", "leave", "upgrade")
LINK_FAULTS = ("cut", "one_way", "loss", "delay", "heal")
FaultKind = Literal[
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
SERVER_FAULTS = ("kill", "restart", "stop", "continue")  # kinds that apply to gate servers, too

Seconds = Annotated[float, Meta(ge=0)]
Names = list[str | list[str]]


class FaultLine(StrictTable):
    """One fault. `who`: relays r0.., servers s0..; for links two lists, or one for `loss` and `delay`."""

    at_s: Seconds
    kind: FaultKind
    who: Names = field(default_factory=list)
    for_s: Positive | None = None  # after this time it is undone: killed processes restart, cut links heal
    value: Seconds = 0.0  # fraction lost (`loss`) or delay in ms (`delay`)


class Scenario(StrictTable):
    """A run: its relays, servers and clients, its length, and its faults."""

    relays: Annotated[int, Meta(ge=1, le=MAX_RELAYS)]
    servers: Annotated[int, Meta(ge=1, le=MAX_SERVERS)] = 2
    seconds: Annotated[float, Meta(gt=0, le=MAX_SECONDS)] = 20.0
    seed: int = 1
    name: str = ""
    front: Literal["line", "nats"] = "line"
    founders: Annotated[int, Meta(ge=1)] = 3
    state: bool = True  # whether relays have a state file
    clients: Annotated[int, Meta(ge=0, le=1000)] = 6
    fault: list[FaultLine] = field(default_factory=list)

    @property
    def all_relays(self) -> list[str]:
        """The names of all relays that ever run: the numbered ones and those that join."""
        numbered = [f"r{n}" for n in range(self.relays)]
        joins = [str(who) for f in self.fault if f.kind == "join" for who in f.who]
        return [*numbered, *(n for n in dict.fromkeys(joins) if n not in numbered)]

    def initial_relays(self) -> list[str]:
        """Return the relays that run from the start: all but those that `join` later."""
        joining = {str(who) for f in self.fault if f.kind == "join" for who in f.who}
        return [n for n in (f"r{n}" for n in range(self.relays)) if n not in joining]


def scenario_violations(scenario: Scenario) -> Iterator[FieldViolation]:
    """Yield the violations of rules that span several fields of a well-formed scenario."""
    relays = set(scenario.all_relays)
    servers = {f"s{n}" for n in range(scenario.servers)}
    if len(scenario.fault) > MAX_FAULTS:
        yield FieldViolation(("fault",), f"found {len(scenario.fault)}, expected {MAX_FAULTS} at most")
    if not scenario.initial_relays():
        yield FieldViolation(("relays",), "no relay runs from the start")
    for n, fault in enumerate(scenario.fault):
        path = ("fault", n)
        if fault.at_s >= scenario.seconds:
            yield FieldViolation(
                (*path, "at_s"),
                f"found {fault.at_s:g}, expected a time before the end at {scenario.seconds:g}",
            )
        nested = [w for w in fault.who if isinstance(w, list)]
        flat = [w for w in fault.who if isinstance(w, str)]
        names = flat + [name for group in nested for name in group]
        known = relays if fault.kind in LINK_FAULTS or fault.kind not in SERVER_FAULTS else relays | servers
        for name in names:
            if name not in known:
                what = "a relay" if known is relays else "a relay or a server"
                yield FieldViolation(
                    (*path, "who"), f"unknown name {name!r}, expected {what} of this scenario"
                )
        if fault.kind in PROCESS_FAULTS and (nested or not flat):
            yield FieldViolation((*path, "who"), f"{fault.kind!r} takes a list of names")
        if fault.kind in ("cut", "one_way") and len(nested) != 2:
            yield FieldViolation((*path, "who"), f"{fault.kind!r} takes two lists of names")
        if fault.kind in ("loss", "delay"):
            if len(nested) not in (0, 2) or bool(nested) == bool(flat):
                yield FieldViolation((*path, "who"), f"{fault.kind!r} takes a list of names, or two lists")
            if fault.kind == "loss" and not 0 <= fault.value <= 1:
                yield FieldViolation(
                    (*path, "value"), f"found {fault.value:g}, expected a fraction from 0 to 1"
                )
        if fault.for_s is not None and fault.kind in ("restart", "continue", "heal", "upgrade"):
            yield FieldViolation((*path, "for_s"), f"{fault.kind!r} can't be undone, expected no for_s")


def read_scenario(path: Path) -> Scenario:
    """Read a scenario file; raise ConfigError with all violations and their positions."""
    data = read_table(path)
    try:
        scenario = msgspec.convert(data, Scenario)
    except msgspec.ValidationError as err:
        found = form_violations(Scenario, data) or [FieldViolation((), str(err))]
        raise ConfigError("\n".join(describe_violations(path, found))) from err
    if found := list(scenario_violations(scenario)):
        raise ConfigError("\n".join(describe_violations(path, found)))
    return msgspec.structs.replace(scenario, name=scenario.name or path.stem)


def scenario_to_toml(scenario: Scenario) -> str:
    """Return a scenario as TOML."""

    def format_value(item: Any) -> str:
        if isinstance(item, bool):
            return "true" if item else "false"
        if isinstance(item, list):
            return "[" + ", ".join(map(format_value, item)) + "]"
        return f'"{item}"' if isinstance(item, str) else f"{item:g}" if isinstance(item, float) else str(item)

    rows = msgspec.to_builtins(scenario)
    lines = [
        f"{name} = {format_value(v)}" for name, v in rows.items() if name != "fault" and v not in (None, "")
    ]
    for row in rows["fault"]:
        lines += ["", "[[fault]]"]
        lines += [
            f"{name} = {format_value(v)}"
            for name, v in row.items()
            if v not in (None, [], 0.0) or name == "at_s"
        ]
    return "\n".join(lines) + "\n"


QUIET_SECONDS = 12.0  # at the start (for founding) and the end (for settling), without new random faults
MEAN_FAULT_INTERVAL_SECONDS = 2.5  # between two random faults


def random_scenario(seed: int, seconds: float = 60.0) -> Scenario:
    """Return a scenario with random faults; the same seed gives the same scenario."""
    random = Random(f"schedule {seed}")
    relays = random.choice([3, 3, 4, 5, 7])
    names, servers = [f"r{n}" for n in range(relays)], random.randint(2, 4)
    faults: list[FaultLine] = []
    at = QUIET_SECONDS
    while (at := at + random.expovariate(1 / MEAN_FAULT_INTERVAL_SECONDS)) < seconds - QUIET_SECONDS:
        kind = random.choice(
            ["kill", "kill", "stop", "cut", "cut", "one_way", "loss", "delay", "leave", "upgrade", "server"]
        )
        max_duration = min(8.0, seconds - QUIET_SECONDS / 2 - at)
        for_s = round(random.uniform(0.5, max(0.6, max_duration)), 2)
        chosen = random.sample(names, random.randint(1, max(1, relays // 2)))
        others = [n for n in names if n not in chosen]
        victim: Names = [chosen[0]]
        fault = FaultLine(round(at, 2), "kill", victim, for_s)
        if kind in ("cut", "one_way"):
            fault = FaultLine(round(at, 2), kind, [chosen, others], for_s)  # type: ignore[arg-type]
        elif kind == "loss":
            fault = FaultLine(round(at, 2), "loss", [*names], for_s, random.choice([0.1, 0.2, 0.3]))
        elif kind == "delay":
            fault = FaultLine(round(at, 2), "delay", [*chosen], for_s, random.choice([5.0, 20.0, 60.0]))
        elif kind == "server":
            fault = FaultLine(
                round(at, 2), random.choice(["kill", "stop"]), [f"s{random.randrange(servers)}"], for_s
            )
        elif kind == "upgrade":
            fault = FaultLine(round(at, 2), "upgrade", victim)
        elif kind in ("kill", "stop", "leave"):
            fault = FaultLine(round(at, 2), kind, chosen if kind == "kill" else chosen[:1], for_s)  # type: ignore[arg-type]
        faults.append(fault)
    return Scenario(relays, servers, seconds, seed, f"random-{seed}", fault=faults)
