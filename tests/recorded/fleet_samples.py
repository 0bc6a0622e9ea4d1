"""Sample values of every message that `violetdoor.fleet` encodes.

Within one message all numbers and names differ, so that swapped fields are detected. Keys are plain words, or
a union and the message's tag on the wire. They do not contain names of types or fields, so that these can be
renamed without a change of the recorded data.
"""

from __future__ import annotations

from typing import Any

from violetdoor.fleet import messages as m
from violetdoor.fleet.stored_state import (
    DurableState,
    HandoverState,
    JoinedRound,
    LeaseState,
    PriorView,
    Readmission,
    ReportedView,
    SenderWindow,
)
from violetdoor.fleet.view import Peer, View, ViewChange, ViewId

KEY = b"recorded fleet key, 32 bytes ok."
CLIENT_NONCE = bytes(range(16, 32))
SERVER_NONCE = bytes(range(64, 80))


def peer(offset: int = 0) -> Peer:
    """Return a peer; each offset has different values."""
    return Peer(
        name=f"relay-{offset}",
        instance=0x1122334455660000 + offset,
        host=f"10.1.{offset}.2",
        port=7946 + offset,
        zone=f"zone-{offset}",
        process=0x2233445566770000 + offset,
        joined_seq=300 + offset,
    )


def change() -> ViewChange:
    return ViewChange(dead=(2, 5), departed=(7, 11), joins=(peer(20), peer(21)))


def base() -> ViewId:
    return ViewId(epoch=0x18ABCDEF01234567, seq=41)


def view() -> View:
    return View(epoch=0x18ABCDEF01239999, seq=42, members=(peer(1), peer(2), peer(3)))


def timestamp(offset: int = 0) -> m.HybridTimestamp:
    return m.HybridTimestamp(
        unix_ms=1_800_000_000_000 + offset, counter=500 + offset, relay=f"writer-{offset}"
    )


def entry(offset: int = 0) -> m.MapEntry:
    return m.MapEntry(key=f"ban:server-{offset}", timestamp=timestamp(offset), value=0.25 + offset)


def heartbeat_round() -> m.HeartbeatRound:
    return m.HeartbeatRound(number=611, starter=3, joined=b"\x00\x07", joined_previous=b"\x01\x02\x00")


def rumor() -> m.Rumor:
    return m.Rumor(name="relay-8", instance=0x3344556677880000, incarnation=613, state=2, reporter="relay-9")


def parts() -> dict[str, Any]:
    """Return the structs that are parts of messages."""
    return {
        "part peer": peer(),
        "part change": change(),
        "part change, empty": ViewChange(),
        "part view number": base(),
        "part view": view(),
        "part rumor": rumor(),
        "part rumor, short": m.Rumor(name="relay-8", instance=12, incarnation=13, state=m.RUMOR_SUSPECT),
        "part stamp": timestamp(),
        "part entry": entry(),
        "part entry, taken back": m.MapEntry(key="drain:server-1", timestamp=timestamp(4), value=None),
        "part round": heartbeat_round(),
        "part joined round": JoinedRound(number=617, joined_at=1234.5),
        "part lease": lease_state(),
        "part prior view": PriorView(view=view(), replaced_at=1235.5),
        "part prior view, not known": PriorView(view=None, replaced_at=1235.5),
        "part window": SenderWindow(name="relay-5", instance=0x4455667788990000, max_sequence=619),
        "part readmission": Readmission(
            name="relay-6", process=0x5566778899AA0000, readmitted_at=float("-inf")
        ),
        "part reported view": ReportedView(name="relay-7", view=base()),
    }


def datagram_messages() -> dict[str, m.Message]:
    """Return the messages that a datagram carries, by tag."""
    return {
        "datagram 1": m.Ping(seq=701, instance=702),
        "datagram 1, any": m.Ping(seq=701),
        "datagram 2": m.Ack(seq=703, instance=704),
        "datagram 2, short": m.Ack(seq=703),
        "datagram 3": m.PingRequest(seq=705, target="relay-4"),
        "datagram 4": m.Nack(seq=706),
        "datagram 10": m.PreVoteRequest(
            base=base(), pre_vote_number=707, change=change(), ended_indexes=(13, 17)
        ),
        "datagram 10, short": m.PreVoteRequest(base=base(), pre_vote_number=707, change=change()),
        "datagram 11": m.PreVoteResponse(base=base(), pre_vote_number=708, alive_indexes=(1, 4)),
        "datagram 12": m.Prepare(base=base(), ballot=709),
        "datagram 13": m.Promise(base=base(), ballot=710, accepted_ballot=711, accepted_change=change()),
        "datagram 13, none": m.Promise(base=base(), ballot=710, accepted_ballot=-1, accepted_change=None),
        "datagram 14": m.Accept(base=base(), ballot=712, change=change()),
        "datagram 15": m.Accepted(base=base(), ballot=713),
        "datagram 16": m.Rejected(base=base(), ballot=714, promised_ballot=715),
        "datagram 17": m.Decided(base=base(), change=change()),
        "datagram 20": m.JoinRequest(peer=peer()),
        "datagram 21": m.Leave(),
    }


