"""The configuration of a relay of the platform, from environment variables and a JSON file."""

from __future__ import annotations

import os
from dataclasses import replace
from pathlib import Path

import msgspec
import orjson

from violetdoor.balancing.platform_settings import parse_platform_settings
from violetdoor.balancing.settings import BalancerSettings
from violetdoor.configuration.errors import ConfigError, ConfigFileError, summarize
from violetdoor.configuration.field_types import RawTable
from violetdoor.configuration.inheritance import merge_inherited
from violetdoor.configuration.platform_form import Facts, Platform
from violetdoor.configuration.relay_config import Config
from violetdoor.fronts.line.options import LineOptions
from violetdoor.net.addresses import AddressError, parse_address

# Environment variables. The first names the file and is required; the others take precedence over the file.
FILE_VARIABLE = "BALANCER_CONFIG"
NAME_VARIABLE = "BALANCER_NAME"
LISTEN_VARIABLE = "BALANCER_LISTEN"
DISCOVERY_VARIABLE = "BALANCER_DISCOVERY"
CONSOLE_VARIABLE = "BALANCER_CONSOLE"

SEED_BASE = 16  # seeds are written in hexadecimal


class NoConfigFileError(ConfigError):
    """A relay was started without any configuration."""

    def __init__(self) -> None:
        """Mention both ways to provide one."""
        super().__init__(f"{FILE_VARIABLE} names no file and no --config was given")


class PlatformConfigSource:
    """Reads the configuration of a relay that the platform starts."""

    def listen_address(self) -> str:
        """Return the address that clients connect to, as configured; empty if it can't be read."""
        try:
            from_environment = os.environ.get(LISTEN_VARIABLE)
            return from_environment or str(_read_table(os.environ[FILE_VARIABLE])["listen"])
        except (OSError, ValueError, KeyError, ConfigError):
            return ""

    def load(self, inherited: bytes = b"") -> Config:
        """Read the configuration for the start; raises ConfigError.

        `inherited` is the predecessor's configuration (JSON). It takes precedence over the environment and
        over the file, which may be broken by now.
        """
        return _load(None if inherited else os.environ.get(DISCOVERY_VARIABLE), inherited)

    def reload(self) -> Config:
        """Read the file again; raises ConfigError.

        It takes precedence over the discovery address in the environment, which is still that of the start.
        """
        return _load(None)

    def parse_inherited(self, serialized: bytes) -> Config:
        """Return the current configuration of the other process of an upgrade; raises ConfigError."""
        return self.load(serialized)


def _load(discovery: str | None, inherited: bytes = b"") -> Config:
    """Read the configuration; `discovery`, unless empty, takes precedence over the file's address."""
    try:
        path = os.environ[FILE_VARIABLE]
    except KeyError as err:
        raise NoConfigFileError from err
    try:
        data = _read_data(path, inherited)
        return _translate(msgspec.convert(data, Platform), data, discovery)
    except OSError as err:
        raise ConfigFileError(path, err.strerror) from err
    except msgspec.ValidationError as err:
        raise ConfigFileError(path, _violations(data) or err) from err
    except KeyError as err:
        raise ConfigFileError(path, f"{err.args[0]!r} is missing") from err
    except AddressError as err:
        raise ConfigFileError(path, f"ValueError {err}") from err  # operators' alerts match this text
    except (ValueError, TypeError, AttributeError) as err:
        raise ConfigFileError(path, f"{type(err).__name__} {err}") from err


def _violations(data: RawTable) -> str:
    from violetdoor.configuration.validation import form_violations  # needed only for violations

    return summarize(form_violations(Platform, data))


def _read_data(path: str, inherited: bytes) -> RawTable:
    if not inherited:
        return _read_table(path)
    try:
        data = _read_table(path)
    except (OSError, ValueError, ConfigFileError):
        data = {}
    return merge_inherited(data, inherited)


def _read_table(path: str) -> RawTable:
    data = orjson.loads(Path(path).read_bytes())
    if not isinstance(data, dict):
        raise ConfigFileError(path, "ValueError the file is no object")
    return data


def _translate(form: Platform, data: RawTable, discovery: str | None) -> Config:
    """Return the configuration for a file's data; `form` was converted from `data`."""
    facts = form.settings
    settings = _balancer_settings(facts, data["settings"])
    console = os.environ.get(CONSOLE_VARIABLE) or form.console
    return Config(
        name=os.environ.get(NAME_VARIABLE) or data["name"],
        listen=parse_address(os.environ.get(LISTEN_VARIABLE) or data["listen"]),
        discovery=parse_address(discovery or data["discovery"]),
        seed=int(str(form.seed), SEED_BASE),
        settings=settings,
        initial_server_list=form.known or {},
        max_sockets=form.limits.sockets,
        line=_line_options(facts),
        reports_message_delay=bool(facts.family_info.reports_delay),
        console=parse_address(console) if console else None,
        serialized=orjson.dumps(data | {"discovery": discovery or data["discovery"]}),
    )


def _balancer_settings(facts: Facts, data: RawTable) -> BalancerSettings:
    settings = parse_platform_settings(data)
    # Without load reports, only the duration of a health check shows overload: echoes carry no load either,
    # unlike the simulator's load notes. Untimed checks would pass until a server drops its clients.
    sends_health_checks = bool(facts.policy_limits.sends_health_checks)
    are_timed = sends_health_checks and not settings.health_checks_report_load
    return replace(settings, health_checks_are_timed=are_timed)


def _line_options(facts: Facts) -> LineOptions:
    family = facts.family_info
    return LineOptions(
        deadlines_ms={request_class.name: request_class.deadline_ms for request_class in facts.classes},
        connect_timeout_seconds=facts.policy_limits.connect_timeout_ms / 1000,
        tenants=frozenset(account.name for account in facts.accounts or ()),
        groups_share_work=family.has_groups,
        reports_load=family.reports_load,
        reports_message_delay=family.reports_delay is not False,
    )
