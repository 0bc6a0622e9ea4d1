"""The program's service that attaches a relay to its region's control machines."""

from __future__ import annotations

import asyncio
import base64
import logging
from collections.abc import Callable, Mapping
from http import HTTPStatus
from urllib.parse import unquote

import msgspec

from violetdoor.configuration.errors import ConfigError
from violetdoor.console.server import Answer
from violetdoor.control.console_status import attachment_view, console_json
from violetdoor.control.relay.actions import LookupResult
from violetdoor.control.relay.client import ControlClient
from violetdoor.control.relay.options import AttachmentConfig, AttachmentOptions
from violetdoor.control.relay.snapshot import AttachmentSnapshot
from violetdoor.control.relay.status import AttachmentState
from violetdoor.fleet.key_file import KeyFileError, read_key
from violetdoor.maintenance.sharing import SharedServerStates
from violetdoor.services import Service, ServiceHost
from violetdoor.upgrade.messages import ControlAttachment, Message

log = logging.getLogger("violetdoor")

# Time that the predecessor process has to hand over its run, once this process accepts clients.
HANDOVER_TIMEOUT_SECONDS = 2.0
# Cached owners of other regions' keys, and lookups without a response; beyond it the oldest is dropped.
MAX_CACHED_OWNERS = 1024

_snapshot_decoder = msgspec.msgpack.Decoder(AttachmentSnapshot)


