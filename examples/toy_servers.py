"""Two toy NATS servers on ports 4223 and 4224 that pass messages on to each other's subscribers.

Type `hang 4223` to let one go silent, `cut 4223` to break its connections, `heal 4223` to let it speak again.
No subject wildcards, no queue groups: for a try of the relay and nothing else.
"""

import asyncio
import sys

PORTS = (4223, 4224)
hanging: set[int] = set()
subscribers: dict[tuple[int, asyncio.StreamWriter, str], str] = {}  # port, connection and sid: subject


def publish(subject: str, sizes: list[str], body: bytes) -> None:
    """Deliver one message to all subscribers of its subject."""
    for (port, writer, sid), wanted in subscribers.items():
        if wanted == subject and port not in hanging:
            kind = "HMSG" if len(sizes) == 2 else "MSG"
            writer.write(f"{kind} {subject} {sid} {' '.join(sizes)}\r\n".encode() + body)


async def serve(port: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Speak to one client of one server."""
    print(f"{port}: a connection comes", flush=True)
    if port not in hanging:
        writer.write(b'INFO {"server_id":"toy","headers":true,"max_payload":1048576}\r\n')
    while line := (await reader.readline()).decode():
        op, *args = line.split()
        body = await reader.readexactly(int(args[-1]) + 2) if op in ("PUB", "HPUB") else b""
        if port in hanging:
            continue
        if op == "PING":
            writer.write(b"PONG\r\n")
        elif op == "SUB":
            subscribers[port, writer, args[-1]] = args[0]
        elif op == "UNSUB":
            subscribers.pop((port, writer, args[0]), None)
        elif op in ("PUB", "HPUB"):
            publish(args[0], args[-2:] if op == "HPUB" else args[-1:], body)
    print(f"{port}: a connection ends", flush=True)


async def accept(port: int) -> None:
    """Listen on one port."""

    async def one(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connections[writer] = port
        try:
            await serve(port, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            print(f"{port}: a connection breaks", flush=True)
        finally:
            del connections[writer]
            for key in [k for k in subscribers if k[1] is writer]:
                del subscribers[key]
            writer.close()

    await asyncio.start_server(one, "127.0.0.1", port)


connections: dict[asyncio.StreamWriter, int] = {}


async def main() -> None:
    """Serve until the input ends."""
    for port in PORTS:
        await accept(port)
    print(f"toy servers on {PORTS}; commands: hang PORT, cut PORT, heal PORT", flush=True)
    while line := await asyncio.to_thread(sys.stdin.readline):
        command, _, port = line.strip().partition(" ")
        if command == "hang":
            hanging.add(int(port))
        elif command == "heal":
            hanging.discard(int(port))
        elif command == "cut":
            for writer in [w for w, p in connections.items() if p == int(port)]:
                writer.transport.abort()


asyncio.run(main())
