"""Settings of a router."""

from __future__ import annotations

import msgspec


class RouterSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What a router learns before it starts; ports are the same on every host.

    ``extra_calls_share``, ``extra_calls_window_s`` and ``extra_calls_slack`` bound what all
    routers together may send to a service beyond the first call of each request.
    ``cold_rate_factor`` and ``cold_rate_slack`` do so for a cold backend server's requests a
    second. ``stop_timeout_s`` is the time between the signal to stop and the kill.
    ``is_first_start`` is true where all routers start at about the same time.
    """

    name: str
    address: str
    zone: str
    region: str
    region_by_zone: dict[str, str]
    caller_port: int
    readiness_port: int
    address_port: int
    control_port: int
    gossip_port: int
    seeds: tuple[str, ...]
    platform_address: str
    stop_timeout_s: float
    extra_calls_share: float
    extra_calls_window_s: float
    extra_calls_slack: float
    cold_rate_factor: float
    cold_rate_slack: float
    max_address_ttl_s: float
    capacity_cores: float
    is_first_start: bool
