"""The configuration that a relay runs with, whatever file it was read from."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import msgspec
import orjson

from violetdoor.balancing.settings import BalancerSettings
from violetdoor.configuration.field_types import RawTable
from violetdoor.fronts.line.options import LineOptions
from violetdoor.net.addresses import Address

if TYPE_CHECKING:  # a relay of the platform uses none of these, and does not load their modules
    from violetdoor.configuration.operator_form import Fleet, Overload
    from violetdoor.control.relay.options import AttachmentOptions
    from violetdoor.fronts.nats.options import NatsOptions
    from violetdoor.rules.source import RulesSource

# Attributes that a reload can't change, with their names in the log.
_RESTART_ONLY_ATTRIBUTES = {
    "name": "name",
    "listen": "listen",
    "console": "console",
    "max_sockets": "sockets",
    "overload": "overload",
    "fleet": "fleet",
    "control": "control",
    "log_format": "log",
}


@dataclass(slots=True, frozen=True)
class Config:
    """The configuration of one relay; times in seconds, the classes' deadlines in milliseconds."""

    name: str
    listen: Address
    discovery: Address | None  # None: `initial_server_list` is the whole fixed list
    seed: int
    settings: BalancerSettings
    initial_server_list: RawTable  # in the format of discovery
    max_sockets: int
    line: LineOptions  # for the line front; all fronts use the classes' deadlines in it
    reports_message_delay: bool  # whether clients report how late messages are
    serialized: bytes = b""  # the settings as read, for the successor in an upgrade
    is_from_platform: bool = True  # False: from an operator's file
    console: Address | None = None  # address of the operators' console; None: no console
    nats: NatsOptions | None = None  # None: the front is that of the line protocol
    overload: Overload | None = None  # None: no client is rejected because of the relay's own load
    fleet: Fleet | None = None  # file paths in it are resolved; None: this relay keeps no view of a fleet
    control: AttachmentOptions | None = None  # None: this relay attaches to no control machines
    log_format: str = "plain"
    rules: RulesSource | None = None  # None: requests have the class and tenant that they state

    @property
    def deadlines(self) -> dict[str, float]:
        """The classes' deadlines, ms."""
        return self.line.deadlines_ms

    @property
    def front(self) -> str:
        """The name of the relay's front."""
        return "line" if self.nats is None else "nats"

    def changes_needing_restart(self, new: Config) -> list[str]:
        """Return the logged names of the values that `new` changes and that only a restart can apply."""
        changed = [
            logged_name
            for attribute, logged_name in _RESTART_ONLY_ATTRIBUTES.items()
            if getattr(self, attribute) != getattr(new, attribute)
        ]
        if self.nats and new.nats:
            with_same_tenants = msgspec.structs.replace(new.nats, tenants=self.nats.tenants)
            if with_same_tenants != self.nats:
                changed.append("nats")
        return changed

    def with_rules(self, source: RulesSource) -> Config:
        """Return this configuration with match rules that were read.

        `serialized` then contains the text of the rules and of their sets' files: a successor reads no file.
        """
        data = orjson.loads(self.serialized)
        data["rules"] = {"text": source.text, "limit_us": source.limit_us, "files": dict(source.files)}
        return replace(self, rules=source, serialized=orjson.dumps(data))
