"""The control roles: those that share the budget of one relay, and those outside of relays."""

from __future__ import annotations

from benchmarks.capacity import demand as d
from benchmarks.capacity import limits
from benchmarks.capacity.fleet_slopes import EVENT_SECONDS
from benchmarks.capacity.needs import Kind, Measured, Need, calculated
from benchmarks.capacity.role import (
    CHANGES_PER_SECOND,
    RELEASE_RESTARTS_PER_SECOND,
    RESTARTS_PER_SECOND,
    SERVERS_PER_RELAY,
    US_PER_CORE_SECOND,
    Role,
    Row,
    describe_limit,
)

HEALTH_CALL_INTERVAL_S, STATS_CALL_INTERVAL_S = 5.0, 15.0  # of a monitor at each relay (assumption)
TOPIC_ENTRY_BYTES = 64  # one shard in a topic directory (assumption)
# One call of discovery without a change, with TCP's handshake and close (calculated); one with a changed server.
UNCHANGED_CALL_BYTES = 900
CHANGED_CALL_BYTES = 1_050


def server_list_watch(m: Measured) -> Role:
    """Return the role of the watch on the server list."""
    calls = 1 / limits.LIST_HOLD_S
    rest = calculated(
        calls * UNCHANGED_CALL_BYTES, f"{calls} calls a s x {UNCHANGED_CALL_BYTES} B (reckoned)"
    )
    day = rest.plus(
        calculated(
            CHANGES_PER_SECOND * CHANGED_CALL_BYTES,
            f"{CHANGES_PER_SECOND:.3f} changes a s x {CHANGED_CALL_BYTES} B",
        )
    )
    read = m.at("list_read_change", SERVERS_PER_RELAY).times(
        CHANGES_PER_SECOND / US_PER_CORE_SECOND, "changes a s, in cores"
    )
    whole = m.at("list_read", SERVERS_PER_RELAY).plus(m.at("module_whole_list", SERVERS_PER_RELAY))
    max_servers = m.size_at_budget("list_bytes", limits.LIST_BODY_BYTES)
    return Role(
        "a relay's watch on the server list", True, f"a line of each of {SERVERS_PER_RELAY:,} servers",
        "`violetdoor/net/server_list_watch.py`, one call after another, held 4 s",
        (
            Row("bytes at rest", "B/s", rest, d.CONTROL_BYTES_PER_SECOND),
            Row("bytes on an ordinary day", "B/s", day, d.CONTROL_BYTES_PER_SECOND),
            Row("processor on an ordinary day", "cores", read, d.CONTROL_CORE_SHARE),
            Row("one whole list, at a start or after a cut: bytes", "B", m.at("list_bytes", SERVERS_PER_RELAY)),
            Row("one whole list: processor", "us", whole),
            Row("messages at rest, out and in", "1/s", calculated(2 * calls, f"a call and its answer each {limits.LIST_HOLD_S:g} s")),
        ),
        "rack and zone of servers: one change that has them all; a release: a whole list for each relay once; a cut: calls fail, "
        "back-off, then a whole list",
        f"{describe_limit(max_servers, 'the 1 MiB that an answer may have')} (servers on the list)",
    )  # fmt: skip


