"""Fleets in virtual time whose members share one view from the start, with all bytes counted.

Founding a large fleet takes minutes of processor time, so members import the state that a process hands over in an
upgrade, and settle within seconds. Among the measurements of slopes, only this module uses the internals of
`violetdoor.fleet` and `violetdoor.faults.virtual`.
"""

from __future__ import annotations

import time
from collections import Counter
from random import Random

from violetdoor.faults.virtual import START_UNIX_MS, Host, World
from violetdoor.fleet import messages as m
from violetdoor.fleet.authentication import TAG_BYTES
from violetdoor.fleet.context import NodeConfig
from violetdoor.fleet.node import Node
from violetdoor.fleet.stored_state import DurableState, HandoverState, LeaseState, handover_state_decoder
from violetdoor.fleet.view import Address, Peer, View, sorted_by_name

PORT = 7946
ZONES = 24
SETTLE_TIMEOUT_SECONDS = 30.0  # in virtual time

# One call over TCP, both directions: SYN, SYN-ACK and ACK; four data segments and their acknowledgements; FIN and
# ACK of each side. Each segment has 52 bytes of IPv4 and TCP headers with timestamps, the two SYNs 8 more. The
# data holds two nonces of 16 bytes, two lengths of 4 and two tags. The part `hollow` checks this against real calls.
SEGMENTS_PER_CALL = 3 + 8 + 4
SEGMENT_HEADER_BYTES = 52
SEGMENT_BODY_BYTES = 1448  # data in one Ethernet frame
FIXED_CALL_BYTES = SEGMENTS_PER_CALL * SEGMENT_HEADER_BYTES + 2 * 8 + 2 * 16 + 2 * 4 + 2 * TAG_BYTES


def data_bytes_on_wire(body: int) -> int:
    """Return the bytes on the wire for `body` bytes of data in one direction, without the call's fixed part."""
    return body + (body // SEGMENT_BODY_BYTES) * (SEGMENT_HEADER_BYTES + SEGMENT_HEADER_BYTES // 2)


class CountingWorld(World):
    """A virtual world that also counts calls, their bytes in both directions, and received datagrams."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed, encode=True)
        self.datagrams_out = 0
        self.datagram_bytes_in = 0
        self.calls = 0
        self.call_bytes = 0  # both directions together; each byte is counted once, not at both ends
        self.call_bytes_by_message: Counter[str] = Counter()

    def _send_datagram(self, host: Host, address: Address, packet: m.Packet) -> None:
        before = self.sent_bytes[host.name]
        super()._send_datagram(host, address, packet)
        self.datagrams_out += 1
        if address in self.by_address and self.by_address[address].node is not None:
            self.datagram_bytes_in += self.sent_bytes[host.name] - before

    def _send_request(
        self, host: Host, address: Address, number: int, request: m.Request, within: float
    ) -> None:
        self.calls += 1
        self._count_call(request, FIXED_CALL_BYTES)
        super()._send_request(host, address, number, request, within)

    def _deliver_response(
        self, host: Host, generation: int, number: int, answer: m.Response | None, refused: bool = False
    ) -> None:
        if answer is not None:
            self._count_call(answer, 0)
        super()._deliver_response(host, generation, number, answer, refused)

    def _count_call(self, message: m.Request | m.Response, fixed_bytes: int) -> None:
        size = data_bytes_on_wire(len(m.encode(message))) + fixed_bytes
        self.call_bytes += size
        self.call_bytes_by_message[type(message).__name__] += size


def member_names(count: int) -> list[str]:
    """Return the names of a virtual fleet's members, in the order of their view."""
    return [f"relay-{n:05d}" for n in range(count)]


def settled_fleet(size: int, seed: int = 1) -> CountingWorld:
    """Return a fleet of `size` members that all hold a lease. Raises RuntimeError if they don't get one in time."""
    world, members = CountingWorld(seed), member_names(size)
    addresses = [(name, world.host(name).address) for name in members]
    peers = [_peer(name, address, n) for n, (name, address) in enumerate(addresses)]
    view = View(1 << 16, 2, sorted_by_name(peers))
    founders = frozenset(members[:5])
    seeds = tuple(address for _, address in addresses[:3])
    for peer in peers:
        host = world.host(peer.name)
        host.generation += 1
        config = NodeConfig(peer.name, *host.address, peer.zone, seeds, founders)
        node = Node(config, Random(world.random.getrandbits(64)), world.clock(host), lambda: START_UNIX_MS)
        # Encoded and decoded, so that each member has its own copy of the view.
        handover = handover_state_decoder.decode(m.encode(_handover(peer, view, world.clock(host))))
        node.import_state(handover, world.clock(host))
        host.node = node
        world.carry_out_actions(host)
        world._schedule(world.now + world.random.random() * 0.25, world._wake_node, host, host.generation)
    if not world.run(
        SETTLE_TIMEOUT_SECONDS, lambda: _has_lease(world, members[-1]) and world.settled(members)
    ):
        raise RuntimeError(f"{size} members that imported one view did not all get a lease in time")
    return world


def _has_lease(world: World, name: str) -> bool:
    host = world.hosts[name]
    return host.node is not None and host.node.may_act(world.clock(host))


def _peer(name: str, address: Address, place: int) -> Peer:
    rng = Random(name)
    return Peer(name, rng.getrandbits(62) | 1, *address, f"zone-{place % ZONES}", rng.getrandbits(62) | 1, 1)


def _handover(peer: Peer, view: View, now: float) -> HandoverState:
    never = float("-inf")
    lease = LeaseState(
        expires_at=never, not_before=never, frozen=False, round_number=0, starter=-1, joined=b"\0", joined_previous=b"\0",
        joined_rounds=(), round_observed_at=now,
    )  # fmt: skip
    return HandoverState(
        process=peer.process, local_peer=peer, state="member", started_at=now, durable_state=DurableState(view),
        latest_view=None, last_epoch=view.epoch, last_seq=view.seq, lease=lease, last_heartbeat_at=never,
        prior_views=(), has_lease=False, incarnation=0, packet_count=0, entries=(), clock=m.HybridTimestamp(0, 0, ""),
        replay_windows=(), readmissions=(), departed_instances=(), reported_views=(), ended_members=(), leaving_members=(),
    )  # fmt: skip


def run_measured(world: World, seconds: float) -> float:
    """Advance virtual time; return the processor time that this took, in seconds."""
    began = time.process_time()
    world.run(seconds)
    return time.process_time() - began


def view_of(size: int) -> View:
    """Return a view of `size` members."""
    peers = [_peer(name, ("10.0.0.1", PORT), place) for place, name in enumerate(member_names(size))]
    return View(1 << 16, 2, sorted_by_name(peers))
