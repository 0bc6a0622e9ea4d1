"""Configuration of a relay's attachment to its control group."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from violetdoor.control.actions import Address


@dataclass(slots=True, frozen=True)
class AttachmentOptions:
    """An operator's settings for a relay's attachment to its region's control machines.

    In the configuration file these are `region`, `control`, `key`, `advertise` and `wait` of table `[fleet]`.
    """

    region: str
    control_addresses: tuple[Address, ...]
    key_path: Path
    advertised_address: Address | None  # where others reach this relay; None: its listen address for clients
    lease_wait_seconds: float  # how long startup waits for the first lease before clients are accepted


@dataclass(frozen=True, slots=True)
class AttachmentConfig:
    """The properties of the relay and of its region that an attachment needs."""

    name: str
    host: str  # with `port`: the address at which others reach this relay
    port: int
    zone: str
    region: str
    control_addresses: tuple[Address, ...]  # of the control machines of this region
