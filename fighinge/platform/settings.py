"""Reads the settings file that the platform provides to each process."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Annotated

import msgspec

from fighinge.decoding import UNREADABLE_ERRORS
from fighinge.errors import ErrorKind, Failure
from fighinge.router.settings import RouterSettings

SETTINGS_VARIABLE = "FIGHINGE_BOOT"
MAX_NUMBER = 1e9  # of a setting; keeps sums and products of settings finite
MAX_PORT = 65_535
BYTES_PER_MB = 1024 * 1024
ACCOUNTS_CONTRACT = "tenants"

Number = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]
PositiveNumber = Annotated[float, msgspec.Meta(gt=0, le=MAX_NUMBER)]
Port = Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]


class _Section(msgspec.Struct, rename="kebab"):
    """Base class of sections; unknown fields are ignored."""


class _Listen(_Section):
    front: str
    ready: str
    directory: str
    control: str


class _Limits(_Section):
    """Limits of the process and its host.

    ``cpu-share`` is a fraction of one core; ``cores`` is the speed of that core relative to a
    reference core, not a number of cores.
    """

    cpu_share: PositiveNumber = 1.0
    cores: PositiveNumber = 1.0
    memory_mb: PositiveNumber = 512
    max_fds: PositiveNumber = 4096
    link_mbps: PositiveNumber = 1000


class _Bounds(_Section):
    grace_s: Number = 6.0
    drain_ms: Number = 3000
    retry_budget_ratio: Number = 0.2
    budget_window_s: PositiveNumber = 10.0
    budget_slack: Number = 0.0
    cold_overage: Number = 1.0
    cold_slack: Number = 0.0
    ttl_max_s: Number = 5.0
    quota_window_s: PositiveNumber = 5.0
    quota_overage: Number = 0.0
    quota_slack: Number = 0.0


class _RouterOptions(_Section):
    """Options of the router, which the platform does not set."""

    balance_shards: bool = False


class _Tolerate(_Section):
    machines: Number = 2


class _Platform(_Section):
    address: str


class _Settings(_Section):
    node_name: str
    ip: str
    zone: str
    listen: _Listen
    platform: _Platform
    internal_port_range: tuple[Port, Port]
    zones: dict[str, str] = {}
    region: str = ""
    seeds: list[str] = []
    bootstrap: bool = False
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    tolerate: _Tolerate = msgspec.field(default_factory=_Tolerate)
    contracts: list[str] = []
    router_options: _RouterOptions = msgspec.field(default_factory=_RouterOptions)


def settings_path() -> Path | Failure:
    """Return the path of the settings file."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        return Failure(ErrorKind.BAD_REQUEST, "has to name a settings file", SETTINGS_VARIABLE)
    return Path(path)


def read_settings(path: Path) -> RouterSettings | Failure:
    """Return the settings, or a failure that names the invalid field."""
    try:
        raw = msgspec.json.decode(path.read_bytes(), type=_Settings)
        return _to_router_settings(raw)
    except OSError as error:
        return Failure(ErrorKind.BAD_REQUEST, f"cannot be read: {error}", str(path))
    except (*UNREADABLE_ERRORS, ValueError) as error:
        return Failure(ErrorKind.BAD_REQUEST, str(error), str(path))


def _to_router_settings(raw: _Settings) -> RouterSettings:
    bounds = raw.bounds
    return RouterSettings(
        name=raw.node_name,
        address=raw.ip,
        zone=raw.zone,
        region=raw.region,
        region_by_zone=raw.zones,
        caller_port=_parse_port("listen.front", raw.listen.front),
        readiness_port=_parse_port("listen.ready", raw.listen.ready),
        address_port=_parse_port("listen.directory", raw.listen.directory),
        control_port=_parse_port("listen.control", raw.listen.control),
        gossip_port=raw.internal_port_range[0],
        seeds=tuple(seed.rpartition(":")[0] for seed in raw.seeds),
        platform_address=raw.platform.address,
        stop_timeout_s=bounds.grace_s,
        retry_budget_ratio=bounds.retry_budget_ratio,
        retry_budget_window_s=bounds.budget_window_s,
        retry_budget_slack=bounds.budget_slack,
        cold_rate_factor=bounds.cold_overage,
        cold_rate_slack=bounds.cold_slack,
        max_address_ttl_s=bounds.ttl_max_s,
        capacity_cores=raw.limits.cpu_share * raw.limits.cores,
        is_first_start=raw.bootstrap,
        memory_bytes=int(raw.limits.memory_mb * BYTES_PER_MB),
        max_descriptors=int(raw.limits.max_fds),
        link_bits_per_s=raw.limits.link_mbps * 1e6,
        tolerated_host_losses=int(raw.tolerate.machines),
        uses_accounts=ACCOUNTS_CONTRACT in raw.contracts,
        may_balance_shards=raw.router_options.balance_shards,
        quota_window_s=bounds.quota_window_s,
        quota_overage=bounds.quota_overage,
        quota_slack=bounds.quota_slack,
    )


def _parse_port(field: str, address: str) -> int:
    """Return the port of an address.

    :raises ValueError: if it has none, with the name of the field
    """
    text = address.rpartition(":")[2]
    if not (text.isascii() and text.isdecimal() and len(text) <= len(str(MAX_PORT))):
        raise ValueError(f"{field}: {address!r} does not end in a port")
    if not 1 <= int(text) <= MAX_PORT:
        raise ValueError(f"{field}: the port must be 1 to {MAX_PORT}")
    return int(text)
