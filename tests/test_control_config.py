"""Files of control machines and of attached relays: examples that are sound, and one line for what is not."""

from __future__ import annotations

import json
import os
import re
import subprocess
from pathlib import Path
from typing import Any

import orjson
import pytest
from control_site import Region
from standins import ROOT
from test_fleet_process import run_command_blocking

from violetdoor.configuration.errors import ConfigError
from violetdoor.configuration.operator_config import load_operator_config
from violetdoor.control.config import read_config

EXIT_INVALID = 2  # status of a program whose configuration is invalid
LISTED_SERVERS = {"front": "line", "servers": [{"addr": "127.0.0.1:1"}]}

RELAY_FAULTS = [
    ({"control": []}, "fleet: 'control' is missing"),
    ({"region": None}, "fleet: 'region' is missing"),
    ({"listen": "127.0.0.1:7946"}, "fleet.listen: a relay attaches to control machines or keeps"),
    ({"seeds": ["127.0.0.1:7946"]}, "fleet.seeds: a relay attaches to control machines or keeps"),
    ({"control": ["nowhere"]}, "fleet.control[0]: found 'nowhere', expected host:port"),
    ({"control": ["a:1", "a:1"]}, "fleet.control[1]: found 'a:1' a second time"),
    ({"control": ["a:70000"]}, "fleet.control[0]: found 'a:70000', expected host:port"),
]

MACHINE_FAULTS = [
    ({"listen": "nowhere"}, "control.listen: found 'nowhere', expected host:port"),
    ({"regions": {"r2": ["a:1"]}}, "control.regions: the machine's own region 'r1' is missing"),
    ({"regions": {"r1": []}}, "control.regions.r1: found no address"),
    ({"regions": {"r1": ["a:1", "a:1"]}}, "control.regions.r1[1]: found 'a:1' a second time"),
    ({"regions": {"r1": ["a:70000"]}}, "control.regions.r1[0]: found 'a:70000'"),
    ({"name": "x" * 65}, "control.name: found 65 bytes, expected 64 at most"),
    ({"limits": {"session": 1}}, "control.limits.session: unknown name 'session'; did you mean"),
    ({"group": {"listen": "127.0.0.1:0"}}, "control.group: neither seeds to ask nor itself"),
]


def assert_one_line_error(result: subprocess.CompletedProcess[str], *texts: str) -> None:
    """See that a command failed with one line, which has these texts."""
    assert result.returncode == EXIT_INVALID, result
    assert not result.stdout, result
    (line,) = result.stderr.splitlines()
    for text in texts:
        assert text in line


def write_relay_file(folder: Path, values: dict[str, Any]) -> Path:
    """Write a relay's file with these values in its table `[fleet]`; None leaves a key out."""
    path = Region(folder, LISTED_SERVERS).write_relay_file("r0", **values)
    data = json.loads(path.read_text())
    data["fleet"] = {name: value for name, value in data["fleet"].items() if value is not None}
    path.write_text(json.dumps(data))
    return path


def test_the_example_configurations_are_valid_and_a_missing_file_or_console_is_one_line() -> None:
    deploy = ROOT / "deploy"
    assert (
        run_command_blocking("config", "check", "--form", "control", str(deploy / "control.toml")).returncode
        == 0
    )
    assert run_command_blocking("config", "check", str(deploy / "fleet-attached.toml")).returncode == 0
    schema = orjson.loads(run_command_blocking("config", "schema", "--form", "control").stdout)
    assert "control" in schema["$defs"]["ControlFile"]["properties"]
    assert_one_line_error(run_command_blocking("control"), "no file: give --config FILE")
    assert_one_line_error(
        run_command_blocking("control", "status", "--console", "127.0.0.1:1"), "127.0.0.1:1", "refused"
    )


@pytest.mark.parametrize(("values", "message"), RELAY_FAULTS)
def test_a_fault_in_a_relays_file_is_one_line_with_its_location(
    tmp_path: Path, values: dict[str, Any], message: str
) -> None:
    path = write_relay_file(tmp_path, values)
    with pytest.raises(ConfigError) as error:
        load_operator_config(path)
    assert re.fullmatch(rf".*r0\.json:1:\d+: {re.escape(message)}.*", str(error.value))


@pytest.mark.parametrize(("values", "message"), MACHINE_FAULTS)
def test_a_fault_in_a_control_machines_file_is_one_line_with_its_location(
    tmp_path: Path, values: dict[str, Any], message: str
) -> None:
    path = Region(tmp_path, {}).write_machine_file("c1", **values)
    with pytest.raises(ConfigError) as error:
        read_config(path)
    assert re.fullmatch(rf".*c1\.json:1:\d+: {re.escape(message)}.*", str(error.value))


def test_a_relay_that_can_not_start_says_so_in_one_line(tmp_path: Path) -> None:
    def serve(**values: Any) -> subprocess.CompletedProcess[str]:
        return run_command_blocking("serve", "--config", str(write_relay_file(tmp_path, values)))

    message = "fleet.control[0]: found 'nowhere', expected host:port"
    assert_one_line_error(serve(control=["nowhere"]), "r0.json:1:", message)
    assert_one_line_error(serve(key="absent.key"), "absent.key: No such")


def test_a_control_machine_that_can_not_start_says_so_in_one_line(tmp_path: Path) -> None:
    region = Region(tmp_path, {})

    def start(**values: Any) -> subprocess.CompletedProcess[str]:
        return run_command_blocking("control", "--config", str(region.write_machine_file("c1", **values)))

    message = "control.regions.r1: found no address"
    assert_one_line_error(start(regions={"r1": []}), "c1.json:1:", message)
    checked = run_command_blocking("config", "check", "--form", "control", str(tmp_path / "c1.json"))
    assert checked.returncode == EXIT_INVALID
    assert message in checked.stderr
    assert_one_line_error(start(key="absent.key"), "absent.key: No such")
    assert_one_line_error(start(listen="203.0.113.1:7950"), "it cannot serve")
    (tmp_path / "c1.state").write_bytes(os.urandom(1 << 20))
    assert_one_line_error(start(), "c1.state: neither of its two slots is intact")
