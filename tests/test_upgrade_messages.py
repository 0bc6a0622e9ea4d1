"""Messages between the two processes of an upgrade, for cases without recorded messages."""

from __future__ import annotations

import pytest

from violetdoor.upgrade.messages import (
    Accepting,
    ConfigurationChanged,
    ControlAttachment,
    EndpointSnapshot,
    FleetMembership,
    Hello,
    Message,
    RelaySnapshot,
    ResourceUsage,
    ServerBan,
    ServerBanned,
    ServerUnbanned,
    Stopped,
    UsageReport,
    decode_message,
    decode_snapshot,
    encode_line,
)

MESSAGES: list[Message] = [
    Hello(),
    Accepting(),
    Stopped(),
    ServerBanned(ServerBan("s-1", 12.5)),
    ServerUnbanned("s-1"),
    ConfigurationChanged("{}"),
    FleetMembership("c1"),
    ControlAttachment("c2"),
    UsageReport(ResourceUsage({"s-1": (1.5, 2)}, 3, 4), ["a1"]),
    UsageReport(ids=["a1"]),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda message: type(message).__name__)
def test_each_message_is_decoded_as_itself(message: Message) -> None:
    assert decode_message(encode_line(message)) == message


@pytest.mark.parametrize(
    "line", [b"[]", b"7", b"{}", b'{"newer":1}', b'{"ban":["s-1"]}', b'{"lift":7}', b'{"config":{}}']
)
def test_unknown_messages_are_ignored(line: bytes) -> None:
    assert decode_message(line) is None


def test_a_line_that_is_not_json_is_an_error() -> None:
    with pytest.raises(ValueError, match="unexpected"):
        decode_message(b"hello")


def test_unchecked_values_of_discovery_are_copied() -> None:
    endpoint = EndpointSnapshot(
        "s-1", zone=7, machine_type=["m"], cell="c", state="ready", weight=1.0, started_at_ms=2.0
    )
    snapshot = RelaySnapshot(config="{}", entries=[endpoint])
    assert decode_snapshot(encode_line(snapshot)) == snapshot


def test_a_snapshot_of_an_older_version_has_no_draining_servers() -> None:
    snapshot = decode_snapshot(b'{"config":"{}","version":null,"knowledge":{"late":0.5,"servers":[]}}')
    assert snapshot.draining == {}
    assert snapshot.knowledge.timeout_fraction == 0.5


def test_infinite_values_are_written_as_null() -> None:
    snapshot = RelaySnapshot(config="{}")
    snapshot.knowledge.load_per_weight = float("inf")
    assert decode_snapshot(encode_line(snapshot)).knowledge.load_per_weight is None
