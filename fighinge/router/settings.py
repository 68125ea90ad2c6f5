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

    ``memory_bytes`` and ``max_descriptors`` are the limits of this process, ``link_bits_per_s`` the
    bandwidth of its host. ``tolerated_host_losses`` is how many hosts may fail at once.
    ``uses_accounts`` says that the configuration names client accounts. ``may_balance_shards``
    lets queries leave out different shards while several lack capacity. The quota settings bound
    the requests of an account in any ``quota_window_s``, summed over all routers: what its rate and
    burst allow, times ``1 + quota_overage``, plus ``quota_slack``.
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
    memory_bytes: int = 512 * 1024 * 1024
    max_descriptors: int = 4096
    link_bits_per_s: float = 1e9
    tolerated_host_losses: int = 2
    uses_accounts: bool = False
    may_balance_shards: bool = False
    quota_window_s: float = 5.0
    quota_overage: float = 0.0
    quota_slack: float = 0.0
