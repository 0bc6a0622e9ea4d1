"""Randomized fault search over control groups and relays: the production code under random schedules.

Each step kills, stops, cuts off or restarts a process, or heals all links. After each step the invariants of
`control_checks` are checked. The same seed gives the same run.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from random import Random

from violetdoor.control.distribution import ROSTER_BACKLOG_LIMIT_BYTES
from violetdoor.faults.control_checks import ControlChecks, Violation
from violetdoor.faults.control_world import ControlWorld
from violetdoor.fleet.lease import MAX_CLOCK_DRIFT_FRACTION

MACHINES_PER_REGION = 3  # control machines
RELAYS_PER_REGION = 8
KEYS = tuple(f"k{n}" for n in range(12))  # whose owners are checked; with 12, most relays own at least one
FOUNDING_SECONDS = 16.0  # without faults, until the group is founded and its first roster has settled
SCHEDULE_SECONDS = 60.0  # length of one run; several rosters settle one after another
FAULT_INTERVAL_SECONDS = 1.5  # mean time between two injected faults
FAULT_KINDS = (
    "kill relay", "kill relay", "stop relay", "cut relay", "kill control", "stop control", "cut control",
    "restart", "restart", "restart", "go on", "go on", "heal", "heal", "clog", "clog",
    "cut pair", "cut pair",
)  # fmt: skip


class Schedule:
    """One run of one or two regions under a random fault schedule."""

    def __init__(
        self, seed: int, fault_kinds: Sequence[str] = FAULT_KINDS, bounded_drift: bool = True
    ) -> None:
        """Build the world; `bounded_drift=False` lets clocks drift beyond the invariants' bound."""
        self.fault_kinds = fault_kinds
        self.seed, self.random = seed, Random(f"control schedule {seed}")
        self.world = world = ControlWorld(seed, hostile=True)
        self.checks = ControlChecks(world, seed, KEYS)
        world.after_step = self.checks.check_world
        regions = ("a", "b")[: self.random.choice((1, 1, 1, 2))]
        drift = MAX_CLOCK_DRIFT_FRACTION / 2 * (1 if bounded_drift else 10)
        for region in regions:
            world.add_region(region, MACHINES_PER_REGION)
        for name, control in world.controls.items():
            control.host.clock_rate = 1 + self.random.uniform(-drift, drift)
            world.start_control(name)
        for region in regions:
            for n in range(RELAYS_PER_REGION):
                relay = world.start_relay(f"{region}-r{n}", region, f"{region}-z{n % 2}")
                relay.clock_rate = 1 + self.random.uniform(-drift, drift)

    def run(self) -> Violation | None:
        """Run the schedule; return the first violation, if any."""
        world, random = self.world, self.random
        world.run(FOUNDING_SECONDS, self._is_over)
        world.default_link.loss = random.choice((0.0, 0.0, 0.02, 0.1))
        while world.now < SCHEDULE_SECONDS and not self._is_over():
            world.run(random.expovariate(1 / FAULT_INTERVAL_SECONDS), self._is_over)
            self._inject_fault(random.choice(self.fault_kinds))
        return self.checks.broken

    def _is_over(self) -> bool:
        return self.checks.broken is not None

    def _inject_fault(self, kind: str) -> None:
        world, random = self.world, self.random
        control = world.controls[random.choice(list(world.controls))]
        relay = world.relays[random.choice(list(world.relays))]
        all_names = [*world.controls, *world.relays]
        match kind:
            case "kill relay":
                world.kill_relay(relay.name, silent=random.random() < 0.5)
            case "stop relay":
                world.stop_relay(relay.name)
            case "cut relay":
                world.set_links([relay.name], list(world.controls), random.random() < 0.7, cut=True)
            case "kill control":
                world.kill_control(control.name, silent=random.random() < 0.5)
            case "stop control":
                world.stop(control.name)
            case "cut control":
                others = [name for name in all_names if name != control.name]
                peers = others if random.random() < 0.5 else list(world.groups[control.region])
                world.set_links([control.name], peers, random.random() < 0.7, cut=True)
            case "cut pair":
                # The third member still reaches both, so the view stays, but neither gets the other's writes.
                pair = random.sample(world.groups[control.region], 2)
                world.set_links(pair[:1], pair[1:], cut=True)
            case "clog":
                self._stall_connections()
            case "restart":
                self._restart_dead()
            case "go on":
                self._resume_stopped()
            case "heal":
                world.heal()

    def _stall_connections(self) -> None:
        """Report a full backlog for some sessions and an empty one for the others."""
        for control in self.world.controls.values():
            if control.machine is None or control.host.stopped:
                continue
            now = self.world.clock(control.host)
            for number in list(control.sessions_by_number):
                waiting = ROSTER_BACKLOG_LIMIT_BYTES + 1 if self.random.random() < 0.3 else 0
                control.machine.session_backlog_changed(number, waiting, now)

    def _restart_dead(self) -> None:
        for name, control in self.world.controls.items():
            if control.machine is None:
                self.world.start_control(name)
        for relay in list(self.world.relays.values()):
            if relay.attachment is None and self.random.random() < 0.7:
                self.world.start_relay(relay.name, relay.region, relay.zone)

    def _resume_stopped(self) -> None:
        for name, control in self.world.controls.items():
            if control.host.stopped:
                self.world.resume(name)
        for relay in self.world.relays.values():
            if relay.stopped:
                self.world.resume_relay(relay.name)


def search(
    seeds: Iterable[int], fault_kinds: Sequence[str] = FAULT_KINDS, bounded_drift: bool = True
) -> Violation | None:
    """Run schedules until one violates an invariant; return that violation, or None."""
    for seed in seeds:
        if (found := Schedule(seed, fault_kinds, bounded_drift).run()) is not None:
            return found
    return None
