"""Two toy NATS servers on ports 4223 and 4224 that forward messages to each other's subscribers.

Type `hang 4223` to make a server stop responding, `cut 4223` to close its connections, `heal 4223` to make it
respond again. They support no subject wildcards or queue groups: use them only to try out the relay.
"""

import asyncio
import sys

from violetdoor.cli.toy_server import ToyServer

PORTS = (4223, 4224)


async def main() -> None:
    """Start the servers; run commands until the input ends."""
    peers: list[ToyServer] = []
    servers = {str(port): ToyServer(f"toy on {port}", peers, log_connections=True) for port in PORTS}
    for port, server in servers.items():
        await server.start(int(port))
    print(f"toy servers on {PORTS}; commands: hang PORT, cut PORT, heal PORT", flush=True)
    while line := await asyncio.to_thread(sys.stdin.readline):
        command, _, port = line.strip().partition(" ")
        server_at_port = servers.get(port)
        if server_at_port is None:
            print("no such port", flush=True)
        elif command == "cut":
            server_at_port.disconnect_clients()
        else:
            server_at_port.hanging = command == "hang"


asyncio.run(main())
