"""Publish a number each second through the relay, and print the messages received on a subscription."""

import asyncio
import itertools
import sys

import nats


async def main(count: int) -> None:
    """Publish `count` numbers; 0 runs until interrupted."""
    client = await nats.connect("nats://127.0.0.1:4222", name="example")
    subscription = await client.subscribe("feed")
    for n in itertools.islice(itertools.count(1), count or None):
        await client.publish("feed", b"%d" % n, headers={"Nats-Msg-Id": f"example-{n}"})
        try:
            message = await subscription.next_msg(timeout=5)
            print(f"{message.data.decode()} came back; reconnects: {client.stats['reconnects']}", flush=True)
        except TimeoutError:
            print(f"{n} did not come back", flush=True)
        await asyncio.sleep(1)
    await client.drain()


asyncio.run(main(int(sys.argv[1]) if len(sys.argv) > 1 else 0))
