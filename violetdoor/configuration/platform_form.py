"""The form of the file in which the platform gives a relay its settings.

Unknown keys are ignored: the file may contain more than a relay reads. Times are in milliseconds.
"""

from __future__ import annotations

from typing import Annotated, Any

from msgspec import Meta, Struct, field

from violetdoor.configuration.field_types import Address, Count, Name, Positive


class PlatformClass(Struct):
    """A class of requests; times in ms."""

    name: Name
    latency_objective_ms: Positive = field(name="goalTime")
    deadline_ms: Positive = field(name="hardLimit")
    priority_weight: float = field(default=1.0, name="worth")


class PolicyLimits(Struct):
    """What the module may do."""

    max_attempts: Positive = field(name="sendCap")
    connect_timeout_ms: Positive = field(default=200.0, name="connectTimeout")
    sends_health_checks: bool | None = field(default=None, name="probes")


class FamilyInfo(Struct):
    """What is special to connections that live long."""

    message_latency_objectives_ms: list[float] | None = field(default=None, name="messageAim")
    reports_delay: bool | None = field(default=None, name="tellsDelay")
    reports_load: bool = field(default=True, name="tellsLoad")
    has_groups: bool = field(default=True, name="groups")  # by default, a line's `g` names a group


class Account(Struct):
    """A tenant."""

    name: str


class Facts(Struct):
    """The settings, as the simulator's first message has them."""

    classes: Annotated[list[PlatformClass], Meta(min_length=1)]
    policy_limits: PolicyLimits = field(name="policyLimits")
    family_info: FamilyInfo = field(default_factory=FamilyInfo, name="familyInfo")
    accounts: list[Account] | None = None
    relay_count: Count = field(default=1, name="balancers")  # relays that share the servers


class Limits(Struct):
    """The process's limits."""

    sockets: Count = 1024


class Platform(Struct):
    """The platform's file; what the environment says too may be left out."""

    settings: Facts
    name: str | None = None
    listen: Address | None = None
    discovery: Address | None = None
    console: Address | None = None
    seed: str | int = "0"
    limits: Limits = field(default_factory=Limits)
    known: dict[str, Any] | None = None
