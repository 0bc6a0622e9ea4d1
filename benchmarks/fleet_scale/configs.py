"""Configuration files of the processes of a run, with the settings that an operator would write."""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import orjson

from benchmarks.fleet_scale.layout import ControlMachine, Layout, RealRelay
from benchmarks.fleet_scale.protocol import Address

KEY_BYTES = 32
KEY_FILE = "fleet.key"
SERVER = "127.0.0.1:9"  # in the server list of real relays; nothing listens there, as no client connects


def key_path(folder: Path) -> Path:
    """Return the path of the shared key."""
    return folder / KEY_FILE


def write_key(folder: Path) -> None:
    """Write a new random shared key."""
    key_path(folder).write_text(os.urandom(KEY_BYTES).hex())


def write_control(
    folder: Path, machine: ControlMachine, layout: Layout, regions: Mapping[str, tuple[Address, ...]]
) -> Path:
    """Write the configuration of a control machine; `regions` has the session addresses of each region."""
    group = layout.group(machine.region)
    data = {
        "log": "json",
        "control": {
            "name": machine.name,
            "region": machine.region,
            "listen": str(machine.sessions),
            "console": str(machine.console),
            "key": KEY_FILE,
            "regions": {region: [str(address) for address in known] for region, known in regions.items()},
            "group": {
                "listen": str(machine.group),
                "founders": [other.name for other in group],
                "seeds": [str(other.group) for other in group if other != machine],
                "state": f"{machine.name}.state",
            },
        },
    }
    return _write(folder, machine.name, data)


def write_real(folder: Path, relay: RealRelay, layout: Layout) -> Path:
    """Write the configuration of a real relay."""
    fleet = {
        "region": relay.region,
        "control": [str(machine.sessions) for machine in layout.group(relay.region)],
        "key": KEY_FILE,
    }
    return _write(folder, relay.name, _relay(relay) | {"fleet": fleet})


def write_unattached(folder: Path, relay: RealRelay) -> Path:
    """Write the configuration of a relay without a control plane."""
    return _write(folder, relay.name, _relay(relay))


def _relay(relay: RealRelay) -> dict[str, Any]:
    return {
        "name": relay.name, "front": "line", "zone": relay.zone, "log": "json",
        "listen": str(relay.listen), "console": str(relay.console),
        "line": {"tenants": ["club"]}, "servers": [{"addr": SERVER}],
        "classes": [{"name": "checkin", "aim_ms": 300, "deadline_ms": 1200, "message_aim_ms": 250}],
    }  # fmt: skip


def _write(folder: Path, name: str, data: dict[str, Any]) -> Path:
    path = folder / f"{name}.json"
    path.write_bytes(orjson.dumps(data, option=orjson.OPT_INDENT_2))
    return path
