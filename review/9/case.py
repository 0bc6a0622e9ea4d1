"""A server dies while requests are under way, and their answers come by another server.

Clients on one of six servers ask a service that takes 0.6 s. The server passes the requests on and dies. The
service answers on the bus, and the relay has moved the clients to other servers by then. Each request is to
get one final answer, made by the service or an error.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from pathlib import Path

from peers_line import HAS_TROUBLE, CannotRunError, Record, play, temporary_folder
from peers_nats import Bus, Client, NatsRelay, Server, start_servers

SERVICE_SECONDS = 0.6
ANSWER = b"9 places"
CLIENTS = 36
HALF_OF_FOUR = 2  # by two and two, since the servers take turns
QUIET_SECONDS = 0.45  # between two of the relay's own PINGs
DEATH_SECONDS = 0.02  # after the requests
WATCHED_SECONDS = 3.0


@dataclass
class Caller:
    """A client with one request."""

    client: Client
    asks_for_status: bool  # no_responders in its CONNECT

    @property
    def inbox(self) -> bytes:
        """The subject of its subscription."""
        return f"_INBOX.{self.client.name}.*".encode()

    @property
    def reply(self) -> bytes:
        """The reply subject of its request."""
        return f"_INBOX.{self.client.name}.1".encode()

    def faults(self) -> list[str]:
        """Return what is wrong with the answers that it got."""
        answers = [message for message in self.client.messages if message.subject == self.reply]
        faults = []
        if len(answers) > 1:
            faults.append(f"{len(answers)} answers to one request")
        for answer in answers:
            is_made = answer.payload == ANSWER
            is_status = answer.head.startswith(b"NATS/1.0 503") and not answer.payload
            if not is_made and not (is_status and self.asks_for_status):
                faults.append(f"an answer that no server made: {answer.head + answer.payload!r}")
        if not answers and not self.client.errors and not self.client.has_ended:
            faults.append("no answer")
        return faults


async def connect_callers(relay: NatsRelay, record: Record) -> list[Caller]:
    """Connect clients with a subscription each; half of them ask for statuses."""
    callers = []
    for number in range(CLIENTS):
        caller = Caller(Client(f"c{number}", relay.listen, record), asks_for_status=number % 4 < HALF_OF_FOUR)
        await caller.client.connect(no_responders=caller.asks_for_status)
        caller.client.send(b"SUB " + caller.inbox + b" 1")
        await caller.client.flush()
        callers.append(caller)
    return callers


def busiest(bus: Bus, callers: list[Caller]) -> tuple[Server, list[Caller]]:
    """Return the server with the most callers, and these."""
    by_server = {
        server.name: [caller for caller in callers if server.holds(caller.inbox)] for server in bus.servers
    }
    server = max(bus.servers, key=lambda one: len(by_server[one.name]))
    return server, by_server[server.name]


async def case(record: Record) -> bool:
    """Play the case; return whether the rule held."""
    async with temporary_folder() as folder:
        bus = await start_servers(record)
        bus.services[b"slots.ask"] = (SERVICE_SECONDS, ANSWER)
        relay = NatsRelay(folder, bus)
        await relay.start()
        try:
            await relay.wait_until_healthy()
            callers = await connect_callers(relay, record)
            server, chosen = busiest(bus, callers)
            if {caller.asks_for_status for caller in chosen} != {True, False}:
                message = "no server has clients of both kinds"
                raise CannotRunError(message)
            await asyncio.sleep(QUIET_SECONDS)
            for caller in chosen:
                caller.client.send(b"PUB slots.ask " + caller.reply + b" 5", b"today")
            await asyncio.sleep(DEATH_SECONDS)
            if HAS_TROUBLE:
                server.die()
            await asyncio.sleep(WATCHED_SECONDS)
            ran = [caller for caller in chosen if caller.reply in bus.requests]
            record.write(f"{len(ran)} of {len(chosen)} requests ran")
            faults = {caller.client.name: caller.faults() for caller in ran}
        finally:
            await relay.stop()
        for name, found in faults.items():
            record.write(f"{name}: {'; '.join(found) or 'one answer'}")
        if not ran:
            message = "no request reached a server"
            raise CannotRunError(message)
        return not any(faults.values())


def main() -> None:
    """Play the case; exit with 0, 1 or 2."""
    play(case, Path(__file__).resolve().parent)


if __name__ == "__main__":
    main()
