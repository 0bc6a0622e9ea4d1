"""The bans file and the shared map's entries for bans and drains are byte for byte those of revision 300e9a1."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path

import orjson
import pytest
from standins import run
from test_recorded_upgrade import Process

from violetdoor.balancing.settings import BalancerSettings, RequestClass
from violetdoor.core import Controller
from violetdoor.maintenance.bans import BanStore
from violetdoor.maintenance.sharing import SharedServerStates

RECORDED = Path(__file__).parent / "recorded" / "bans.json"
NOW = 1_754_000_000_000.25


@pytest.fixture(autouse=True)
def no_shared_folder(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv("TMPDIR", raising=False)


def controller() -> Controller:
    settings = BalancerSettings(classes={"checkin": RequestClass(latency_objective_ms=300.0)})
    core = Controller(settings, 7, lambda: NOW)
    core.endpoints.known_names.update(("s-1", "s-2", "s-3", "gate ü/4"))
    return core


def shared(folder: Path) -> tuple[Process, SharedServerStates, list[tuple[str, float | None]]]:
    """Return a relay of a fleet whose server list has `s-file`, and the entries that it sets in the shared map."""
    process, shared_entries = Process(folder, "line"), list[tuple[str, float | None]]()

    def put(key: str, value: float | None) -> bool:
        shared_entries.append((key, value))
        return True

    return process, SharedServerStates(process.program, put), shared_entries


def shared_keys(folder: Path) -> str:
    """Return the shared map's entries for a ban, its lifting and a drain; the drain's time is masked."""
    process, _, shared_entries = shared(folder)
    assert process.maintenance.handle_call("PUT", ["gate-servers", "s-file", "maint"])
    assert process.maintenance.handle_call("PUT", ["gate-servers", "s-file", "ready"])
    process.core.mark_draining("s-file")
    process.program.front.acceptor.sock.close()
    assert shared_entries[2][1] is not None
    return json.dumps([*shared_entries[:2], (shared_entries[2][0], "TIME"), *shared_entries[3:]])


async def sample(folder: Path) -> dict[str, str]:
    """Return what the program has written after each step of a series of bans and lifted bans."""
    path = folder / "violetdoor-n1.bans"
    bans = BanStore(controller(), path)
    values = {}
    assert bans.ban("s-2", 1_754_000_000_111.5)
    values["one_ban"] = path.read_text()
    assert bans.ban("gate ü/4", 1_754_000_000_222.0)
    assert bans.ban("s-1", 1_754_000_000_333.25)
    values["three_bans"] = path.read_text()
    assert bans.lift_ban("s-2")
    values["one_lifted"] = path.read_text()
    assert bans.lift_ban("gate ü/4")
    assert bans.lift_ban("s-1")
    values["all_lifted"] = path.read_text()
    assert sorted(p.name for p in folder.iterdir()) == ["violetdoor-n1.bans"]
    values["shared_map"] = shared_keys(folder)
    return values


def recorded() -> dict[str, str]:
    return dict(json.loads(RECORDED.read_text()))


def test_bans_file_is_written_as_recorded(tmp_path: Path) -> None:
    assert asyncio.run(sample(tmp_path)) == recorded()


@pytest.mark.parametrize("name", ["one_ban", "three_bans", "one_lifted", "all_lifted"])
def test_recorded_bans_file_is_restored_and_written_again(tmp_path: Path, name: str) -> None:
    async def test() -> None:
        path = tmp_path / "violetdoor-n1.bans"
        path.write_text(recorded()[name])
        core = controller()
        core.endpoints.known_names.clear()
        bans = BanStore(core, path)
        bans.restore()
        assert core.overrides.bans == orjson.loads(recorded()[name])
        assert core.endpoints.known_names == set(core.overrides.bans)
        core.endpoints.known_names.add("s-9")
        assert bans.ban("s-9", 9.5)
        assert path.read_bytes() == orjson.dumps(orjson.loads(recorded()[name]) | {"s-9": 9.5})
        assert bans.lift_ban("s-9")
        assert path.read_text() == recorded()[name]

    run(test)


def test_recorded_entries_of_the_shared_map_are_applied(tmp_path: Path) -> None:
    async def test() -> None:
        process, servers, shared_entries = shared(tmp_path)
        (ban, since), (lift, none), (drain, _) = json.loads(recorded()["shared_map"])
        servers.apply(ban, since)
        assert process.core.overrides.bans == {"s-file": since}
        servers.apply(lift, none)
        assert not process.core.overrides.bans
        assert process.core.accepts_new_work("s-file")
        servers.apply(drain, time.time() * 1000)
        assert not process.core.accepts_new_work("s-file")
        assert not shared_entries
        process.program.front.acceptor.sock.close()

    run(test)
