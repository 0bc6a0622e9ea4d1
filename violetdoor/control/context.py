"""The state that the parts of one control machine share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from violetdoor.control.actions import Action, MachineConfig
from violetdoor.fleet.shared_map import SharedMap


@dataclass(slots=True)
class MachineContext:
    """The configuration, random source, shared map and action queue of a control machine.

    Only `ControlMachine` assigns a field: it replaces `config` when it is reconfigured.
    """

    config: MachineConfig
    random: Random
    shared_map: SharedMap  # map of the group's node: read-only here, changed by `MergeEntries` actions
    emit: Callable[[Action], None]  # queues an action for the driver
