"""`violetdoor demo`: toy servers, a relay with match rules and a client, in one command."""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import TYPE_CHECKING, Any

from violetdoor.cli.toy_server import ToyServer

if TYPE_CHECKING:
    from nats.aio.msg import Msg

MESSAGE_INTERVAL_SECONDS = 0.1  # between two messages of the client
FAULT_DELAY_SECONDS = 3.0  # from the start of the demo until the fault
RELAY_START_TIMEOUT_SECONDS = 20.0
LAST_MESSAGES_TIMEOUT_SECONDS = 3.0  # for messages in transit when the client stops sending
LAST_MESSAGES_POLL_SECONDS = 0.02
MESSAGES_PER_REPORT = 10
FAULTS_BY_KEY = {"h": "hang", "c": "cut", "b": "heal"}
REPORTED_COUNTERS = ("nats_placed", "nats_silent", "nats_broken", "publications_resent")
REPORTED_LOG_TEXTS = ("unresponsive", "disconnected", "broke")  # log lines of the relay to be printed
SUBJECT = "bookings"
RULES = """
rule "the demo's client" when connect.name == "demo" { class = "booking"; tenant = "demo-club"; }
default { class = "checkin"; tenant = "others"; }
"""


class MessageCounts:
    """Counts the messages that the client sent and received, which carry consecutive numbers."""

    def __init__(self) -> None:
        """Start with no message sent."""
        self.sent = 0
        self.duplicates = 0
        self.longest_gap_seconds = 0.0  # between two messages received
        self.last_received_at = time.monotonic()
        self._received: set[int] = set()

    @property
    def received(self) -> int:
        """The number of messages received, without duplicates."""
        return len(self._received)

    def add_received(self, number: int) -> None:
        """Count a message that the client received."""
        now = time.monotonic()
        self.longest_gap_seconds = max(self.longest_gap_seconds, now - self.last_received_at)
        self.last_received_at = now
        if number in self._received:
            self.duplicates += 1
        self._received.add(number)


