"""The bytes of both fronts, towards clients and servers, compared with those of revision 300e9a1.

The output of the encoders is compared in full. Two scripts run the program as a process between stand-ins and
compare all that it writes to either side, with the time left and random ids masked.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
import socket
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import orjson
import pytest
from standins import Discovery, GateServer, NatsServer, Reader, Relay, Writer, relay, run, wait_until

from violetdoor.fronts.line.load_report import parse_load_report
from violetdoor.fronts.line.opening import Opening, parse_opening
from violetdoor.fronts.nats import frames
from violetdoor.fronts.nats.frames import CLIENT_OPERATIONS, SERVER_OPERATIONS, Frame, FrameReader
from violetdoor.fronts.nats.state import Subscription

RECORDED = Path(__file__).parent / "recorded" / "wire.json"

# Pure encoders and parsers.


def opening() -> Opening:
    """Return a parsed OPEN line with a different value in each field."""
    return Opening(
        connection_id=0x11, request_class="checkin", tenant="acme", idempotency_key=0x22, time_left_ms=333.0, load=4.5, group=0x55, is_retry=True,
        is_reconnect=False, existing_server="s-6", bytes_before_time=b"OPEN 11 22 c=checkin,d=", bytes_after_time=b",t=acme\r\n",
    )  # fmt: skip


OPEN_LINES = {
    "open_plain": b"OPEN 0a1 B2 c=checkin,t=acme,d=900\r\n",
    "open_full": b"OPEN a1 b2 d=901.5,c=checkin,t=acme,h=3.25,g=5c0f,r=1,again=0,x=y\r\n",
    "open_at": b"OPEN a2 b3 c=checkin,t=acme,h=,g=f,at=s-7,again=1,d=86400000\r\n",
}
REPORT_LINES = {
    "report_pong": b"PONG queue=2,util=0.61,load=0.5,x0=7\r\n",
    "report_busy": b"BUSY cpu=0.25,own=3\r\n",
    "report_wrong": b"BYE queue=2,util=nan\r\n",
}
FRAMES = {
    "client": b'CONNECT {"user":"a b"}\r\nping\r\nPONG\r\nSUB  feed.*\tq1 7\r\nSUB ask 8\r\nUNSUB 7 3\r\nUNSUB 8\r\n'
    b"PUB feed.a 5\r\nhe\nlo\r\nPUB ask inbox.1 2\r\nhi\r\n"
    b"HPUB feed.b inbox.2 32 34\r\nNATS/1.0\r\nNats-Msg-Id:  m-1 \r\n\r\nyo\r\n",
    "server": b'INFO {"server_id":"S"} \r\nPING\r\nPONG\r\n+OK\r\n-ERR \'Invalid Subject\'\r\n-ERR\r\n'
    b"MSG feed.a 7 5\r\nhello\r\nMSG ask 8 inbox.1 0\r\n\r\n"
    b"HMSG feed.b 7 inbox.2 12 14\r\nNATS/1.0\r\n\r\nyo\r\n",
}


def read_opening(line: bytes) -> dict[str, Any]:
    """Return the parsed values of an OPEN line by their names there, and the lines that are forwarded."""
    read = parse_opening(memoryview(line), {"checkin": 1000.0}, frozenset({"acme"}))
    return {
        "id": read.connection_id, "key": read.idempotency_key, "c": read.request_class, "t": read.tenant, "d": read.time_left_ms, "h": read.load,
        "g": read.group, "r": read.is_retry, "again": read.is_reconnect, "at": read.existing_server,
        "sent": [b"".join(read.server_line_parts(left)).decode() for left in (877.9, 0.2)],
    }  # fmt: skip


async def read_frames(data: bytes, client: bool) -> list[dict[str, Any]]:
    """Return the frames that the program parses from these bytes."""
    near, far = socket.socketpair()
    with near, far:
        near.setblocking(False)
        far.sendall(data)
        far.shutdown(socket.SHUT_WR)
        reader = FrameReader(near, CLIENT_OPERATIONS if client else SERVER_OPERATIONS, 65_536)
        found = []
        while (frame := await reader.read_frame()) is not None:
            found.append({
                "op": frame.operation, "args": [one.decode() for one in frame.arguments], "raw": frame.raw.decode(),
                "headers": frame.headers.decode(), "payload": frame.payload.decode(),
                "id": frames.message_id(frame.headers).decode(),
            })  # fmt: skip
        return found


def encoded_samples() -> dict[str, str]:
    """Return the output of the encoders."""
    message_with_headers = Frame(
        operation="HMSG", arguments=(b"feed.b", b"7", b"inbox.2", b"12", b"14"), raw=b"", headers=b"NATS/1.0\r\n\r\n",
        payload=b"yo",
    )  # fmt: skip
    limited = Subscription(sid=b"7", subject=b"feed.*", queue=b"q1", max_messages=9, delivered=4, received=3)
    lines = {
        "open_parts": b"".join(opening().server_line_parts(877.9)),
        "open_parts_late": b"".join(opening().server_line_parts(-1.0)),
        "error": frames.error("Maximum Payload Violation"),
        "sub": frames.subscribe(sid=b"7", subject=b"feed.*", queue=b""),
        "sub_queue": frames.subscribe(sid=b"7", subject=b"feed.*", queue=b"q1"),
        "unsub": frames.unsubscribe(sid=b"7"),
        "unsub_most": frames.unsubscribe(sid=b"7", max_messages=3),
        "status": frames.status(sid=b"7", subject=b"inbox.1", code=503),
        "without_headers": frames.without_headers(message_with_headers),
        "replay": limited.replay(),
        "replay_unlimited": Subscription(b"8", b"ask").replay(),
    }
    return {name: line.decode() for name, line in lines.items()}


# Transcripts.


class RecordingGateServer(GateServer):
    """Records every line that the program writes; sends a LOAD line, and BYE on the line `end`."""

    def __init__(self) -> None:
        super().__init__(first_answer=b"UP r1\r\nLOAD 4100.5\r\nhello\r\n")
        self.probe_lines: set[bytes] = set()
        self.got: list[bytes] = []

    async def serve(self, reader: Reader, writer: Writer) -> None:
        first = await reader.readline()
        if not first.startswith(b"OPEN "):
            self.probe_lines.add(first)
            writer.write(b"PONG queue=2,util=0.1\r\n")
            return
        self.got.append(re.sub(rb"\bd=\d+", b"d=LEFT", first))
        writer.write(self.first_answer)
        while line := await reader.readline():
            self.got.append(line)
            writer.write(b"BYE\r\n" if line == b"end\r\n" else b"re " + line)
            if line == b"end\r\n":
                return
        self.got.append(b"(end)")


LINE_CONFIG: dict[str, Any] = {
    "classes": [{"name": "checkin", "goalTime": 300.0, "hardLimit": 1200.0, "worth": 1.0}],
    "familyInfo": {"messageAim": [250.0], "tellsDelay": True, "groups": True},
    "policyLimits": {"sendCap": 3, "retryAfter": True, "maxRetryAfter": 900.0, "connectTimeout": 200.0},
    "discovery": "on_request", "locality": "a", "balancers": 1, "period": 4.0,
    "rules": {"askWithin": 2000.0}, "report": {"how": "none"},
}  # fmt: skip


@contextlib.asynccontextmanager
async def line_relay(folder: Path, discovery: Discovery, **settings: Any) -> AsyncIterator[Relay]:
    path = folder / "config.json"
    path.write_text(json.dumps({
        "name": "n1", "listen": "127.0.0.1:0", "discovery": discovery.address, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": discovery.listed(),
        "settings": LINE_CONFIG | settings, "console": "127.0.0.1:0",
    }))  # fmt: skip
    async with relay(BALANCER_CONFIG=str(path)) as it:
        yield it


async def exchange_lines(it: Relay, *lines: bytes, until_end: bool = True) -> list[str]:
    """Send each line after an answer to the previous one; return all received lines up to the end."""
    reader, writer = await it.open()
    got = b""
    for line in lines:
        writer.write(line)
        async with asyncio.timeout(10):
            got += await reader.readline()
    async with asyncio.timeout(10):
        got += await reader.read(-1) if until_end else b""
    writer.close()
    return got.decode().splitlines(keepends=True)


async def line_script(folder: Path) -> dict[str, list[str]]:
    """Run clients on the line front one after another; return what each of them and the server got."""
    transcripts: dict[str, list[str]] = {}
    ask = b"OPEN a%d b1 c=checkin,t=acme,d=1000,g=5c0f"
    async with (
        RecordingGateServer() as gate,
        Discovery(gate) as discovery,
        line_relay(folder, discovery) as it,
    ):
        transcripts["stands"] = await exchange_lines(
            it, b"PING\r\n", ask % 1 + b",h=2,again=1,x=y\r\n", b"M 1\r\n", b"M 2 x\r\n", b"end\r\n"
        )
        transcripts["syntax"] = await exchange_lines(it, b"GET / HTTP/1.1\r\n")
        transcripts["class"] = await exchange_lines(it, b"OPEN a2 b1 c=other,t=acme,d=1000\r\n")
        transcripts["id_used"] = await exchange_lines(it, ask % 1 + b"\r\n")
        reader, writer = await it.open()
        writer.write(ask % 3 + b",r=1\r\n")
        moved = [await reader.readline() for _ in range(3)]
        assert (await it.call(f"PUT /gate-servers/s-{gate.address}/maint"))[0] == 200
        transcripts["moved"] = [line.decode() for line in moved] + [(await reader.read(-1)).decode()]
        writer.close()
        await wait_until(lambda: gate.got[-1] == b"(end)")
        transcripts["gate"] = [line.decode() for line in gate.got]
    async with (
        GateServer(first_answer=b"WHAT\r\n") as gate,
        Discovery(gate) as discovery,
        line_relay(folder, discovery) as it,
    ):
        failed = await exchange_lines(it, ask % 4 + b"\r\n")
        # The value is random.
        transcripts["failed"] = [re.sub(r"BUSY \d+", "BUSY WAIT", line) for line in failed]
    async with GateServer() as gate, Discovery(gate) as discovery, line_relay(folder, discovery) as it:
        reader, writer = await it.open()
        writer.write(ask % 5 + b"\r\n")
        assert await reader.readline() == b"UP r1\r\n"
        it.process.terminate()
        await wait_until(lambda: it.logged("serving -> draining"))
        transcripts["leaving"] = await exchange_lines(it, ask % 6 + b"\r\n")
        transcripts["leaving_moved"] = [(await reader.read(-1)).decode()]
        writer.close()
    limits = LINE_CONFIG["policyLimits"] | {"probes": True}
    for name, how in (("probes", "none"), ("probes_with_report", "probe")):
        settings = {"policyLimits": limits, "report": {"how": how, "columns": ["queue", "util"]}}
        async with (
            RecordingGateServer() as gate,
            Discovery(gate) as discovery,
            line_relay(folder, discovery, **settings) as it,
        ):
            await exchange_lines(it, ask % 7 + b"\r\n", b"end\r\n")
            await wait_until(lambda: gate.probe_lines)
            transcripts[name] = sorted(line.decode() for line in gate.probe_lines)
    return transcripts


NATS_CONFIG = """
listen = "127.0.0.1:0"
name = "n1"
retry_after_ms = 50
[nats]
ping_interval = 3600
silence = 2
leave = 1
connect_deadline = 2
max_payload = 1024
[[classes]]
name = "booking"
aim_ms = 500
deadline_ms = 3000
[[tenants]]
name = "qurum-fit"
class = "booking"
users = ["app"]
"""


class RecordingNatsServer(NatsServer):
    """Records every operation; PINGs apart, because their times depend on the program's timers."""

    def __init__(self) -> None:
        super().__init__()
        self.got: list[str] = []
        self.pings: set[str] = set()

    def operate(
        self, op: bytes, args: list[bytes], body: bytes, line: bytes, writer: Writer,
        subscriptions: dict[bytes, list[Any]],
    ) -> None:  # fmt: skip
        if op == b"PING":
            self.pings.add(line.decode())
        else:
            self.got.append((line + body + b"\r\n" * (op in (b"PUB", b"HPUB"))).decode())
        super().operate(op, args, body, line, writer, subscriptions)


