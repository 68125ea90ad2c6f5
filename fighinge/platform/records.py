"""Decodes the records that operators and backend servers write to the platform's store."""

from __future__ import annotations

import re
from ipaddress import AddressValueError, IPv4Address
from typing import Annotated, Literal

import msgspec

from fighinge.aggregator.base import Address
from fighinge.decoding import UNREADABLE_ERRORS
from fighinge.router.accounts import key_digest
from fighinge.router.changes import (
    BackendListed,
    BackendUnlisted,
    Change,
    TablePublished,
    Unreadable,
    ZoneEvacuated,
    ZoneReturned,
)
from fighinge.router.model import (
    BackendRecord,
    CallerLimits,
    ClientAccount,
    Gather,
    Route,
    RoutingTable,
    ServiceConfig,
    Target,
)

SERVERS_PREFIX = "servers/"
OPERATOR_PREFIX = "op/"
CONFIG_KEY = "op/config"
EVACUATE_PREFIX = "op/evacuate/"

MAX_INTEGER = 2**63 - 1  # messages between routers hold no larger ones
MAX_SLOTS = 1_000_000
MAX_COLD_LEFT_MS = 86_400_000.0
MAX_PORT = 65_535
MAX_DURATION_MS = 1e12  # 32 years
MAX_QUOTA = 1e9  # requests per second, or in a burst; keeps sums finite
MAX_WEIGHT = 1e12  # keeps the sum of all weights of a route finite

Text = Annotated[str, msgspec.Meta(min_length=1)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_MS)]
Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
AccountName = Annotated[str, msgspec.Meta(pattern=r"^[!-~]{1,200}$")]  # sent as a header
Quota = Annotated[float, msgspec.Meta(ge=0, le=MAX_QUOTA)]
Weight = Annotated[float, msgspec.Meta(ge=0, le=MAX_WEIGHT)]
_INSTANCE_ID_PATTERN = re.compile(r"[!-~]{1,200}")  # sent as a header
_ADDRESS_PATTERN = re.compile(r"([0-9.]+):([0-9]{1,5})")


class _Record(msgspec.Struct, rename="kebab"):
    """Base class of records, whose field names have hyphens on the wire."""


class _Split(_Record):
    service: Text
    weight: Weight


class _Route(_Record):
    name: Text
    host: Text
    prefix: Text
    kind: str
    timeout_ms: Milliseconds = 30_000
    latency_target_ms: Milliseconds = 1_000
    priority: Integer = 0
    max_attempts: Integer = 1
    service: str | None = None
    split: list[_Split] = []
    gather: list[Text] = []
    top_k: Integer = 10
    min_coverage: float = 1.0
    public: bool = False

    def decode(self) -> Route:
        """Return the route; apart from gathers, only ``kind`` decides whether it is idempotent."""
        targets = [Target(split.service, split.weight) for split in self.split]
        if self.service:
            targets = [Target(self.service)]
        gather = None
        if self.gather:
            gather = Gather(tuple(self.gather), self.top_k, self.min_coverage)
            targets = []
        return Route(
            name=self.name,
            host=self.host.lower(),
            prefix=self.prefix,
            is_idempotent=self.kind == "idempotent" or gather is not None,
            timeout_s=self.timeout_ms / 1000,
            latency_target_s=self.latency_target_ms / 1000,
            priority=self.priority,
            max_attempts=max(1, self.max_attempts),
            targets=tuple(targets),
            gather=gather,
            is_public=self.public,
        )


class _Service(_Record):
    name: Text
    health_path: str = "/health"
    max_conns: Integer = 16
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0

    def decode(self) -> ServiceConfig:
        return ServiceConfig(
            self.name, self.health_path, self.max_conns, self.cold_start_s, self.cold_per_s
        )


class _Limits(_Record):
    max_header_bytes: Integer = 16_384
    max_body_bytes: Integer = 1_048_576
    header_timeout_ms: Milliseconds = 10_000
    idle_timeout_ms: Milliseconds = 60_000

    def decode(self) -> CallerLimits:
        return CallerLimits(
            self.max_header_bytes,
            self.max_body_bytes,
            self.header_timeout_ms / 1000,
            self.idle_timeout_ms / 1000,
        )


