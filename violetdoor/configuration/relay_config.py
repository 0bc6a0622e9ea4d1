"""The values that one relay runs by, whatever file they were read from."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import msgspec
import orjson

from violetdoor.balancing.settings import BalancerSettings
from violetdoor.configuration.field_types import RawTable
from violetdoor.fronts.line.options import LineOptions
from violetdoor.net.addresses import Address

if TYPE_CHECKING:  # a relay of the platform has none of these, and does not load their modules
    from violetdoor.configuration.operator_form import Fleet, Overload
    from violetdoor.control.relay.options import AttachmentOptions
    from violetdoor.fronts.nats.options import NatsOptions
    from violetdoor.rules.source import RulesSource

# Values that a reload can't change, with the names that the log has for them.
_FIXED_VALUES = {
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
    """What one relay runs by; times in seconds, the classes' deadlines in milliseconds."""

    name: str
    listen: Address
    discovery: Address | None  # None: `initial_server_list` is the whole fixed list
    seed: int
    settings: BalancerSettings
    initial_server_list: RawTable  # a list of servers in discovery's form
    max_sockets: int
    line: LineOptions  # of the line front; the classes' deadlines are every front's
    reports_message_delay: bool  # clients report how late messages are
    serialized: bytes = b""  # the settings as they were read, for the process that takes over
    is_from_platform: bool = True  # else from an operator's file
    console: Address | None = None  # where operators call; none: nowhere
    nats: NatsOptions | None = None  # none: the front is that of the line protocol
    overload: Overload | None = None  # none: nobody is rejected for the relay's own load
    fleet: Fleet | None = None  # none: this relay knows of no other; its files' paths are complete
    control: AttachmentOptions | None = None  # none: this relay attaches to no control machines
    log_format: str = "plain"
    rules: RulesSource | None = None  # none: requests are what they say they are

    @property
    def deadlines(self) -> dict[str, float]:
        """The classes' deadlines, ms."""
        return self.line.deadlines_ms

    @property
    def front(self) -> str:
        """The name of the one front that the program has."""
        return "line" if self.nats is None else "nats"

    def changes_needing_restart(self, new: Config) -> list[str]:
        """Return the names of what is different in a newer configuration and takes a restart."""
        changed = [
            logged_name
            for attribute, logged_name in _FIXED_VALUES.items()
            if getattr(self, attribute) != getattr(new, attribute)
        ]
        if self.nats and new.nats:
            with_same_tenants = msgspec.structs.replace(new.nats, tenants=self.nats.tenants)
            if with_same_tenants != self.nats:
                changed.append("nats")
        return changed

    def with_rules(self, source: RulesSource) -> Config:
        """Return this configuration with rules that were read.

        Its serialized form holds the text of the rules and of their sets' files: a successor reads no file.
        """
        data = orjson.loads(self.serialized)
        data["rules"] = {"text": source.text, "limit_us": source.limit_us, "files": dict(source.files)}
        return replace(self, rules=source, serialized=orjson.dumps(data))