def view(m: Measured) -> Role:
    """Return the role of a member of the fleet's flat view."""
    n = float(d.RELAYS)
    rest, restart = m.at("view_rest_bytes", n), m.at("view_restart_bytes", n)
    day = rest.plus(
        restart.times(RESTARTS_PER_SECOND, f"{RESTARTS_PER_SECOND:.4f} restarts and failures a s")
    )
    ratio = m.figure("ratio_virtual_processor")
    rest_us = m.at("view_rest_processor", n)
    processor = Need(
        rest_us.value * ratio.value, rest_us.low, rest_us.high * ratio.high,
        rest_us.kind if ratio.kind is not Kind.MISSING else Kind.MISSING,
        f"({rest_us.arithmetic}) x {ratio.arithmetic}; the range begins at virtual time alone", rest_us.sources | ratio.sources,
    ).times(1 / US_PER_CORE_SECOND, "s a us")  # fmt: skip
    day_ms = m.at("view_restart_processor", n)
    restarts = day_ms.times(RESTARTS_PER_SECOND / 1e3, f"{RESTARTS_PER_SECOND:.4f} restarts a s, in cores")
    memory = m.at("view_memory", n).times(2**-20, "MiB a byte")
    rows = [
        Row("packets at rest, out and in", "1/s", m.at("view_rest_packets", n)),
        Row("bytes at rest: datagrams", "B/s", m.at("view_rest_datagrams", n), d.CONTROL_BYTES_PER_SECOND),
        Row(
            "bytes at rest: calls that bring the whole view",
            "B/s",
            m.at("view_rest_calls", n),
            d.CONTROL_BYTES_PER_SECOND,
        ),
        Row("bytes at rest", "B/s", rest, d.CONTROL_BYTES_PER_SECOND),
        Row("bytes on an ordinary day", "B/s", day, d.CONTROL_BYTES_PER_SECOND),
        Row("processor at rest", "cores", processor, d.CONTROL_CORE_SHARE),
        Row("processor of restarts on an ordinary day", "cores", restarts, d.CONTROL_CORE_SHARE),
        Row("memory", "MiB", memory, d.CONTROL_MEMORY_BYTES / 2**20),
        Row("the longest datagram", "B", m.at("view_longest", n), limits.VIEW_DATAGRAM_BYTES),
        Row("one whole view in a message", "B", m.at("view_bytes", n), limits.VIEW_FRAME_BYTES),
        Row("members of one view", "", calculated(n, "all relays"), limits.MAX_VIEW_MEMBERS),
    ]
    moments = (
        ("a rack lost", "rack"), ("a zone lost", "zone"), ("a region cut off", "region_cut"),
        ("that region heals", "region_healed"),
    )  # fmt: skip
    for moment, name in moments:
        need = m.at(f"moment_{name}", n).times(
            1 / EVENT_SECONDS, f"a s, over the {EVENT_SECONDS:g} s that follow"
        )
        rows.append(Row(f"bytes beyond rest, {moment}", "B/s", need, d.CONTROL_BYTES_PER_SECOND))
    release = restart.times(
        RELEASE_RESTARTS_PER_SECOND,
        f"{RELEASE_RESTARTS_PER_SECOND:.3f} restarts a s in a release of {d.RELEASE_DURATION_HOURS:g} h",
    )
    rows.append(Row("bytes beyond rest, a release", "B/s", release.calculated(), d.CONTROL_BYTES_PER_SECOND))
    max_members = m.size_at_budget("view_rest_bytes", d.CONTROL_BYTES_PER_SECOND)
    return Role(
        "a relay's part in the fleet's view", True, f"{d.RELAYS:,} members, their health, the newest round of heartbeats",
        "`violetdoor/fleet`, one flat view; beyond it: none yet", tuple(rows),
        "rows; the smaller side of a cut holds no lease",
        f"{describe_limit(max_members, 'the bytes at rest')}; {limits.MAX_VIEW_MEMBERS:,} members fill a view",
        f"a view holds {limits.MAX_VIEW_MEMBERS:,} members at the most" if limits.MAX_VIEW_MEMBERS < d.RELAYS else "",
    )  # fmt: skip