class _Account(_Record):
    name: AccountName
    api_keys: list[Text] = []
    priority: Integer | None = None
    rate_per_s: Quota = 0.0
    burst: Quota = 0.0

    def decode(self) -> ClientAccount:
        digests = tuple(key_digest(key) for key in self.api_keys)
        return ClientAccount(self.name, digests, self.priority, self.rate_per_s, self.burst)


class _Config(_Record):
    version: Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Account] = []


class _Server(_Record):
    """A backend server's record.

    ``version``, the version of its software, is ignored. ``cold-left-ms`` is the remaining time of
    its cold start when the record was written. ``born`` is its start time in milliseconds by its
    own wall clock.
    """

    service: Text
    address: Text
    zone: Text
    state: Literal["ready", "draining"]
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    seq: Integer
    cold_left_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_COLD_LEFT_MS)] = 0
    born: Integer = 0


_config_decoder = msgspec.json.Decoder(_Config)
_server_decoder = msgspec.json.Decoder(_Server)


def decode_put(key: str, value: bytes) -> Change | None:
    """Return the change that a written item stands for, or ``None`` for an irrelevant key."""
    if key == CONFIG_KEY:
        return _decode_config(key, value)
    if key.startswith(EVACUATE_PREFIX):
        return ZoneEvacuated(key.removeprefix(EVACUATE_PREFIX))
    if key.startswith(SERVERS_PREFIX):
        return _decode_server(key.removeprefix(SERVERS_PREFIX), value)
    return None


def decode_delete(key: str) -> Change | None:
    """Return the change that a deleted item stands for, or ``None`` for an irrelevant key."""
    if key.startswith(EVACUATE_PREFIX):
        return ZoneReturned(key.removeprefix(EVACUATE_PREFIX))
    if key.startswith(SERVERS_PREFIX):
        return BackendUnlisted(key.removeprefix(SERVERS_PREFIX))
    return None


def _decode_config(key: str, value: bytes) -> Change:
    try:
        config = _config_decoder.decode(value)
    except (*UNREADABLE_ERRORS, ValueError) as error:
        return Unreadable(key, str(error))
    services = {service.name: service.decode() for service in config.services}
    routes = tuple(route.decode() for route in config.routes)
    accounts = tuple(account.decode() for account in config.tenants)
    limits = config.limits.decode()
    return TablePublished(RoutingTable(config.version, routes, services, limits, accounts))


def _decode_server(instance_id: str, value: bytes) -> Change:
    """Return the change for a backend server's record; an invalid one counts as removed."""
    if not _INSTANCE_ID_PATTERN.fullmatch(instance_id):
        return BackendUnlisted(instance_id, "its identifier must be 1 to 200 visible characters")
    try:
        record = _server_decoder.decode(value)
        address = _parse_address(record.address)
    except (*UNREADABLE_ERRORS, ValueError) as error:
        return BackendUnlisted(instance_id, str(error))
    return BackendListed(
        BackendRecord(
            instance_id=instance_id,
            service=record.service,
            address=address,
            zone=record.zone,
            slots=record.slots,
            is_draining=record.state == "draining",
            cold_left_s=record.cold_left_ms / 1000,
            started_ms=record.born,
        )
    )


def _parse_address(text: str) -> Address:
    """Return the address of a backend server.

    :raises ValueError: if a server cannot listen on it
    """
    match = _ADDRESS_PATTERN.fullmatch(text)
    if match is None:
        raise ValueError("address must be an IPv4 address and a port")
    host, port = match[1], int(match[2])
    try:
        IPv4Address(host)
    except AddressValueError as error:
        raise ValueError(f"address: {error}") from error
    if not 1 <= port <= MAX_PORT:
        raise ValueError(f"address: the port must be 1 to {MAX_PORT}")
    return Address(host, port)
