"""The core: the decision module in real time. It knows no wire."""

from violetdoor.core.controller import Controller, Left, Ticket

__all__ = ["Controller", "Left", "Ticket"]
