"""The configuration, read once into the few values that the program uses.

The platform tells a relay by its environment and a JSON file; an operator of the NATS front by a TOML file.
"""

from __future__ import annotations

import os
import secrets
import socket
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, fields, replace
from pathlib import Path
from typing import Any

import orjson

from lynxdeck import interface as i
from lynxdeck.wirehost import settings_from
from violetdoor.fronts.nats.front import NatsOptions
from violetdoor.net.sockets import Address, parse_address


class ConfigError(Exception):
    """The configuration does not read; the text says why in one line."""


@dataclass(slots=True, frozen=True)
class Config:
    """What one relay runs by; times in seconds, the classes' deadlines in milliseconds."""

    name: str
    listen: Address
    discovery: Address | None  # none: the known list is all there is
    seed: int
    settings: i.Settings
    known: dict[str, Any]  # a list of servers in discovery's form
    sockets: int
    connect_timeout: float
    deadlines: dict[str, float]
    tells_delay: bool
    tenants: frozenset[str]  # of the line front; none: any
    raw: bytes = b""  # the platform's settings as they were read, for the process that takes over
    console: Address | None = None  # where operators call; none: nowhere
    nats: NatsOptions | None = None  # none: the front is that of the line protocol

    def fixed_changes(self, new: Config) -> list[str]:
        """What is different in a newer configuration and takes a restart."""
        names = ("name", "listen", "console", "sockets")
        changed = [name for name in names if getattr(self, name) != getattr(new, name)]
        if self.nats and new.nats and replace(self.nats, tenants={}) != replace(new.nats, tenants={}):
            changed.append("nats")
        return changed


def listen_text(path: Path | None) -> str:
    """The address that clients connect to, as it is written; nothing if it can't be read."""
    try:
        if path is not None:
            return str(tomllib.loads(path.read_text())["listen"])
        told = os.environ.get("BALANCER_LISTEN")
        return told or str(orjson.loads(Path(os.environ["BALANCER_CONFIG"]).read_bytes())["listen"])
    except (OSError, ValueError, KeyError, TypeError):
        return ""


OWN = ("name", "listen", "console", "limits", "seed")  # of each process; all else is its predecessor's


def from_platform(again: bool = False, inherited: bytes = b"") -> Config:
    """Read what the platform tells a relay by the environment and the file that it names.

    Read again, the file outranks the environment, which still says what held at the start. What a predecessor
    had in force outranks both: the file may be broken by now.
    """
    try:
        path = os.environ["BALANCER_CONFIG"]
    except KeyError as err:
        raise ConfigError("BALANCER_CONFIG names no file and no --config was given") from err
    try:
        data = _with_inherited(Path(path), inherited)
        facts = data["settings"]
        _check(facts)
        settings = settings_from(facts)
        # Guards against servers that look sound until they drop their clients: where nothing reports load,
        # echoes tell nothing of it either, unlike the simulator's notes. The time that a probe takes does.
        probes = bool(facts.get("policyLimits", {}).get("probes"))
        told = None if again or inherited else os.environ.get("BALANCER_DISCOVERY")
        console = os.environ.get("BALANCER_CONSOLE") or data.get("console")
        return Config(
            name=os.environ.get("BALANCER_NAME") or data["name"],
            listen=parse_address(os.environ.get("BALANCER_LISTEN") or data["listen"]),
            discovery=parse_address(told or data["discovery"]),
            seed=int(str(data.get("seed", "0")), 16),
            settings=replace(settings, probe_times=probes and not settings.probes),
            known=data.get("known") or {},
            sockets=int(data.get("limits", {}).get("sockets", 1024)),
            connect_timeout=facts.get("policyLimits", {}).get("connectTimeout", 200.0) / 1000,
            deadlines={c["name"]: float(c["hardLimit"]) for c in facts["classes"]},
            tenants=frozenset(str(a["name"]) for a in facts.get("accounts") or ()),
            tells_delay=bool(facts.get("familyInfo", {}).get("tellsDelay")),
            console=parse_address(console) if console else None,
            raw=orjson.dumps(data | {"discovery": told or data["discovery"]}),
        )
    except OSError as err:
        raise ConfigError(f"{path}: {err.strerror}") from err
    except (ValueError, KeyError, TypeError, AttributeError) as err:
        raise ConfigError(f"{path}: {type(err).__name__} {err}") from err


def _check(facts: dict[str, Any]) -> None:
    """See that the settings can be worked by; guards against a file that reads and is wrong all the same."""
    if not facts["classes"]:
        raise ValueError("no classes")
    for c in facts["classes"]:
        if not isinstance(c["name"], str) or not c["name"]:
            raise ValueError("a class without a name")
        for name in ("goalTime", "hardLimit"):
            _positive(c[name], f"{name} of class {c['name']!r}")
    limits = facts["policyLimits"]
    _positive(limits["sendCap"], "sendCap")
    _positive(limits.get("connectTimeout", 200.0), "connectTimeout")


def lacks(old: Any, new: Any, where: str = "the file") -> str:
    """The first key that the configuration in force has and a newer one lacks, or nothing.

    Guards against a file that was cut and still reads: it would be taken for one with other settings.
    """
    if isinstance(old, dict) and isinstance(new, dict):
        for name, value in old.items():
            if name not in new:
                return f"{name!r} is missing in {where}"
            if name != "known" and (found := lacks(value, new[name], name)):
                return found
    elif isinstance(old, list) and isinstance(new, list) and all(isinstance(v, dict) for v in old + new):
        shared = set.intersection(*(set(v) for v in old)) if old else set()
        for entry in new:
            if missing := shared - set(entry):
                return f"{min(missing)!r} is missing in {where}"
    return ""


