"""The first line of a connection, parsed in place; it goes on unchanged but for the time it leaves."""

from __future__ import annotations

from dataclasses import dataclass

from violetdoor.net.sockets import Part


class SyntaxFaultError(Exception):
    """The line is no OPEN line."""


@dataclass(slots=True)
class Opening:
    """One OPEN line: its values, and the line around the digits of `d`."""

    cls: str
    tenant: str
    key: int | None
    time_left: float  # ms
    load: float | None
    group: int | None
    repeat: bool
    again: bool
    at: str  # the server that has this connection already
    before: bytes
    after: bytes

    def parts(self, left: float) -> list[Part]:
        """The line for a server, which is told how many ms the relay will wait."""
        return [self.before, b"%d" % max(1, int(left)), self.after]


def _number(text: str | None, base: int = 16) -> int | None:
    return int(text, base) if text else None


def parse(line: memoryview) -> Opening:
    """Read an OPEN line."""
    raw = bytes(line)
    words = raw.rstrip(b"\r\n").split(b" ")
    if len(words) != 4 or words[0] != b"OPEN" or not raw.endswith(b"\r\n"):
        raise SyntaxFaultError("not an OPEN line")
    try:
        values = dict(pair.split("=", 1) for pair in words[3].decode("ascii").split(","))
        start = len(raw) - 2 - len(words[3])
        at = start + 2 if words[3].startswith(b"d=") else raw.index(b",d=", start) + 3
        digits = values["d"]
        hint = values.get("h")
        return Opening(
            cls=values["c"], tenant=values.get("t", ""), key=_number(words[2].decode("ascii")),
            time_left=float(digits), load=float(hint) if hint else None, group=_number(values.get("g")),
            repeat=values.get("r") == "1", again=values.get("again") == "1", at=values.get("at", ""),
            before=raw[:at], after=raw[at + len(digits) :],
        )  # fmt: skip
    except (ValueError, KeyError) as err:
        raise SyntaxFaultError(f"{type(err).__name__} {err}") from err
