"""What the parts of one control machine share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from violetdoor.control.actions import Action, MachineConfig
from violetdoor.fleet.shared_map import SharedMap


@dataclass(slots=True)
class MachineContext:
    """The configuration and the surroundings of a control machine.

    `config` is replaced by the machine when it is reconfigured; nobody else writes here.
    """

    config: MachineConfig
    random: Random
    shared_map: SharedMap  # the map of the group's node: read here, changed through `MergeEntries` alone
    emit: Callable[[Action], None]  # adds an action for the driver
