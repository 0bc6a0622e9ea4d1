"""Failure detection by SWIM with Lifeguard's extensions. Does no I/O.

Das, Gupta, Motivala 2002; Dadgar, Phillips, Currey 2018. One member is probed in each period. If it does not
answer, helpers are asked to probe it, and it is pinged over TCP. A member that answers nobody is suspected.
The suspicion ends when the member refutes it with a higher incarnation; when it times out, the member is
declared dead. The timeout shortens with each member that suspects it independently, and probes slow down
while this relay's own health score is bad. That a member is declared dead is a local finding and is not
gossiped: the agreement asks the other members for theirs.

Member states are in `member_health`, probes in `probes`, gossiped rumors in `rumors`.
"""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from violetdoor.fleet.member_health import MAX_CONFIRMATIONS, Health, MemberTable, MonitoredMember
from violetdoor.fleet.messages import (
    MAX_RUMORS_PER_PACKET,
    RUMOR_ALIVE,
    RUMOR_CONFIRMED_DEAD,
    RUMOR_SUSPECT,
    Ack,
    Message,
    Nack,
    Ping,
    PingRequest,
    Rumor,
)
from violetdoor.fleet.probes import (
    INDIRECT_PROBE_COUNT,
    INDIRECT_PROBE_FRACTION,
    MIN_PROBE_AGE_FRACTION,
    PROBE_PERIOD_SECONDS,
    Probe,
    ProbeOrder,
    RelayedProbe,
    TcpProbe,
)
from violetdoor.fleet.rumors import RumorQueue
from violetdoor.fleet.view import Peer

# Limit of Lifeguard's local health score; this relay's probe period is multiplied by the score plus one.
MAX_HEALTH_SCORE = 8
MAX_NACK_PENALTY = 2  # limit of what one failed probe adds to the score for helpers that sent no nack
# Mean number of members that probe a member out of turn when they learn that it is suspected.
MEAN_SUSPICION_VERIFIERS = 5
PERIODS_PER_DEAD_PROBE = 4  # one dead member is also pinged every 4 periods, to detect healed partitions


class Outgoing(NamedTuple):
    """A message and the member that it is for."""

    recipient: str
    message: Message


class DeathProof(NamedTuple):
    """An instance that another member has confirmed dead."""

    name: str
    instance: int


