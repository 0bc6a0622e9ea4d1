"""The console of the real program: health, metrics, bans, and callers that send no complete call."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
from pathlib import Path

from nats import connect
from standins import TIMEOUT_SECONDS, Discovery, GateServer, NatsServer, Relay, relay, run, wait_until
from test_line import open_client, read_counter, read_line, relay_with_servers, start_relay

from violetdoor.console.server import MAX_CALLERS


def test_metrics_count_final_answers_and_attempts_once_by_class(tmp_path: Path) -> None:
    async def test() -> None:
        server = GateServer()
        async with relay_with_servers(tmp_path, server) as (it, discovery):
            names = {f"{name}.checkin" for name in ("ok", "shed", "errors", "tries")}
            names |= {"active", "pool_size", "pool_ejected", "config_applied", "config_rejected"}
            await wait_until(lambda: discovery.calls > 1)
            first = await it.read_metrics()
            assert names == first.keys()
            assert first["pool_size"] == 1
            assert sum(first.values()) == 1
            reader, writer = await open_client(it)
            assert await read_line(reader) == b"UP r1\r\n"
            metrics = await it.read_metrics()
            assert (metrics["ok.checkin"], metrics["tries.checkin"], metrics["active"]) == (1, 1, 1)
            server.first_answer = b"ERR\r\n"
            refused, _ = await open_client(it, b"c=checkin,t=acme,d=200")
            assert (await read_line(refused)).startswith(b"BUSY")
            writer.close()
            await wait_until(lambda: server.ended == 2)
            metrics = await it.read_metrics()
            assert (metrics["ok.checkin"], metrics["shed.checkin"], metrics["errors.checkin"]) == (1, 1, 0)
            assert metrics["tries.checkin"] == len(server.opened)
            assert metrics["active"] == 0

    run(test)


def test_idle_and_incomplete_calls_do_not_delay_complete_ones(tmp_path: Path) -> None:
    """Guards against more idle callers than MAX_CALLERS, which would keep the console from answering others."""

    async def test() -> None:
        async with Discovery() as discovery, start_relay(tmp_path, discovery) as it:
            await wait_until(lambda: it.console[1])
            callers = [await asyncio.open_connection(*it.console) for _ in range(2 * MAX_CALLERS)]
            for n, (_, writer) in enumerate(callers):
                if n % 2:
                    writer.write(b"GET /stats HTTP/1.1\r\nHost:")
            for _ in range(3):
                async with asyncio.timeout(1.0):
                    assert (await it.call("GET /healthcheck"))[0] == 200
            async with asyncio.timeout(TIMEOUT_SECONDS):  # all of them are disconnected in the end
                for reader, writer in callers:
                    with contextlib.suppress(ConnectionError):
                        await reader.read(-1)
                    writer.close()
            assert (await it.counters())["console_evicted"] >= MAX_CALLERS

    run(test)


def test_invalid_calls_are_rejected_with_their_status(tmp_path: Path) -> None:
    async def test() -> None:
        async with Discovery() as discovery, start_relay(tmp_path, discovery) as it:
            await wait_until(lambda: it.console[1])
            for call, status in (("GET /nothing", 404), ("PUT /stats", 405), ("WHAT", 400),
                                 ("GET /" + "x" * 9000, 413)):  # fmt: skip
                assert (await it.call(call))[0] == status

    run(test)


def test_healthcheck_fails_during_shutdown(tmp_path: Path) -> None:
    async def test() -> None:
        async with relay_with_servers(tmp_path, GateServer()) as (it, _):
            reader, _ = await open_client(it)
            assert await read_line(reader) == b"UP r1\r\n"
            assert (await it.call("GET /healthcheck"))[0] == 200
            it.process.terminate()
            await wait_until(lambda: it.logged("serving -> draining"))
            assert (await it.call("GET /healthcheck"))[0] == 503

    run(test)


def test_nats_front_has_the_same_console(tmp_path: Path) -> None:
    async def test() -> None:
        async with NatsServer() as server:
            path = tmp_path / "nats.toml"
            path.write_text(
                'listen = "127.0.0.1:0"\nconsole = "127.0.0.1:0"\n'
                '[[classes]]\nname = "feed"\naim_ms = 300\ndeadline_ms = 1200\n'
                '[[tenants]]\nname = "all"\nclass = "feed"\nusers = ["*"]\n'
                f'[[servers]]\nid = "s1"\naddr = "{server.address}"\n'
            )
            async with relay("--config", str(path)) as it:
                assert (await it.call("GET /healthcheck"))[0] == 200
                client = await connect("nats://{}:{}".format(*it.address))
                metrics = await figures_with(it, "ok.feed")
                assert [metrics[n] for n in ("ok.feed", "tries.feed", "active", "pool_size")] == [1] * 4
                await client.close()

    run(test)


async def figures_with(it: Relay, name: str) -> dict[str, int]:
    """Return the metrics once the one with this name is not 0."""
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while not (metrics := await it.read_metrics())[name]:
            await asyncio.sleep(0.01)
    return metrics


def test_ban_outlasts_list_changes_and_lifting_it_brings_requests_back(tmp_path: Path) -> None:
    async def test() -> None:
        servers = GateServer(), GateServer()
        async with relay_with_servers(tmp_path, *servers) as (it, discovery):
            clients = [await open_client(it) for _ in range(6)]
            assert [await read_line(reader) for reader, _ in clients] == [b"UP r1\r\n"] * 6
            banned = max(servers, key=lambda s: len(s.opened))  # the group's home server
            request_count, name = len(banned.opened), f"s-{banned.address}"
            assert request_count
            assert (await it.call("PUT /gate-servers/s-nobody/maint"))[0] == 404
            assert (await it.call("PUT /gate-servers/s-nobody/ready"))[0] == 404
            for _ in range(2):
                assert (await it.call(f"PUT /gate-servers/{name}/maint"))[0] == 200
            assert (await it.read_metrics())["pool_ejected"] == 1
            # All requests on the banned server migrate.
            await wait_until(lambda: banned.ended == request_count)
            for state in ("removed", "up"):
                changes = await read_counter(it, "discovery_changes")
                discovery.set_state(banned, state)
                while await read_counter(it, "discovery_changes") == changes:
                    await asyncio.sleep(0.01)
                reader, _ = await open_client(it)
                assert await read_line(reader) == b"UP r1\r\n"
            assert len(banned.opened) == request_count
            assert (await it.call(f"PUT /gate-servers/{name}/ready"))[0] == 200
            assert (await it.read_metrics())["pool_ejected"] == 0
            async with asyncio.timeout(5):
                while len(banned.opened) == request_count:
                    reader, writer = await open_client(it)
                    assert await read_line(reader) == b"UP r1\r\n"
                    writer.close()

    run(test)


def test_bans_are_stored_for_the_next_process(tmp_path: Path) -> None:
    async def test() -> None:
        async with GateServer() as server, Discovery(server) as discovery:
            async with start_relay(tmp_path, discovery, TMPDIR=str(tmp_path)) as it:
                assert (await it.call(f"PUT /gate-servers/s-{server.address}/maint"))[0] == 200
            async with start_relay(tmp_path, discovery, TMPDIR=str(tmp_path)) as it:
                reader, _ = await open_client(it, b"c=checkin,t=acme,d=200")
                assert (await read_line(reader)).startswith(b"BUSY")
                assert not server.opened
                assert (await it.read_metrics())["pool_ejected"] == 1

    run(test)


def test_sighup_applies_a_complete_configuration_or_none(tmp_path: Path) -> None:
    """A reload adds a class, removes one and lowers the attempts; connected clients stay.

    Files that are incomplete or invalid change nothing.
    """

    async def test() -> None:
        server = GateServer()
        async with relay_with_servers(tmp_path, server) as (it, _):
            path = tmp_path / "config.json"
            data = json.loads(path.read_text())

            async def reload_and_wait(text: str, figure: str) -> None:
                before = (await it.read_metrics())[figure]
                path.write_text(text)
                it.process.send_signal(signal.SIGHUP)
                async with asyncio.timeout(TIMEOUT_SECONDS):
                    while (await it.read_metrics())[figure] == before:
                        await asyncio.sleep(0.01)

            old, old_writer = await open_client(it)
            assert await read_line(old) == b"UP r1\r\n"
            door = data["settings"]["classes"][0] | {"name": "door", "effect": "at_most_once"}
            limits = data["settings"]["policyLimits"] | {"sendCap": 1}
            new = data | {"settings": data["settings"] | {"classes": [door], "policyLimits": limits}}

            def settings(**changed: object) -> str:
                return json.dumps(new | {"settings": new["settings"] | changed})

            broken = [
                "", json.dumps(new)[:-40], "[]",
                json.dumps({k: v for k, v in new.items() if k != "discovery"}),
                settings(classes=[door | {"hardLimit": 0}]), settings(classes=[door | {"hardLimit": "x"}]),
                settings(classes=[]), settings(policyLimits=limits | {"sendCap": 0}),
                settings(classes=[{k: v for k, v in door.items() if k != "goalTime"}]),
                json.dumps(new | {"settings": {k: v for k, v in new["settings"].items() if k != "rules"}}),
            ]  # fmt: skip
            for text in broken:
                await reload_and_wait(text, "config_rejected")
            reader, _ = await open_client(it, b"c=door,d=1000")
            assert await read_line(reader) == b"ERR\r\n"
            kept = await open_client(it)
            assert await read_line(kept[0]) == b"UP r1\r\n"
            await reload_and_wait(json.dumps(new), "config_applied")
            figures = await it.read_metrics()
            assert figures["config_rejected"] == len(broken)
            assert figures["ok.door"] == 0
            placed = await open_client(it, b"c=door,d=1000")
            assert await read_line(placed[0]) == b"UP r1\r\n"
            reader, _ = await open_client(it)
            assert await read_line(reader) == b"ERR\r\n"
            old_writer.write(b"M 1\r\n")
            assert await read_line(old) == b"re M 1\r\n"
            # At most once, one attempt: a request that may have run is neither retried nor rejected as not run.
            server.first_answer, tried = b"ERR\r\n", len(server.opened)
            reader, _ = await open_client(it, b"c=door,d=1000")
            assert await read_line(reader) == b"ERR\r\n"
            assert len(server.opened) == tried + 1
            metrics = await it.read_metrics()
            assert (metrics["errors.door"], metrics["errors.checkin"], metrics["active"]) == (1, 1, 3)

    run(test)
