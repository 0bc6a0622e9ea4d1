"""The fleet as a service of the program: start and stop, upgrades, console calls under `/fleet`."""

from __future__ import annotations

import asyncio
import base64
import logging
import socket
from collections.abc import Callable, Mapping
from http import HTTPStatus
from pathlib import Path

import msgspec
import orjson

from violetdoor.configuration.errors import ConfigError
from violetdoor.configuration.operator_form import Fleet as Options
from violetdoor.console.server import Answer
from violetdoor.fleet.context import NodeConfig
from violetdoor.fleet.endpoint import FleetEndpoint
from violetdoor.fleet.founding import ForceRefusedError
from violetdoor.fleet.key_file import KeyFileError, read_key
from violetdoor.fleet.messages import encode
from violetdoor.fleet.state_file import StateFileError
from violetdoor.fleet.stored_state import HandoverState, handover_state_decoder
from violetdoor.maintenance.sharing import SharedServerStates
from violetdoor.net.addresses import parse_address
from violetdoor.services import Service, ServiceHost
from violetdoor.upgrade.messages import FleetMembership, Message

log = logging.getLogger("violetdoor")

HANDOVER_TIMEOUT_SECONDS = 2.0  # how long the new process waits for the handover after this service starts
# Delay until the next attempt to open the sockets and the state file, which the other process may still hold.
START_RETRY_DELAY_SECONDS = 0.2
# Names of the sockets that an upgrade hands over.
UDP_SOCKET = "fleet-udp"
TCP_SOCKET = "fleet-tcp"


