"""A relay's attachment without sockets: connection attempts at control machines, and its lease."""

from __future__ import annotations

from random import Random

from violetdoor.control.messages import Heartbeat, HeartbeatAck, SnapshotChunk, Version, Welcome
from violetdoor.control.relay.actions import Connect, Send
from violetdoor.control.relay.attachment import Attachment
from violetdoor.control.relay.options import AttachmentConfig


def new_attachment(now: float = 0.0, instance: int | None = None) -> Attachment:
    config = AttachmentConfig("r", "h", 1, "z", "a", (("c0", 1), ("c1", 1), ("c2", 1)))
    return Attachment(config, Random(2), now, lambda: 1e12, instance)


def dialed_addresses(relay: Attachment) -> list[tuple[str, int]]:
    return [action.address for action in relay.take_actions() if isinstance(action, Connect)]


def test_a_relay_tries_all_machines_with_a_growing_backoff() -> None:
    relay, now = new_attachment(), 0.0
    attempts = []  # time and address of each
    for _ in range(400):
        now = relay.next_wake_at
        if now > 60:
            break
        relay.wake(now)
        if addresses := dialed_addresses(relay):
            attempts.append((now, addresses[0]))
            relay.handle_disconnected(now, refused=True)
    assert {address for _, address in attempts[:3]} == {("c0", 1), ("c1", 1), ("c2", 1)}
    assert attempts[2][0] < 1.0
    # In the last 40 s, each of the 3 machines is tried every 2 to 4 s: at the maximum backoff with jitter.
    late_attempts = [attempted_at for attempted_at, _ in attempts if attempted_at > 20]
    assert 3 * 40 / 4 <= len(late_attempts) <= 3 * 40 / 2 + 3


def test_a_lease_starts_with_its_heartbeat_and_needs_the_roster_it_was_granted_under() -> None:
    relay = new_attachment(instance=1)
    relay.wake(1.0)
    relay.handle_connected(1.0)
    relay.handle_message(Welcome("c0", "a", ("a",), 1.0, 2.0, 6.0), 1.0)
    version = Version(1, 1, 1)
    relay.handle_message(HeartbeatAck(1, 6.0, version, None), 1.1)
    assert not relay.may_act(1.1)
    relay.handle_message(SnapshotChunk(version, 0, 1, (relay.relay,)), 1.2)
    relay.wake(3.0)
    relay.handle_message(HeartbeatAck(2, 6.0, version, version), 4.9)
    last_sent = next(action for action in relay.take_actions()[::-1] if isinstance(action, Send))
    assert isinstance(last_sent.message, Heartbeat)
    assert last_sent.message.number == 2
    assert relay.may_act(8.9)
    assert not relay.may_act(9.1)
    assert relay.owns("k", 8.9)
    assert not relay.owns("k", 9.1)
