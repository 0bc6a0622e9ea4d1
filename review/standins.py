"""Stand-ins for cases 2 and 3: a cluster of NATS servers, their clients, and the relay.

A server that hangs keeps its process and its sockets and does nothing: what is sent to it waits in the
system's buffers. A server that is lost does nothing either; when it is back it is a new process: its old
connections are reset, and what it had not read is gone.
"""

from __future__ import annotations

import contextlib
import json
import os
import re
import select
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

ROOT = Path(__file__).resolve().parent.parent
RESET = struct.pack("ii", 1, 0)
POLL_SECONDS = 0.02
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Case(Protocol):
    """A case; it returns whether the rule held."""

    def __call__(self, record: Record, *, has_trouble: bool) -> bool:
        """Play the case, with its disruption or without."""


class CannotRunError(Exception):
    """The case could not be set up, so it says nothing about the rule."""


class SubscriberEndedError(CannotRunError):
    """The session of a client without trouble ended."""


class NothingSeenError(CannotRunError):
    """What the case looks at did not happen."""


class Record:
    """The record of one run: a line for each thing that was sent, answered or run."""

    def __init__(self, folder: Path) -> None:
        """Write `record.txt` in this folder."""
        self.started_at = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._lock = threading.Lock()

    def add(self, who: str, what: str) -> None:
        """Write one line."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self.started_at:8.3f} {who}: {what}\n")
            self._file.flush()


class Connection:
    """One connection to a stand-in server: what it is subscribed to, and what is to be written to it."""

    def __init__(self, sock: socket.socket, name: str) -> None:
        """Start without subscriptions."""
        self.sock, self.name = sock, name
        self.subscriptions: dict[str, str] = {}  # subject by sid
        self.to_write: list[bytes] = []
        self.user = ""


class NatsServer:
    """A NATS server of a cluster: what is published at one server reaches the subscribers of all."""

    def __init__(self, cluster: NatsCluster, name: str) -> None:
        """Listen on a port of its own."""
        self.cluster, self.name = cluster, name
        self.runs = threading.Event()
        self.runs.set()
        self.generation = 0  # of the server's process
        self.connections: list[Connection] = []
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def hang(self) -> None:
        """Do nothing from now on."""
        self.cluster.record.add(self.name, "hangs")
        self.runs.clear()

    def go_on(self) -> None:
        """Go on where the server stopped."""
        self.cluster.record.add(self.name, "goes on")
        self.runs.set()

    def be_lost(self) -> None:
        """Vanish with all that is not read yet."""
        self.cluster.record.add(self.name, "is lost")
        self.runs.clear()

    def return_cold(self) -> None:
        """Be back as a new process."""
        self.cluster.record.add(self.name, "is back as a new process")
        with self.cluster.lock:
            self.generation += 1
            old, self.connections = self.connections, []
        for connection in old:
            _reset(connection.sock)
        while select.select([self.listener], [], [], 0)[0]:
            _reset(self.listener.accept()[0])
        self.runs.set()

    def _accept(self) -> None:
        number = 0
        while True:
            self.runs.wait()
            if not select.select([self.listener], [], [], POLL_SECONDS)[0] or not self.runs.is_set():
                continue
            sock, _ = self.listener.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            number += 1
            connection = Connection(sock, f"{self.name}/{number}")
            threading.Thread(target=self._serve, args=(connection, self.generation), daemon=True).start()

    def _serve(self, connection: Connection, generation: int) -> None:
        with self.cluster.lock:
            self.connections.append(connection)
        connection.to_write.append(b'INFO {"server_id":"S","headers":true,"max_payload":1048576}\r\n')
        data = b""
        with contextlib.suppress(OSError):
            while generation == self.generation:
                self.runs.wait()
                if generation != self.generation:
                    return
                self._write(connection)
                if not select.select([connection.sock], [], [], POLL_SECONDS)[0] or not self.runs.is_set():
                    continue
                received = connection.sock.recv(65536)
                if not received:
                    break
                data = self._operate_all(connection, data + received)
                self._write(connection)
        with self.cluster.lock:
            if connection in self.connections:
                self.connections.remove(connection)
        connection.sock.close()

    def _write(self, connection: Connection) -> None:
        with self.cluster.lock:
            data, connection.to_write[:] = b"".join(connection.to_write), []
        if data:
            connection.sock.sendall(data)

    def _operate_all(self, connection: Connection, data: bytes) -> bytes:
        """Execute all complete operations; return the rest."""
        while True:
            line, found, rest = data.partition(b"\r\n")
            if not found:
                return data
            body = b""
            operation, *arguments = line.split() or [b""]
            if operation in (b"PUB", b"HPUB"):
                size = int(arguments[-1])
                if len(rest) < size + 2:
                    return data
                body, rest = rest[:size], rest[size + 2 :]
            data = rest
            self._operate(connection, operation, arguments, body, line)

    def _operate(
        self, connection: Connection, operation: bytes, arguments: list[bytes], body: bytes, line: bytes
    ) -> None:
        if operation == b"CONNECT":
            connection.user = json.loads(line[len(b"CONNECT ") :]).get("user") or ""
            self.cluster.record.add(connection.name, f"CONNECT of {connection.user}")
        elif operation == b"PING":
            connection.to_write.append(b"PONG\r\n")
        elif operation == b"SUB":
            connection.subscriptions[arguments[-1].decode()] = arguments[0].decode()
            self.cluster.record.add(connection.name, f"runs {line.decode()}")
        elif operation == b"UNSUB":
            connection.subscriptions.pop(arguments[0].decode(), None)
        elif operation in (b"PUB", b"HPUB"):
            head_size = int(arguments[-2]) if operation == b"HPUB" else 0
            text = body[head_size:].decode()
            self.cluster.record.add(connection.name, f"runs {operation.decode()} {text}")
            self.cluster.run_payloads.append(text)
            self.cluster.publish(arguments[0].decode(), body, head_size)


class NatsCluster:
    """Servers that deliver to one another's subscribers."""

    def __init__(self, record: Record, size: int) -> None:
        """Start the servers."""
        self.record = record
        self.lock = threading.Lock()
        self.run_payloads: list[str] = []  # of the publications that any server ran, in their order
        self.servers = [NatsServer(self, f"gate-{number + 1}") for number in range(size)]

    def publish(self, subject: str, body: bytes, head_size: int) -> None:
        """Deliver a message to all subscribers; its headers take `head_size` bytes of the body."""
        with self.lock:
            for server in self.servers:
                for connection in server.connections:
                    for sid, wanted in connection.subscriptions.items():
                        if wanted != subject:
                            continue
                        head = f"HMSG {subject} {sid} {head_size}" if head_size else f"MSG {subject} {sid}"
                        connection.to_write.append(f"{head} {len(body)}\r\n".encode() + body + b"\r\n")

    def server_of(self, user: str) -> NatsServer | None:
        """Return the server that holds the connection of this user now."""
        with self.lock:
            for server in self.servers:
                if any(connection.user == user for connection in server.connections):
                    return server
        return None


