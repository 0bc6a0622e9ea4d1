"""Frames of the NATS client protocol: reading and parsing in one reused buffer, and encoding."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

from violetdoor.fronts.nats.errors import (
    CONTROL_LINE_TOO_LONG,
    PARSER_ERROR,
    PAYLOAD_TOO_LONG,
    UNKNOWN_OPERATION,
    ProtocolError,
)

MAX_CONTROL_LINE_BYTES = 4096
INITIAL_BUFFER_BYTES = 8192
MAX_SIZE_DIGITS = 9  # digits of a payload's size
LINE_END = b"\r\n"
VERSION_LINE = b"NATS/1.0"
MESSAGE_ID_HEADER = b"nats-msg-id"
JETSTREAM_ACK_PREFIX = (
    b"$JS.ACK."  # of the subjects by which a JetStream consumer's messages are acknowledged
)


class ArgumentCount(NamedTuple):
    """The number of arguments that an operation takes."""

    minimum: int
    maximum: int


class ReplyForm(NamedTuple):
    """Where the arguments of an operation have a reply subject."""

    argument_count: int  # with a reply subject
    position: int


CLIENT_OPERATIONS = {
    "CONNECT": ArgumentCount(1, 1),
    "PING": ArgumentCount(0, 0),
    "PONG": ArgumentCount(0, 0),
    "PUB": ArgumentCount(2, 3),
    "HPUB": ArgumentCount(3, 4),
    "SUB": ArgumentCount(2, 3),
    "UNSUB": ArgumentCount(1, 2),
}
SERVER_OPERATIONS = {
    "INFO": ArgumentCount(1, 1),
    "PING": ArgumentCount(0, 0),
    "PONG": ArgumentCount(0, 0),
    "MSG": ArgumentCount(3, 4),
    "HMSG": ArgumentCount(4, 5),
    "+OK": ArgumentCount(0, 0),
    "-ERR": ArgumentCount(0, 1),
}
PAYLOAD_OPERATIONS = {"PUB", "HPUB", "MSG", "HMSG"}  # last argument: size of headers and payload in bytes
REPLY_FORMS = {
    "PUB": ReplyForm(3, 1),
    "HPUB": ReplyForm(4, 1),
    "MSG": ReplyForm(4, 2),
    "HMSG": ReplyForm(5, 2),
}
HEADER_OPERATIONS = {"HPUB", "HMSG"}  # last argument but one: size of the headers in bytes
REST_OF_LINE_OPERATIONS = {"CONNECT", "INFO", "-ERR"}  # one argument: the rest of the line


@dataclass(slots=True, frozen=True)
class Frame:
    """One operation with its arguments and payload."""

    operation: str
    arguments: tuple[bytes, ...]
    raw: bytes  # the frame's bytes as received
    headers: bytes = b""
    payload: bytes = b""


class FrameReader:
    """Reads frames from one socket; its buffer grows to the maximum length of one frame at most."""

    def __init__(
        self, sock: socket.socket, operations: Mapping[str, ArgumentCount], max_payload_bytes: int
    ) -> None:
        """Start with an empty buffer; `operations` are the ones that the peer may send."""
        self.sock = sock
        self.operations = operations
        self.max_payload_bytes = max_payload_bytes
        self.buffer = bytearray(INITIAL_BUFFER_BYTES)
        self.start = 0  # offset of the first byte that is not parsed yet
        self.stop = 0
        self.last_received_at = 0.0  # loop time, s

    @property
    def is_empty(self) -> bool:
        """Whether all received bytes are parsed."""
        return self.start == self.stop

    async def read_frame(self) -> Frame | None:
        """Return the next frame, None at the end of the connection; raise ProtocolError."""
        while True:
            needed_bytes = 0
            line_end = self.buffer.find(b"\n", self.start, self.stop)
            line_stop = self.stop if line_end < 0 else line_end + 1
            if line_stop - self.start > MAX_CONTROL_LINE_BYTES:
                raise ProtocolError(CONTROL_LINE_TOO_LONG)
            if line_end >= 0:
                parsed = self._parse(line_stop)
                if isinstance(parsed, Frame):
                    return parsed
                needed_bytes = parsed
            if not await self._fill(needed_bytes):
                return None

    def _parse(self, body_start: int) -> Frame | int:
        """Return the frame whose line ends at `body_start`, or its length in bytes if it is incomplete."""
        line = bytes(self.buffer[self.start : body_start]).rstrip(LINE_END)
        operation_text, _, rest = line.strip(b" \t").replace(b"\t", b" ").partition(b" ")
        operation = operation_text.decode("ascii", "replace").upper()
        if operation not in self.operations:
            raise ProtocolError(UNKNOWN_OPERATION)
        arguments = _split_arguments(operation, rest)
        minimum, maximum = self.operations[operation]
        if not minimum <= len(arguments) <= maximum:
            raise ProtocolError(PARSER_ERROR)
        stop = body_start
        headers = payload = b""
        if operation in PAYLOAD_OPERATIONS:
            size = _parse_size(arguments[-1])
            header_size = _parse_size(arguments[-2]) if operation in HEADER_OPERATIONS else 0
            if header_size > size:
                raise ProtocolError(PARSER_ERROR)
            if size > self.max_payload_bytes:
                raise ProtocolError(PAYLOAD_TOO_LONG)
            payload_stop = body_start + size
            stop = payload_stop + len(LINE_END)
            if stop > self.stop:
                return stop - self.start
            headers = bytes(self.buffer[body_start : body_start + header_size])
            payload = bytes(self.buffer[body_start + header_size : payload_stop])
            is_terminated = self.buffer[payload_stop:stop] == LINE_END
            if not is_terminated or (headers and not headers.startswith(VERSION_LINE)):
                raise ProtocolError(PARSER_ERROR)
        raw = bytes(self.buffer[self.start : stop])
        self.start = stop
        return Frame(operation, arguments, raw, headers, payload)

    async def _fill(self, needed_bytes: int) -> bool:
        """Receive more bytes, with room for a frame of this length; False at the end of the connection."""
        if self.start:
            unparsed = self.stop - self.start
            self.buffer[:unparsed] = self.buffer[self.start : self.stop]
            self.start = 0
            self.stop = unparsed
        has_grown = len(self.buffer) > INITIAL_BUFFER_BYTES
        if not self.stop and has_grown and needed_bytes <= INITIAL_BUFFER_BYTES:
            # Release the memory of a large message: an idle connection would keep it for hours.
            self.buffer = bytearray(INITIAL_BUFFER_BYTES)
        if needed_bytes > len(self.buffer):
            self.buffer.extend(bytes(needed_bytes - len(self.buffer)))
        loop = asyncio.get_running_loop()
        try:
            received = await loop.sock_recv_into(self.sock, memoryview(self.buffer)[self.stop :])
        except ConnectionError:
            return False
        self.stop += received
        self.last_received_at = loop.time()
        return received > 0


def _split_arguments(operation: str, rest: bytes) -> tuple[bytes, ...]:
    if operation in REST_OF_LINE_OPERATIONS and rest.strip():
        return (rest.strip(),)
    return tuple(rest.split())


def _parse_size(text: bytes) -> int:
    if not text.isdigit() or len(text) > MAX_SIZE_DIGITS:
        raise ProtocolError(PARSER_ERROR)
    return int(text)


def error(text: str) -> bytes:
    """Return an -ERR line."""
    return f"-ERR '{text}'\r\n".encode()


def subscribe(sid: bytes, subject: bytes, queue: bytes) -> bytes:
    """Return a SUB line, without a queue group if `queue` is empty."""
    words = [b"SUB", subject, queue, sid] if queue else [b"SUB", subject, sid]
    return b" ".join(words) + LINE_END


def unsubscribe(sid: bytes, max_messages: int = 0) -> bytes:
    """Return an UNSUB line that takes effect after `max_messages` messages, or at once if that is 0."""
    return b"UNSUB %b %d\r\n" % (sid, max_messages) if max_messages else b"UNSUB %b\r\n" % sid


def status(sid: bytes, subject: bytes, code: int) -> bytes:
    """Return an HMSG with a status line only."""
    headers = b"%b %d\r\n\r\n" % (VERSION_LINE, code)
    return b"HMSG %b %b %d %d\r\n%b\r\n" % (subject, sid, len(headers), len(headers), headers)


def without_headers(frame: Frame) -> bytes:
    """Convert an HMSG to a MSG, for a client that does not support headers."""
    line = b" ".join([b"MSG", *frame.arguments[:-2], b"%d" % len(frame.payload)])
    return line + LINE_END + frame.payload + LINE_END


def message_id(headers: bytes) -> bytes:
    """Return the Nats-Msg-Id of a header block, empty if there is none."""
    for line in headers.split(LINE_END)[1:]:
        name, colon, value = line.partition(b":")
        if colon and name.strip().lower() == MESSAGE_ID_HEADER:
            return value.strip()
    return b""


def reply_subject(frame: Frame) -> bytes:
    """Return the reply subject of a frame with a payload, empty if there is none."""
    form = REPLY_FORMS[frame.operation]
    return frame.arguments[form.position] if len(frame.arguments) == form.argument_count else b""


def is_jetstream_delivery(frame: Frame) -> bool:
    """Return whether a MSG or HMSG comes from a JetStream consumer, by its reply subject."""
    return reply_subject(frame).startswith(JETSTREAM_ACK_PREFIX)


def error_text(frame: Frame) -> str:
    """Return the text of an -ERR."""
    if not frame.arguments:
        return ""
    return frame.arguments[0].decode("ascii", "replace").strip("' ")


def is_valid_subject(subject: bytes, *, allow_wildcards: bool) -> bool:
    """Return whether a subject is valid in the protocol."""
    tokens = subject.split(b".")
    if not all(tokens):
        return False
    if not allow_wildcards:
        return all(token not in (b"*", b">") for token in tokens)
    return b">" not in tokens[:-1]


def matches(pattern: bytes, subject: bytes) -> bool:
    """Return whether a subscription's subject matches a message's subject."""
    pattern_tokens = pattern.split(b".")
    tokens = subject.split(b".")
    for position, token in enumerate(pattern_tokens):
        if token == b">":
            return len(tokens) > position
        if position >= len(tokens) or token not in (b"*", tokens[position]):
            return False
    return len(pattern_tokens) == len(tokens)
