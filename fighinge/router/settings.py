"""Settings of a router process."""

from __future__ import annotations

import msgspec


class RouterSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings that a router reads at its start; ports are the same on every host.

    ``retry_budget_ratio``, ``retry_budget_window_s`` and ``retry_budget_slack`` limit the retries
    and hedges that all routers together send to a service.
    ``cold_rate_factor`` and ``cold_rate_slack`` limit the requests per second to a backend server
    during its cold start. ``stop_timeout_s`` is the time between SIGTERM and SIGKILL.
    ``is_first_start`` is true if all routers start at about the same time.
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
    retry_budget_ratio: float
    retry_budget_window_s: float
    retry_budget_slack: float
    cold_rate_factor: float
    cold_rate_slack: float
    max_address_ttl_s: float
    capacity_cores: float
    is_first_start: bool
