"""The data roles, which carry clients and their messages and are not in the control budget."""

from __future__ import annotations

from benchmarks.capacity import demand as d
from benchmarks.capacity import limits
from benchmarks.capacity.needs import Measured, calculated
from benchmarks.capacity.role import (
    CHANGES_PER_SECOND,
    SERVERS_PER_RELAY,
    US_PER_CORE_SECOND,
    Role,
    Row,
    describe_limit,
)

LARGEST_MEASURED_SERVERS = 15_000  # longest server list that was measured
GROUPED_ARRIVAL_SHARE = 1.0  # fraction of arrivals that belong to a group (assumption: the worst case)
RECONNECT_SECONDS = 60.0  # time in which the clients of a lost rack or zone reconnect (assumption)


def connections(m: Measured) -> Role:
    """Return the role of keeping client connections."""
    connections_per_relay = d.CONNECTIONS_PER_RELAY
    zone_loss_rate = d.CONNECTIONS / d.ZONES / (d.RELAYS * (1 - 1 / d.ZONES)) / RECONNECT_SECONDS
    rack_loss_rate = d.MACHINES_PER_RACK * connections_per_relay / d.RELAYS / RECONNECT_SECONDS
    release_rate = d.CONNECTIONS / (d.RELEASE_DURATION_HOURS * 3600) / d.RELAYS
    rows: list[Row] = [
        Row("descriptors", "", calculated(2.0 * connections_per_relay, f"{connections_per_relay:,} connections x 2"), limits.DESCRIPTORS),
        Row("nats: PINGs and PONGs at rest, out and in", "1/s",
            calculated(2 * connections_per_relay / limits.NATS_PING_INTERVAL_S, f"{connections_per_relay:,} x 2, one to the server each {limits.NATS_PING_INTERVAL_S:g} s")),
    ]  # fmt: skip
    for front in ("line", "nats"):
        resting, memory = (
            m.at(f"{front}_resting", connections_per_relay),
            m.at(f"{front}_memory", connections_per_relay),
        )
        rows += [
            Row(f"{front}: processor at rest", "cores", resting.times(1 / US_PER_CORE_SECOND, "s a us"), 1.0),
            Row(f"{front}: memory", "MiB", memory.times(2**-20, "MiB a byte")),
        ]
        for moment, rate in (
            ("a rack lost", rack_loss_rate),
            ("a zone lost", zone_loss_rate),
            ("a release", release_rate),
        ):
            opening = m.at(f"{front}_opening", max(largest_measured_size(m, f"{front}_opening"), 1.0))
            need = opening.times(rate / US_PER_CORE_SECOND, f"{rate:.1f} openings a s, in cores").calculated()
            rows.append(Row(f"{front}: openings, {moment}", "cores", need, 1.0))
    line, nats = (
        m.size_at_budget("line_resting", US_PER_CORE_SECOND),
        m.size_at_budget("nats_resting", US_PER_CORE_SECOND),
    )
    return Role(
        "a relay's connections", False, f"{connections_per_relay:,} clients, each with one connection to a server",
        "a process with one loop (`violetdoor/fronts`, `net/acceptor.py`); more than one process a machine: none yet",
        tuple(rows), "rack, zone and release: rows; a region that is cut off keeps its clients and its own servers",
        f"line: {describe_limit(line, 'a core at rest')}; nats: {describe_limit(nats, 'a core at rest')}; "
        f"{limits.DESCRIPTORS // 2:,} connections spend the descriptors",
    )  # fmt: skip


def largest_measured_size(m: Measured, name: str) -> float:
    """Return the largest measured size of a series, or 0 if it was not measured."""
    series = m.store.series.get(name)
    return 0.0 if series is None else max(point.size for point in series.points)


