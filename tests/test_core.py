"""The controller by itself, on an event loop without sockets."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import replace

import pytest
import uvloop
from relay_driver import RelayDriver

from violetdoor.balancing.actions import EventHandlingError, FailRequest, Reject, SetTimer, StartAttempt
from violetdoor.balancing.balancer import INTERVAL_TIMER
from violetdoor.balancing.events import (
    AttemptResult,
    Event,
    HealthCheckEnded,
    ServerEntry,
    ServerListKind,
    ServerListUpdate,
    ServerState,
    TimerFired,
)
from violetdoor.core import Controller, RequestAttributes, RequestHandle
from violetdoor.core import controller as controller_module
from violetdoor.net.server_directory import ServerDirectory


def monotonic_ms() -> float:
    return time.monotonic() * 1000


def make_controller(server_count: int = 1) -> Controller:
    core = Controller(RelayDriver().settings, 1, monotonic_ms)
    entries = tuple(ServerEntry(f"s{n}", zone="a") for n in range(server_count))
    core.update_server_list(ServerListUpdate(ServerListKind.COMPLETE, entries))
    return core


def open_request(core: Controller, time_left_ms: float = 300.0) -> RequestHandle:
    return core.open_request(RequestAttributes("feed", "t"), time_left_ms)


def test_timer_never_fires_early_after_a_long_loop_iteration() -> None:
    """A request whose only timer fires early would wait forever, since the module ignores early timers."""

    async def test() -> None:
        core = make_controller(0)
        time.sleep(0.03)  # uvloop measures delays from the start of this loop iteration
        started_at = monotonic_ms()
        decision = await open_request(core).next_decision()
        assert isinstance(decision, Reject)
        assert monotonic_ms() - started_at < 300.0
        core = make_controller()
        fired_at: list[float] = []
        core.balancer.handlers[TimerFired] = lambda _: fired_at.append(monotonic_ms())
        time.sleep(0.03)
        at = monotonic_ms() + 10
        core.execute_action(SetTimer("x", at))
        while not fired_at:
            await asyncio.sleep(0.001)
        assert fired_at[0] >= at

    uvloop.run(test())


def test_only_one_final_answer_and_no_concurrent_attempt() -> None:
    async def test() -> None:
        core = make_controller()
        request = open_request(core)
        assert isinstance(await request.next_decision(), StartAttempt)
        request.deliver_decision(StartAttempt(request.request_id, "s0", 0.0))
        request.deliver_decision(Reject(request.request_id))
        assert isinstance(await request.next_decision(), Reject)
        request.deliver_decision(FailRequest(request.request_id))
        assert request.is_finished
        assert request.attempt == 0

    uvloop.run(test())


class BrokenModuleError(Exception):
    """Raised by a decision module that is made to fail."""


def fail_at(core: Controller, event: type[Event], decide: Callable[[], None]) -> None:
    """Make the decision module fail at events of this type, after it has decided something."""

    def handle(_event: Event) -> None:
        decide()
        raise BrokenModuleError

    core.balancer.handlers[event] = handle


def test_exception_in_the_module_does_not_lose_the_answers_of_its_call() -> None:
    """Requests that the same call had rejected before it failed waited for their answers forever."""

    async def test() -> None:
        core = make_controller(0)
        requests = [open_request(core, time_left_ms=60_000.0) for _ in range(3)]

        def reject_all() -> None:
            for request in requests:
                core.balancer.admission.reject(core.balancer.requests[request.request_id])

        fail_at(core, HealthCheckEnded, reject_all)
        with pytest.raises(EventHandlingError) as failed:
            core.handle(HealthCheckEnded("s0", AttemptResult.OK, 1.0))
        assert isinstance(failed.value.__cause__, BrokenModuleError)
        async with asyncio.timeout(1):
            assert [type(await request.next_decision()) for request in requests] == [Reject] * 3

    uvloop.run(test())


def test_request_whose_timer_fails_is_answered() -> None:
    """No further event comes for it, so its client would wait in vain."""

    async def test() -> None:
        core = make_controller(0)
        request = open_request(core, time_left_ms=2000.0)
        other = open_request(core, time_left_ms=60_000.0)
        decide = core.balancer.handlers[TimerFired]

        def handle(event: TimerFired) -> None:
            if event.token == str(request.request_id):
                raise BrokenModuleError
            decide(event)

        core.balancer.handlers[TimerFired] = handle
        async with asyncio.timeout(1):
            assert isinstance(await request.next_decision(), FailRequest)
        assert request.request_id not in core.balancer.requests
        assert other.request_id in core.balancer.requests
        assert not other.is_finished

    uvloop.run(test())


def test_budget_interval_that_fails_is_followed_by_exactly_one_other(monkeypatch: pytest.MonkeyPatch) -> None:
    """The timer was set again by the next event and by the retry, so that intervals ended twice as often."""

    async def test() -> None:
        core = make_controller(1)
        timers: list[str] = []
        monkeypatch.setattr(core.timers, "set", lambda token, _at_ms: timers.append(token))
        with monkeypatch.context() as broken:
            broken.setattr(core.balancer.load, "decay_sent_load", lambda: 1 / 0)
            core.timers._fire(INTERVAL_TIMER, 0.0)
        open_request(core)
        assert timers.count(INTERVAL_TIMER) == 1

    uvloop.run(test())


def test_self_reported_draining_server_gets_no_new_request() -> None:
    async def test() -> None:
        core = make_controller(2)
        core.mark_draining("s0")
        assert not core.accepts_new_work("s0")
        assert core.accepts_new_work("s1")
        assert not core.accepts_new_work("s2")
        for _ in range(5):
            decision = await open_request(core).next_decision()
            assert isinstance(decision, StartAttempt)
            assert decision.server == "s1"

    uvloop.run(test())


def test_self_reported_draining_overrides_an_endpoint_list_that_still_says_ready() -> None:
    async def test() -> None:
        core = make_controller(2)
        core.mark_draining("s0")
        old = core.endpoints.entries["s0"]
        core.update_server_list(
            ServerListUpdate(ServerListKind.COMPLETE, tuple(core.endpoints.entries.values()))
        )
        assert not core.accepts_new_work("s0")
        for _ in range(5):
            decision = await open_request(core).next_decision()
            assert isinstance(decision, StartAttempt)
            assert decision.server == "s1"
        core.update_server_list(
            ServerListUpdate(ServerListKind.INCREMENTAL, (replace(old, started_at_ms=old.started_at_ms + 1),))
        )
        assert core.accepts_new_work("s0")  # another process of the server, to which the report doesn't apply

    uvloop.run(test())


def test_self_reported_draining_is_trusted_after_a_ban_was_lifted() -> None:
    """While the list shows no restart, the time when the ban was lifted counts as the server's start."""

    async def test() -> None:
        core = make_controller(2)
        assert core.ban("s0", core.now())
        assert core.lift_ban("s0")
        assert core.accepts_new_work("s0")
        core.mark_draining("s0")
        assert not core.accepts_new_work("s0")

    uvloop.run(test())


