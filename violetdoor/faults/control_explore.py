"""A search over faults of control groups and relays: the code of service, under random schedules.

Each step kills, stops, cuts or restarts something, or heals all. After each step the promises of
`control_checks` are looked at. The same seed gives the same run.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from random import Random

from violetdoor.control.distribution import ROSTER_BACKLOG_LIMIT_BYTES
from violetdoor.faults.control_checks import ControlChecks, Violation
from violetdoor.faults.control_world import ControlWorld
from violetdoor.fleet.lease import MAX_CLOCK_DRIFT_FRACTION

MACHINES = 3  # control machines of a region
RELAYS = 8  # of a region
KEYS = tuple(f"k{n}" for n in range(12))  # looked at: with so many most relays own some
FOUNDING = 16.0  # s at the start without harm: a group, its first roster, and that roster settled
SECONDS = 60.0  # of one schedule: several rosters settle after each other
HARM_EVERY = 1.5  # s between two harms, on average
HARMS = (
    "kill relay", "kill relay", "stop relay", "cut relay", "kill control", "stop control", "cut control",
    "restart", "restart", "restart", "go on", "go on", "heal", "heal", "clog", "clog",
    "cut pair", "cut pair",
)  # fmt: skip


class Schedule:
    """One run of one or two regions."""

    def __init__(self, seed: int, harms: Sequence[str] = HARMS, bounded_drift: bool = True) -> None:
        """`assumed=False`: clocks drift beyond what the promises rest on."""
        self.harms = harms
        self.seed, self.random = seed, Random(f"control schedule {seed}")
        self.world = world = ControlWorld(seed, hostile=True)
        self.checks = ControlChecks(world, seed, KEYS)
        world.after_step = self.checks.check_world
        regions = ("a", "b")[: self.random.choice((1, 1, 1, 2))]
        drift = MAX_CLOCK_DRIFT_FRACTION / 2 * (1 if bounded_drift else 10)
        for region in regions:
            world.add_region(region, MACHINES)
        for name, control in world.controls.items():
            control.host.rate = 1 + self.random.uniform(-drift, drift)
            world.start_control(name)
        for region in regions:
            for n in range(RELAYS):
                relay = world.start_relay(f"{region}-r{n}", region, f"{region}-z{n % 2}")
                relay.rate = 1 + self.random.uniform(-drift, drift)

    def run(self) -> Violation | None:
        """Play it; the first promise that is broken, if one is."""
        world, random = self.world, self.random
        world.run(FOUNDING, self._over)
        world.default_link.loss = random.choice((0.0, 0.0, 0.02, 0.1))
        while world.now < SECONDS and not self._over():
            world.run(random.expovariate(1 / HARM_EVERY), self._over)
            self._harm(random.choice(self.harms))
        return self.checks.broken

    def _over(self) -> bool:
        return self.checks.broken is not None

    def _harm(self, harm: str) -> None:
        world, random = self.world, self.random
        control = world.controls[random.choice(list(world.controls))]
        relay = world.relays[random.choice(list(world.relays))]
        everybody = [*world.controls, *world.relays]
        match harm:
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
                others = [name for name in everybody if name != control.name]
                some = others if random.random() < 0.5 else list(world.groups[control.region])
                world.set_links([control.name], some, random.random() < 0.7, cut=True)
            case "cut pair":
                # The third member still hears both, so the view stays, and one lacks what the other writes.
                two = random.sample(world.groups[control.region], 2)
                world.set_links(two[:1], two[1:], cut=True)
            case "clog":
                self._clog()
            case "restart":
                self._restart()
            case "go on":
                self._go_on()
            case "heal":
                world.heal()

    def _clog(self) -> None:
        """Some connections take nothing more for now, and others are written out."""
        for control in self.world.controls.values():
            if control.machine is None or control.host.stopped:
                continue
            now = self.world.clock(control.host)
            for number in list(control.accepted):
                waiting = ROSTER_BACKLOG_LIMIT_BYTES + 1 if self.random.random() < 0.3 else 0
                control.machine.session_backlog_changed(number, waiting, now)

    def _restart(self) -> None:
        for name, control in self.world.controls.items():
            if control.machine is None:
                self.world.start_control(name)
        for relay in list(self.world.relays.values()):
            if relay.attachment is None and self.random.random() < 0.7:
                self.world.start_relay(relay.name, relay.region, relay.zone)

    def _go_on(self) -> None:
        for name, control in self.world.controls.items():
            if control.host.stopped:
                self.world.resume(name)
        for relay in self.world.relays.values():
            if relay.stopped:
                self.world.resume_relay(relay.name)


def search(
    seeds: Iterable[int], harms: Sequence[str] = HARMS, bounded_drift: bool = True
) -> Violation | None:
    """Play runs until one breaks a promise."""
    for seed in seeds:
        if (broken := Schedule(seed, harms, bounded_drift).run()) is not None:
            return broken
    return None
