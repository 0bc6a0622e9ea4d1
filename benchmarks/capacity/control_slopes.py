"""Cost of the shared map, owner lookups, the server list watch and the operators' calls, by size."""

from __future__ import annotations

import asyncio
import itertools
import json
import tempfile
import time
import tracemalloc
from collections.abc import Callable, Iterable
from pathlib import Path

import orjson

from benchmarks.capacity import hosts
from benchmarks.capacity.processes import CONSOLE_HOST, Relay, call_console
from benchmarks.capacity.records import Figure, Point, Series, point
from violetdoor.balancing.events import ServerListUpdate
from violetdoor.fleet import messages as m
from violetdoor.fleet.shared_map import SharedMap
from violetdoor.fleet.view import View
from violetdoor.net.server_directory import ServerDirectory

ENTRIES, QUICK_ENTRIES = (64, 256, 1_024, 2_048, 4_096), (16, 32, 64, 128)
MEMBERS, QUICK_MEMBERS = (50, 100, 200, 400, 1_000), (20, 40, 80, 160)
# A relay reads at most 1 MiB of a response, which fewer than 7,500 servers fill.
SERVERS, QUICK_SERVERS = (100, 300, 1_000, 3_000, 6_000), (50, 100, 200, 400)
# Servers on the list of the relay whose console is called.
LISTED_SERVERS, QUICK_LISTED_SERVERS = (100, 500, 1_500, 5_000), (50, 100, 200, 400)
ROUNDS, QUICK_ROUNDS = 5, 2
CALLS_PER_ROUND = 200  # for the steps that take little time
CONSOLE_CALLS = 200
KEY_COPIES = 3  # members that hold a key
NOW_MS = 1.8e12  # Unix time


def us_per_call(step: Callable[[], object], calls: int) -> float:
    """Return us of processor time per call."""
    began = time.process_time_ns()
    for _ in range(calls):
        step()
    return (time.process_time_ns() - began) / calls / 1e3


def _entry(number: int, ms: int = 1) -> m.MapEntry:
    key = f"ban:10.{number >> 8}.{number & 255}.1:9001"
    return m.MapEntry(key, m.HybridTimestamp(int(NOW_MS) + ms, 0, "relay-00001"), NOW_MS)


def _full_map(entries: Iterable[m.MapEntry]) -> SharedMap:
    shared = SharedMap("relay-00000")
    shared.merge(entries, NOW_MS, 1)
    return shared


