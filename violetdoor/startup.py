"""The start-up steps that relays and control machines share: log, early signals, and exit status."""

from __future__ import annotations

import logging
import signal
import sys
from collections.abc import Callable

from violetdoor.configuration.errors import ConfigError
from violetdoor.net.log_filter import RepeatedLineFilter

# Blocked until the program has installed its handlers: a signal that arrives earlier stays pending.
BLOCKED_SIGNALS = frozenset({signal.SIGHUP, signal.SIGTERM})

LOG_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
EXIT_OK = 0
# The configuration is not valid, or an address can't be opened.
EXIT_CANNOT_START = 2


class LogOutput:
    """The program's log on standard error, as plain text until another format is chosen."""

    def __init__(self) -> None:
        """Write the lines of all loggers to standard error; repeated lines of one kind are suppressed."""
        self.limit = RepeatedLineFilter()
        self._handler = logging.StreamHandler()
        self._handler.addFilter(self.limit)
        logging.basicConfig(level=logging.INFO, format=LOG_FORMAT, handlers=[self._handler])

    def use_format(self, name: str) -> None:
        """Write lines as JSON if `name` is "json"."""
        if name == "json":
            from violetdoor.net.json_log import json_formatter  # its library is loaded only if it is used

            self._handler.setFormatter(json_formatter())


def run_program(start: Callable[[LogOutput], None]) -> int:
    """Run `start`, which serves until it is stopped, and return the exit status.

    If the configuration is invalid or the program can't start, one line is printed on standard error and the
    status is 2.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, BLOCKED_SIGNALS)
    try:
        start(LogOutput())
    except ConfigError as error:
        print(f"violetdoor: {error}", file=sys.stderr)
        return EXIT_CANNOT_START
    except OSError as error:
        print(f"violetdoor: it cannot serve: {error}", file=sys.stderr)
        return EXIT_CANNOT_START
    return EXIT_OK
