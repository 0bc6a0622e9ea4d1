"""Configuration files: forms, violations with their locations, and the resulting configuration of a relay."""

from __future__ import annotations

import json
import re
import subprocess
import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

import orjson
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from nats_peers import CONFIG
from standins import ROOT
from test_rules import CLASSES, command, config

from violetdoor.configuration.completeness import check_complete
from violetdoor.configuration.errors import ConfigError, MissingKeyError
from violetdoor.configuration.files import read_table
from violetdoor.configuration.operator_config import load_operator_config, parse_operator_form
from violetdoor.configuration.platform_config import PlatformConfigSource
from violetdoor.configuration.platform_form import Platform
from violetdoor.configuration.relay_config import Config
from violetdoor.configuration.validation import form_violations

EXIT_INVALID = 2  # status of a program whose configuration is invalid

INVALID_TOML = """listen = "127.0.0.1:0"
front = "natss"
discovery = "127.0.0.1:1"
[nats]
silnce = 1
max_payload = -1
[[classes]]
name = "booking"
aim_ms = "x"
deadline_ms = 100
[[classes]]
name = "checkin"
aim_ms = 5
"""

SOUND_EXAMPLES = ("deploy/nats.toml", "examples/nats.toml", "deploy/rules.toml", "deploy/overload.toml")

DISCOVERY = 'discovery="127.0.0.1:1"'

PLATFORM_FILE = {
    "name": "n1",
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:2",
    "known": {"version": 1, "servers": []},
    "settings": {
        "classes": [{"name": "booking", "goalTime": 500, "hardLimit": 3000, "worth": 2}],
        "policyLimits": {"sendCap": 3},
    },
}

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=8),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(
            st.sampled_from(["listen", "classes", "name", "aim_ms", "nats", "servers", "addr", "rules", "x"]),
            children,
            max_size=4,
        )
    ),
    max_leaves=12,
)


@pytest.fixture
def platform_file(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    """A valid file of the platform, named by the environment."""
    path = tmp_path / "platform.json"
    path.write_bytes(orjson.dumps(PLATFORM_FILE))
    monkeypatch.setenv("BALANCER_CONFIG", str(path))
    return path


def test_config_check_reports_all_violations_of_toml_and_json(tmp_path: Path) -> None:
    path = tmp_path / "bad.toml"
    path.write_text(INVALID_TOML)
    done = command("config", "check", str(path))
    assert done.returncode == EXIT_INVALID
    assert done.stderr.replace(str(path), "F").splitlines() == [
        "F:2:9: front: found 'natss', expected 'nats' or 'line'",
        "F:5:10: nats.silnce: unknown name 'silnce'; did you mean 'silence'?",
        "F:6:15: nats.max_payload: found -1, expected int >= 1",
        "F:9:10: classes[0].aim_ms: found 'x', expected float",
        "F:11:1: classes[1]: 'deadline_ms' is missing",
    ]
    text = tmp_path / "bad.json"
    text.write_text(
        '{\n "listen": "127.0.0.1:0",\n "classes": [\n  {"name": "", "aim_ms": 1, "deadline_ms": 2}\n ]\n}'
    )
    done = command("config", "check", str(text))
    assert done.stderr.endswith("bad.json:4:12: classes[0].name: found '', expected str of length >= 1\n")
    (tmp_path / "cut.json").write_text('{"listen": ')
    assert "line 1 column" in command("config", "check", str(tmp_path / "cut.json")).stderr


def test_config_check_reports_all_violations_of_rules(tmp_path: Path) -> None:
    path = config(tmp_path, 'rule "r" when connect.user == 1 {}\nrule "q" when nobody {}\ndefault {}')
    data = json.loads(path.read_text()) | {"discovery": "127.0.0.1:1", "servers": []}
    path.write_text(json.dumps(data))
    done = command("config", "check", str(path))
    assert [line.partition("club.rules:")[2].partition(" found")[0] for line in done.stderr.splitlines()] == [
        "1:31:",
        "2:15:",
    ]


@pytest.mark.parametrize("example", SOUND_EXAMPLES)
def test_example_files_are_sound(example: str) -> None:
    assert command("config", "check", example).returncode == 0


def test_config_schema_names_the_required_keys() -> None:
    schema = json.loads(command("config", "schema").stdout)
    assert schema["$defs"]["Operator"]["required"] == ["listen", "classes"]


def test_json_and_toml_give_equal_configurations(tmp_path: Path) -> None:
    toml = ROOT / "deploy" / "nats.toml"
    text = tmp_path / "same.json"
    text.write_text(json.dumps(read_table(toml)))
    from_toml, from_json = load_operator_config(toml), load_operator_config(text)
    assert from_toml.settings == from_json.settings
    assert from_toml.nats == from_json.nats
    assert from_toml.initial_server_list == from_json.initial_server_list
    assert from_toml.deadlines == from_json.deadlines


# The health check for slow data generation is off: it fails on a busy machine, whatever the forms do.
@settings(deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(json_values)
def test_any_data_gives_a_form_or_violations(data: Any) -> None:
    form, violations = parse_operator_form(data)
    assert (form is None) == bool(violations)
    assert all(violation.reason for violation in violations)
    assert isinstance(form_violations(Platform, data), list)


@pytest.mark.parametrize(
    ("changed", "expected"),
    [
        ({"tenants": [{"name": "a", "class": "vip"}]}, "unknown class 'vip'"),
        ({"servers": []}, "either discovery or"),
        ({"rules": {"text": "a", "file": "b"}, "tenants": []}, "either file or text"),
        ({}, "'tenants' is missing"),
        ({"classes": [CLASSES[0], CLASSES[0]]}, "a second time"),
        ({"listen": "a:70000"}, "expected host:port"),
        ({"front": "line", "tenants": [{"name": "a", "class": "booking"}]}, "line.tenants"),
        ({"rules": {"file": "none.rules"}}, "none.rules: No such file"),
    ],
)
def test_operator_file_that_cannot_be_used_is_rejected(
    tmp_path: Path, changed: dict[str, Any], expected: str
) -> None:
    base = {"listen": "127.0.0.1:1", "classes": CLASSES, "servers": [{"addr": "127.0.0.1:2"}]}
    path = tmp_path / "c.json"
    path.write_text(json.dumps(base | changed))
    with pytest.raises(ConfigError, match=re.escape(expected)):
        load_operator_config(path)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("listen = ", "Invalid value"),
        ('listen = "x"', "classes"),
        (CONFIG.format(options="silnce = 1", deadline=1, discovery=DISCOVERY), "silnce"),
        (CONFIG.format(options="max_payload = -1", deadline=1, discovery=DISCOVERY), "nats.max_payload"),
    ],
)
def test_invalid_file_ends_the_start_with_one_line(tmp_path: Path, text: str, expected: str) -> None:
    path = tmp_path / "bad.toml"
    path.write_text(text)
    done = subprocess.run(
        [sys.executable, "-m", "violetdoor", "--config", str(path)],
        capture_output=True,
        text=True,
        cwd=ROOT,
        check=False,
        timeout=20,
    )
    assert done.returncode == EXIT_INVALID
    assert done.stdout == ""
    assert len(done.stderr.splitlines()) == 1
    assert expected in done.stderr
    assert "Traceback" not in done.stderr