def shared_map(sizes: Iterable[int], rounds: int) -> list[Series]:
    """Measure merging a known map, merging a new map, one put, and the bytes of an exchange and of the state."""
    known = list[Point]()
    new = list[Point]()
    put = list[Point]()
    size = list[Point]()
    memory = list[Point]()
    for count in sizes:
        entries = tuple(_entry(n) for n in range(count))
        shared, stamps = _full_map(entries), itertools.count(2)

        def put_value(shared: SharedMap = shared, stamps: itertools.count[int] = stamps) -> None:
            shared.put("ban:10.0.0.1:9001", NOW_MS, NOW_MS + next(stamps), 5_600)

        def merge_known(shared: SharedMap = shared, entries: tuple[m.MapEntry, ...] = entries) -> None:
            shared.merge(entries, NOW_MS, 5_600)

        def merge_new(entries: tuple[m.MapEntry, ...] = entries) -> None:
            _full_map(entries)

        calls = max(2, 8_192 // count)
        known.append(point(count, [us_per_call(merge_known, calls) for _ in range(rounds)]))
        new.append(point(count, [us_per_call(merge_new, calls) for _ in range(rounds)]))
        put.append(point(count, [us_per_call(put_value, CALLS_PER_ROUND) for _ in range(rounds)]))
        size.append(point(count, [float(len(m.encode(entries)))]))
        tracemalloc.start()
        held_map = _full_map(
            m.MapEntry(e.key + "", e.timestamp, e.value) for e in (_entry(n) for n in range(count))
        )
        memory.append(point(count, [float(tracemalloc.get_traced_memory()[0])]))
        tracemalloc.stop()
        assert len(held_map.entries) == count
    return [
        Series("map_merge_known", "a map taken in that is known already", "entries", "us", known),
        Series("map_merge_new", "a map taken in that is all new", "entries", "us", new),
        Series("map_put", "one value set", "entries", "us", put),
        Series("map_bytes", "the map in one message", "entries", "B", size),
        Series("map_memory", "the map's state", "entries", "B", memory),
    ]


def owner_lookups(sizes: Iterable[int], rounds: int) -> list[Series]:
    """Measure finding the owner and the holders of a key, and the bytes of the view."""
    owner = list[Point]()
    holders = list[Point]()
    encoded = list[Point]()
    for count in sizes:
        view: View = hosts.view_of(count)
        keys = (f"shard-{n}" for n in itertools.count())

        def look_up(view: View = view, keys: Iterable[str] = keys) -> None:
            view.owner(next(iter(keys)))

        def look_up_holders(view: View = view, keys: Iterable[str] = keys) -> None:
            view.preference_list(next(iter(keys)), KEY_COPIES)

        owner.append(point(count, [us_per_call(look_up, CALLS_PER_ROUND // 4) for _ in range(rounds)]))
        holders.append(
            point(count, [us_per_call(look_up_holders, CALLS_PER_ROUND // 4) for _ in range(rounds)])
        )
        encoded.append(point(count, [float(len(m.encode(view)))]))
    return [
        Series("owner_lookup", "whose a key is", "members", "us", owner),
        Series("owner_holders", f"the {KEY_COPIES} members that hold a key", "members", "us", holders),
        Series("view_bytes", "the view in one message", "members", "B", encoded),
    ]


def _row(number: int) -> dict[str, object]:
    return {
        "id": f"gate-{number}", "addr": f"10.{number >> 8 & 255}.{number & 255}.1:9001", "zone": f"z{number % 24}",
        "kind": "k", "cell": 0, "state": "up", "weight": 1.0, "started_ms": int(NOW_MS),
    }  # fmt: skip


def server_list(sizes: Iterable[int], rounds: int) -> list[Series]:
    """Measure parsing a complete list from discovery, its bytes, and parsing a change of one server."""
    complete = list[Point]()
    change = list[Point]()
    size = list[Point]()
    for count in sizes:
        listing = {"version": 1, "full": True, "servers": [_row(n) for n in range(count)]}
        body = json.dumps(listing).encode()
        diff = json.dumps({"version": 2, "full": False, "servers": [_row(0)]}).encode()
        directory = ServerDirectory()

        def read(body: bytes, directory: ServerDirectory = directory) -> ServerListUpdate:
            return directory.apply_list(orjson.loads(body))

        calls = max(2, 4_096 // count)
        complete.append(point(count, [us_per_call(lambda: read(body), calls) for _ in range(rounds)]))  # noqa: B023
        change.append(point(count, [us_per_call(lambda: read(diff), CALLS_PER_ROUND) for _ in range(rounds)]))  # noqa: B023
        size.append(point(count, [float(len(body))]))
    return [
        Series("list_read", "the whole list parsed", "servers", "us", complete),
        Series("list_read_change", "a change of one server parsed", "servers", "us", change),
        Series("list_bytes", "the whole list in one answer", "servers", "B", size),
    ]


async def _console(sizes: Iterable[int], rounds: int) -> list[Series]:
    """Measure calls of a real relay's console by the servers on its list."""
    health = list[Point]()
    stats = list[Point]()
    for count in sizes:
        with tempfile.TemporaryDirectory() as folder:
            servers = [{"id": f"g{n}", "addr": f"127.0.0.1:{20_000 + n}"} for n in range(count)]
            async with Relay(Path(folder), {"servers": servers, "console": f"{CONSOLE_HOST}:0"}) as relay:
                for path, points in (("/healthcheck", health), ("/stats", stats)):
                    await call_console(relay.console, path)
                    results = [await _timed_calls(relay, path) for _ in range(rounds)]
                    points.append(point(count, results))
    return [
        Series("console_health", "GET /healthcheck, the relay's processor", "servers", "us", health),
        Series("console_stats", "GET /stats, the relay's processor", "servers", "us", stats),
    ]


async def _timed_calls(relay: Relay, path: str) -> float:
    before = relay.processor_seconds()
    for _ in range(CONSOLE_CALLS):
        await call_console(relay.console, path)
    return (relay.processor_seconds() - before) / CONSOLE_CALLS * 1e6


def measure(quick: bool) -> list[Series | Figure]:
    """Return all series of control work except the fleet's view."""
    rounds = QUICK_ROUNDS if quick else ROUNDS
    return [
        *shared_map(QUICK_ENTRIES if quick else ENTRIES, rounds),
        *owner_lookups(QUICK_MEMBERS if quick else MEMBERS, rounds),
        *server_list(QUICK_SERVERS if quick else SERVERS, rounds),
        *asyncio.run(_console(QUICK_LISTED_SERVERS if quick else LISTED_SERVERS, rounds)),
    ]
