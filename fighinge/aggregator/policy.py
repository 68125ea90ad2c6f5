"""Feature switches of the aggregator."""

from __future__ import annotations

import msgspec


class Policy(msgspec.Struct, frozen=True, kw_only=True):
    """Feature switches; the baseline of benchmarks has all of them off."""

    name: str = "full"
    hedging: bool = True
    adaptive_limit: bool = True
    cold_start: bool = True
    latency_choice: bool = True
    weighted_admission: bool = True
    early_refusal: bool = True
    limited_retries: bool = True

    @classmethod
    def plain(cls) -> Policy:
        """Return the baseline: fixed slots, random choice, one queue, unlimited retries."""
        return cls(
            name="plain",
            hedging=False,
            adaptive_limit=False,
            cold_start=False,
            latency_choice=False,
            weighted_admission=False,
            early_refusal=False,
            limited_retries=False,
        )

    @classmethod
    def from_name(cls, name: str) -> Policy:
        """Return the policy of a name in the settings."""
        return cls.plain() if name == "plain" else cls()
