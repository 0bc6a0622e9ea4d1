"""The handover of a membership to the next process of a relay."""

from __future__ import annotations

from standins import run, unshared_loopback_host, wait_until

from violetdoor.fleet.context import NodeConfig
from violetdoor.fleet.endpoint import FleetEndpoint

KEY = b"0123456789abcdef"


def test_process_that_has_handed_over_owns_nothing_any_more() -> None:
    """Both processes of an upgrade owned the keys of their relay until the old one's lease expired."""

    async def test() -> None:
        host = unshared_loopback_host()
        config = NodeConfig("r0", host, 0, founders=frozenset({"r0"}))
        first, second = (FleetEndpoint(config, (host, 0), KEY) for _ in range(2))
        first.start()
        await wait_until(lambda: first.owns("orders"))
        handover = first.hand_over()
        assert handover is not None
        assert not first.may_act()
        assert not first.owns("orders")
        second.start(handover=handover)
        assert second.may_act()
        assert second.owns("orders")
        await second.close()

    run(test)
