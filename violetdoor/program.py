"""The program from start to exit: one object, its phases by name."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import time
from collections.abc import Callable
from enum import Enum
from pathlib import Path
from typing import TYPE_CHECKING

import orjson

from lynxdeck import interface as i
from violetdoor.config import Config, ConfigError, lacks, with_rules
from violetdoor.console.calls import Calls
from violetdoor.console.server import Console
from violetdoor.core import Controller
from violetdoor.fronts.line.front import LineFront
from violetdoor.handover import Handover, Inherited
from violetdoor.maintenance import Maintenance
from violetdoor.net.counters import Counters
from violetdoor.net.discovery import Directory, Watch
from violetdoor.net.figures import Figures
from violetdoor.net.logs import Limit
from violetdoor.sharing import Sharing

if TYPE_CHECKING:  # what the platform's relay has no use for stays out of its memory
    from violetdoor.fronts.nats.front import NatsFront
    from violetdoor.overload.gate import Gate
    from violetdoor.overload.measure import Meter
    from violetdoor.rules.force import Rules
    from violetdoor.rules.source import Compiled

log = logging.getLogger("violetdoor")

_OFFSET = (time.time() - time.monotonic()) * 1000


def unix_clock() -> float:
    """Unix time in ms that never jumps: servers' starts are told in it."""
    return time.monotonic() * 1000 + _OFFSET