class ControlService(Service):
    """Attaches to the control machines, notifies the core of the relay count, and shares bans and drains."""

    def __init__(self, host: ServiceHost) -> None:
        """Read the key file. Raises ConfigError if it can't be read."""
        options = host.config.control
        assert options is not None, "ControlService requires the options of an attachment"
        self.host = host
        self.core = host.core
        self.options = options
        self.handover_timer: asyncio.TimerHandle | None = None
        self.first_lease_acquired = asyncio.Event()
        self.member_count: int | None = None  # relays in all regions, as last sent to the core; None: unknown
        self.client = self._make_client(options)
        self.shared_servers = SharedServerStates(
            host, lambda key, value: self.client.set_shared_value(key, value)
        )
        self._pending_lookups: dict[int, str] = {}  # keys by the number of their lookup
        self._cached_owners: dict[str, str | None] = {}  # by key of another region, oldest response first

    def _make_client(self, options: AttachmentOptions) -> ControlClient:
        config = self.host.config
        host, port = options.advertised_address or config.listen
        attachment_config = AttachmentConfig(
            config.name, host, port, config.settings.zone, options.region, options.control_addresses
        )
        try:
            key = read_key(options.key_path)
        except KeyFileError as error:
            raise ConfigError(str(error)) from error
        client = ControlClient(attachment_config, key)
        client.on_step = self._handle_step
        client.on_lookup_result = self._handle_lookup_result
        client.attachment.shared_map.on_change = self._handle_shared_value
        return client

    async def start(self) -> None:
        """Attach, and wait for the first lease; in an upgrade, wait for the handover instead."""
        if self.host.predecessor_state is not None:
            # The predecessor process keeps the session until this process accepts clients.
            self.handover_timer = asyncio.get_running_loop().call_later(
                HANDOVER_TIMEOUT_SECONDS, self._start_client, None
            )
            return
        self._start_client(None)
        # Clients accepted before the first lease would be placed without the other relays' bans and drains.
        try:
            async with asyncio.timeout(self.options.lease_wait_seconds):
                await self.first_lease_acquired.wait()
        except TimeoutError:
            log.warning(
                "got no lease from a control machine within %g s, accepting clients without fleet state",
                self.options.lease_wait_seconds,
            )

    async def stop(self) -> None:
        """Leave the fleet."""
        if self.handover_timer is not None:
            self.handover_timer.cancel()
        await self.client.close()

    # Upgrade: both processes belong to one run of the relay.

    def on_successor_accepting(self) -> None:
        """Hand the run over to the successor process, which accepts clients from now on."""
        snapshot = self.client.hand_over()
        if snapshot is not None:
            text = base64.b85encode(msgspec.msgpack.encode(snapshot)).decode()
            self.host.send_to_peer(ControlAttachment(text))

    def on_message(self, message: Message) -> None:
        """Continue the run that the predecessor process has handed over."""
        if isinstance(message, ControlAttachment):
            self._start_client(_snapshot_decoder.decode(base64.b85decode(message.state)))

    def on_successor_lost(self) -> None:
        """Attach as a new run: the handed over one ended with the successor process."""
        self.client = self._make_client(self.options)
        self._start_client(None)

    def _start_client(self, snapshot: AttachmentSnapshot | None) -> None:
        """Attach unless already attached: continue the run of `snapshot`, or start a new one if None."""
        if self.handover_timer is not None:
            self.handover_timer.cancel()
            self.handover_timer = None
        if not self.client.is_open:
            self.client.start(snapshot)

    # Events of the attachment.

    def _handle_step(self) -> None:
        attachment = self.client.attachment
        now = self.client.clock()
        if not self.first_lease_acquired.is_set() and attachment.may_act(now):
            self.first_lease_acquired.set()
        member_count = None
        if attachment.roster is not None:
            member_count = attachment.member_counts(now).total
        if member_count != self.member_count:
            self.member_count = member_count
            self.core.set_live_relay_count(member_count)

    def _handle_shared_value(self, key: str, value: float | None) -> None:
        self.shared_servers.apply(key, value)

    # Owners of keys.

    def _handle_lookup_result(self, result: LookupResult) -> None:
        key = self._pending_lookups.pop(result.lookup_number, None)
        if key is None:
            return
        self._cached_owners.pop(key, None)
        self._cached_owners[key] = result.owner
        while len(self._cached_owners) > MAX_CACHED_OWNERS:
            del self._cached_owners[next(iter(self._cached_owners))]

    def _request_owner(self, key: str) -> None:
        """Request the owner from a control machine; the response is cached for later calls."""
        if key in self._pending_lookups.values():
            return
        while len(self._pending_lookups) >= MAX_CACHED_OWNERS:  # their sessions ended before the response
            del self._pending_lookups[next(iter(self._pending_lookups))]
        lookup_number = self.client.lookup(key)
        if lookup_number is not None:
            self._pending_lookups[lookup_number] = key

    # Metrics and console calls.

    def gauges(self) -> Mapping[str, Callable[[], int]]:
        """Return the gauges of the attachment, under the names in docs/operators/fleet-scale.md."""
        attachment = self.client.attachment
        return {
            "fleet_size": lambda: self.member_count or 0,
            "fleet_live": lambda: int(self.client.attachment.may_act(self.client.clock())),
            "fleet_attached": lambda: int(self.client.attachment.state is AttachmentState.ATTACHED),
            "fleet_lease_ms": self._lease_remaining_ms,
            "fleet_attempts": lambda: attachment.attempt,
        }

    def _lease_remaining_ms(self) -> int:
        status = self.client.attachment.status(self.client.clock())
        return int(1000 * status.lease_remaining_seconds)

    def handle_call(self, method: str, path: list[str]) -> Answer | None:
        """Answer the console's calls under `/fleet`; return None for all others."""
        if path[:1] != ["fleet"]:
            return None
        match method, path[1:]:
            case "GET", []:
                return Answer(HTTPStatus.OK, console_json(attachment_view(self.client)))
            case "GET", ["owns", key]:
                return self._answer_owns(unquote(key))
            case "GET", ["owner", key]:
                return self._answer_owner(unquote(key))
            case "PUT", ["leave"]:
                self.client.leave()
                return Answer(HTTPStatus.OK, "left\n")
        return Answer(HTTPStatus.METHOD_NOT_ALLOWED, "another method or path is wanted\n")

    def _answer_owns(self, key: str) -> Answer:
        """Answer whether only this relay may act on a key at this moment, with the roster's version if so."""
        attachment = self.client.attachment
        if attachment.owns(key, self.client.clock()) and attachment.roster is not None:
            return Answer(HTTPStatus.OK, f"{attachment.roster.version}\n")
        return Answer(HTTPStatus.CONFLICT, "not this relay's\n")

    def _answer_owner(self, key: str) -> Answer:
        """Answer with a key's owner by the newest roster here, or by a control machine's last response."""
        owner = self.client.attachment.owner(key)
        if owner is None:
            owner = self._cached_owners.get(key)
            self._request_owner(key)
        if owner is None:
            return Answer(HTTPStatus.SERVICE_UNAVAILABLE, "not known yet: a control machine is asked\n")
        return Answer(HTTPStatus.OK, f"{owner}\n")
