"""Network addresses of the form `host:port`."""

from __future__ import annotations

MAX_PORT = 65_535

Address = tuple[str, int]  # host and port


class AddressError(ValueError):
    """A text is not a valid `host:port` address."""

    def __init__(self, text: str) -> None:
        """Record the invalid text."""
        super().__init__(f"{text!r} is not host:port")
        self.text = text


def parse_address(text: str) -> Address:
    """Split `host:port`; the host may be an IPv6 address in brackets. Raises AddressError."""
    host, colon, port = text.rpartition(":")
    if not colon or not port.isdigit() or int(port) > MAX_PORT:
        raise AddressError(text)
    return host.strip("[]"), int(port)
