"""Bounded queue of outgoing frames for one socket, sent with gathered writes."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import deque

MAX_FRAMES_PER_WRITE = 64


class SlowReaderError(OSError):
    """The peer has read nothing for longer than the stall timeout."""

    def __init__(self) -> None:
        """Set the message."""
        super().__init__("peer reads nothing: stall timeout expired with a full send queue")


class Outbox:
    """A queue of complete frames for one socket, and the task that writes them.

    `enqueue` never waits; callers that enqueue many frames await `wait_for_capacity`.
    """

    def __init__(self, sock: socket.socket, max_bytes: int, stall_timeout_seconds: float) -> None:
        """Write to a non-blocking socket whose reader may stall for the timeout once the queue is full."""
        self.sock = sock
        self.max_bytes = max_bytes
        self.stall_timeout_seconds = stall_timeout_seconds
        self.queued_bytes = 0
        self.is_closed = False
        self.error: OSError | None = None  # the error that stopped the writer task
        self._frames: deque[memoryview] = deque()
        self._is_partly_written = False  # whether part of the first frame is sent
        self._has_frames = asyncio.Event()
        self._progressed = asyncio.Event()  # set when bytes were written or the writer task stopped
        self._task = asyncio.get_running_loop().create_task(self._write())

    def enqueue(self, frame: bytes) -> None:
        """Add a frame; it is dropped once the outbox is closed or the socket has failed."""
        if self.is_closed or self.error:
            return
        self._frames.append(memoryview(frame))
        self.queued_bytes += len(frame)
        self._has_frames.set()

    @property
    def is_full(self) -> bool:
        """Whether the queue has reached its limit in bytes."""
        return self.queued_bytes >= self.max_bytes

    async def wait_for_capacity(self) -> None:
        """Wait until the queue is below its limit. Raises SlowReaderError if the peer stalls."""
        while self.is_full and not self.is_closed and not self.error:
            self._progressed.clear()
            before = self.queued_bytes
            try:
                async with asyncio.timeout(self.stall_timeout_seconds):
                    await self._progressed.wait()
            except TimeoutError as err:
                if self.queued_bytes >= before:
                    raise SlowReaderError from err

    def discard_queued(self) -> None:
        """Discard all frames except a partly written one, which must be completed before the next frame."""
        retained = [self._frames[0]] if self._is_partly_written else []
        self._frames = deque(retained)
        self.queued_bytes = sum(len(frame) for frame in retained)

    async def flush_and_close(self, timeout_seconds: float) -> None:
        """Write the queued frames within the timeout, then stop."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_seconds):
                while self._frames and not self.error:
                    self._progressed.clear()
                    await self._progressed.wait()
        await self.close()

    async def close(self) -> None:
        """Stop writing; afterwards the socket may be closed."""
        self.is_closed = True
        self._progressed.set()
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _write(self) -> None:
        try:
            while True:
                if not self._frames:
                    self._has_frames.clear()
                    await self._has_frames.wait()
                count = min(MAX_FRAMES_PER_WRITE, len(self._frames))
                try:
                    sent = self.sock.sendmsg([self._frames[index] for index in range(count)])
                except (BlockingIOError, InterruptedError):
                    await self._wait_writable()
                    continue
                self._remove_sent(sent)
                if self._frames:
                    await asyncio.sleep(0)  # a flood to one client must not block the event loop
        except OSError as err:
            self.error = err
            self._progressed.set()

    async def _wait_writable(self) -> None:
        loop = asyncio.get_running_loop()
        writable = loop.create_future()
        loop.add_writer(self.sock, _resolve, writable)
        try:
            await writable
        finally:
            loop.remove_writer(self.sock)

    def _remove_sent(self, count: int) -> None:
        self.queued_bytes -= count
        while count and count >= len(self._frames[0]):
            count -= len(self._frames.popleft())
            self._is_partly_written = False
        if count:
            self._frames[0] = self._frames[0][count:]
            self._is_partly_written = True
        self._progressed.set()


def _resolve(future: asyncio.Future[None]) -> None:
    if not future.done():
        future.set_result(None)
