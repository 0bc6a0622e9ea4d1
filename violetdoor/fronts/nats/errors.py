"""Errors that end a session of the NATS front; their texts are sent to the client as -ERR."""

from __future__ import annotations

from dataclasses import dataclass

AUTHENTICATION_TIMEOUT = "Authentication Timeout"
AUTHORIZATION_VIOLATION = "Authorization Violation"
CONTROL_LINE_TOO_LONG = "Maximum Control Line Exceeded"
INTERNAL_ERROR = "Internal Error"
INVALID_SUBJECT = "Invalid Subject"
NO_CAPACITY = "Maximum Connections Exceeded"
NO_SERVERS = "No Servers Available"
PARSER_ERROR = "Parser Error"
PAYLOAD_TOO_LONG = "Maximum Payload Violation"
PLACEMENT_TIMEOUT = "Placement Timeout"
SERVER_SHUTDOWN = "Server Shutdown"
SLOW_CONSUMER = "Slow Consumer"
STALE_CONNECTION = "Stale Connection"
TOO_MANY_CONNECTIONS = "maximum connections exceeded"
TOO_MANY_SUBSCRIPTIONS = "Maximum Subscriptions Exceeded"
UNKNOWN_OPERATION = "Unknown Protocol Operation"


class NatsClientError(Exception):
    """An error that ends a client's session with an -ERR of this text."""


class ProtocolError(NatsClientError):
    """The client or the server violated the protocol."""


class ClientDeniedError(NatsClientError):
    """The client is denied by its server, the rules or the tenants, or because the relay is overloaded."""


@dataclass(slots=True, frozen=True)
class SessionEnd:
    """How a session ends: with an -ERR, or without one if the client left or the program exits."""

    error_text: str = ""
    drops_queued: bool = False  # discard the data that is queued for the client


END_WITHOUT_ERROR = SessionEnd()
UNCONFIRMED_PUBLICATIONS = SessionEnd(STALE_CONNECTION)  # on this text client libraries connect anew
SLOW_CLIENT = SessionEnd(SLOW_CONSUMER, drops_queued=True)