def masked_info(text: str) -> str:
    return re.sub(r'"(server_id)":"[0-9A-F]{56}"', r'"\1":"ID"', re.sub(r'"port":[1-9]\d*', '"port":1', text))


class NatsClient:
    """A client that sends raw protocol text and records what it receives."""

    def __init__(self, reader: Reader, writer: Writer) -> None:
        self.reader, self.writer, self.got = reader, writer, ""

    async def send_and_expect(self, text: str, expected: str) -> None:
        """Send this text; wait until the received text ends with `expected`."""
        self.writer.write(text.encode())
        async with asyncio.timeout(10):
            while not self.got.endswith(expected):
                data = await self.reader.read(4096)
                assert data, self.got
                self.got += masked_info(data.decode())

    async def read_to_end(self) -> list[str]:
        async with asyncio.timeout(10):
            self.got += masked_info((await self.reader.read(-1)).decode())
        self.writer.close()
        return self.got.splitlines(keepends=True)


async def nats_script(folder: Path) -> dict[str, list[str]]:
    """Run clients on the NATS front; return what each of them and the server got."""
    transcripts: dict[str, list[str]] = {}
    connect = (
        'CONNECT {"verbose":%s,"user":"%s","name":"it","headers":%s,"no_responders":true,"lang":"x"}\r\n'
    )
    message_with_headers = "HPUB feed.b in.2 32 34\r\nNATS/1.0\r\nNats-Msg-Id:  m-1 \r\n\r\nyo\r\n"
    async with RecordingNatsServer() as server:
        path = folder / "nats.toml"
        path.write_text(NATS_CONFIG + f'[[servers]]\naddr = "{server.address}"\n')
        async with relay("--config", str(path)) as it:
            client = NatsClient(*await it.open())
            await client.send_and_expect(connect % ("false", "app", "true") + "PING\r\n", "PONG\r\n")
            await client.send_and_expect(
                "SUB feed.* 7\r\nSUB ask q1 8\r\nUNSUB 8 5\r\nSUB in.* 9\r\nPING\r\n", "PONG\r\nPONG\r\n"
            )
            await client.send_and_expect("PUB feed.a 5\r\nhello\r\n", "hello\r\n")
            await client.send_and_expect("PUB ask in.1 2\r\nhi\r\n", "hi\r\n")
            await client.send_and_expect(message_with_headers, "yo\r\n")
            await client.send_and_expect(message_with_headers + "UNSUB 9\r\nPING\r\n", "PONG\r\n")
            await client.send_and_expect("SUB a..b 10\r\n", "Subject'\r\n")
            server.send_to_all(b"-ERR 'Permissions Violation for Publish to \"x\"'\r\n")
            await client.send_and_expect("", '"x"\'\r\n')
            server.abort_connections()  # the client's state is restored on the next connection
            await client.send_and_expect("PING\r\n", "PONG\r\n")
            await client.send_and_expect("PUB feed.c 3\r\nnew\r\n", "new\r\n")
            server.withholds_pongs = True
            await client.send_and_expect("PUB feed.d in.4 4\r\nlost\r\n", "lost\r\n")
            client.writer.write(b"BAD\r\n")
            transcripts["client"] = await client.read_to_end()
            server.withholds_pongs = False
            verbose = NatsClient(*await it.open())
            await verbose.send_and_expect(connect % ("true", "app", "false"), "+OK\r\n")
            await verbose.send_and_expect("SUB feed.* 1\r\n", "+OK\r\n")
            await verbose.send_and_expect("PING\r\n", "PONG\r\n")
            await verbose.send_and_expect("", "PONG\r\n")
            server.publish(b"feed.b", b"NATS/1.0\r\n\r\nyo", head=12)
            await verbose.send_and_expect("", "yo\r\n")
            denied = NatsClient(*await it.open())
            denied.writer.write((connect % ("false", "nobody", "true")).encode())
            transcripts["denied"] = await denied.read_to_end()
            large = NatsClient(*await it.open())
            large.writer.write((connect % ("false", "app", "true") + "PUB a 9999\r\n").encode())
            transcripts["large"] = await large.read_to_end()
            it.process.terminate()
            transcripts["verbose_and_leaving"] = await verbose.read_to_end()
        transcripts["server"] = server.got
        transcripts["pings"] = sorted(server.pings)
    return transcripts


