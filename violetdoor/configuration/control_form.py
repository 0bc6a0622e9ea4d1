"""The form of a control machine's file."""

from __future__ import annotations

from typing import Literal

from msgspec import field

from violetdoor.configuration.field_types import Address, Count, Name, Positive, StrictTable


class ControlGroup(StrictTable):
    """The control machines of one region among themselves: a small fleet that keeps a view."""

    listen: Address  # for datagrams and calls from the group's other machines
    seeds: list[Address] = field(default_factory=list)  # members of the group that a joining machine contacts
    founders: list[Name] = field(default_factory=list)  # names of the machines that found the group together
    advertise: Address | None = None  # at which the others reach this machine; None: at `listen`
    state_file: Name | None = field(default=None, name="state")  # stores the state that must survive restarts


class ControlLimits(StrictTable):
    """What one control machine takes on."""

    max_sessions: Count = field(default=2000, name="sessions")  # concurrent, of relays and other regions
    max_attaches_per_second: Positive = field(default=200.0, name="attaches")  # sessions opened per second


class Control(StrictTable):
    """One control machine of a region."""

    name: Name
    region: Name
    listen: Address  # for sessions of relays and of other regions' machines
    key_file: Name = field(name="key")  # contains the shared key; relative to the folder of this file
    group: ControlGroup
    regions: dict[str, list[Address]]  # of the whole fleet: addresses at which their machines accept sessions
    zone: str = ""
    console: Address | None = None
    limits: ControlLimits = field(default_factory=ControlLimits)


class ControlFile(StrictTable):
    """The file of a control machine, TOML or JSON."""

    control: Control
    log_format: Literal["plain", "json"] = field(default="plain", name="log")