def shared_map(m: Measured) -> Role:
    """Return the role of the shared map, which holds the bans."""
    retained_entries = CHANGES_PER_SECOND * limits.MAP_TOMBSTONE_RETENTION_S
    exchanges = 4 / limits.VIEW_SYNC_INTERVAL_S
    full = m.at("map_bytes", limits.MAX_MAP_ENTRIES)
    why = "an exchange each 2.5 s made and one served, the map both ways in each"
    day = m.at("map_bytes", retained_entries).times(exchanges, why).calculated()
    merge_processor = m.at("map_merge_known", limits.MAX_MAP_ENTRIES).times(
        exchanges / 2 / US_PER_CORE_SECOND, "maps taken in a s, in cores"
    )
    return Role(
        "shared map and bans", True, f"{limits.MAX_MAP_ENTRIES:,} entries at the most, the same at all",
        "`violetdoor/fleet/shared_map.py`: told on with packets, exchanged whole with each call of the view",
        (
            Row("entries where each change of a day is one, kept an hour", "",
                calculated(retained_entries, f"{CHANGES_PER_SECOND:.3f} a s x {limits.MAP_TOMBSTONE_RETENTION_S:.0f} s"), limits.MAX_MAP_ENTRIES),
            Row("bytes on an ordinary day", "B/s", day, d.CONTROL_BYTES_PER_SECOND),
            Row("bytes, the map full", "B/s", full.times(exchanges, why).calculated(), d.CONTROL_BYTES_PER_SECOND),
            Row("processor, the map full", "cores", merge_processor, d.CONTROL_CORE_SHARE),
            Row("memory, the map full", "MiB", m.at("map_memory", limits.MAX_MAP_ENTRIES).times(2**-20, "MiB a byte"),
                d.CONTROL_MEMORY_BYTES / 2**20),
        ),
        "all: it travels with the view's calls, each of which brings it whole; after a cut both sides have all within one",
        f"{describe_limit(m.size_at_budget('map_bytes', d.CONTROL_BYTES_PER_SECOND / exchanges), 'the bytes a second')} (entries)",
    )  # fmt: skip


def owner_lookups(m: Measured) -> Role:
    """Return the role of finding the owner of a key."""
    one = m.at("owner_lookup", d.RELAYS)
    lookups_of_all_shards = one.times(d.SHARDS / US_PER_CORE_SECOND, f"{d.SHARDS:,} shards, in s of a core")
    budget = d.CONTROL_CORE_SHARE * d.CHANGE_PROPAGATION_LIMIT_S
    return Role(
        "owner look-ups", True, "nothing beyond the view", "`View.owner`, all members weighed for each key",
        (
            Row("one look-up", "us", one),
            Row("all shards anew after a change of members, if a relay is to know its own", "core s", lookups_of_all_shards.calculated(), budget),
            Row("restarts and failures a s, each such a change", "1/s",
                calculated(RESTARTS_PER_SECOND, f"({d.RESTARTS_PER_DAY:,} + {d.FAILURES_PER_DAY}) / 86,400 s")),
        ),
        "rack, zone, cut and healing: one change of members each, if they come together; a release: one for each restart",
        f"one relay's own part of a core in {d.CHANGE_PROPAGATION_LIMIT_S:g} s allows {budget:.2f} s; "
        f"{describe_limit(m.size_at_budget('owner_lookup', budget * US_PER_CORE_SECOND / d.SHARDS), 'it with all shards')} (members)",
    )  # fmt: skip


def cold_server_shares(m: Measured) -> Role:
    """Return the role of sharing cold servers among the relays."""
    load_factor = d.RELAYS / min(d.RELAYS, limits.MAX_VIEW_MEMBERS)
    return Role(
        "cold-server shares", True, "one number: how many relays share the servers", "`Node.active_relays`, from the view",
        (
            Row("bytes beyond the view's", "B/s", calculated(0.0, "nothing of its own is sent"), d.CONTROL_BYTES_PER_SECOND),
            Row("a cold server's load where each relay counts one full view only, as a part of what it can take", "",
                calculated(load_factor, f"{d.RELAYS:,} / {limits.MAX_VIEW_MEMBERS:,}"), 1.0),
        ),
        "in a cut each side counts at least half of the view, so both together take twice the whole at the most",
        f"{limits.MAX_VIEW_MEMBERS:,} relays: as the view", "as the view: relays outside it are not counted",
    )  # fmt: skip


