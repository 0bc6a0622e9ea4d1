"""Requests on the NATS front whose server is lost: one final answer each, by the service or by the relay."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path

import pytest
from nats_peers import Client, start_nats_relay
from standins import NatsServer, Relay, run, wait_until

from violetdoor.fronts.nats import requests as request_module
from violetdoor.fronts.nats.answers import Answer
from violetdoor.fronts.nats.requests import Request, RequestTracker

DEADLINE_MS = 1500
NO_PING = 3600  # s; the relay confirms nothing by PINGs of its own
STATUS = [b"HMSG inbox.1 9 16 16", b"NATS/1.0 503", b" ", b" "]
SERVED = [b"MSG inbox.1 9 6", b"served"]
FAILURE = b"-ERR 'Stale Connection'"


@dataclass
class Site:
    """A relay, the server that a client stands at, and another one."""

    relay: Relay
    client: Client
    first: NatsServer
    other: NatsServer

    async def request(self, identity: str = "") -> None:
        """Send a request that runs and is not confirmed."""
        self.first.withholds_pongs = True
        before = len(self.first.published)
        self.client.publish("asks", identity=identity, reply="inbox.1")
        await wait_until(lambda: len(self.first.published) > before)

    async def lose_first(self) -> None:
        """Let the client's server die; return once the client stands at the other one."""
        self.first.server.close()
        self.first.abort_connections()
        await wait_until(lambda: any(self.other.subs.values()))

    def answer(self, server: NatsServer | None = None) -> None:
        """Answer as the service does."""
        (server or self.other).publish(b"inbox.1", b"served")


@contextlib.asynccontextmanager
async def start_site(tmp_path: Path, **connect: object) -> AsyncIterator[Site]:
    peers: list[NatsServer] = []
    async with (
        NatsServer(peers) as one, NatsServer(peers) as two,
        start_nats_relay(tmp_path, one, two, deadline=DEADLINE_MS, ping_interval=NO_PING) as it,
    ):  # fmt: skip
        client = await Client.connect(it, **connect)
        client.send(b"SUB inbox.* 9")
        await client.flush()
        first, other = (one, two) if any(one.subs.values()) else (two, one)
        yield Site(it, client, first, other)


def without_ok(lines: list[bytes]) -> list[bytes]:
    return [line for line in lines if line != b"+OK"]


@pytest.mark.parametrize("connect", [{}, {"no_responders": True}, {"verbose": True}], ids=str)
def test_answer_of_the_service_is_the_only_one(tmp_path: Path, connect: dict[str, bool]) -> None:
    """Guards against a status of the relay's own, and then the answer, when a request's server dies."""

    async def test() -> None:
        async with start_site(tmp_path, **connect) as site:
            await site.request()
            await site.lose_first()
            site.answer()
            assert without_ok(await site.client.flush()) == SERVED
            await asyncio.sleep(DEADLINE_MS / 1000)
            assert not without_ok(await site.client.flush())
            counters = await site.relay.counters()
            assert "publications_503" not in counters
            assert counters["publications_replied_late"] == 1

    run(test)


@pytest.mark.parametrize("identity", ["", "id-1"])
def test_request_that_was_answered_before_its_server_died_is_neither_lost_nor_resent(
    tmp_path: Path, identity: str
) -> None:
    """Guards against a second answer, or a second run, of a request that no PONG has confirmed."""

    async def test() -> None:
        async with start_site(tmp_path, no_responders=True) as site:
            await site.request(identity)
            site.answer(site.first)
            assert [await site.client.line(), await site.client.line()] == SERVED
            await site.lose_first()
            await asyncio.sleep(DEADLINE_MS / 1000)
            assert await site.client.flush() == []
            assert not site.other.published

    run(test)


def test_request_without_an_answer_gets_one_status_at_its_deadline(tmp_path: Path) -> None:
    """Guards against a status before the answer can have come, and an answer behind the status."""

    async def test() -> None:
        async with start_site(tmp_path, no_responders=True) as site:
            sent_at = asyncio.get_running_loop().time()
            await site.request()
            await site.lose_first()
            assert [await site.client.line() for _ in STATUS] == STATUS
            waited = asyncio.get_running_loop().time() - sent_at
            assert DEADLINE_MS / 1000 * 0.9 < waited < DEADLINE_MS / 1000
            site.answer()
            assert await site.client.flush() == []
            site.client.publish("asks", reply="inbox.1")
            await wait_until(lambda: site.other.published)
            site.answer()
            assert await site.client.flush() == SERVED, "the answer to a later request"
            assert (await site.relay.counters())["replies_after_answer"] == 1

    run(test)