@pytest.mark.parametrize("state", [ServerState.READY, ServerState.DRAINING, ServerState.REMOVED])
def test_self_reported_draining_expires_and_the_endpoint_list_applies(
    monkeypatch: pytest.MonkeyPatch, state: ServerState
) -> None:
    async def test() -> None:
        monkeypatch.setattr(controller_module, "SELF_REPORT_TTL_SECONDS", 0.05)
        core = make_controller(2)
        core.mark_draining("s0")
        core.update_server_list(
            ServerListUpdate(
                ServerListKind.INCREMENTAL, (replace(core.endpoints.entries["s0"], state=state),)
            )
        )
        assert not core.accepts_new_work("s0")
        while core.overrides.self_reported_draining:
            await asyncio.sleep(0.01)
        assert core.accepts_new_work("s0") == (state is ServerState.READY)

    uvloop.run(test())


def test_removed_classes_stay_known_for_open_requests_and_then_expire(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Removed classes that never expire would accumulate with each reload, and their objectives would apply."""

    async def test() -> None:
        monkeypatch.setattr(controller_module, "REMOVED_CLASS_TTL_SECONDS", 0.05)
        core = make_controller(1)
        (feed,) = core.settings.classes.values()
        for name in ("a", "b"):
            core.reconfigure(
                replace(core.settings, classes={name: replace(feed, message_latency_objective_ms=1.0)}),
                reports_message_delay=False,
            )
            assert {"feed", name} <= core.settings.classes.keys()
        open_request(core)  # a request that was read before the reload
        while len(core.settings.classes) > 1:
            await asyncio.sleep(0.01)
        assert core.settings.classes.keys() == core.balancer.context.settings.classes.keys() == {"b"}

    uvloop.run(test())


def test_removed_class_of_an_open_session_stays_until_the_session_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A session that was placed again after its class had expired ended with an internal error."""

    async def play() -> None:
        monkeypatch.setattr(controller_module, "REMOVED_CLASS_TTL_SECONDS", 0.02)
        core = make_controller(1)
        (feed,) = core.settings.classes.values()
        in_use = {"feed"}
        core.classes_in_use = lambda: in_use
        for name in ("a", "b", "c"):
            core.reconfigure(replace(core.settings, classes={name: feed}), reports_message_delay=False)
        while core.settings.classes.keys() != {"feed", "c"}:
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.1)  # five times the time after which an unused class is dropped
        assert isinstance(await open_request(core).next_decision(), StartAttempt)
        in_use.clear()
        while len(core.settings.classes) > 1:
            await asyncio.sleep(0.005)
        assert core.settings.classes.keys() == core.balancer.context.settings.classes.keys() == {"c"}

    async def test() -> None:
        async with asyncio.timeout(5):
            await play()

    uvloop.run(test())


def test_servers_that_departed_long_ago_are_forgotten() -> None:
    """The process kept an entry for each server that was ever listed; only listed servers must stay."""

    def apply_change(core: Controller, directory: ServerDirectory, name: str, state: str) -> None:
        entry = {"id": name, "addr": "127.0.0.1:9", "state": state}
        core.update_server_list(directory.apply_list({"full": False, "servers": [entry]}))

    async def test() -> None:
        core, directory = make_controller(0), ServerDirectory()
        core.endpoints.departed.max_names = directory._departed_names.max_names = 5
        for name in ("stays", "banned"):
            apply_change(core, directory, name, "up")
        core.ban("banned", 1.0)
        apply_change(core, directory, "banned", "removed")
        for n in range(50):
            apply_change(core, directory, f"s{n}", "up")
            apply_change(core, directory, f"s{n}", "removed")
        assert len(core.endpoints.known_names) == 7
        assert {"stays", "banned", "s49"} <= core.endpoints.known_names
        assert len(directory.addresses) == 6
        assert {"stays", "s49"} <= directory.addresses.keys()
        for n in range(50):
            complete_list = [{"id": f"t{n}", "addr": "127.0.0.1:9"}, {"id": "stays", "addr": "127.0.0.1:9"}]
            core.update_server_list(directory.apply_list({"full": True, "servers": complete_list}))
        assert len(core.endpoints.known_names) <= 5 + 2 + 1
        assert "stays" in core.endpoints.known_names
        assert len(directory.addresses) == 7
        assert "stays" in directory.addresses
        assert core.lift_ban("stays")
        assert not core.lift_ban("s0")

    uvloop.run(test())