class Phase(Enum):
    """Where the program is between start and exit."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"
    STOPPED = "stopped"


class Program:
    """One relay."""

    def __init__(
        self, config: Config, reread: Callable[[], Config], limit: Limit, meet: Path | None = None,
        inherited: Inherited | None = None, adopt: Callable[[bytes], Config] | None = None,
        compiled: Compiled | None = None,
    ) -> None:  # fmt: skip
        self.limit, self.adopt = limit, adopt
        self.rules: Rules | None = None
        self.gate: Gate | None = None
        self.meter: Meter | None = None
        self.compiled = compiled  # the rules to begin with
        self.changing: asyncio.Task[None] | None = None  # a change of rules, and what came after it
        self.changes = 0
        self.config, self.reread, self.counts, self.phase = config, reread, Counters(), Phase.STARTING
        self.directory, self.figures = Directory(), Figures(config.deadlines)
        self.stop = asyncio.Event()
        self.watch: Watch | None = None
        self.meet, self.inherited = meet, inherited  # where its processes meet; what the one before gave
        self.handover: Handover | None = None

    def enter(self, phase: Phase) -> None:
        """Go on to the next phase."""
        log.info("%s -> %s", self.phase.value, phase.value)
        self.phase = phase

    def report(self) -> None:
        """Print the counters."""
        if self.limit.left_out:
            self.counts["log_lines_left_out"] = self.limit.left_out
        log.info("counters: %s", self.counts.line())

    def reload(self, core: Controller, front: LineFront | NatsFront) -> None:
        """Read the configuration again and go over to it, whatever phase this is; clients notice nothing.

        Guards against a file that is half written or wrong: then all stays as it was.
        """
        try:
            new = self.reread()
            if (new.discovery is None) != (self.watch is None):
                raise ConfigError("from discovery to a list of servers, or back, takes a restart")
            held = self.config.raw if self.config.platform else b""
            if missing := held and lacks(orjson.loads(held), orjson.loads(new.raw)):
                raise ConfigError(missing)
            if new.platform is False and (new.nats is None) != (self.config.nats is None):
                raise ConfigError("another front takes a restart")
            if (new.rules is None) != (self.rules is None):
                raise ConfigError("from rules to none, or back, takes a restart")
        except ConfigError as err:
            self.reject(err)
            return
        if new.rules is None:
            self.accept(new, core, front)
        else:
            self.change(new, core, front)

    def reject(self, err: Exception) -> None:
        """Keep to what is in force."""
        self.counts["reload_failed"] += 1
        self.figures.counts["config_rejected"] += 1
        log.error("reload failed, the old values stay: %s", err)

    def change(
        self, new: Config, core: Controller, front: LineFront | NatsFront, told: bool = False
    ) -> None:
        """Go over to a configuration once its rules are compiled.

        Of several on the way only the newest counts.
        """
        before, self.changes = self.changing, self.changes + 1
        task = self.changing = asyncio.get_running_loop().create_task(
            self._change(new, core, front, before, self.changes, told)
        )
        task.add_done_callback(self._changed)

    async def _change(
        self, new: Config, core: Controller, front: LineFront | NatsFront, before: asyncio.Task[None] | None,
        number: int, told: bool,
    ) -> None:  # fmt: skip
        from violetdoor.rules.source import RulesFaultError, compile_beside

        if before is not None:
            await asyncio.wait((before,))
        if number < self.changes or new.rules is None or self.rules is None:
            return
        try:
            compiled = await compile_beside(new.rules)
        except (RulesFaultError, OSError) as err:
            for line in str(err).splitlines()[1:]:
                log.error("rules: %s", line)
            self.reject(ConfigError(str(err).partition("\n")[0]))
            return
        await self.rules.swap(compiled)
        new = with_rules(new, compiled.source)
        if told:  # by the other process, which must not be told back
            self.apply(new, core, front)
        else:
            self.accept(new, core, front)

    def _changed(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and (err := task.exception()):
            self.counts["faults"] += 1
            self.reject(ConfigError(f"{type(err).__name__} {err}"))

    def accept(self, new: Config, core: Controller, front: LineFront | NatsFront) -> None:
        """Go over to a configuration that is sound, and let the other process know."""
        self.counts["reloads"] += 1
        self.figures.counts["config_applied"] += 1
        if self.handover is not None and new.raw:
            self.handover.tell({"config": new.raw.decode()})
        self.apply(new, core, front)

    def apply(self, new: Config, core: Controller, front: LineFront | NatsFront) -> None:
        """Go over to a configuration that has passed every check, in one step."""
        if new.rules is not None and self.rules is not None and not new.rules.same(self.rules.source):
            self.change(new, core, front, told=True)  # of the other process; all else comes with it
            return
        self.figures.know(new.deadlines)
        core.reconfigure(new.settings, new.tells_delay)
        if self.gate is not None:
            self.gate.worth({name: c.worth for name, c in new.settings.classes.items()})
        if isinstance(front, LineFront):
            front.reconfigure(new.line)
        elif new.nats is not None:
            front.reconfigure(new.deadlines, new.nats.tenants)
        where = "the listed servers"
        if self.watch is not None and new.discovery is not None:
            where = "discovery at {}:{}".format(*new.discovery)
            if new.discovery != self.watch.address:  # else all relays of a site would ask anew together
                self.watch.go_over(new.discovery)
            self.watch.push(not new.settings.ask_list)
        else:
            core.listed(self.directory.read(new.known, i.ListKind.COMPLETE))
        changed = ", ".join(self.config.fixed_changes(new)) or "nothing"
        self.config = new
        log.info("reloaded: %s; changed, but takes a restart: %s", where, changed)

    def front(self, core: Controller) -> LineFront | NatsFront:
        """The one front that this program has."""
        c, listener = self.config, self.inherited.listener if self.inherited else None
        if self.compiled is not None:
            from violetdoor.rules.force import Rules

            self.rules = Rules(self.counts, self.compiled)
            self.compiled = None
        if c.overload is not None:
            from violetdoor.overload.controller import Controller as Load
            from violetdoor.overload.gate import Gate

            worth = {name: one.worth for name, one in c.settings.classes.items()}
            self.gate = Gate(Load(worth, c.overload.cores), lambda: self.config.settings.max_retry_after)
            core.spares = lambda: self.gate is not None and self.gate.spares
        if c.nats is None:
            return LineFront(
                c.listen, core, self.directory, self.counts, self.figures, c.line, c.sockets, listener,
                self.rules, self.gate,
            )  # fmt: skip
        from violetdoor.fronts.nats.front import NatsFront

        return NatsFront(
            c.listen, core, self.directory, self.counts, self.figures, c.nats, c.deadlines, c.sockets, c.name,
            listener, self.rules, self.gate,
        )

    def measure(self, front: LineFront | NatsFront) -> Meter | None:
        """Begin to look at the process, if the configuration wants it."""
        overload = self.config.overload
        if self.gate is None or overload is None:
            return None
        from violetdoor.overload.measure import Meter, Sources

        acceptor = front.acceptor
        most = overload.queued_mb * (1 << 20)
        sources = Sources(
            acceptor.sock, lambda: acceptor.held() / acceptor.room, lambda: front.queued() / most,
            front.relieve, lambda: float(acceptor.beside_memory),
        )  # fmt: skip
        self.meter = Meter(self.gate, sources, self.counts, (overload.memory_mb or 0.0) * (1 << 20))
        return self.meter

    def console(self, front: LineFront | NatsFront, maintenance: Maintenance) -> Console | None:
        """Where operators call, if the configuration names a place."""
        if self.config.console is None:
            return None

        def healthy() -> bool:
            settled = self.handover is None or self.handover.settled
            return self.phase is Phase.SERVING and front.acceptor.accepting and settled

        rules = self.rules.text if self.rules is not None else None
        load = self.meter.text if self.meter is not None else None
        calls = Calls(healthy, self.figures, maintenance, rules, load)
        return Console(self.config.console, calls, self.counts)

    def begin_list(self, core: Controller) -> None:
        """Start from all that the process before this one knew, else from the known list."""
        if self.inherited is None:
            kind = i.ListKind.COMPLETE if self.watch is None else i.ListKind.REMEMBERED
            core.listed(self.directory.read(self.config.known, kind))
            return
        state = self.inherited.state
        core.bans.update(state["bans"])
        core.returned.update({server: (at, back) for server, (at, back) in state["returned"].items()})
        core.named.update(state["named"])
        rows = [i.ServerEntry(**row | {"state": i.ServerState(row["state"])}) for row in state["entries"]]
        entries = {entry.server: entry for entry in rows}
        servers = tuple(i.ServerKnown(**row) for row in state["knowledge"]["servers"])
        known = {n: state["knowledge"][n] for n in ("fleet", "unit", "quickest", "late")}
        core.take_over(i.Knowledge(**known, servers=servers), entries)
        self.directory.addresses = {name: (host, port) for name, (host, port) in state["addresses"].items()}
        self.directory.go_on(state["version"], entries.values())

    async def meet_others(
        self, core: Controller, front: LineFront | NatsFront, maintenance: Maintenance
    ) -> asyncio.Task[None] | None:
        """Take over from the process before this one, and be there for the one after it."""
        if self.meet is None:
            return None

        def apply(raw: bytes) -> None:
            if self.adopt is not None:
                self.apply(self.adopt(raw), core, front)

        sharing = Sharing(core, front, self.directory, maintenance, lambda: self.config.raw, apply)
        handover = self.handover = Handover(self.meet, sharing, front.acceptor.sock)
        maintenance.tell = handover.tell
        await asyncio.sleep(0)  # the front accepts from here on
        if self.inherited is not None:
            sharing.told({"ids": self.inherited.state["ids"]})
            handover.took_over(self.inherited)
            log.info("took over from the process before: %d servers known", len(core.entries))
        return asyncio.get_running_loop().create_task(handover.run())

    async def run(self) -> None:
        """Start, serve until SIGTERM, leave, stop."""
        config, loop = self.config, asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop.set)
        loop.add_signal_handler(signal.SIGUSR1, self.report)
        core = Controller(config.settings, config.seed, unix_clock, config.tells_delay)
        shared = os.environ.get("TMPDIR")  # an upgrade's two processes share it, and nothing else does
        maintenance = Maintenance(core, Path(shared, f"violetdoor-{config.name}.bans") if shared else None)
        maintenance.restore()
        watch = None
        if config.discovery is not None:
            watch = self.watch = Watch(config.discovery, self.directory, core.listed, self.counts)
            core.follow = watch.follow
        self.begin_list(core)
        if watch is not None:
            watch.push(not config.settings.ask_list)
        front = self.front(core)
        self.figures.gauges["pool_size"] = lambda: len(core.entries)
        self.figures.gauges["pool_ejected"] = core.avoided
        meter = self.measure(front)
        console = self.console(front, maintenance)
        loop.add_signal_handler(signal.SIGHUP, self.reload, core, front)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        serving, stopping = loop.create_task(front.run()), loop.create_task(self.stop.wait())
        calling = loop.create_task(console.run()) if console else None
        handing = await self.meet_others(core, front, maintenance)
        self.enter(Phase.SERVING)
        log.info("listening on %s:%d", *front.acceptor.address)
        if console is not None:
            log.info("console on %s:%d", *console.address)
        await asyncio.wait((serving, stopping), return_when=asyncio.FIRST_COMPLETED)
        if serving.done():
            serving.result()
        self.enter(Phase.LEAVING)
        await front.leave()
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)
        if self.changing is not None:
            self.changing.cancel()
            await asyncio.gather(self.changing, return_exceptions=True)
        if meter is not None:
            meter.close()
        if watch is not None:
            await watch.stop()
        if handing is not None:
            handing.cancel()
            await asyncio.gather(handing, return_exceptions=True)
        if console is not None and calling is not None:
            calling.cancel()
            await console.close()
        self.enter(Phase.STOPPED)
        self.report()
