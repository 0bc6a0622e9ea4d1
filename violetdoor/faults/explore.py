"""Randomized searches over interleavings of the fleet's decisions: production code, adversarial schedulers.

`Schedule` runs whole nodes. Each step draws what a network and its machines may do at any moment: a packet
arrives at once, late, twice or never; a process is stopped, dies, or restarts with its durable state; a clock
runs fast or is set back. After each step two invariants are checked across all processes, including stopped
ones:

- two nodes at views with the same id have the same members;
- a key has at most one owner at a time.

`Ballots` runs only the agreement and the leases of one view, with messages in random order, and checks the
invariants that those of `Schedule` rely on:

- at most one change is decided after a view;
- a lease under that view ends within LEASE_DURATION_SECONDS of the decision.

Both respect two assumptions: clock rates differ by less than `lease.MAX_CLOCK_DRIFT_FRACTION`, and a
restarted process has its durable state. `bounded_drift=False` drops the first.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from violetdoor.faults.virtual import Host, World
from violetdoor.fleet import messages as m
from violetdoor.fleet.agreement import Agreement
from violetdoor.fleet.lease import LEASE_DURATION_SECONDS, MAX_CLOCK_DRIFT_FRACTION, Lease
from violetdoor.fleet.view import Address, Peer, View, ViewChange

SCHEDULE_SECONDS = 25.0  # length of one run; founding takes 4 s, a crash with its new view and lease 4 s
FOUNDING_SECONDS = 4.5  # without faults, so that the fleet is founded first
MIN_DELAY_SECONDS, MAX_DELAY_SECONDS = 0.0002, 2.0  # of a packet; drawn from a log-uniform distribution
FAST_FRACTION = 0.7  # fraction of the packets that arrive within 2 ms; without them nothing is ever decided
KEY_COUNT = 12  # keys whose owners are checked; with 12, each of five members owns some
FAULT_INTERVAL_SECONDS = 0.5  # mean time between two injected faults
OWNER_CHECK_INTERVAL_SECONDS = 0.002  # leases don't change on a shorter time scale


FAULT_KINDS = ("stop", "stop", "go on", "kill", "restart", "restart", "cut", "heal", "heal", "step")


@dataclass(slots=True, frozen=True)
class Violation:
    """A violated invariant and the run that shows it."""

    seed: int
    at: float  # virtual time in seconds
    invariant: str
    description: str


class HostileWorld(World):
    """A world whose links delay packets arbitrarily, so that they overtake each other."""

    def _send_datagram(self, host: Host, address: Address, packet: m.Packet) -> None:
        to = self.by_address.get(address)
        if to is None:
            return
        link = self.link(host.name, to.name)
        for _ in range(1 + (self.random.random() < link.repeat)):
            if link.cut or self.random.random() < link.loss:
                continue
            slowest = 0.002 if self.random.random() < FAST_FRACTION else MAX_DELAY_SECONDS
            delay = math.exp(self.random.uniform(math.log(MIN_DELAY_SECONDS), math.log(slowest)))
            self._schedule(self.now + delay, self._deliver_datagram, to, to.generation, packet, host.address)


class Schedule:
    """One run of several nodes under a random fault schedule."""

    def __init__(self, seed: int, bounded_drift: bool = True) -> None:
        self.seed, self.random = seed, Random(f"schedule {seed}")
        self.world = world = HostileWorld(seed)
        world.after_step = self._check_invariants
        self.names = [f"n{n}" for n in range(self.random.choice((3, 3, 4, 5)))]
        self.violation: Violation | None = None
        self.digests: dict[str, str] = {}  # digest of the members by view id
        self.owners_checked_at = 0.0
        for name in self.names:
            host = world.host(name)
            host.clock_rate = 1 + self.random.uniform(
                -MAX_CLOCK_DRIFT_FRACTION, MAX_CLOCK_DRIFT_FRACTION
            ) / 2 * (1 if bounded_drift else 20)
            world.start(name, self.names, self.names[:3])

    def run(self) -> Violation | None:
        """Run the schedule; return the first violation, if any."""
        world, random = self.world, self.random
        world.run(FOUNDING_SECONDS, self._is_over)
        world.default_link.loss, world.default_link.repeat = random.choice((0.0, 0.02, 0.1)), 0.05
        while world.now < SCHEDULE_SECONDS and self.violation is None:
            world.run(random.expovariate(1 / FAULT_INTERVAL_SECONDS), self._is_over)
            self._inject_fault()
        return self.violation

    def _is_over(self) -> bool:
        return self.violation is not None

    def _inject_fault(self) -> None:
        world, random = self.world, self.random
        host = world.hosts[random.choice(self.names)]
        match random.choice(FAULT_KINDS):
            case "stop" if host.node is not None:
                world.stop(host.name)
            case "go on":
                for other in world.hosts.values():
                    if other.stopped and random.random() < 0.6:
                        world.resume(other.name)
            case "kill":
                world.kill(host.name)
            case "restart":
                for dead in [h for h in world.hosts.values() if h.node is None]:
                    world.start(dead.name, self.names, self.names[:3])
            case "cut":
                side = random.sample(self.names, random.randint(1, len(self.names) - 1))
                others = [n for n in self.names if n not in side]
                world.set_links(side, others, random.random() < 0.7, cut=True)
            case "heal":
                world.heal()
            case "step":
                host.wall_clock_offset += random.choice((-3600.0, -2.0, 2.0, 3600.0))

    # Invariants.

    def _check_invariants(self) -> None:
        world = self.world
        for host in world.hosts.values():
            view = None if host.node is None else host.node.view
            if view is not None and self.digests.setdefault(str(view.id), view.digest) != view.digest:
                self._record_violation(
                    "numbers", f"view {view.id} at {host.name} has other members than before"
                )
        if world.now < self.owners_checked_at + OWNER_CHECK_INTERVAL_SECONDS:
            return
        self.owners_checked_at = world.now
        for n in range(KEY_COUNT):
            owners = list(self._owners(f"k{n}"))
            if len(owners) > 1:
                views = {o: str(node.view.id) for o in owners if (node := world.hosts[o].node) and node.view}
                self._record_violation("owners", f"k{n} has the owners {views}")

    def _owners(self, key: str) -> Iterable[str]:
        for host in self.world.hosts.values():
            # A stopped process may have checked its ownership just before and act just after it resumes.
            if host.node is not None and host.node.owns(key, self.world.clock(host)):
                yield host.name

    def _record_violation(self, invariant: str, description: str) -> None:
        self.violation = self.violation or Violation(
            self.seed, round(self.world.now, 4), invariant, description
        )


STEPS_PER_RUN = 400  # of one run of `Ballots`
TIME_STEPS_SECONDS = 0.2, 0.6, 1.5  # by which the clock may advance in one step
DUPLICATE_FRACTION = 0.15  # fraction of the deliveries after which the message is delivered again later
SLOW_SKIP_PROBABILITY = 0.85  # that a drawn message to the slow member is not delivered yet
MAX_PENDING = 80  # messages in flight; beyond it the oldest are lost, so that a run makes progress


class Ballots:
    """One run in which the members of one view agree on the change that follows it."""

    def __init__(self, seed: int, bounded_drift: bool = True) -> None:
        self.seed, self.random, self.now = seed, Random(f"ballots {seed}"), 0.0
        size = self.random.choice((3, 3, 4, 5))
        peers = tuple(Peer(f"n{n}", n + 1, "", 0) for n in range(size))
        self.view = View(1, 1, peers)
        self.members = [Agreement(self.view, p.name, self.random) for p in peers]
        self.leases: list[Lease | None] = [Lease(size, n, self.random) for n in range(size)]
        self.pending: list[tuple[int, int, m.Message | m.HeartbeatRound]] = []  # receiver, sender, message
        self.decided: tuple[ViewChange, float] | None = None
        self.slow = self.random.choice((None, *range(size)))  # member whose messages are mostly late

    def run(self) -> Violation | None:
        """Run all steps; return the first violation, if any."""
        for _ in range(STEPS_PER_RUN):
            self._step()
            if (found := self._check_invariants()) is not None:
                return found
        return None

    def _step(self) -> None:
        random, n = self.random, self.random.randrange(len(self.members))
        match random.choices(("deliver", "heartbeat", "propose", "time", "restart"), (60, 20, 6, 8, 1))[0]:
            case "deliver" if self.pending:
                index = random.randrange(len(self.pending))
                to, source, message = self.pending[index]
                if to == self.slow and random.random() < SLOW_SKIP_PROBABILITY:
                    return
                if random.random() > DUPLICATE_FRACTION:
                    del self.pending[index]
                self._deliver(to, source, message)
            case "heartbeat" if (lease := self.leases[n]) is not None:
                lease.frozen = lease.frozen or self.members[n].frozen
                lease.wake(self.now, is_first_alive=True)
                if (round := lease.current_round()) is not None:
                    others = [to for to in range(len(self.members)) if to != n]
                    self.pending.append((random.choice(others), n, round))
            case "propose":
                change = ViewChange(dead=(random.randrange(len(self.members)),))
                self.members[n].propose(change, self.now)
            case "time":
                self.now += random.choice(TIME_STEPS_SECONDS)
                for member in self.members:
                    member.wake(self.now)
            case "restart":
                state = self.members[n].durable_state
                self.members[n] = Agreement.restore(state, self.view.members[n].name, random)
                self.leases[n] = None  # its leases are lost; it continues as an acceptor
        for source, member in enumerate(self.members):
            self.pending += [(to, source, message) for to, message in member.outgoing]
            member.outgoing.clear()
        del self.pending[:-MAX_PENDING]

    def _deliver(self, to: int, source: int, message: m.Message | m.HeartbeatRound) -> None:
        if isinstance(message, m.HeartbeatRound):
            if (lease := self.leases[to]) is not None:
                lease.frozen = lease.frozen or self.members[to].frozen
                lease.receive(message, self.now)
        elif not isinstance(message, m.Decided):  # decisions are never delivered: the latest possible case
            self.members[to].receive(source, message, self.now, set())

    def _check_invariants(self) -> Violation | None:
        for member in self.members:
            if member.decided_change is not None and self.decided is None:
                self.decided = member.decided_change, self.now
            if (
                member.decided_change is not None
                and self.decided is not None
                and member.decided_change != self.decided[0]
            ):
                return self._violation("one change", f"{member.decided_change} after {self.decided[0]}")
        for n, lease in enumerate(self.leases):
            if (
                lease is not None
                and self.decided is not None
                and lease.expires_at > self.decided[1] + LEASE_DURATION_SECONDS
            ):
                late = lease.expires_at - self.decided[1] - LEASE_DURATION_SECONDS
                return self._violation("lease", f"the lease of n{n} ends {late:.3f} s too late")
        return None

    def _violation(self, invariant: str, description: str) -> Violation:
        return Violation(self.seed, round(self.now, 4), invariant, description)


RunType = type[Schedule] | type[Ballots]


def search(kind: RunType, seeds: Iterable[int], bounded_drift: bool = True) -> Violation | None:
    """Run seeds until one violates an invariant; return that violation, or None."""
    for seed in seeds:
        if (found := kind(seed, bounded_drift).run()) is not None:
            return found
    return None