class FleetService(Service):
    """Runs the fleet endpoint, sets the core's relay count, and shares bans and drains in the fleet."""

    def __init__(self, host: ServiceHost) -> None:
        """Create the endpoint from the operator's file. Raises ConfigError for an invalid key file."""
        self.host = host
        self.core = host.core
        options = host.config.fleet
        assert options is not None
        self.options = options
        self.takeover_timer: asyncio.TimerHandle | None = None
        self.endpoint = self._create_endpoint(options)
        self.shared_server_states = SharedServerStates(host, self.endpoint.set_entry)
        self.endpoint.entry_listeners.append(self.shared_server_states.apply)

    def _create_endpoint(self, options: Options) -> FleetEndpoint:
        assert options.listen is not None  # a relay without it attaches: `violetdoor.control.service`
        bind_address = parse_address(options.listen)
        advertised = parse_address(options.advertise) if options.advertise else bind_address
        node_config = NodeConfig(
            name=self.host.config.name,
            host=advertised[0],
            port=advertised[1],
            zone=self.host.config.settings.zone,
            seeds=tuple(parse_address(seed) for seed in options.seeds),
            founders=frozenset(options.founders),
            version=options.max_wire_version,
        )
        try:
            key = read_key(Path(options.key_file))
        except KeyFileError as error:
            raise ConfigError(str(error)) from error
        endpoint = FleetEndpoint(
            node_config,
            bind_address,
            key,
            Path(options.state_file) if options.state_file else None,
            routes={name: parse_address(address) for name, address in options.routes.items()},
        )
        endpoint.on_active_relays = self.core.set_live_relay_count
        return endpoint

    async def start(self) -> None:
        """Join the fleet and wait for a view; in an upgrade, wait for the handover in the background."""
        if self.host.predecessor_state is not None:
            # The previous process remains the member until it hands the membership over.
            self._schedule_take_over(HANDOVER_TIMEOUT_SECONDS, None)
            return
        try:
            self.endpoint.start()
        except StateFileError as error:
            raise ConfigError(str(error)) from error
        log.info(
            "fleet endpoint opened at %s:%d as relay %s", *self.endpoint.address, self.endpoint.config.name
        )
        # A client accepted before this relay has the shared map would be placed without regard to the bans
        # and drains of other relays.
        if not await self.endpoint.wait_until_joined(self.options.start_timeout):
            log.warning("joined no fleet view within %g s; starting without one", self.options.start_timeout)

    async def stop(self) -> None:
        """Leave the fleet and close its sockets."""
        await self.endpoint.close()

    # Upgrades: the two processes of a relay are the same member, one after the other.

    def shared_sockets(self) -> dict[str, socket.socket]:
        """Return the sockets that the next process inherits."""
        if not self.endpoint.is_open:
            return {}
        return {UDP_SOCKET: self.endpoint.udp, TCP_SOCKET: self.endpoint.tcp}

    def on_successor_accepting(self) -> None:
        """Stop being the member, and send the membership state to the next process."""
        handover = self.endpoint.hand_over()
        if handover is not None:
            self.host.send_to_peer(FleetMembership(base64.b85encode(encode(handover)).decode()))

    def on_message(self, message: Message) -> None:
        """Take over the membership with the state that the previous process sends."""
        if isinstance(message, FleetMembership):
            self._take_over(handover_state_decoder.decode(base64.b85decode(message.state)))

    def on_successor_lost(self) -> None:
        """Become the member again, without the state of the other process."""
        self._take_over(None)

    def _schedule_take_over(self, delay: float, handover: HandoverState | None) -> None:
        loop = asyncio.get_running_loop()
        self.takeover_timer = loop.call_later(delay, self._take_over, handover)

    def _take_over(self, handover: HandoverState | None) -> None:
        """Start the endpoint as the member, from the other process' state or else from the state file."""
        if self.takeover_timer is not None:
            self.takeover_timer.cancel()
            self.takeover_timer = None
        if self.endpoint.is_open:
            return
        inherited = self.host.inherited_sockets
        try:
            self.endpoint.start(handover, inherited.pop(UDP_SOCKET, None), inherited.pop(TCP_SOCKET, None))
        except (StateFileError, OSError) as error:
            log.error("cannot open the fleet endpoint to take over the membership; retrying: %s", error)
            self._schedule_take_over(START_RETRY_DELAY_SECONDS, handover)

    # Operators.

    def gauges(self) -> Mapping[str, Callable[[], int]]:
        """Return the functions that read the gauges of `/stats`, by name."""
        return {"fleet_size": self._view_size, "fleet_live": self._holds_lease}

    def _view_size(self) -> int:
        return 0 if self.endpoint.view is None else len(self.endpoint.view.members)

    def _holds_lease(self) -> int:
        return int(self.endpoint.may_act())

    def handle_call(self, method: str, path: list[str]) -> Answer | None:
        """Answer console calls under `/fleet`; return None for other paths."""
        if path[:1] != ["fleet"]:
            return None
        match method, path[1:]:
            case "GET", []:
                return self._status()
            case "GET", ["owns", key]:
                return self._ownership(key)
            case "PUT", ["force"]:
                return self._force()
            case "PUT", ["leave"]:
                self.endpoint.leave()
                return Answer(HTTPStatus.OK, "left\n")
        return Answer(HTTPStatus.METHOD_NOT_ALLOWED, "another method or path is wanted\n")

    def _status(self) -> Answer:
        status = msgspec.to_builtins(self.endpoint.status())
        return Answer(HTTPStatus.OK, orjson.dumps(status, option=orjson.OPT_INDENT_2).decode() + "\n")

    def _ownership(self, key: str) -> Answer:
        view = self.endpoint.view
        if view is not None and self.endpoint.owns(key):
            return Answer(HTTPStatus.OK, f"{view.id}\n")
        return Answer(HTTPStatus.CONFLICT, "not this relay's\n")

    def _force(self) -> Answer:
        try:
            self.endpoint.force_epoch()
        except ForceRefusedError as error:
            return Answer(HTTPStatus.CONFLICT, f"refused: {error}\n")
        return Answer(HTTPStatus.OK, "asked those that are reached to go on\n")
