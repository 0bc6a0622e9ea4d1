"""The adapter's process: reads batches from standard input, writes answers to standard output.

It runs one balancer per instance; it only translates messages and decides nothing itself.
"""

from __future__ import annotations

import json
import sys
from typing import Any, TextIO

from violetdoor.balancing.actions import EventHandlingError
from violetdoor.balancing.balancer import Balancer
from violetdoor.balancing.platform_settings import parse_platform_settings
from violetdoor.simhost.errors import (
    MalformedBatchError,
    MalformedMessageError,
    UnknownInstanceError,
    UnreadableMessageError,
    WireError,
)
from violetdoor.simhost.wire import Message, read_event, write_action

HEADER_LENGTH = 2  # values: name and instance
EXIT_OK = 0
EXIT_PROTOCOL_ERROR = 2


class Host:
    """The instances of one process, which are independent of each other."""

    def __init__(self) -> None:
        """Start without instances."""
        self.balancers: dict[int, Balancer] = {}

    def answer(self, line: str) -> str:
        """Return the answer to one batch; raise WireError if it violates the protocol."""
        try:
            batch = json.loads(line)
            now_ms = float(batch["wall"])
            items = batch["items"]
        except (ValueError, KeyError, TypeError) as err:
            raise MalformedBatchError from err
        if not isinstance(items, list):
            raise MalformedBatchError
        steps: list[list[Any]] = []
        for item in items:
            steps.extend(self._handle(now_ms, item))
        return json.dumps({"steps": steps}, separators=(",", ":"))

    def _handle(self, now_ms: float, item: object) -> list[list[Any]]:
        """Handle one message; an exception in the decision module becomes an InternalError message."""
        if not isinstance(item, list) or len(item) < HEADER_LENGTH:
            raise MalformedMessageError(item)
        name, instance = item[:HEADER_LENGTH]
        if not isinstance(name, str) or not isinstance(instance, int):
            raise MalformedMessageError(item)
        if name == "CrashNow":
            self.balancers.pop(instance, None)
            return []
        if name == "NewInstance":
            self._start(now_ms, instance, item)
            return []
        event = read_event(item)
        balancer = self.balancers.get(instance)
        if balancer is None:
            raise UnknownInstanceError(name, instance)
        if event is None:
            return []
        try:
            actions = balancer.handle(now_ms, event)
        except EventHandlingError as err:
            cause = err.__cause__
            return [["InternalError", instance, f"{type(cause).__name__}: {cause}"]]
        return [write_action(instance, action) for action in actions]

    def _start(self, now_ms: float, instance: int, message: Message) -> None:
        try:
            settings = parse_platform_settings(message[3])
            seed = int(message[2])
        except (KeyError, IndexError, TypeError, ValueError, AttributeError) as err:
            raise UnreadableMessageError("NewInstance", err) from err
        self.balancers[instance] = Balancer(settings, seed, now_ms)


def serve(input_stream: TextIO, output_stream: TextIO) -> None:
    """Answer batches until the input ends."""
    host = Host()
    for line in input_stream:
        if line.strip():
            output_stream.write(host.answer(line) + "\n")
            output_stream.flush()


def main() -> int:
    """Serve standard input; on a protocol error print one line and return EXIT_PROTOCOL_ERROR."""
    try:
        serve(sys.stdin, sys.stdout)
    except WireError as err:
        print(f"violetdoor.simhost: {err}", file=sys.stderr)
        return EXIT_PROTOCOL_ERROR
    except UnicodeDecodeError:
        print("violetdoor.simhost: standard input is not valid UTF-8", file=sys.stderr)
        return EXIT_PROTOCOL_ERROR
    return EXIT_OK
