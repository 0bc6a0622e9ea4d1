"""The calls that operators may make, and what is said to each."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

from violetdoor.console.server import Answer
from violetdoor.net.figures import Figures


class Calls:
    """Answers a call by its method and path."""

    def __init__(self, healthy: Callable[[], bool], figures: Figures) -> None:
        self.healthy, self.figures = healthy, figures

    def __call__(self, method: str, path: str) -> Answer:
        """Carry out one call."""
        match method, path.split("/")[1:]:
            case "GET", ["healthcheck"]:
                if self.healthy():
                    return HTTPStatus.OK, "ok\n"
                return HTTPStatus.SERVICE_UNAVAILABLE, "takes no clients\n"
            case "GET", ["stats"]:
                return HTTPStatus.OK, self.figures.text()
            case _, ["healthcheck" | "stats"]:
                return HTTPStatus.METHOD_NOT_ALLOWED, "another method is wanted\n"
        return HTTPStatus.NOT_FOUND, "no such call\n"
