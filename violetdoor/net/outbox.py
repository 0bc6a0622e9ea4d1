"""Frames on their way out of one socket: put at once, written in gathered writes, bounded by their reader."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import deque

GATHER = 64  # frames of one write


class SlowReaderError(OSError):
    """The other side takes nothing any more."""


class Outbox:
    """A queue of whole frames before one socket. `put` never waits; who puts much awaits `room`."""

    def __init__(self, sock: socket.socket, most: int, patience: float) -> None:
        self.sock, self.most, self.patience = sock, most, patience
        self.size = 0
        self.closed = False
        self.failed: OSError | None = None
        self._frames: deque[memoryview] = deque()
        self._partial = False  # the first frame is written in part
        self._wake = asyncio.Event()
        self._room = asyncio.Event()
        self._task = asyncio.get_running_loop().create_task(self._write())

    def put(self, frame: bytes) -> None:
        """Add a frame."""
        if self.closed or self.failed:
            return
        self._frames.append(memoryview(frame))
        self.size += len(frame)
        self._wake.set()

    @property
    def full(self) -> bool:
        """Whether more is queued than should be."""
        return self.size >= self.most

    async def room(self) -> None:
        """Wait until less than the limit is queued; SlowReaderError if that takes too long."""
        while self.full and not self.closed and not self.failed:
            self._room.clear()
            before = self.size
            try:
                async with asyncio.timeout(self.patience):
                    await self._room.wait()
            except TimeoutError as err:
                if self.size >= before:
                    raise SlowReaderError("the other side reads nothing") from err

    def drop_queued(self) -> None:
        """Forget all frames but one that is written in part: what follows must start a frame."""
        keep = [self._frames[0]] if self._partial else []
        self._frames = deque(keep)
        self.size = sum(len(f) for f in keep)

    async def finish(self, within: float) -> None:
        """Write what is queued as far as the time allows, then stop."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(within):
                while self._frames and not self.failed:
                    self._room.clear()
                    await self._room.wait()
        await self.close()

    async def close(self) -> None:
        """Stop writing; the socket may be closed after this."""
        self.closed = True
        self._room.set()
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _write(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            while True:
                if not self._frames:
                    self._wake.clear()
                    await self._wake.wait()
                try:
                    sent = self.sock.sendmsg([self._frames[n] for n in range(min(GATHER, len(self._frames)))])
                except (BlockingIOError, InterruptedError):
                    writable = loop.create_future()
                    loop.add_writer(self.sock, _resolve, writable)
                    try:
                        await writable
                    finally:
                        loop.remove_writer(self.sock)
                    continue
                self._sent(sent)
                if self._frames:
                    await asyncio.sleep(0)  # one client's flood must not hold the loop
        except OSError as err:
            self.failed = err
            self._room.set()

    def _sent(self, count: int) -> None:
        self.size -= count
        while count and count >= len(self._frames[0]):
            count -= len(self._frames.popleft())
            self._partial = False
        if count:
            self._frames[0] = self._frames[0][count:]
            self._partial = True
        self._room.set()


def _resolve(future: asyncio.Future[None]) -> None:
    if not future.done():
        future.set_result(None)
