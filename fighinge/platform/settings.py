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
    """CPU limits.

    ``cpu-share`` is a fraction of one core; ``cores`` is the speed of that core relative to a
    reference core, not a number of cores.
    """

    cpu_share: PositiveNumber = 1.0
    cores: PositiveNumber = 1.0


class _Bounds(_Section):
    grace_s: Number = 6.0
    drain_ms: Number = 3000
    retry_budget_ratio: Number = 0.2
    budget_window_s: PositiveNumber = 10.0
    budget_slack: Number = 0.0
    cold_overage: Number = 1.0
    cold_slack: Number = 0.0
    ttl_max_s: Number = 5.0


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
