"""The console calls of a control machine: health check, statistics, status, and forcing a new epoch."""

from __future__ import annotations

from collections.abc import Mapping
from http import HTTPStatus

from violetdoor.console.server import Answer
from violetdoor.control.console_status import console_json, machine_view
from violetdoor.control.server import ControlServer
from violetdoor.fleet.founding import ForceRefusedError


class ControlConsole:
    """Answers the console calls of operators."""

    def __init__(self, server: ControlServer) -> None:
        """Answer calls about a server that has been started."""
        self._server = server

    def answer(self, method: str, path: str) -> Answer:
        """Carry out one call, and return its HTTP status and text."""
        match method, path.split("/")[1:]:
            case "GET", ["healthcheck"]:
                return self._health()
            case "GET", ["stats"]:
                return Answer(HTTPStatus.OK, self._stats())
            case "GET", ["control"]:
                return Answer(HTTPStatus.OK, console_json(machine_view(self._server)))
            case "PUT", ["control", "force"]:
                return self._force()
            case _, ["healthcheck" | "stats" | "control"] | ["control", "force"]:
                return Answer(HTTPStatus.METHOD_NOT_ALLOWED, "another method is wanted\n")
        return Answer(HTTPStatus.NOT_FOUND, "no such call\n")

    def gauges(self) -> Mapping[str, int]:
        """Return the present gauges by their statsd names."""
        status = self._server.machine.status(self._server.clock())
        return {
            "control_sessions": status.session_count,
            "control_watchers": status.watcher_count,
            "control_living": status.member_count,
            "control_leads": int(status.is_leader),
            "control_live": int(status.may_act),
            "control_regions": sum(region.is_connected for region in status.regions),
        }

    def _health(self) -> Answer:
        if self._server.machine.status(self._server.clock()).may_act:
            return Answer(HTTPStatus.OK, "ok\n")
        return Answer(HTTPStatus.SERVICE_UNAVAILABLE, "no lease in the group: no leases are granted\n")

    def _stats(self) -> str:
        lines = [f"svc.{name}:{value}|g\n" for name, value in self.gauges().items()]
        for name, count in self._server.counters.items():
            lines.append(f"svc.{name.replace(' ', '_')}:{count}|c\n")
        return "".join(lines)

    def _force(self) -> Answer:
        try:
            self._server.fleet.force_epoch()
        except ForceRefusedError as error:
            return Answer(HTTPStatus.CONFLICT, f"refused: {error}\n")
        return Answer(HTTPStatus.OK, "asked those that are reached to go on\n")
