"""Runs the decision module on a real clock: one `Controller` per relay, one `RequestHandle` per request.

This package is independent of the wire format of requests.
"""

from violetdoor.core.controller import Controller
from violetdoor.core.request_handle import ClientDisconnected, RequestAttributes, RequestHandle

__all__ = ["ClientDisconnected", "Controller", "RequestAttributes", "RequestHandle"]