def deliveries(m: Measured) -> Role:
    """Return the role of delivering messages to clients."""
    rate, rows, breaks = d.DELIVERIES_PER_RELAY, list[Row](), list[str]()
    for front in ("line", "nats"):
        name = f"{front}_delivering"
        cost_per_delivery = m.at(name, max(largest_measured_size(m, name), 1.0))
        need = cost_per_delivery.times(
            rate / US_PER_CORE_SECOND, f"{rate:,.0f} deliveries a s of each relay, in cores"
        )
        rows.append(Row(f"{front}: processor", "cores", need, 1.0))
        if cost_per_delivery.value:
            breaks.append(
                f"{front}: {US_PER_CORE_SECOND / cost_per_delivery.value:,.0f} deliveries a s spend a core, nothing else done"
            )
    listeners_per_relay = d.LARGEST_TOPIC_LISTENERS / d.RELAYS
    rows.append(
        Row(
            "messages, in and out",
            "1/s",
            calculated(2 * rate, f"2 x {rate:,.0f}, each comes in and goes out"),
        )
    )
    rows.append(Row(
        "listeners of the largest topic at one relay", "",
        calculated(listeners_per_relay, f"{d.LARGEST_TOPIC_LISTENERS:,} / {d.RELAYS:,}, if evenly spread"),
    ))  # fmt: skip
    return Role(
        "a relay's deliveries", False, "bytes that wait for slow clients, bounded each",
        "one connection to a server for each client; a topic's message comes once for each listener: fan-out inside the "
        "relay none yet", tuple(rows), "all: what is delivered elsewhere meanwhile is not delivered here; what then comes at "
        "once is not measured", "; ".join(breaks),
    )  # fmt: skip


def decisions(m: Measured) -> Role:
    """Return the role of the balancer, which makes a relay's decisions."""
    connections_per_relay = d.CONNECTIONS_PER_RELAY
    servers_text = f"{SERVERS_PER_RELAY:,} servers"
    tick, change = m.at("module_tick", SERVERS_PER_RELAY), m.at("module_change", SERVERS_PER_RELAY)
    steady = tick.times(1 / US_PER_CORE_SECOND, "one a s, in cores").plus(
        change.times(
            CHANGES_PER_SECOND / US_PER_CORE_SECOND, f"{CHANGES_PER_SECOND:.3f} changes a s, in cores"
        )
    )
    arrival = m.at("standing_arrival_group", connections_per_relay)
    zone_loss_rate = d.CONNECTIONS / d.ZONES / (d.RELAYS * (1 - 1 / d.ZONES)) / RECONNECT_SECONDS
    busy = arrival.times(
        zone_loss_rate * GROUPED_ARRIVAL_SHARE / US_PER_CORE_SECOND,
        f"{zone_loss_rate:.1f} arrivals a s, all with groups, in cores",
    ).calculated()
    memory = (
        m.at("standing_memory", connections_per_relay)
        .plus(m.at("module_memory", SERVERS_PER_RELAY))
        .times(2**-20, "MiB a byte")
    )
    max_servers = min(
        m.size_at_budget("module_tick", d.CONTROL_CORE_SHARE * US_PER_CORE_SECOND),
        m.size_at_budget("module_change", d.CONTROL_CORE_SHARE * US_PER_CORE_SECOND),
    )
    return Role(
        "a relay's decisions", False, f"a record of each request and of each of {servers_text}",
        "`violetdoor/balancing/`; a part of the servers for each relay where there are more: none yet",
        (
            Row(f"ticks and changes of the list, {servers_text}", "cores", steady, d.CONTROL_CORE_SHARE),
            Row(f"one arrival with a group that comes first since the list changed, {LARGEST_MEASURED_SERVERS:,} servers", "us",
                m.at("module_arrival_new_group", LARGEST_MEASURED_SERVERS)),
            Row("one arrival with a group, all connections standing", "us", arrival),
            Row("arrivals after a zone is lost", "cores", busy, 1.0),
            Row("memory", "MiB", memory),
        ),
        "zone: a row; a rack is 40 relays where a zone is 233; a release: 3.5 arrivals a s; a cut: the list stays as it was",
        f"{describe_limit(max_servers, 'the control part of a core by ticks, or by one change a s')} (servers that one relay may see)",
    )  # fmt: skip
