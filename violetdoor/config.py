"""The platform's configuration: read once, into the few values that the program uses."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from lynxdeck import interface as i
from lynxdeck.wirehost import settings_from
from violetdoor.net.sockets import Address, parse_address


class ConfigError(Exception):
    """The configuration does not read; the text says why in one line."""


@dataclass(slots=True, frozen=True)
class Config:
    """What one relay runs by; times in seconds."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    settings: i.Settings
    known: dict[str, Any]
    sockets: int
    connect_timeout: float
    longest_deadline: float
    tells_delay: bool


def from_platform() -> Config:
    """Read what the platform tells a relay by the environment and the file that it names."""
    try:
        path = os.environ["BALANCER_CONFIG"]
    except KeyError as err:
        raise ConfigError("BALANCER_CONFIG names no file and no --config was given") from err
    try:
        data = orjson.loads(Path(path).read_bytes())
        facts = data["settings"]
        return Config(
            name=os.environ.get("BALANCER_NAME") or data["name"],
            listen=parse_address(os.environ.get("BALANCER_LISTEN") or data["listen"]),
            discovery=parse_address(os.environ.get("BALANCER_DISCOVERY") or data["discovery"]),
            seed=int(str(data.get("seed", "0")), 16),
            settings=settings_from(facts),
            known=data.get("known") or {},
            sockets=int(data.get("limits", {}).get("sockets", 1024)),
            connect_timeout=facts.get("policyLimits", {}).get("connectTimeout", 200.0) / 1000,
            longest_deadline=max((c["hardLimit"] for c in facts["classes"]), default=3000.0) / 1000,
            tells_delay=bool(facts.get("familyInfo", {}).get("tellsDelay")),
        )
    except OSError as err:
        raise ConfigError(f"{path}: {err.strerror}") from err
    except (ValueError, KeyError, TypeError, AttributeError) as err:
        raise ConfigError(f"{path}: {type(err).__name__} {err}") from err