class NatsClient:
    """A client that reads all that comes; `on_frame` gets each operation and its payload."""

    def __init__(
        self, record: Record, address: tuple[str, int], user: str, *, verbose: bool,
        on_frame: Callable[[str, bytes], None],
    ) -> None:  # fmt: skip
        """Connect and send CONNECT."""
        self.record, self.user, self.on_frame = record, user, on_frame
        self.ended = threading.Event()
        self.sock = socket.create_connection(address, timeout=5)
        self.sock.settimeout(None)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.send("CONNECT " + json.dumps({"verbose": verbose, "headers": True, "user": user}))
        threading.Thread(target=self._read, daemon=True).start()

    def send(self, line: str, payload: bytes | None = None) -> None:
        """Send one operation."""
        body = b"" if payload is None else payload + b"\r\n"
        with contextlib.suppress(OSError):
            self.sock.sendall(line.encode() + b"\r\n" + body)

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()

    def _read(self) -> None:
        with contextlib.suppress(OSError, ValueError):
            reader = self.sock.makefile("rb")
            while line := reader.readline():
                words = line.decode().split()
                payload = b""
                if words and words[0] in ("MSG", "HMSG"):
                    payload = reader.read(int(words[-1]) + 2)[:-2]
                    if words[0] == "HMSG":
                        payload = payload[int(words[-2]) :]
                if words and words[0] == "PING":
                    self.send("PONG")
                self.on_frame(line.decode().strip(), payload)
        self.record.add(self.user, "connection ended")
        self.ended.set()


class Relay:
    """The relay, started with the deploy file's `run`."""

    def __init__(self, record: Record, config_text: str) -> None:
        """Start it with this operator's file, and wait until it listens."""
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.config = self.folder / "relay.toml"
        self.config.write_text(config_text, encoding="utf-8")
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        environment = {name: value for name, value in os.environ.items() if not name.startswith("BALANCER_")}
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", f"{run} --config {self.config}"], cwd=ROOT, stderr=subprocess.PIPE, text=True,
            env=environment | {"TMPDIR": str(self.folder)},
        )  # fmt: skip
        self.address: tuple[str, int] | None = None
        self.log: list[str] = []
        threading.Thread(target=self._read_log, daemon=True).start()
        wait_for(lambda: self.address is not None, 15, "the relay does not listen")

    def _read_log(self) -> None:
        assert self.process.stderr is not None
        for line in self.process.stderr:
            self.log.append(line)
            self.record.add("relay", line.rstrip())
            if found := re.search(r"listening on ([\d.]+):(\d+)", line):
                self.address = (found[1], int(found[2]))

    def stop(self) -> None:
        """End it."""
        if self.process.poll() is None:
            self.process.terminate()
            try:
                self.process.wait(10)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def wait_for(condition: Callable[[], object], seconds: float, why: str) -> None:
    """Wait until a condition holds; raise CannotRunError if it does not in time."""
    until = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > until:
            raise CannotRunError(why)
        time.sleep(0.01)


def main(folder: Path, case: Case) -> int:
    """Run a case, which returns whether the rule held, and return the script's exit status."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))  # ends the relay on the way out
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add("case", f"disruption {'on' if has_trouble else 'off'}")
    try:
        held = case(record, has_trouble=has_trouble)
    except (CannotRunError, OSError) as error:
        record.add("case", f"could not run: {error}")
        print(f"could not run: {error}")
        return NOT_RUN
    record.add("case", "the rule held" if held else "the rule was broken")
    return HELD if held else BROKEN


def _reset(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    sock.close()
