"""Errors of the simulator adapter: protocol violations of the simulator."""

from __future__ import annotations

SHOWN_CHARACTERS = 80  # of an invalid message that an error quotes


class WireError(Exception):
    """The simulator violated the protocol; the text is one plain line."""


class MalformedBatchError(WireError):
    """A line is not a batch."""

    def __init__(self) -> None:
        """Describe a valid batch."""
        super().__init__("malformed batch: expected an object with a number 'wall' and a list 'items'")


class MalformedMessageError(WireError):
    """An item of a batch is not a message."""

    def __init__(self, item: object) -> None:
        """Quote the beginning of the item."""
        shown = str(item)[:SHOWN_CHARACTERS]
        super().__init__(
            f"malformed message: expected a list that starts with name and instance number, found {shown}"
        )


class UnknownMessageError(WireError):
    """A message has an unknown name."""

    def __init__(self, name: str) -> None:
        """Quote the name."""
        super().__init__(f"unknown message {name!r}")
        self.name = name


class ShortMessageError(WireError):
    """A message has too few values."""

    def __init__(self, name: str, count: int, expected: int) -> None:
        """Give the actual and the minimum number of values, not counting the name."""
        super().__init__(f"message {name} has {count} values, expected at least {expected}")
        self.name = name
        self.count = count
        self.expected = expected


class UnreadableMessageError(WireError):
    """A value of a message is invalid."""

    def __init__(self, name: str, cause: Exception) -> None:
        """Quote the error that parsing the message raised."""
        super().__init__(f"message {name} has an invalid value: {type(cause).__name__} {cause}")
        self.name = name


class UnknownInstanceError(WireError):
    """A message is for an instance that was not started."""

    def __init__(self, name: str, instance: int) -> None:
        """Quote the message's name and the instance."""
        super().__init__(f"message {name} is for instance {instance}, which was not started")
        self.name = name
        self.instance = instance
