"""Delays actions until the durable state that they depend on is written to the state file.

A promise is written before it is sent, so that a restart cannot lose it. Packets and calls of a step wait for
the write of that step's durable state, and those of later steps queue behind them.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any

from violetdoor.fleet.outbox import Actions
from violetdoor.fleet.state_file import StateFile
from violetdoor.fleet.stored_state import DurableState

log = logging.getLogger("violetdoor.fleet")


class DurableOutput:
    """Sends actions: immediately if the durable state is unchanged, otherwise after it is written."""

    def __init__(
        self,
        durable_state: Callable[[], DurableState | None],
        send: Callable[[Actions], None],
        on_write_failure: Callable[[], None],
        spawn: Callable[[Coroutine[Any, Any, None]], None],
    ) -> None:
        """Initialize without a state file.

        `durable_state` returns the node's state, and the same object as long as the state is unchanged.
        `send` sends actions, `spawn` starts the task that writes, and `on_write_failure` is called if a
        write fails.
        """
        self.durable_state = durable_state
        self.send = send
        self.on_write_failure = on_write_failure
        self.spawn = spawn
        self.state_file: StateFile | None = None
        self.written_state: DurableState | None = None
        self.deferred: list[Actions] = []
        self.is_writing = False

    def open(self, state_file: StateFile | None, written_state: DurableState | None) -> None:
        """Use a state file that contains `written_state`; without a state file nothing is written."""
        self.state_file = state_file
        self.written_state = written_state

    def submit(self, actions: Actions) -> None:
        """Send the actions of a step; if the durable state has changed, write it first."""
        if self.state_file is None or not self._must_write():
            self.send(actions)
            return
        self.deferred.append(actions)
        if not self.is_writing:
            self.is_writing = True
            self.spawn(self._write(self.state_file))

    def _must_write(self) -> bool:
        return self.is_writing or self.durable_state() is not self.written_state

    def close(self) -> None:
        """Drop deferred actions, and close and unlock the state file."""
        self.deferred.clear()
        if self.state_file is not None:
            self.state_file.close()

    async def _write(self, state_file: StateFile) -> None:
        """Write until the file contains the newest state, then send the deferred actions."""
        try:
            while (state := self.durable_state()) is not None and state is not self.written_state:
                await asyncio.to_thread(state_file.write, state)
                self.written_state = state
        except OSError as error:
            # Promises that are not on disk could be broken after a restart, so this relay stops voting.
            log.error("cannot write durable state; leaving the fleet: %s", error)
            self.deferred.clear()
            self.on_write_failure()
            return
        finally:
            self.is_writing = False
        deferred = self.deferred
        self.deferred = []
        for actions in deferred:
            self.send(actions)
