"""Errors in a client's first line."""

from __future__ import annotations

MAX_SHOWN_CHARACTERS = 32  # of a client's value that an error message quotes


class LineProtocolError(Exception):
    """A first line that is answered with ERR; `request_class` is the class it names, or empty."""

    def __init__(self, text: str, request_class: str = "") -> None:
        """Store the log message and the class."""
        super().__init__(text)
        self.request_class = request_class


class RejectedByRuleError(LineProtocolError):
    """A rule rejects the request; the text is the rule's reason and is sent to the client."""


class InvalidOpeningError(LineProtocolError):
    """The line is not an OPEN line, or cannot be served."""


class NotAnOpeningError(InvalidOpeningError):
    """The line does not have the form of an OPEN line."""

    def __init__(self) -> None:
        """Set the log message."""
        super().__init__("expected 'OPEN <id> <key> <values>' ending in CRLF")


class InvalidNameError(InvalidOpeningError):
    """The name of a value is invalid or appears twice."""

    def __init__(self, name: str) -> None:
        """Set the log message."""
        super().__init__(f"invalid or duplicate value name {name[:MAX_SHOWN_CHARACTERS]!r}")


class InvalidValueError(InvalidOpeningError):
    """A value is invalid for its name."""

    def __init__(self, name: str, value: str) -> None:
        """Set the log message."""
        super().__init__(f"invalid value for {name!r}: {value[:MAX_SHOWN_CHARACTERS]!r}")


class UnknownClassError(InvalidOpeningError):
    """The class is not in the settings."""

    def __init__(self, request_class: str) -> None:
        """Set the log message."""
        super().__init__(f"unknown class {request_class[:MAX_SHOWN_CHARACTERS]!r}", request_class)


class UnknownTenantError(InvalidOpeningError):
    """The settings list tenants, but not this one."""

    def __init__(self, tenant: str) -> None:
        """Set the log message."""
        super().__init__(f"unknown tenant {tenant[:MAX_SHOWN_CHARACTERS]!r}")


class NoTimeLeftError(InvalidOpeningError):
    """The line leaves no time for the request: `d` is missing or 0."""

    def __init__(self) -> None:
        """Set the log message."""
        super().__init__("'d' (time left) is missing or 0")


class TimeLeftTooLongError(InvalidOpeningError):
    """The line leaves more time than a request of its class may have."""

    def __init__(self) -> None:
        """Set the log message."""
        super().__init__("'d' (time left) exceeds the limit of its class")


class AdoptionPeriodOverError(InvalidOpeningError):
    """The line asks for an adoption after the adoption period."""

    def __init__(self) -> None:
        """Set the log message."""
        super().__init__("'at' is set, and the adoption period is over")


class DuplicateConnectionIdError(InvalidOpeningError):
    """Another connection has this id, or had it recently."""

    def __init__(self) -> None:
        """Set the log message."""
        super().__init__("connection id is in use or was used recently")
