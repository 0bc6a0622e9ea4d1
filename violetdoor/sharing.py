"""What two processes of one relay tell each other, out of the parts that own it."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from lynxdeck import interface as i
from violetdoor.core import Controller
from violetdoor.fronts.line.front import LineFront
from violetdoor.maintenance import Maintenance
from violetdoor.net.discovery import Directory
from violetdoor.net.process import resident

if TYPE_CHECKING:
    from violetdoor.fronts.nats.front import NatsFront


class Sharing:
    """Gives the state, takes what the other process says."""

    def __init__(
        self, core: Controller, front: LineFront | NatsFront, directory: Directory, maintenance: Maintenance,
        config: Callable[[], bytes], apply: Callable[[bytes], None],
    ) -> None:  # fmt: skip
        self.core, self.front, self.directory = core, front, directory
        self.maintenance, self.config, self.apply = maintenance, config, apply
        self.ids_told: set[str] = set()

    def ids(self) -> list[str]:
        """Ids that were not told yet."""
        ids = self.front.ids() if isinstance(self.front, LineFront) else []
        fresh = [name for name in ids if name not in self.ids_told]
        self.ids_told.update(fresh)
        return fresh

    def state(self) -> dict[str, Any]:
        """All that a process needs to go on where this one is."""
        core = self.core
        self.ids_told.clear()
        return {
            "config": self.config().decode(), "bans": core.bans, "returned": core.returned,
            "named": sorted(core.named), "entries": list(core.entries.values()),
            "addresses": self.directory.addresses, "version": self.directory.version,
            "knowledge": core.balancer.knowledge(), "ids": self.ids(),
        }  # fmt: skip

    def still_held(self) -> dict[str, Any]:
        """The connections that stand here, their descriptors, and ids taken since."""
        held = {"held": self.core.held(), "descriptors": self.front.acceptor.held(), "memory": resident()}
        return {"beside": held, "ids": self.ids()}

    def told(self, message: dict[str, Any]) -> None:
        """Do as the other process did, or count what it holds."""
        match message:
            case {"ban": [str(server), float(since) | int(since)]}:
                self.core.named.add(server)
                self.core.ban(server, since)
            case {"lift": str(server)}:
                self.core.lift(server)
            case {"config": str(text)}:
                self.apply(text.encode())
        if "beside" in message:
            beside = message["beside"]
            held = {server: (load, count) for server, (load, count) in beside.get("held", {}).items()}
            self.core.handle(i.Beside(held))
            self.front.acceptor.beside = beside.get("descriptors", 0)
            self.front.acceptor.beside_memory = beside.get("memory", 0)
        if isinstance(self.front, LineFront):
            self.front.learn_ids(message.get("ids", ()))

    def succeeded(self) -> None:
        """Another process takes the clients from now on."""
        self.front.acceptor.take(False)
        self.core.rest(True)

    def orphaned(self) -> None:
        """It is gone: this one goes on."""
        self.front.acceptor.take(True)
        self.core.rest(False)