async def sample(folder: Path) -> dict[str, Any]:
    """Return all samples of this module."""
    values: dict[str, Any] = {"made": encoded_samples()}
    values["openings"] = {name: read_opening(line) for name, line in OPEN_LINES.items()}
    values["reports"] = {name: dict(parse_load_report(line)) for name, line in REPORT_LINES.items()}
    values["frames"] = {name: await read_frames(data, name == "client") for name, data in FRAMES.items()}
    values["line_script"] = await line_script(folder)
    values["nats_script"] = await nats_script(folder)
    return values


def recorded(part: str) -> Any:
    return orjson.loads(RECORDED.read_bytes())[part]


def test_encoders_make_the_recorded_bytes() -> None:
    assert encoded_samples() == recorded("made")


@pytest.mark.parametrize("name", OPEN_LINES)
def test_open_line_is_read_as_recorded(name: str) -> None:
    assert read_opening(OPEN_LINES[name]) == recorded("openings")[name]


@pytest.mark.parametrize("name", REPORT_LINES)
def test_load_report_is_read_as_recorded(name: str) -> None:
    assert dict(parse_load_report(REPORT_LINES[name])) == recorded("reports")[name]


@pytest.mark.parametrize("name", FRAMES)
def test_nats_frames_are_read_as_recorded(name: str) -> None:
    async def test() -> None:
        assert await read_frames(FRAMES[name], name == "client") == recorded("frames")[name]

    run(test)


def test_line_front_says_what_was_recorded(tmp_path: Path) -> None:
    async def test() -> None:
        assert await line_script(tmp_path) == recorded("line_script")

    run(test)


def test_nats_front_says_what_was_recorded(tmp_path: Path) -> None:
    async def test() -> None:
        assert await nats_script(tmp_path) == recorded("nats_script")

    run(test)
