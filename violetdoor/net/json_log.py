"""JSON log format, one object per line, made with structlog; enabled in the operator's file."""

from __future__ import annotations

import logging
from typing import Any

import orjson
import structlog
from structlog.stdlib import ProcessorFormatter

from violetdoor.events import is_event


def _add_fields(_logger: Any, _method: str, event: Any) -> Any:
    """Add an event's name and values, and the logger, level and time of every line."""
    record = event["_record"]
    args = event.pop("positional_args", ())
    if is_event(args):
        event["event"] = args[0]
        event.update(args[1])
    return event | {"logger": record.name, "level": record.levelname.lower(), "time": record.created}


def _render(value: Any, **_: Any) -> str:
    return orjson.dumps(value, default=str).decode()


def json_formatter() -> logging.Formatter:
    """Return the formatter that writes each line as a JSON object."""
    return ProcessorFormatter(
        processors=[
            _add_fields,
            structlog.processors.format_exc_info,
            ProcessorFormatter.remove_processors_meta,
            structlog.processors.JSONRenderer(_render),
        ],
        pass_foreign_args=True,
    )
