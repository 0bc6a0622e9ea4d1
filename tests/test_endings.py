"""Closes and shutdowns while data still arrives: every client gets the answer that it is due."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import signal
import socket
import sys
from pathlib import Path
from typing import Any

import pytest
import uvloop
from standins import ROOT, TIMEOUT_SECONDS, Discovery, GateServer, Reader, Writer, run, wait_until
from test_client_disconnect import SLOW_CONNECT_LIMITS, HoldingServer, LateServer, disconnect, relay_around
from test_line import SETTINGS, open_client, opening_line, read_counter, read_line, relay_with_servers

from violetdoor.net.acceptor import Acceptor
from violetdoor.net.counters import Counters
from violetdoor.net.sockets import listen

OVERLOAD_ANSWER = b"BUSY 300\r\n"
LONG_TIME_LEFT = b"c=checkin,t=acme,d=9000"
LONG_DEADLINE: dict[str, Any] = {"classes": [SETTINGS["classes"][0] | {"hardLimit": 9000.0}]}


async def read_to_end(reader: Reader) -> bytes:
    """Return all data up to an orderly close; a reset raises."""
    async with asyncio.timeout(TIMEOUT_SECONDS):
        return await reader.read(-1)


# SIGTERM.


@pytest.mark.parametrize("sent", [b"", b"PING\r\n", b"OPEN 9b1f"])
def test_idle_client_gets_a_last_word_at_shutdown_and_later_bytes_go_nowhere(
    tmp_path: Path, sent: bytes
) -> None:
    """Guards against a request sent during shutdown that gets no answer, or is still forwarded."""

    async def test() -> None:
        server = GateServer()
        async with relay_around(tmp_path, server) as (it, _):
            reader, writer = await it.open()
            writer.write(sent)
            if sent.startswith(b"PING"):
                assert await read_line(reader) == b"PONG\r\n"
            await wait_until(lambda: it.address)
            while not await read_counter(it, "accepted"):
                await asyncio.sleep(0.01)
            it.process.terminate()
            assert re.fullmatch(rb"(BUSY \d+|ERR)\r\n", await read_line(reader))
            writer.write(opening_line(LONG_TIME_LEFT))  # the shutdown has answered this client already
            assert await read_to_end(reader) == b""
            assert await it.process.wait() == 0
            assert not server.opened

    run(test)


def test_pending_request_is_answered_at_shutdown(tmp_path: Path) -> None:
    """Guards against waiting for a long deadline: SIGKILL may come 3.7 s after SIGTERM."""

    async def test() -> None:
        held = HoldingServer(b"UP r1\r\n")
        async with relay_around(tmp_path, held, **LONG_DEADLINE) as (it, _):
            sent, _ = await open_client(it, LONG_TIME_LEFT)
            await wait_until(lambda: held.opened)
            began = asyncio.get_running_loop().time()
            it.process.terminate()
            assert await read_to_end(sent) == b"ERR\r\n"  # the server may have executed it
            assert await it.process.wait() == 0
            assert asyncio.get_running_loop().time() - began < 3.7

    run(test)


def test_request_that_was_never_forwarded_may_be_retried_after_shutdown(tmp_path: Path) -> None:
    async def test() -> None:
        async with relay_around(tmp_path, GateServer(), empty=True, **LONG_DEADLINE) as (it, discovery):
            reader, _ = await open_client(it, LONG_TIME_LEFT)
            await wait_until(lambda: discovery.calls)
            it.process.terminate()
            assert re.fullmatch(rb"BUSY \d+\r\n", await read_to_end(reader))

    run(test)


def test_shorter_deadlines_during_shutdown_drop_no_client(tmp_path: Path) -> None:
    async def test() -> None:
        async with relay_around(tmp_path, GateServer()) as (it, _):
            clients = [await open_client(it) for _ in range(20)]
            assert all([await read_line(reader) == b"UP r1\r\n" for reader, _ in clients])
            it.process.terminate()
            await wait_until(lambda: it.logged("serving -> draining"))
            path = tmp_path / "config.json"
            held = json.loads(path.read_text())
            held["settings"]["classes"][0] |= {"goalTime": 10.0, "hardLimit": 20.0}
            path.write_text(json.dumps(held))
            it.process.send_signal(signal.SIGHUP)
            await wait_until(lambda: it.logged("reloaded"))
            assert await asyncio.gather(*(read_to_end(reader) for reader, _ in clients)) == [b"MOVE\r\n"] * 20
            it.process.terminate()  # a second SIGTERM changes nothing

    run(test)


def test_stop_signal_during_startup_is_handled(tmp_path: Path) -> None:
    """Guards against SIGTERM being ignored while the start waits for a predecessor that never answers."""

    async def test() -> None:
        asked = asyncio.Event()

        async def never(reader: Reader, writer: Writer) -> None:
            asked.set()
            await reader.read(-1)
            writer.close()

        async with (
            Discovery() as discovery,
            await asyncio.start_unix_server(never, tmp_path / "violetdoor-127.0.0.1:0.sock"),
        ):
            path = tmp_path / "config.json"
            path.write_text(json.dumps({
                "name": "n1", "listen": "127.0.0.1:0", "discovery": discovery.address, "seed": "8c1f30d27a5be964",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": {}, "settings": SETTINGS,
            }))  # fmt: skip

            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "violetdoor", cwd=ROOT,
                env=os.environ | {"BALANCER_CONFIG": str(path), "TMPDIR": str(tmp_path)},
                stderr=asyncio.subprocess.PIPE,
            )  # fmt: skip
            async with asyncio.timeout(TIMEOUT_SECONDS):
                await asked.wait()
                process.terminate()
                _, log_output = await process.communicate()
            assert process.returncode == 0, log_output
            assert b"draining -> stopped" in log_output, log_output

    run(test)


# Ends of connections to servers.


def test_abandoned_attempt_ends_by_a_reset(tmp_path: Path) -> None:
    """Guards against an OPEN line that the kernel delivers later, when an unresponsive server recovers."""

    async def test() -> None:
        ends: list[str] = []

        class Silent(GateServer):
            async def serve(self, reader: Reader, writer: Writer) -> None:
                self.opened.append(await reader.readline())
                try:
                    await reader.read(-1)
                    ends.append("in order")
                except ConnectionResetError:
                    ends.append("reset")

        one = Silent()
        async with relay_around(tmp_path, one) as (it, _):
            reader, _ = await open_client(it, b"c=checkin,t=acme,d=300")  # its attempt times out
            await read_to_end(reader)
            await wait_until(lambda: ends)
            _, writer = await open_client(it, LONG_TIME_LEFT)  # its client disconnects
            await wait_until(lambda: len(one.opened) == 1 + len(ends))
            writer.close()
            await wait_until(lambda: len(ends) == len(one.opened))
            assert set(ends) == {"reset"}

    run(test)


def test_reset_by_a_client_is_forwarded(tmp_path: Path) -> None:
    async def test() -> None:
        ends: list[str] = []

        class Server(GateServer):
            async def serve(self, reader: Reader, writer: Writer) -> None:
                await reader.readline()
                writer.write(b"UP r1\r\n")
                try:
                    await reader.read(-1)
                    ends.append("end")
                except ConnectionResetError:
                    ends.append("reset")

        async with relay_around(tmp_path, Server()) as (it, _):
            for how in ("end", "reset"):
                reader, writer = await open_client(it)
                assert await read_line(reader) == b"UP r1\r\n"
                disconnect(writer, how)
                await wait_until(lambda how=how: how in ends)  # type: ignore[misc]
        assert ends == ["end", "reset"]

    run(test)


@pytest.mark.parametrize(
    ("answer", "outcome"),
    [(b"UP r1\r\n", "ok"), (b"UP\r\n", "error"), (b"UP \r\n", "error"), (b"UPr1\r\n", "error"), (b"UP r1\n", "error"),
     (b"UP \xff\r\n", "error"), (b"BUSY\r\n", "full"), (b"BUSY util=0.4,x0=1\r\n", "full"), (b"BUSY\n", "error"),
     (b"BUSYBUSY\r\n", "error"), (b"busy\r\n", "error"), (b"BUSY \x00\r\n", "error")],
)  # fmt: skip
def test_malformed_answer_counts_as_possibly_executed(tmp_path: Path, answer: bytes, outcome: str) -> None:
    async def test() -> None:
        limits = SLOW_CONNECT_LIMITS | {"sendCap": 1}
        async with relay_around(tmp_path, GateServer(first_answer=answer), policyLimits=limits) as (it, _):
            reader, _ = await open_client(it, LONG_TIME_LEFT)
            received = await read_line(reader)
            assert received == answer if outcome == "ok" else received.startswith(b"BUSY ")
            assert await read_counter(it, f"attempt_{outcome}") == 1

    run(test)


@pytest.mark.parametrize("effect", ["at_most_once", "deduplicated", "idempotent"])
@pytest.mark.parametrize("answer", [b"UP", b"ERR\r\n", b"x" * 5000, b"", b"UP\r\n", b"BUSY", b"BUSY\r\n"])
def test_possibly_executed_request_is_retried_only_where_its_class_allows_it(
    tmp_path: Path, effect: str, answer: bytes
) -> None:
    """Guards against a second execution, and against holding a client whose request may not be retried.

    The deduplication window is over at once, so only an idempotent class, or BUSY, allows a second attempt.
    Every other client is answered without waiting for its deadline.
    """

    async def test() -> None:
        class Ending(GateServer):
            async def serve(self, reader: Reader, writer: Writer) -> None:
                if received := await reader.readline():
                    self.opened.append(received)
                writer.write(self.first_answer)
                await writer.drain()

        one, two = Ending(answer), Ending(answer)
        cls = SETTINGS["classes"][0] | {"effect": effect, "dedupScope": "all", "window": 100.0}
        async with relay_around(tmp_path, one, two, classes=[cls], policyLimits=SLOW_CONNECT_LIMITS) as (
            it,
            _,
        ):
            is_busy = answer == b"BUSY\r\n"  # the only proof that nothing was executed
            is_retried = is_busy or effect == "idempotent"
            reader, _ = await open_client(it, b"c=checkin,t=acme,d=2500" if is_retried else LONG_TIME_LEFT)
            async with asyncio.timeout(5):
                received = await read_line(reader)
            assert len(one.opened) + len(two.opened) == (2 if is_retried else 1)
            is_rejected = effect != "at_most_once" or is_busy
            assert received.startswith(b"BUSY ") if is_rejected else received == b"ERR\r\n"

    run(test)


def test_retry_whose_connection_misses_its_window_sends_nothing(tmp_path: Path) -> None:
    """Guards against a retry after the deduplication window.

    The first server may have executed the request; the other one drops duplicates for 2 s, and its connection
    is up after 3 s.
    """

    async def test() -> None:
        first, late = HoldingServer(b"ERR\r\n"), LateServer()
        cls = LONG_DEADLINE["classes"][0] | {"effect": "deduplicated", "dedupScope": "all", "window": 2000.0}
        async with (
            late,
            relay_around(tmp_path, first, classes=[cls], policyLimits=SLOW_CONNECT_LIMITS) as (it, discovery),
        ):
            reader, _ = await open_client(it, LONG_TIME_LEFT)
            await wait_until(lambda: first.opened)
            discovery.set_state(first, "draining")
            discovery.set_state(late, "up")
            while await read_counter(it, "discovery_changes") < 2:  # both changes in one poll
                await asyncio.sleep(0.01)
            first.answering.set()
            while not await read_counter(it, "attempt_error"):
                await asyncio.sleep(0.01)
            await asyncio.sleep(2)  # the window is over
            await late.come_up(4)
            assert not any(late.received)
            assert await read_counter(it, "begun_too_late") == 1
            assert re.fullmatch(rb"BUSY \d+\r\n", await read_to_end(reader))

    run(test)


@pytest.mark.parametrize("incomplete", [b"", b"re M"])
def test_incomplete_line_before_a_server_closes_is_forwarded_with_nothing_after_it(
    tmp_path: Path, incomplete: bytes
) -> None:
    async def test() -> None:
        class Cut(GateServer):
            async def serve(self, reader: Reader, writer: Writer) -> None:
                await reader.readline()
                writer.write(b"UP r1\r\nre M 1\r\n" + incomplete)

        async with relay_around(tmp_path, Cut()) as (it, _):
            reader, _ = await open_client(it)
            assert await read_to_end(reader) == b"UP r1\r\nre M 1\r\n" + incomplete

    run(test)


def test_incomplete_line_of_a_server_is_withheld_from_a_migrated_client(tmp_path: Path) -> None:
    async def test() -> None:
        class Half(GateServer):
            async def serve(self, reader: Reader, writer: Writer) -> None:
                await reader.readline()
                writer.write(b"UP r1\r\nre M 1\r\nre M")
                await reader.read(-1)

        async with relay_around(tmp_path, Half()) as (it, _):
            reader, _ = await open_client(it)
            assert [await read_line(reader) for _ in range(2)] == [b"UP r1\r\n", b"re M 1\r\n"]
            it.process.terminate()
            assert await read_to_end(reader) == b"MOVE\r\n"

    run(test)


def test_server_sending_an_endless_line_loses_its_client_to_another(tmp_path: Path) -> None:
    async def test() -> None:
        server = GateServer(first_answer=b"UP r1\r\nre M 1\r\n" + b"x" * 9000)
        async with relay_around(tmp_path, server) as (it, _):
            reader, _ = await open_client(it)
            assert await read_to_end(reader) == b"UP r1\r\nre M 1\r\nMOVE\r\n"
            assert await read_counter(it, "ended_error") == 1
            assert not await read_counter(it, "line_too_long")

    run(test)


# Closes of an acceptor inside the test's process, with bytes still unread.


async def connect_client(acceptor: Acceptor, sent: bytes) -> tuple[Reader, Writer]:
    reader, writer = await asyncio.open_connection(*acceptor.address)
    writer.write(sent)
    await writer.drain()
    return reader, writer


def open_acceptor(serve: Any, sockets: int = 1024) -> Acceptor:
    return Acceptor(listen(("127.0.0.1", 0), reuse_port=True), serve, Counters(), sockets, OVERLOAD_ANSWER)


def test_queued_client_is_answered_when_the_listening_socket_closes() -> None:
    async def test() -> None:
        async def serve(sock: socket.socket) -> bool:
            assert sock is None, "nobody is served"

        acceptor = open_acceptor(serve)
        reader, _ = await connect_client(acceptor, opening_line(LONG_TIME_LEFT))
        await acceptor.close()
        assert await read_to_end(reader) == OVERLOAD_ANSWER
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(*acceptor.address)

    uvloop.run(test())


def test_accept_queue_is_left_to_a_sibling_process_that_accepts() -> None:
    async def test() -> None:
        async def serve(sock: socket.socket) -> bool:
            assert sock is None, "nobody is served"

        acceptor = open_acceptor(serve)
        other = socket.socket(fileno=os.dup(acceptor.sock.fileno()))
        acceptor.set_accepting(enabled=False)
        _, writer = await connect_client(acceptor, b"OPEN")
        await acceptor.close()
        sock, _ = await asyncio.get_running_loop().sock_accept(other)
        assert await asyncio.get_running_loop().sock_recv(sock, 10) == b"OPEN"
        for one in (sock, other, writer):
            one.close()

    uvloop.run(test())


@pytest.mark.parametrize("ending", ["close", "evict"])
def test_close_over_unread_bytes_is_not_a_reset(ending: str) -> None:
    """Guards against losing the answer to a reset: more unread bytes than a buffer holds precede the close."""

    async def test() -> None:
        began = asyncio.Event()

        async def serve(sock: socket.socket) -> bool:
            began.set()
            try:
                await asyncio.sleep(TIMEOUT_SECONDS)
            except asyncio.CancelledError:
                if acceptor.is_closing:
                    sock.send(OVERLOAD_ANSWER)
                raise
            return False

        acceptor = open_acceptor(serve)
        running = asyncio.get_running_loop().create_task(acceptor.run())
        reader, _ = await connect_client(acceptor, b"x" * 30_000)
        await began.wait()
        if ending == "evict":
            other = asyncio.current_task()
            assert other is not None
            assert acceptor.evict_longest_waiting(except_for=other)
            assert await read_to_end(reader) == OVERLOAD_ANSWER
        closing = asyncio.get_running_loop().create_task(acceptor.close())
        if ending == "close":
            assert await read_to_end(reader) == OVERLOAD_ANSWER
        await closing
        await asyncio.gather(running, return_exceptions=True)

    uvloop.run(test())


def test_lingering_client_gets_no_second_answer_when_evicted() -> None:
    async def test() -> None:
        async def serve(sock: socket.socket) -> bool:
            sock.send(b"ERR\r\n")
            return False

        acceptor = open_acceptor(serve)
        running = asyncio.get_running_loop().create_task(acceptor.run())
        reader, _ = await connect_client(acceptor, b"x")
        assert await read_line(reader) == b"ERR\r\n"
        await wait_until(lambda: acceptor.lingering)
        other = asyncio.current_task()
        assert other is not None
        assert acceptor.evict_longest_waiting(except_for=other)
        assert await read_to_end(reader) == b""
        running.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await running
        await acceptor.close()

    uvloop.run(test())


@pytest.mark.parametrize(
    ("max_retry_after", "expected"), [(120.0, b"BUSY 120\r\n"), (900.0, b"BUSY 300\r\n")]
)
def test_retry_after_of_an_evicted_client_obeys_the_settings(
    tmp_path: Path, max_retry_after: float, expected: bytes
) -> None:
    async def test() -> None:
        limits = SETTINGS["policyLimits"] | {"maxRetryAfter": max_retry_after}
        async with relay_with_servers(tmp_path, GateServer(), policyLimits=limits) as (it, _):
            reader, _ = await it.open()  # sends nothing: for the relay its line may be on the way
            assert await read_line(reader) == expected

    run(test)