def console(m: Measured) -> Role:
    """Return the role of answering operators and monitors."""
    health, stats = m.at("console_health", SERVERS_PER_RELAY), m.at("console_stats", SERVERS_PER_RELAY)
    need = health.times(
        1 / HEALTH_CALL_INTERVAL_S / US_PER_CORE_SECOND, f"each {HEALTH_CALL_INTERVAL_S:g} s, in cores"
    ).plus(
        stats.times(
            1 / STATS_CALL_INTERVAL_S / US_PER_CORE_SECOND, f"each {STATS_CALL_INTERVAL_S:g} s, in cores"
        )
    )
    return Role(
        "operators' calls", True, f"{limits.MAX_CONSOLE_CALLERS} callers at a time", "`violetdoor/console`, one call a connection; "
        "a call that reaches all relays: the shared map for bans, else none yet",
        (
            Row("processor, a monitor's calls", "cores", need.calculated(), d.CONTROL_CORE_SHARE),
            Row("calls a s over the fleet that bring a day's changes to each relay", "1/s",
                calculated(CHANGES_PER_SECOND * d.RELAYS, f"{CHANGES_PER_SECOND:.3f} x {d.RELAYS:,}, if made one by one")),
            Row("calls a s at one relay", "1/s", calculated(1 / HEALTH_CALL_INTERVAL_S + 1 / STATS_CALL_INTERVAL_S, "health and stats, as assumed")),
        ),
        "all: a relay that is not reached is not called; nothing more comes",
        "not a matter of the fleet's size, as each relay answers for itself",
    )  # fmt: skip


def control_machine(m: Measured) -> Role:
    """Return the role of a machine that does control work only."""
    relays_per_machine = d.RELAYS / d.CONTROL_MACHINES
    return Role(
        "control machine", True, "the sessions of its relays, its region's roster, the rosters of all others, the shared map",
        "`violetdoor/control`: groups of four or five a region, by `benchmarks/fleet_scale` with all on one machine",
        (
            Row("relays of one machine", "", calculated(relays_per_machine, f"{d.RELAYS:,} / {d.CONTROL_MACHINES}")),
            Row("processor, the most", "cores", m.figure("scale_machine_processor"), 1.0),
            Row("memory, the most", "MiB", m.figure("scale_machine_memory"), 512.0),
            Row("restarts a s that one machine sees", "1/s",
                calculated(RESTARTS_PER_SECOND / d.CONTROL_MACHINES, f"{RESTARTS_PER_SECOND:.4f} / {d.CONTROL_MACHINES}")),
        ),
        "rack and zone, a release's restarts, a cut and its healing: `docs/measurements/fleet_scale.md`",
        "not looked for: one machine bore all of its region's sessions in no run",
    )  # fmt: skip


def multi_view_membership(m: Measured) -> Role:
    """Return the role of membership with more relays than one view can hold."""
    return Role(
        "membership beyond one flat view", True,
        "at a relay: its region's roster, counts of the other regions, the shared map, one session",
        "`violetdoor/control`: sessions at the control group of the region (`docs/design/fleet-scale.md`)",
        (
            Row("bytes at rest", "B/s", m.figure("scale_bytes_rest"), d.CONTROL_BYTES_PER_SECOND),
            Row("bytes on an ordinary day", "B/s", m.figure("scale_bytes_day"), d.CONTROL_BYTES_PER_SECOND),
            Row("processor of a real relay, all its parts", "cores", m.figure("scale_processor"), d.CONTROL_CORE_SHARE),
            Row("memory that it adds", "MiB", m.figure("scale_memory"), d.CONTROL_MEMORY_BYTES / 2**20),
            Row("a death known everywhere, p99", "s", m.figure("scale_death_everywhere"), d.CHANGE_PROPAGATION_LIMIT_S),
            Row("a rack lost, known in its region", "s", m.figure("scale_rack")),
            Row("a zone lost, known in its region", "s", m.figure("scale_zone")),
            Row("a restart is in, at 100 times the day's pace, p99", "s", m.figure("scale_restart")),
            Row("a region heals: one roster everywhere", "s", m.figure("scale_healing")),
            Row("a region heals: most bytes of one relay", "B/s", m.figure("scale_bytes_healing"), 5.0 * d.CONTROL_BYTES_PER_SECOND),
        ),
        "rows; a release was not played, restarts at 100 times the day's pace were",
        "not looked for: a relay's bytes grow by under 1% from 700 to 5,600 relays; a roster of one region holds 4,096",
    )  # fmt: skip