@pytest.mark.usefixtures("platform_file")
def test_environment_outranks_the_platforms_file_at_the_start_only(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("BALANCER_DISCOVERY", "127.0.0.1:3")
    source = PlatformConfigSource()
    assert source.load().discovery == ("127.0.0.1", 3)
    assert source.reload().discovery == ("127.0.0.1", 2)


def test_inherited_configuration_outranks_a_broken_file_and_the_environment(
    platform_file: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    inherited = PlatformConfigSource().load().serialized
    platform_file.write_text("{")
    monkeypatch.setenv("BALANCER_DISCOVERY", "127.0.0.1:3")
    config = PlatformConfigSource().load(inherited)
    assert config.discovery == ("127.0.0.1", 2)
    assert config.serialized == inherited


def test_impossible_port_is_named_in_the_recorded_words(platform_file: Path) -> None:
    platform_file.write_bytes(orjson.dumps(PLATFORM_FILE | {"listen": "127.0.0.1:70000"}))
    with pytest.raises(ConfigError) as raised:
        PlatformConfigSource().load()
    assert str(raised.value) == f"{platform_file}: ValueError '127.0.0.1:70000' is not host:port"


def test_unknown_deduplication_scope_is_named_in_the_recorded_words(platform_file: Path) -> None:
    settings: Any = PLATFORM_FILE["settings"]
    classes = [settings["classes"][0] | {"dedupScope": "server"}]
    platform_file.write_bytes(orjson.dumps(PLATFORM_FILE | {"settings": settings | {"classes": classes}}))
    with pytest.raises(ConfigError) as raised:
        PlatformConfigSource().load()
    assert str(raised.value) == f"{platform_file}: ValueError 'server' is not a valid Scope"


def with_file(current: Config, data: dict[str, Any]) -> Config:
    return replace(current, serialized=orjson.dumps(data))


@pytest.mark.usefixtures("platform_file")
def test_platform_file_that_lacks_a_key_in_force_is_incomplete() -> None:
    current = PlatformConfigSource().load()
    settings: Any = PLATFORM_FILE["settings"]
    row_without_worth = {"name": "checkin", "goalTime": 300, "hardLimit": 1000}
    incomplete = {
        "'listen' is missing in the file": {k: v for k, v in PLATFORM_FILE.items() if k != "listen"},
        "'sendCap' is missing in policyLimits": PLATFORM_FILE | {"settings": settings | {"policyLimits": {}}},
        "'worth' is missing in classes": PLATFORM_FILE
        | {"settings": settings | {"classes": [*settings["classes"], row_without_worth]}},
    }
    for reason, data in incomplete.items():
        with pytest.raises(MissingKeyError, match=f"^{reason}$"):
            check_complete(current, with_file(current, data))
    check_complete(current, with_file(current, PLATFORM_FILE | {"known": {}, "console": "127.0.0.1:4"}))
