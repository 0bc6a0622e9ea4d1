"""The core alone, on a loop and with no socket."""

from __future__ import annotations

import asyncio
import time

import uvloop
from helpers import Node

from lynxdeck import interface as i
from violetdoor.core import Controller, Ticket


def unix_ms() -> float:
    return time.monotonic() * 1000


def controller(servers: int = 1) -> Controller:
    core = Controller(Node().settings, 1, unix_ms)
    entries = tuple(i.ServerEntry(f"s{n}", zone="a") for n in range(servers))
    core.listed(i.ServerList(i.ListKind.COMPLETE, entries))
    return core


def arrive(core: Controller, left: float = 300.0) -> Ticket:
    return core.arrive("feed", left, "t", None, None, None, False, False)


def test_no_timer_comes_early_after_a_long_round() -> None:
    """Guards against a request held for ever: the module ignores a timer that comes before its time."""

    async def test() -> None:
        core = controller(0)
        time.sleep(0.03)  # uvloop counts delays from the start of this round
        began = unix_ms()
        choice = await arrive(core).decision()
        assert isinstance(choice, i.Refuse)
        assert unix_ms() - began < 300.0
        core = controller()
        seen: list[float] = []
        core.balancer.handlers[i.TimerFired] = lambda _: seen.append(unix_ms())
        time.sleep(0.03)
        at = unix_ms() + 10
        core._carry_out(i.SetTimer("x", at))
        while not seen:
            await asyncio.sleep(0.001)
        assert seen[0] >= at

    uvloop.run(test())


def test_one_final_answer_and_one_attempt_out() -> None:
    async def test() -> None:
        core = controller()
        ticket = arrive(core)
        assert isinstance(await ticket.decision(), i.Send)
        ticket.decided(i.Send(ticket.id, "s0", 0.0))
        ticket.decided(i.Refuse(ticket.id))
        assert isinstance(await ticket.decision(), i.Refuse)
        ticket.decided(i.Fail(ticket.id))
        assert ticket.over and ticket.attempt == 0

    uvloop.run(test())


def test_draining_server_takes_no_more_and_is_believed_at_once() -> None:
    async def test() -> None:
        core = controller(2)
        core.drains("s0")
        assert not core.may_send("s0") and core.may_send("s1") and not core.may_send("s2")
        for _ in range(5):
            choice = await arrive(core).decision()
            assert isinstance(choice, i.Send) and choice.server == "s1"

    uvloop.run(test())
