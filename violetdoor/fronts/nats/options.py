"""The operator's settings of the NATS front."""

from __future__ import annotations

import msgspec

from violetdoor.configuration.operator_form import Nats


class NatsOptions(Nats):
    """The settings of the NATS front, and the tenant of each user."""

    tenants: dict[str, tuple[str, str]] = msgspec.field(default_factory=dict)  # user or *: (tenant, class)