class Demo:
    """Runs the toy servers, the relay and the client, and prints what happens to them."""

    def __init__(self, fault: str, seconds: float) -> None:
        """`fault` is `none`, `hang` or `cut`; `seconds` is the duration of the demo."""
        self.fault = fault
        self.seconds = seconds
        self.started_at = time.monotonic()
        self.servers: list[ToyServer] = []
        self.counts = MessageCounts()

    async def run(self) -> int:
        """Run everything; return 0 if the client received messages, else 1."""
        config = await self._start_servers()
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "demo.json")
            await asyncio.to_thread(path.write_text, json.dumps(config))
            async with self._relay(path) as port:
                self._print(f"relay on port {port} before toy-1 and toy-2; keys: h hang, c cut, b heal")
                self._print(
                    "look at: which server the client is on; whether a message is lost or comes twice"
                )
                await self._run_client(port)
        counts = self.counts
        self._print(
            f"end: {counts.sent} sent, {counts.sent - counts.received} lost, {counts.duplicates} twice, "
            f"longest gap {counts.longest_gap_seconds:.2f} s"
        )
        return 0 if counts.received else 1

    def _print(self, text: str) -> None:
        """Print one line, prefixed with the seconds since the start."""
        print(f"{time.monotonic() - self.started_at:6.2f} s  {text}", flush=True)

    async def _start_servers(self) -> dict[str, Any]:
        """Start two toy servers; return the configuration of a relay in front of them."""
        endpoints = []
        for name in ("toy-1", "toy-2"):
            port = await ToyServer(name, self.servers).start()
            endpoints.append({"id": name, "addr": f"127.0.0.1:{port}"})
        return {
            "listen": "127.0.0.1:0",
            "front": "nats",
            "servers": endpoints,
            "rules": {"text": RULES},
            "nats": {"ping_interval": 0.2, "silence": 1.0},
            "retry_after_ms": 200,
            "classes": [
                {"name": "booking", "aim_ms": 800, "deadline_ms": 3200, "worth": 3.0},
                {"name": "checkin", "aim_ms": 300, "deadline_ms": 1200},
            ],
        }

    @contextlib.asynccontextmanager
    async def _relay(self, config_path: Path) -> AsyncIterator[int]:
        """Run a relay, reading its log and the user's keys; yield the port that it listens on."""
        relay = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "violetdoor", "--config", str(config_path), stderr=asyncio.subprocess.PIPE
        )
        listening_port: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        log_task = asyncio.create_task(self._follow_relay_log(relay, listening_port))
        key_task = asyncio.create_task(self._follow_keys())
        try:
            async with asyncio.timeout(RELAY_START_TIMEOUT_SECONDS):
                port = await listening_port
            yield port
        finally:
            key_task.cancel()
            with contextlib.suppress(ProcessLookupError):
                relay.terminate()
            await asyncio.gather(relay.wait(), log_task, key_task, return_exceptions=True)

    async def _follow_relay_log(
        self, relay: asyncio.subprocess.Process, listening_port: asyncio.Future[int]
    ) -> None:
        """Set the port that the relay listens on, and print the log lines that the demo reports."""
        assert relay.stderr is not None
        while line := (await relay.stderr.readline()).decode():
            text = line.rstrip().partition(" violetdoor")[2].partition(" ")[2]
            if "listening on" in line and not listening_port.done():
                listening_port.set_result(int(line.rsplit(":", 1)[1]))
            if "counters:" in line:
                counters = dict(pair.split("=") for pair in text.split()[1:] if "=" in pair)
                self._print(
                    "relay: " + ", ".join(f"{name} {counters.get(name, 0)}" for name in REPORTED_COUNTERS)
                )
            elif any(reported in line for reported in REPORTED_LOG_TEXTS):
                self._print(f"relay: {text}")

    async def _follow_keys(self) -> None:
        """Inject a fault for each key that the user enters, if standard input is a terminal."""
        if not sys.stdin.isatty():
            return
        reader = asyncio.StreamReader()
        protocol = asyncio.StreamReaderProtocol(reader)
        await asyncio.get_running_loop().connect_read_pipe(lambda: protocol, sys.stdin)
        while line := await reader.readline():
            fault = FAULTS_BY_KEY.get(line.decode("utf-8", "replace").strip())
            if fault is not None:
                self._inject(fault)

    def _inject(self, fault: str) -> None:
        """Let the server that serves the client hang or cut its connections, or heal all servers."""
        if fault == "heal":
            for server in self.servers:
                server.hanging = False
            self._print("fault: none any more, all servers speak")
            return
        serving = self._serving()
        if serving is None:
            return
        if fault == "hang":
            serving.hanging = True
            self._print(f"fault: {serving.name} goes silent; it keeps its connections and answers nothing")
        else:
            serving.disconnect_clients()
            self._print(f"fault: {serving.name} breaks its connections")

    def _serving(self) -> ToyServer | None:
        """Return the server that has the client's subscription; None if no server has it."""
        return next((server for server in self.servers if server.subjects), None)

    def _serving_name(self) -> str:
        serving = self._serving()
        return serving.name if serving else "no server"

    async def _run_client(self, port: int) -> None:
        """Publish numbers as a booking app does, and count the messages that its subscription receives."""
        import nats

        async def on_message(message: Msg) -> None:
            self.counts.add_received(int(message.data))

        client = await nats.connect(f"nats://127.0.0.1:{port}", name="demo")
        await client.subscribe(SUBJECT, cb=on_message)
        await client.flush()
        self._print(f'client: placed on {self._serving_name()} by rule "the demo\'s client"')
        self.counts.last_received_at = time.monotonic()
        await self._publish_numbers(client)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LAST_MESSAGES_TIMEOUT_SECONDS):
                while self.counts.received < self.counts.sent:  # noqa: ASYNC110 - the library has no event for it
                    await asyncio.sleep(LAST_MESSAGES_POLL_SECONDS)
        self._print(f"client: its library reconnected {client.stats['reconnects']} times")
        await client.close()

    async def _publish_numbers(self, client: Any) -> None:
        """Publish until the demo's duration is over; inject its fault once meanwhile."""
        counts = self.counts
        fault_injected = self.fault == "none"
        while time.monotonic() < self.started_at + self.seconds:
            if not fault_injected and time.monotonic() - self.started_at > FAULT_DELAY_SECONDS:
                fault_injected = True
                self._inject(self.fault)
            counts.sent += 1
            headers = {"Nats-Msg-Id": f"demo-{counts.sent}"}
            await client.publish(SUBJECT, b"%d" % counts.sent, headers=headers)
            if counts.sent % MESSAGES_PER_REPORT == 0:
                self._print(
                    f"client: {counts.received} of {counts.sent} came back, on {self._serving_name()}"
                )
            await asyncio.sleep(MESSAGE_INTERVAL_SECONDS)


def run(fault: str, seconds: float) -> int:
    """Run the demo; return its exit status."""
    return asyncio.run(Demo(fault, seconds).run())
