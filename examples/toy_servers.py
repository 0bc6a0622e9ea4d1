"""Two toy NATS servers on ports 4223 and 4224 that pass messages on to each other's subscribers.

Type `hang 4223` to let one go silent, `cut 4223` to break its connections, `heal 4223` to let it speak again.
No subject wildcards, no queue groups: for a try of the relay and nothing else.
"""

import asyncio
import sys

from violetdoor.cli.demo import Toy

PORTS = (4223, 4224)


async def main() -> None:
    """Serve until the input ends."""
    peers: list[Toy] = []
    toys = {str(port): Toy(f"toy on {port}", peers) for port in PORTS}
    for port, toy in toys.items():
        toy.telling = True
        await toy.start(int(port))
    print(f"toy servers on {PORTS}; commands: hang PORT, cut PORT, heal PORT", flush=True)
    while line := await asyncio.to_thread(sys.stdin.readline):
        command, _, port = line.strip().partition(" ")
        if (chosen := toys.get(port)) is None:
            print("no such port", flush=True)
        elif command == "cut":
            chosen.cut()
        else:
            chosen.hanging = command == "hang"


asyncio.run(main())