def discovery(m: Measured) -> Role:
    """Return the role of the discovery service that answers the watches."""
    rest = d.RELAYS / limits.LIST_HOLD_S
    day = CHANGES_PER_SECOND * d.RELAYS
    whole = m.at("list_bytes", SERVERS_PER_RELAY)
    healing_seconds = d.RELAYS_PER_REGION * limits.LIST_SERVICE_TIME_S
    return Role(
        "discovery's side", True, "the list, and a held call of each relay", "the deployment's own; the relay spreads its calls",
        (
            Row("calls a s at rest", "1/s", calculated(rest, f"{d.RELAYS:,} / {limits.LIST_HOLD_S:g} s")),
            Row("answers a s on an ordinary day, beyond rest", "1/s", calculated(day, f"{CHANGES_PER_SECOND:.3f} x {d.RELAYS:,}")),
            Row("answers to one change, at once", "", calculated(d.RELAYS, "all relays")),
            Row("a region heals, whole lists: s of discovery, a call each 125 ms as the module takes it", "s",
                calculated(healing_seconds, f"{d.RELAYS_PER_REGION:.0f} x {limits.LIST_SERVICE_TIME_S} s"), d.CHANGE_PROPAGATION_LIMIT_S),
            Row("a region heals, whole lists", "MB",
                whole.times(d.RELAYS_PER_REGION / 1e6, f"{d.RELAYS_PER_REGION:.0f} relays, in MB").calculated()),
        ),
        "rack and zone of servers: one change, told to all; a release: a whole list for each restart; healing: rows",
        f"{d.CHANGE_PROPAGATION_LIMIT_S / limits.LIST_SERVICE_TIME_S:.0f} relays that want the whole list at once, one discovery",
    )  # fmt: skip


def topic_directory(m: Measured) -> Role:
    """Return the role of the directory that maps topic shards to relays."""
    table = d.SHARDS * TOPIC_ENTRY_BYTES
    return Role(
        "topic directory", True, f"{d.SHARDS:,} shards", "none yet: it does not exist",
        (
            Row("memory, the whole table at each relay", "MiB",
                calculated(table / 2**20, f"{d.SHARDS:,} x {TOPIC_ENTRY_BYTES} B (assumed)"), d.CONTROL_MEMORY_BYTES / 2**20),
            Row("the whole table once a day to each relay", "B/s",
                calculated(table / d.SECONDS_PER_DAY, f"{table:,} B / 86,400 s"), d.CONTROL_BYTES_PER_SECOND),
            Row("shards that a lost relay's successors take over", "",
                calculated(d.SHARDS / d.RELAYS, f"{d.SHARDS:,} / {d.RELAYS:,}")),
        ),
        "unknown until it exists", "unknown until it exists",
    )  # fmt: skip


def all_control(m: Measured) -> Role:
    """Return the sum of the control roles of one relay on an ordinary day."""
    parts = {role.name: role for role in (server_list_watch(m), view(m), shared_map(m), console(m))}
    rows_to_sum = {
        ("bytes on an ordinary day", "B/s", float(d.CONTROL_BYTES_PER_SECOND)): (
            ("a relay's watch on the server list", "bytes on an ordinary day"),
            ("a relay's part in the fleet's view", "bytes on an ordinary day"),
            ("shared map and bans", "bytes on an ordinary day"),
        ),
        ("processor", "cores", d.CONTROL_CORE_SHARE): (
            ("a relay's watch on the server list", "processor on an ordinary day"),
            ("a relay's part in the fleet's view", "processor at rest"),
            ("a relay's part in the fleet's view", "processor of restarts on an ordinary day"),
            ("operators' calls", "processor, a monitor's calls"),
        ),
        ("memory", "MiB", d.CONTROL_MEMORY_BYTES / 2**20): (
            ("a relay's part in the fleet's view", "memory"),
            ("shared map and bans", "memory, the map full"),
        ),
    }
    rows = []
    for (what, unit, budget), role_rows in rows_to_sum.items():
        needs = [next(row.need for row in parts[name].rows if row.what == of) for name, of in role_rows]
        total = needs[0]
        for one in needs[1:]:
            total = total.plus(one)
        total_need = Need(
            total.value, total.low, total.high, total.kind, "sum of the rows above", total.sources
        )
        rows.append(Row(what, unit, total_need, budget))
    return Role(
        "all control of a relay together", True, "what the roles above hold", "as above; what does not exist yet is not in it",
        tuple(rows), "those of the view", "as the view", total=True,
    )  # fmt: skip
