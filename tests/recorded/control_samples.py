"""Sample values of every message that `violetdoor.control` encodes: no two numbers or names of one are equal.

Keys as in `recorded.fleet_samples`: plain words, or a union and the tag on the wire.
"""

from __future__ import annotations

from typing import Any, get_args

from recorded.fleet_samples import entry
from violetdoor.control import messages as c
from violetdoor.control.relay.roster_history import Tombstone
from violetdoor.control.relay.snapshot import AttachmentSnapshot


def version(offset: int = 0) -> c.Version:
    return c.Version(epoch=0x19ABCDEF00000000 + offset, term=100 + offset, index=200 + offset)


def relay(offset: int = 0) -> c.Relay:
    return c.Relay(
        name=f"relay-{offset}",
        instance=0x1199AABBCCDD0000 + offset,
        host=f"10.2.{offset}.3",
        port=4222 + offset,
        zone=f"zone-{offset}",
    )


def relay_key(offset: int = 0) -> c.RelayKey:
    return c.RelayKey(name=f"run-{offset}", instance=0x22AABBCCDDEE0000 + offset)


def delta(offset: int = 0) -> c.Delta:
    return c.Delta(
        base=version(offset + 1),
        version=version(offset + 2),
        joined=(relay(offset + 3), relay(offset + 4)),
        departed=(relay_key(offset + 5),),
    )


def region_count() -> c.RegionCount:
    return c.RegionCount(
        region="region-b",
        version=version(10),
        zones=(c.ZoneCount(zone="zone-x", relay_count=301), c.ZoneCount(zone="zone-y", relay_count=302)),
        age_seconds=4.5,
    )


def parts() -> dict[str, Any]:
    return {
        "part version": version(),
        "part relay": relay(),
        "part relay, no zone": c.Relay(name="relay", instance=1, host="10.0.0.1", port=2),
        "part run": relay_key(),
        "part delta": delta(),
        "part delta, empty": c.Delta(base=version(1), version=version(2)),
        "part zone": c.ZoneCount(zone="zone-z", relay_count=303),
        "part region": region_count(),
        "part departed run": tombstone(),
        "part region, short": c.RegionCount(region="region-b", version=version(), zones=()),
    }


def session_requests() -> dict[str, c.SessionRequest]:
    return {
        "session request 1": c.Attach(
            protocol_version=401,
            region="region-a",
            relay=relay(),
            attempt=402,
            known_version=version(),
            entries_digest=0xF1E2D3C4B5A69788,
        ),
        "session request 1, short": c.Attach(protocol_version=1, region="a", relay=relay(), attempt=2),
        "session request 2": c.Heartbeat(number=403, applied_version=version()),
        "session request 2, none": c.Heartbeat(number=403, applied_version=None),
        "session request 3": c.PutEntries(entries=(entry(1), entry(2))),
        "session request 4": c.Leave(),
        "session request 5": c.Lookup(number=404, key="user-1"),
        "session request 6": c.Resync(),
        "session request 7": c.Watch(
            protocol_version=405,
            region="region-c",
            watcher_name="control-1",
            watcher_region="region-d",
            known_version=version(),
            entries_digest=406,
        ),
        "session request 7, short": c.Watch(
            protocol_version=1, region="region-c", watcher_name="control-1", watcher_region="region-d"
        ),
    }


def session_responses() -> dict[str, c.SessionResponse]:
    refusals: dict[str, c.SessionResponse] = {
        f"session answer 2, {why}": c.Rejected(reason=why, retry_after_seconds=7.5)
        for why in get_args(c.RejectionReason)
    }
    return refusals | {
        "session answer 1": c.Welcome(
            control_name="control-2",
            region="region-e",
            regions=("region-f", "region-g"),
            heartbeat_interval_seconds=1.5,
            idle_timeout_seconds=2.5,
            lease_seconds=3.5,
        ),
        "session answer 2, short": c.Rejected(reason="busy"),
        "session answer 3": c.SnapshotChunk(
            version=version(), number=501, chunk_count=502, members=(relay(), relay(1))
        ),
        "session answer 4": c.RosterDeltas(deltas=(delta(), delta(10))),
        "session answer 5": c.HeartbeatAck(
            number=503, lease_seconds=5.5, version=version(), settled=version(1)
        ),
        "session answer 5, none": c.HeartbeatAck(number=503, lease_seconds=0.0, version=None, settled=None),
        "session answer 6": c.RegionCounts(counts=(region_count(),)),
        "session answer 7": c.Entries(entries=(entry(),), is_last=True),
        "session answer 7, more": c.Entries(entries=(entry(),)),
        "session answer 8": c.LookupResponse(number=504, region="region-h", owner="relay-9"),
        "session answer 8, none": c.LookupResponse(number=504, region="region-h", owner=None),
        "session answer 9": c.GoAway(within_seconds=6.5),
    }


def group_messages() -> dict[str, c.GroupMessage]:
    ends: dict[str, c.GroupMessage] = {
        f"group 2, {why}": c.SessionEnded(key=relay_key(), attempt=602, reason=why)
        for why in get_args(c.SessionEndReason)
    }
    return ends | {
        "group 1": c.SessionOpened(relay=relay(), attempt=601),
        "group 3": c.Replicate(delta=delta(), settled=version(20)),
        "group 3, none": c.Replicate(delta=delta(), settled=None),
        "group 4": c.ReplicateAck(version=version()),
        "group 5": c.TermStarted(epoch=603, term=604),
        "group 6": c.TermState(
            epoch=605,
            term=606,
            version=version(),
            settled=version(1),
            sessions=(c.SessionOpened(relay=relay(), attempt=607),),
            is_current=True,
        ),
        "group 6, none": c.TermState(epoch=605, term=606, version=None, settled=None, sessions=()),
        "group 7": c.SnapshotRequest(known_version=version()),
        "group 7, none": c.SnapshotRequest(),
        "group 8": c.GroupSnapshot(version=version(), settled=version(1), members=(relay(), relay(1))),
        "group 9": c.Settled(version=version()),
        "group 10": c.ReportAck(key=relay_key(), attempt=608, is_open=True),
        "group 11": c.NameConflict(key=relay_key(), attempt=609),
    }


def tombstone() -> Tombstone:
    return Tombstone(relay=relay_key(35), departed_version=version(36))


def attachment_snapshot() -> AttachmentSnapshot:
    return AttachmentSnapshot(
        instance=701,
        attempt=702,
        version=version(30),
        complete_since=version(31),
        settled=version(32),
        members=(relay(33), relay(34)),
        tombstones=(tombstone(),),
        regions=("region-i", "region-j"),
        region_counts=(region_count(),),
        entries=(entry(40), entry(41)),
    )


def states() -> dict[str, Any]:
    return {
        "hand-over": attachment_snapshot(),
        "hand-over, no roster": AttachmentSnapshot(
            instance=1,
            attempt=2,
            version=None,
            complete_since=None,
            settled=None,
            members=(),
            tombstones=(),
            regions=(),
            region_counts=(),
            entries=(),
        ),
    }
