"""A relay's configuration as the platform tells it: by the environment and the JSON file that it names."""

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
from violetdoor.configuration.inheritance import with_inherited
from violetdoor.configuration.platform_form import Facts, Platform
from violetdoor.configuration.relay_config import Config
from violetdoor.fronts.line.options import LineOptions
from violetdoor.net.addresses import AddressError, parse_address

# Environment variables of a relay. The file that the first one names is required, the others outrank it.
FILE_VARIABLE = "BALANCER_CONFIG"
NAME_VARIABLE = "BALANCER_NAME"
LISTEN_VARIABLE = "BALANCER_LISTEN"
DISCOVERY_VARIABLE = "BALANCER_DISCOVERY"
CONSOLE_VARIABLE = "BALANCER_CONSOLE"

SEED_BASE = 16  # seeds are written in hexadecimal


class NoConfigFileError(ConfigError):
    """A relay was started without any configuration."""

    def __init__(self) -> None:
        """Name both ways to give one."""
        super().__init__(f"{FILE_VARIABLE} names no file and no --config was given")


class PlatformConfigSource:
    """Reads the configuration of a relay that the platform has started."""

    def listen_address(self) -> str:
        """Return the address that clients connect to, as it is written; an empty text if it can't be read."""
        try:
            from_environment = os.environ.get(LISTEN_VARIABLE)
            return from_environment or str(_read_table(os.environ[FILE_VARIABLE])["listen"])
        except (OSError, ValueError, KeyError, ConfigError):
            return ""

    def load(self, inherited: bytes = b"") -> Config:
        """Read the configuration to start with; raises ConfigError.

        What the process before this one had in force, JSON, outranks both the environment and the file: the
        file may be broken by now.
        """
        return _load(None if inherited else os.environ.get(DISCOVERY_VARIABLE), inherited)

    def reload(self) -> Config:
        """Read the file again; raises ConfigError.

        It outranks the environment's discovery, which still says what held at the start.
        """
        return _load(None)

    def parse_inherited(self, serialized: bytes) -> Config:
        """Return the configuration that the other process of an upgrade has in force; raises ConfigError."""
        return self.load(serialized)


def _load(discovery: str | None, inherited: bytes = b"") -> Config:
    """Read the configuration; `discovery` outranks the file's where it is not empty."""
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
        raise ConfigFileError(path, f"ValueError {err}") from err  # in the words that alerts look for
    except (ValueError, TypeError, AttributeError) as err:
        raise ConfigFileError(path, f"{type(err).__name__} {err}") from err


def _violations(data: RawTable) -> str:
    from violetdoor.configuration.validation import form_violations  # only a file with violations needs it

    return summarize(form_violations(Platform, data))


def _read_data(path: str, inherited: bytes) -> RawTable:
    if not inherited:
        return _read_table(path)
    try:
        data = _read_table(path)
    except (OSError, ValueError, ConfigFileError):
        data = {}
    return with_inherited(data, inherited)


def _read_table(path: str) -> RawTable:
    data = orjson.loads(Path(path).read_bytes())
    if not isinstance(data, dict):
        raise ConfigFileError(path, "ValueError the file is no object")
    return data


def _translate(form: Platform, data: RawTable, discovery: str | None) -> Config:
    """Return the program's values for a file's data, which has this form."""
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
    # Guards against servers that look sound until they drop their clients: where nothing reports load, echoes
    # tell nothing of it either, unlike the simulator's notes. The time that a health check takes does.
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
