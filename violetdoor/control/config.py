"""The configuration of a control machine: its file is read, validated and converted once."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from violetdoor.configuration.control_checks import control_violations
from violetdoor.configuration.control_form import ControlFile
from violetdoor.configuration.errors import ConfigError
from violetdoor.configuration.files import describe_violations, read_table
from violetdoor.configuration.validation import FieldViolation, form_violations
from violetdoor.control.actions import MachineConfig, MachineLimits
from violetdoor.fleet.context import NodeConfig
from violetdoor.net.addresses import Address, parse_address

# Maximum number of violations listed in the one-line error message.
MAX_VIOLATIONS_SHOWN = 3


@dataclass(slots=True, frozen=True)
class ControlConfig:
    """The complete configuration of one control machine process.

    The error message of a reload that requires a restart lists the names of these fields.
    """

    listen: Address  # where sessions are accepted
    console: Address | None
    key: Path
    machine: MachineConfig
    group: NodeConfig
    group_listen: Address
    group_state: Path | None
    log: str  # "text" or "json"

    def changes_needing_restart(self, new: ControlConfig) -> list[str]:
        """Return the names of the changed settings that only take effect after a restart."""
        names = ("listen", "console", "key", "group", "group_listen", "group_state", "log")
        changed = [name for name in names if getattr(self, name) != getattr(new, name)]
        changed += [
            name for name in ("name", "region") if getattr(self.machine, name) != getattr(new.machine, name)
        ]
        if set(self.machine.regions) != set(new.machine.regions):
            changed.append("region names")
        return changed


@dataclass(slots=True, frozen=True)
class ValidatedFile:
    """The form of a control machine's file, None if there are violations, and the violations."""

    form: ControlFile | None
    violations: list[FieldViolation]


def read_config(path: Path) -> ControlConfig:
    """Read a control machine's file.

    Raises ConfigError, which names file, line and field, if the file can't be read or is not valid.
    """
    validated = validate(read_table(path))
    if validated.form is None:
        lines = describe_violations(path, validated.violations)
        shown = lines[:MAX_VIOLATIONS_SHOWN]
        if len(lines) > MAX_VIOLATIONS_SHOWN:
            shown.append(f"and {len(lines) - MAX_VIOLATIONS_SHOWN} more")
        raise ConfigError("; ".join(shown))
    return _to_config(validated.form, path)


def validate(data: dict[str, Any]) -> ValidatedFile:
    """Validate the data of a control machine's file; return its form or all violations."""
    try:
        form = msgspec.convert(data, ControlFile)
    except msgspec.ValidationError as error:
        found = form_violations(ControlFile, data) or [FieldViolation((), str(error))]
        return ValidatedFile(None, found)
    found = list(control_violations(form))
    return ValidatedFile(None if found else form, found)


def _to_config(form: ControlFile, path: Path) -> ControlConfig:
    """Convert a valid form to the configuration; paths in the file are relative to its folder."""
    control = form.control
    group = form.control.group
    group_listen = parse_address(group.listen)
    group_address = parse_address(group.advertise) if group.advertise else group_listen
    seeds = tuple(parse_address(seed) for seed in group.seeds)
    regions = {name: tuple(map(parse_address, texts)) for name, texts in control.regions.items()}
    limits = MachineLimits(
        max_sessions=control.limits.max_sessions, attaches_per_second=control.limits.max_attaches_per_second
    )
    return ControlConfig(
        listen=parse_address(control.listen),
        console=parse_address(control.console) if control.console else None,
        key=path.parent / control.key_file,
        machine=MachineConfig(control.name, control.region, regions, limits),
        group=NodeConfig(control.name, *group_address, control.zone, seeds, frozenset(group.founders)),
        group_listen=group_listen,
        group_state=path.parent / group.state_file if group.state_file else None,
        log=form.log_format,
    )