def test_client_that_asked_for_no_status_is_told_by_the_end_of_its_session(tmp_path: Path) -> None:
    """Guards against an empty message that nobody made, for a client without `no_responders`."""

    async def test() -> None:
        async with start_site(tmp_path) as site:
            await site.request()
            await site.lose_first()
            assert [await site.client.line(), await site.client.line()] == [FAILURE, b""]

    run(test)


def test_verbose_client_is_told_by_the_answer_to_its_publication(tmp_path: Path) -> None:
    """Guards against three answers to one request: -ERR, a status, and the service's."""

    async def test() -> None:
        async with start_site(tmp_path, verbose=True, no_responders=True) as site:
            await site.request()
            await site.lose_first()
            site.client.send(b"PING")
            lines = []
            while b"PONG" not in lines:
                lines.append(await site.client.line())
            assert without_ok(lines) == [FAILURE, b"PONG"]
            site.answer()
            assert await site.client.flush() == []

    run(test)


def test_request_that_was_sent_again_gets_one_answer(tmp_path: Path) -> None:
    """Guards against the answers to both copies of a request with an id."""

    async def test() -> None:
        async with start_site(tmp_path) as site:
            await site.request("id-1")
            await site.lose_first()
            await wait_until(lambda: site.other.published)
            await site.client.flush()
            site.answer()
            site.answer()
            assert await site.client.flush() == SERVED
            site.answer()
            assert await site.client.flush() == SERVED, "no copy is left that it could answer"

    run(test)


def test_status_counts_as_a_message_of_its_subscription(tmp_path: Path) -> None:
    """Guards against a subscription that stays after the one message that it was limited to."""

    async def test() -> None:
        async with start_site(tmp_path, no_responders=True) as site:
            site.client.send(b"UNSUB 9 1")
            await site.client.flush()
            await site.request()
            await site.lose_first()
            assert [await site.client.line() for _ in STATUS] == STATUS
            await site.client.flush()
            assert not any(site.other.subs.values())

    run(test)


def test_tracked_requests_are_bounded_and_resolved_once(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        monkeypatch.setattr(request_module, "MAX_LOST_REQUESTS", 10)
        monkeypatch.setattr(request_module, "MAX_SURPLUS_REPLIES", 10)
        answered: list[Request] = []
        expired: list[Request] = []
        tracker = RequestTracker(answered.append, expired.append)
        found = [tracker.add(b"r.%d" % n, Answer(b""), 0.3 + n / 1000) for n in range(100)]
        for request in found:
            tracker.mark_lost(request)
        assert expired == found[:90], "the oldest ones, before their deadline"
        assert not tracker.accept_message(b"r.89")
        assert tracker.accept_message(b"r.0"), "forgotten"
        assert tracker.accept_message(b"r.99")
        assert answered == found[99:]
        await wait_until(lambda: len(expired) == 99)
        assert expired == found[:99]
        assert len(tracker._surplus) <= 10
        assert not tracker._unanswered

    run(test)


def test_messages_on_a_shared_reply_subject_answer_one_request_each() -> None:
    """Guards against dropped answers where a client uses one reply subject for all of its requests."""

    async def test() -> None:
        answered: list[Request] = []
        expired: list[Request] = []
        tracker = RequestTracker(answered.append, expired.append)
        first, second = (tracker.add(b"inbox", Answer(b""), 5.0) for _ in range(2))
        assert tracker.accept_message(b"inbox")
        assert first.has_reply
        assert not second.has_reply
        tracker.mark_resent(second)
        assert tracker.accept_message(b"inbox")
        tracker.remove(first)
        tracker.remove(second)
        assert not tracker._unanswered
        tracker.add(b"inbox", Answer(b""), 5.0)
        assert all(tracker.accept_message(b"inbox") for _ in range(5))
        tracker.close()

    run(test)
