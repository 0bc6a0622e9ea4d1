"""The simulator's wire format: parses its messages into events, and encodes actions as messages.

A message is a list: its name, the instance that it is for, then its values in a fixed order.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from violetdoor.balancing.actions import (
    Action,
    CheckHealth,
    FailRequest,
    Migrate,
    Reject,
    SetTimer,
    StartAttempt,
    WatchServerList,
)
from violetdoor.balancing.events import (
    AttemptEnded,
    AttemptResult,
    ConnectionAdopted,
    ConnectionEstablished,
    ConnectionMeasured,
    Event,
    HealthCheckEnded,
    MeasurementKind,
    PeerMessage,
    RequestAbandoned,
    RequestArrived,
    ServerEntry,
    ServerListKind,
    ServerListUpdate,
    ServerState,
    TimerFired,
)
from violetdoor.balancing.platform_settings import parse_load_report
from violetdoor.simhost.errors import ShortMessageError, UnknownMessageError, UnreadableMessageError

Message = Sequence[Any]

LIST_KINDS = {
    "changes": ServerListKind.INCREMENTAL,
    "all": ServerListKind.COMPLETE,
    "remembered": ServerListKind.CACHED,
    "refused": ServerListKind.FAILED,
}
STATES = {"on": ServerState.READY, "fading": ServerState.DRAINING, "off": ServerState.REMOVED}
RESULTS = {
    "success": AttemptResult.OK,
    "failure": AttemptResult.ERROR,
    "overloaded": AttemptResult.OVERLOADED,
    "timed_out": AttemptResult.TIMEOUT,
    "unreachable": AttemptResult.UNREACHABLE,
    "broken": AttemptResult.RESET,
    "withdrawn": AttemptResult.CANCELLED,
    "void": AttemptResult.NOT_SENT,
}
LOAD_MEASUREMENT = 1  # code for the load of a connection
DELAY_MEASUREMENT = 2  # code for a message delay
LOAD_US_PER_MS = 1000.0  # the wire has us of work per second, the decision module ms


def _entry(values: Message) -> ServerEntry:
    name, zone, machine_type, cell, state, weight, started_at_ms = values[:7]
    return ServerEntry(
        name=name,
        zone=zone or "",
        machine_type=machine_type or "",
        cell=cell or 0,
        state=STATES[state],
        weight=1.0 if weight is None else weight,
        started_at_ms=started_at_ms or 0.0,
    )


def _server_list_update(message: Message) -> Event:
    _, _, kind, version, entries = message[:5]
    return ServerListUpdate(
        kind=LIST_KINDS[kind], entries=tuple(_entry(values) for values in entries or ()), version=version or 0
    )


def _request_arrived(message: Message) -> Event:
    _, _, request_id, request_class, tenant, key, time_left_ms, load, group = message[:9]
    is_retry, is_mid_stream, is_reconnect = message[9:12]
    return RequestArrived(
        request_id=request_id,
        request_class=request_class,
        time_left_ms=time_left_ms,
        tenant=tenant or "",
        idempotency_key=key,
        load=load,
        group=group,
        is_retry=bool(is_retry),
        is_mid_stream=bool(is_mid_stream),
        is_reconnect=bool(is_reconnect),
    )


def _connection_adopted(message: Message) -> Event:
    return ConnectionAdopted(
        request_id=message[2],
        request_class=message[6],
        server=message[11],
        tenant=message[12] or "",
        idempotency_key=message[5],
        load=message[8],
        group=message[7],
    )


def _connection_established(message: Message) -> Event:
    _, _, request_id, latency_ms, attempt, server = message[:6]
    return ConnectionEstablished(request_id, attempt, server, latency_ms)


def _connection_measured(message: Message) -> Event | None:
    _, _, request_id, attempt, server, kind, value = message[:7]
    if kind == LOAD_MEASUREMENT:
        load = value / LOAD_US_PER_MS
        return ConnectionMeasured(request_id, attempt, server, MeasurementKind.LOAD, load)
    if kind == DELAY_MEASUREMENT:
        return ConnectionMeasured(request_id, attempt, server, MeasurementKind.MESSAGE_DELAY, value)
    return None


def _attempt_ended(message: Message) -> Event:
    _, _, request_id, server, latency_ms, is_final, result, attempt, report = message[:9]
    return AttemptEnded(
        request_id=request_id,
        attempt=attempt,
        server=server,
        result=RESULTS[result],
        latency_ms=latency_ms,
        is_final=bool(is_final),
        load_report=parse_load_report(report),
    )


def _health_check_ended(message: Message) -> Event:
    _, _, server, result, latency_ms, report = message[:6]
    return HealthCheckEnded(server, RESULTS[result], latency_ms, parse_load_report(report))


@dataclass(slots=True, frozen=True)
class Reader:
    """How a message is parsed: its minimum number of values, including name and instance, and the parser."""

    min_values: int
    read: Callable[[Message], Event | None]


READERS: dict[str, Reader] = {
    "Targets": Reader(5, _server_list_update),
    "Query": Reader(12, _request_arrived),
    "Adopted": Reader(13, _connection_adopted),
    "Established": Reader(6, _connection_established),
    "HintUpdate": Reader(7, _connection_measured),
    "Ended": Reader(9, _attempt_ended),
    "Abandoned": Reader(3, lambda message: RequestAbandoned(message[2])),
    "TimeoutFired": Reader(3, lambda message: TimerFired(message[2])),
    "Sampled": Reader(6, _health_check_ended),
    "Message": Reader(4, lambda message: PeerMessage(message[2], bytes.fromhex(message[3]))),
}


def read_event(message: Message) -> Event | None:
    """Parse a message whose first value is its name; None if the decision module does not need it.

    Raises UnknownMessageError, ShortMessageError or UnreadableMessageError if it violates the protocol.
    """
    name = message[0]
    reader = READERS.get(name)
    if reader is None:
        raise UnknownMessageError(name)
    if len(message) < reader.min_values:
        raise ShortMessageError(name, len(message) - 1, reader.min_values - 1)
    try:
        return reader.read(message)
    except (KeyError, IndexError, TypeError, ValueError) as err:
        raise UnreadableMessageError(name, err) from err


def _start_attempt(instance: int, action: StartAttempt) -> list[Any]:
    return ["PassOn", instance, action.request_id, action.timeout_at_ms, action.server]


def _reject(instance: int, action: Reject) -> list[Any]:
    return ["NotNow", instance, action.request_id, action.retry_after_ms]


def _fail_request(instance: int, action: FailRequest) -> list[Any]:
    return ["Error", instance, action.request_id]


def _migrate(instance: int, action: Migrate) -> list[Any]:
    return ["Move", instance, action.request_id]


def _check_health(instance: int, action: CheckHealth) -> list[Any]:
    return ["Poll", instance, action.server]


def _set_timer(instance: int, action: SetTimer) -> list[Any]:
    return ["Defer", instance, action.token, action.at_ms]


def _watch_server_list(instance: int, _action: WatchServerList) -> list[Any]:
    return ["Follow", instance, True]


WRITERS: dict[type, Callable[[int, Any], list[Any]]] = {
    StartAttempt: _start_attempt,
    Reject: _reject,
    FailRequest: _fail_request,
    Migrate: _migrate,
    CheckHealth: _check_health,
    SetTimer: _set_timer,
    WatchServerList: _watch_server_list,
}


def write_action(instance: int, action: Action) -> list[Any]:
    """Encode an action of an instance as a message."""
    return WRITERS[type(action)](instance, action)