def _with_inherited(path: Path, inherited: bytes) -> dict[str, Any]:
    held: dict[str, Any] = orjson.loads(inherited) if inherited else {}
    try:
        data = orjson.loads(path.read_bytes())
        if not isinstance(data, dict):
            raise ValueError("the file is no object")
    except (OSError, ValueError):
        if not inherited:
            raise
        data = {}
    return held | {name: data[name] for name in OWN if name in data} if inherited else data


TOP = {"name", "listen", "console", "discovery", "zone", "relays", "sockets", "attempts", "retry_after_ms",
       "nats", "classes", "tenants", "servers"}  # fmt: skip
CLASS = {"name", "worth", "aim_ms", "deadline_ms", "message_aim_ms"}
TENANT = {"name", "class", "users"}
SERVER = {"id", "addr", "zone", "kind", "cell", "weight"}
OPTIONS = {f.name for f in fields(NatsOptions)} - {"tenants"}
ASK_WITHIN = 10_000.0  # ms within which a failed discovery call is followed by another


def from_operator(path: Path) -> Config:
    """Read an operator's file for the NATS front."""
    try:
        data = tomllib.loads(path.read_text())
        return _operator(data)
    except OSError as err:
        raise ConfigError(f"{path}: {err.strerror}") from err
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as err:
        raise ConfigError(f"{path}: {err}") from err
    except KeyError as err:
        raise ConfigError(f"{path}: {err.args[0]!r} is missing") from err
    except (ValueError, TypeError, AttributeError) as err:
        raise ConfigError(f"{path}: {err}") from err


def _known_keys(table: Mapping[str, Any], allowed: set[str], where: str) -> None:
    if not isinstance(table, dict):
        raise TypeError(f"{where} is no table")
    if unknown := sorted(set(table) - allowed):
        raise ValueError(f"{where} has the unknown key {unknown[0]!r}")


def _positive(value: Any, where: str) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not value > 0:
        raise ValueError(f"{where} is not a number above 0")
    return float(value)


def _operator(data: dict[str, Any]) -> Config:
    _known_keys(data, TOP, "the file")
    deadlines, classes = {}, []
    for c in data["classes"]:
        _known_keys(c, CLASS, "a class")
        name, aim = c["name"], _positive(c["aim_ms"], "aim_ms")
        deadlines[name] = _positive(c["deadline_ms"], "deadline_ms")
        classes.append({"name": name, "goalTime": aim, "worth": _positive(c.get("worth", 1.0), "worth")})
    aims = [_positive(c.get("message_aim_ms", c["aim_ms"]), "message_aim_ms") for c in data["classes"]]
    tenants: dict[str, tuple[str, str]] = {}
    for t in data["tenants"]:
        _known_keys(t, TENANT, "a tenant")
        if t["class"] not in deadlines:
            raise ValueError(f"tenant {t['name']!r} has the unknown class {t['class']!r}")
        tenants.update({user: (t["name"], t["class"]) for user in t["users"]})
    servers = data.get("servers", [])
    for line in servers:
        _known_keys(line, SERVER, "a server")
        parse_address(line["addr"])
        _positive(line.get("weight", 1.0), "weight")
    if ("discovery" in data) == bool(servers):
        raise ValueError("either discovery or servers is wanted")
    zone = data.get("zone", "")
    facts = {
        "classes": classes, "familyInfo": {"messageAim": aims}, "locality": zone,
        "balancers": int(_positive(data.get("relays", 1), "relays")),
        "discovery": "on_request" if "discovery" in data else "pushed",
        "policyLimits": {"sendCap": int(_positive(data.get("attempts", 3), "attempts")), "retryAfter": True,
                         "maxRetryAfter": _positive(data.get("retry_after_ms", 1500.0), "retry_after_ms")},
        "rules": {"askWithin": ASK_WITHIN}, "report": {"how": "none"},
    }  # fmt: skip
    nats = data.get("nats", {})
    _known_keys(nats, OPTIONS, "nats")
    whole = {f.name for f in fields(NatsOptions) if f.type == "int"}
    values = {k: _positive(v, f"nats.{k}") for k, v in nats.items()}
    typed: dict[str, Any] = {k: int(v) if k in whole else v for k, v in values.items()}
    options = NatsOptions(tenants=tenants, **typed)
    lines = [{"zone": zone, "id": s.get("id", s["addr"]), **s} for s in servers]
    return Config(
        name=data.get("name") or socket.gethostname(),
        listen=parse_address(data["listen"]),
        discovery=parse_address(data["discovery"]) if "discovery" in data else None,
        seed=secrets.randbits(64),
        settings=settings_from(facts),
        known={"version": 0, "full": True, "servers": lines},
        sockets=int(_positive(data.get("sockets", 1024), "sockets")),
        connect_timeout=options.connect_timeout,
        deadlines=deadlines,
        tells_delay=True,
        tenants=frozenset(),
        console=parse_address(data["console"]) if "console" in data else None,
        nats=options,
    )