class FailureDetector:
    """Monitors the members of the current view.

    The caller sends `outgoing` and `tcp_probes`, handles `death_proofs` and `health_has_changed`, and resets
    all four.
    """

    def __init__(self, local_peer: Peer, random: Random, now: float) -> None:
        """Start without members; `local_peer` is this relay's instance."""
        self.local_peer = local_peer
        self.random = random
        self.incarnation = 0  # this relay's own
        self._table = MemberTable()
        self.members = self._table.members  # by name, without this relay
        self.probes: list[Probe] = []
        self.outgoing: list[Outgoing] = []
        self.tcp_probes: list[TcpProbe] = []
        self.death_proofs: list[DeathProof] = []  # received and not yet handled by the caller
        self.health_has_changed = False  # whether the health of any member has changed
        self.health_score = 0  # this relay's local health score; 0 is healthy
        self._probe_order = ProbeOrder(random)
        self._relayed_probes: dict[int, RelayedProbe] = {}  # by the sequence number of the ping sent
        self._rumors = RumorQueue()
        self._last_seq = 0  # sequence number of the last ping sent
        self._next_period_at = now + random.random() * PROBE_PERIOD_SECONDS
        self._period_count = 0

    # Members.

    def set_members(self, peers: tuple[Peer, ...], now: float) -> None:
        """Monitor these members from now on; instances that stay keep their state."""
        others = [peer for peer in peers if peer.name != self.local_peer.name]
        former = self._table.replace_members(others, now)
        self._probe_order.update(self.members, former)
        self._rumors.retain({*self.members, self.local_peer.name})
        # An answer to a probe of an earlier instance must not count for the present instance.
        self.probes = [
            probe for probe in self.probes if former.get(probe.target) is self.members.get(probe.target)
        ]

    def is_alive(self, name: str) -> bool:
        """Return whether a member is neither suspected nor dead; always true for this relay."""
        member = self.members.get(name)
        return name == self.local_peer.name or (member is not None and member.health is Health.ALIVE)

    @property
    def alive_count(self) -> int:
        """Number of members that are neither suspected nor dead, including this relay."""
        table = self._table
        return 1 + len(table.members) - len(table.dead) - len(table.suspected)

    def dead_names(self) -> list[str]:
        """Return the names of the members that this relay considers dead."""
        return list(self._table.dead)

    def confirm_dead(self, name: str, now: float, *, is_proven: bool = False) -> None:
        """Declare a member's instance dead on proof; its failed probes do not affect the health score.

        `is_proven`: this relay has the proof itself, and gossips the death to the other members.
        """
        self.probes = [probe for probe in self.probes if probe.target != name]
        member = self.members.get(name)
        if member is None:
            return
        if member.health is not Health.DEAD:
            self._declare_dead(member, now)
        if is_proven:
            self._queue_rumor(member, RUMOR_CONFIRMED_DEAD, self.local_peer.name)

    def _declare_dead(self, member: MonitoredMember, now: float) -> None:
        self._set_health(member, Health.DEAD, now)
        self._rumors.discard(member.peer.name)

    def _set_health(self, member: MonitoredMember, health: Health, changed_at: float) -> None:
        self._table.set_health(member, health, changed_at)
        self.health_has_changed = True

    # Time.

    @property
    def next_wake_at(self) -> float:
        """The time at which `wake` must be called next."""
        table = self._table
        times = [self._next_period_at]
        times += [relayed.expires_at for relayed in self._relayed_probes.values()]
        indirect_delay = self._indirect_probe_delay
        times += [probe.started_at + indirect_delay for probe in self.probes if not probe.is_indirect]
        times += [
            member.health_changed_at + table.suspicion_seconds(member) for member in table.suspected.values()
        ]
        return min(times)

    @property
    def _period_seconds(self) -> float:
        return PROBE_PERIOD_SECONDS * (1 + self.health_score)

    @property
    def _indirect_probe_delay(self) -> float:
        return INDIRECT_PROBE_FRACTION * self._period_seconds

    def resume_after_pause(self, now: float) -> None:
        """Continue after a process pause: timeouts that expired during the pause are disregarded."""
        self.probes.clear()
        self._relayed_probes.clear()
        self.health_score = MAX_HEALTH_SCORE
        for member in self._table.suspected.values():
            member.health_changed_at = now
        self._next_period_at = now

    def wake(self, now: float) -> None:
        """Expire and start probes, and declare members dead whose suspicion has timed out."""
        for seq, relayed in list(self._relayed_probes.items()):
            if now >= relayed.expires_at:
                del self._relayed_probes[seq]
                self.outgoing.append(Outgoing(relayed.origin, Nack(relayed.origin_seq)))
        for probe in self.probes:
            if not probe.is_indirect and now >= probe.started_at + self._indirect_probe_delay:
                self._probe_indirectly(probe)
        if now >= self._next_period_at:
            self._next_period_at = now + self._period_seconds
            self._expire_probes(now)
            self._start_period(now)
        for member in list(self._table.suspected.values()):
            if now >= member.health_changed_at + self._table.suspicion_seconds(member):
                self._declare_dead(member, now)

    # Probes.

    def _start_period(self, now: float) -> None:
        self._period_count += 1
        if self._probe_order.is_exhausted:
            self._probe_order.shuffle(
                [name for name, member in self.members.items() if member.health is not Health.DEAD]
            )
        name = self._probe_order.pop()
        if name is not None:
            self._send_probe(name, now)
        if self._period_count % PERIODS_PER_DEAD_PROBE == 0:
            self._ping_random_dead_member()

    def _ping_random_dead_member(self) -> None:
        dead = self.dead_names()
        if dead:
            self._last_seq += 1
            self.outgoing.append(Outgoing(self.random.choice(dead), Ping(self._last_seq)))

    def _send_probe(self, name: str, now: float) -> None:
        self._last_seq += 1
        self.probes.append(Probe(self._last_seq, name, now))
        self.outgoing.append(Outgoing(name, Ping(self._last_seq, self.members[name].peer.instance)))

    def probe_now(self, name: str, now: float) -> None:
        """Probe a member out of turn because another member considers it suspected or dead."""
        if name in self.members and all(probe.target != name for probe in self.probes):
            self._send_probe(name, now)

    def _probe_indirectly(self, probe: Probe) -> None:
        probe.is_indirect = True
        others = [name for name in self._table.alive_names() if name != probe.target]
        helpers = self.random.sample(others, min(INDIRECT_PROBE_COUNT, len(others)))
        probe.expected_nacks = len(helpers)
        probe.has_helpers = bool(helpers)
        for helper in helpers:
            self.outgoing.append(Outgoing(helper, PingRequest(probe.seq, probe.target)))
        self.tcp_probes.append(TcpProbe(probe.target, probe.seq))

    def _expire_probes(self, now: float) -> None:
        """Suspect the targets of unanswered probes that have reached the minimum age."""
        for probe in list(self.probes):
            if now < probe.started_at + MIN_PROBE_AGE_FRACTION * self._period_seconds:
                continue
            self.probes.remove(probe)
            # Missing nacks indicate a fault of this relay's own network. Without helpers it is unknown on
            # which side the fault is.
            penalty = min(MAX_NACK_PENALTY, probe.expected_nacks) if probe.has_helpers else 1
            self._change_health_score(penalty)
            member = self.members.get(probe.target)
            if member is not None:
                self._suspect(member, self.local_peer.name, member.incarnation, now)

    def _change_health_score(self, change: int) -> None:
        self.health_score = min(MAX_HEALTH_SCORE, max(0, self.health_score + change))

    # Messages.

    def record_packet(self, name: str, instance: int, incarnation: int, now: float) -> None:
        """Record that a packet of this instance was received."""
        member = self.members.get(name)
        if member is None or member.peer.instance != instance:
            return
        member.last_received_at = now
        if incarnation > member.incarnation:
            self._refute_suspicion(member, incarnation)

    def handle_ping(self, sender: str, ping: Ping) -> None:
        """Answer a ping."""
        self.outgoing.append(Outgoing(sender, Ack(ping.seq, self.local_peer.instance)))

    def handle_ack(self, sender: str, ack: Ack, now: float) -> None:
        """End the probe that is answered; an ack of another instance proves the monitored one dead."""
        member = self.members.get(sender)
        if member is not None and ack.instance not in (0, member.peer.instance):
            self.confirm_dead(sender, now)
        elif member is not None and member.health is Health.DEAD:
            # The answer shows that a partition has healed. The member stays suspected until it refutes that.
            self._set_health(member, Health.SUSPECT, now)
            member.suspected_by = {self.local_peer.name}
        for probe in self.probes:
            if probe.seq == ack.seq:
                self.probes.remove(probe)
                self._change_health_score(-1)
                return
        relayed = self._relayed_probes.pop(ack.seq, None)
        if relayed is not None:
            self.outgoing.append(Outgoing(relayed.origin, Ack(relayed.origin_seq, 0)))

    def handle_tcp_ack(self, seq: int) -> None:
        """End a probe that was answered over TCP."""
        self.probes = [probe for probe in self.probes if probe.seq != seq]

    def handle_ping_request(self, origin: str, request: PingRequest, now: float) -> None:
        """Ping a member as the helper of another one."""
        member = self.members.get(request.target)
        if member is None:
            return
        self._last_seq += 1
        expires_at = now + INDIRECT_PROBE_FRACTION * PROBE_PERIOD_SECONDS
        self._relayed_probes[self._last_seq] = RelayedProbe(origin, request.seq, expires_at)
        self.outgoing.append(Outgoing(request.target, Ping(self._last_seq, member.peer.instance)))

    def handle_nack(self, nack: Nack) -> None:
        """Record that a helper is reachable although the target did not answer it."""
        for probe in self.probes:
            if probe.seq == nack.seq:
                probe.expected_nacks = max(0, probe.expected_nacks - 1)

    # Rumors.

    def handle_rumor(self, rumor: Rumor, now: float) -> None:
        """Apply a rumor from another relay."""
        if rumor.name == self.local_peer.name:
            self._refute_own_suspicion(rumor)
            return
        member = self.members.get(rumor.name)
        if member is None or member.peer.instance != rumor.instance:
            return
        if rumor.state == RUMOR_CONFIRMED_DEAD:
            self.death_proofs.append(DeathProof(rumor.name, rumor.instance))
        elif rumor.state == RUMOR_ALIVE:
            if rumor.incarnation > member.incarnation:
                self._refute_suspicion(member, rumor.incarnation)
        else:
            self._suspect(member, rumor.reporter, rumor.incarnation, now)

    def _refute_own_suspicion(self, rumor: Rumor) -> None:
        """Refute a suspicion of this instance with a higher incarnation than the suspected one."""
        local_peer = self.local_peer
        if rumor.instance != local_peer.instance or rumor.state != RUMOR_SUSPECT:
            return
        if rumor.incarnation >= self.incarnation:
            self.incarnation = rumor.incarnation + 1
            self._change_health_score(+1)
        refutation = Rumor(local_peer.name, local_peer.instance, self.incarnation, RUMOR_ALIVE)
        self._rumors.enqueue(refutation, len(self.members) + 1)

    def _refute_suspicion(self, member: MonitoredMember, incarnation: int) -> None:
        member.incarnation = incarnation
        if member.health is not Health.ALIVE:
            self._set_health(member, Health.ALIVE, member.health_changed_at)
            member.suspected_by.clear()
        self._queue_rumor(member, RUMOR_ALIVE)

    def _suspect(self, member: MonitoredMember, reporter: str, incarnation: int, now: float) -> None:
        if incarnation < member.incarnation or member.health is Health.DEAD:
            return
        if member.health is Health.ALIVE:
            self._set_health(member, Health.SUSPECT, now)
            member.suspected_by = set()
            if reporter != self.local_peer.name and self._is_verifier():
                self.probe_now(member.peer.name, now)
        elif incarnation > member.incarnation:
            member.health_changed_at = now
            member.suspected_by = set()
        member.incarnation = incarnation
        if reporter not in member.suspected_by and len(member.suspected_by) <= MAX_CONFIRMATIONS:
            member.suspected_by.add(reporter)
            self._queue_rumor(member, RUMOR_SUSPECT, reporter)

    def _is_verifier(self) -> bool:
        """Decide at random whether this relay probes a suspected member out of turn."""
        return self.random.random() * len(self.members) < MEAN_SUSPICION_VERIFIERS

    def _queue_rumor(self, member: MonitoredMember, state: int, reporter: str = "") -> None:
        peer = member.peer
        rumor = Rumor(peer.name, peer.instance, member.incarnation, state, reporter)
        self._rumors.enqueue(rumor, len(self.members) + 1)

    def pick_rumors(self, recipient: str) -> tuple[Rumor, ...]:
        """Return the rumors for the next packet to `recipient`.

        A suspicion of the recipient comes first, so that each sender lets a suspected member refute it
        (Lifeguard's buddy system); then the rumors with the most sends remaining.
        """
        picked = []
        member = self.members.get(recipient)
        if member is not None and member.health is not Health.ALIVE:
            peer = member.peer
            picked.append(
                Rumor(recipient, peer.instance, member.incarnation, RUMOR_SUSPECT, self.local_peer.name)
            )
        picked += self._rumors.pick(MAX_RUMORS_PER_PACKET - len(picked))
        return tuple(picked)