def packet() -> m.Packet:
    return m.Packet(
        version=7,
        max_version=9,
        sender="sender",
        sender_instance=0x66778899AABB0000,
        recipient="receiver",
        recipient_instance=0x778899AABBCC0000,
        sequence=801,
        view=base(),
        view_size=802,
        has_lease=True,
        incarnation=803,
        heartbeat_round=heartbeat_round(),
        map_digest=0xF0E1D2C3B4A59687,
        rumors=(rumor(),),
        map_updates=(entry(30), entry(31)),
        messages=(m.Ping(seq=804, instance=805), m.Nack(seq=806)),
        zone="zone-of-sender",
    )


def packets() -> dict[str, m.Packet]:
    return {
        "packet": packet(),
        "packet, stranger": m.Packet(
            version=1,
            max_version=2,
            sender="sender",
            sender_instance=3,
            recipient="receiver",
            recipient_instance=0,
            sequence=4,
            view=None,
            view_size=0,
            has_lease=False,
            incarnation=5,
            heartbeat_round=None,
            map_digest=6,
        ),
    }


def requests() -> dict[str, m.Request]:
    """Return the requests that a relay sends to another one over TCP, by tag."""
    return {
        "request 1": m.Hello(peer=peer(), is_founder=True, uptime_seconds=12.5),
        "request 2": m.SyncRequest(
            peer=peer(), view=base(), view_size=901, has_lease=True, entries=(entry(),)
        ),
        "request 2, none": m.SyncRequest(peer=peer(), view=None, view_size=0, has_lease=False, entries=()),
        "request 3": m.TcpPing(instance=902),
        "request 4": m.EpochVoteRequest(view=view(), base=base(), forced=True),
        "request 4, first": m.EpochVoteRequest(view=view(), base=None),
        "request 5": m.OpenStream(name="relay-11", instance=903, channel="control"),
    }


def responses() -> dict[str, m.Response]:
    """Return the responses to these requests, by tag."""
    return {
        "answer 1": m.StateSnapshot(view=view(), has_lease=True, entries=(entry(),)),
        "answer 1, none": m.StateSnapshot(view=None, has_lease=False, entries=()),
        "answer 2, name": m.JoinRejected(reason="name"),
        "answer 2, held": m.JoinRejected(reason="held"),
        "answer 2, full": m.JoinRejected(reason="full"),
        "answer 2, stale": m.JoinRejected(reason="stale"),
        "answer 2, pending": m.JoinRejected(reason="pending"),
        "answer 3": m.NotAMember(peer=peer(), is_founder=True, uptime_seconds=13.5),
        "answer 4": m.TcpAck(instance=904),
        "answer 5": m.EpochVote(epoch=905, is_granted=True),
    }


def durable_state(offset: int = 0) -> DurableState:
    return DurableState(
        view=view(), promised_ballot=1001 + offset, accepted_ballot=1101 + offset, accepted_change=change()
    )


def lease_state() -> LeaseState:
    return LeaseState(
        expires_at=2001.5,
        not_before=2002.5,
        frozen=True,
        round_number=1201,
        starter=1202,
        joined=b"\x00\x05",
        joined_previous=b"\x02\x03\x00",
        joined_rounds=(
            JoinedRound(number=1203, joined_at=2003.5),
            JoinedRound(number=1204, joined_at=2004.5),
        ),
        round_observed_at=2005.5,
    )


def handover_state() -> HandoverState:
    return HandoverState(
        process=0x8899AABBCCDD0000,
        local_peer=peer(50),
        state="member",
        started_at=3001.5,
        durable_state=DurableState(
            view=View(epoch=1301, seq=1302, members=(peer(51), peer(52))),
            promised_ballot=1303,
            accepted_ballot=1304,
            accepted_change=ViewChange(dead=(1305,), departed=(1306,), joins=(peer(53),)),
        ),
        latest_view=View(epoch=1307, seq=1308, members=(peer(54),)),
        last_epoch=1309,
        last_seq=1310,
        lease=lease_state(),
        last_heartbeat_at=3002.5,
        prior_views=(PriorView(view=view(), replaced_at=3003.5), PriorView(None, replaced_at=3004.5)),
        has_lease=True,
        incarnation=1311,
        packet_count=1312,
        entries=(entry(60), entry(61)),
        clock=timestamp(62),
        replay_windows=(SenderWindow(name="window-a", instance=1313, max_sequence=1314),),
        readmissions=(Readmission(name="again-a", process=1315, readmitted_at=3005.5),),
        departed_instances=(1316, 1317),
        reported_views=(ReportedView(name="reporter-a", view=ViewId(epoch=1318, seq=1319)),),
        ended_members=("ended-a", "ended-b"),
        leaving_members=("leaving-a", "leaving-b"),
    )


def states() -> dict[str, Any]:
    """Return the states that are stored in a file or handed over to another process."""
    return {
        "durable state": durable_state(),
        "durable state, short": DurableState(view=view()),
        "hand-over": handover_state(),
        "hand-over, newcomer": HandoverState(
            process=1,
            local_peer=peer(),
            state="joining",
            started_at=2.5,
            durable_state=None,
            latest_view=None,
            last_epoch=0,
            last_seq=0,
            lease=None,
            last_heartbeat_at=float("-inf"),
            prior_views=(),
            has_lease=False,
            incarnation=0,
            packet_count=3,
            entries=(),
            clock=m.HybridTimestamp(unix_ms=0, counter=0, relay=""),
            replay_windows=(),
            readmissions=(),
            departed_instances=(),
            reported_views=(),
            ended_members=(),
            leaving_members=(),
        ),
    }
