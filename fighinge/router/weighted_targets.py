"""Weighted distribution of a route's requests over its target services."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fighinge.router.model import Route

MAX_ROUTES = 4096  # beyond this, the state is reset, which drops removed routes


class WeightedTargets:
    """Smooth weighted round robin, which keeps the proportion over short intervals, too."""

    __slots__ = ("_credits",)

    def __init__(self) -> None:
        self._credits: dict[tuple[str, tuple], dict[str, float]] = {}

    def choose(self, route: Route) -> str | None:
        """Return the service for the next request, or ``None`` if all weights are zero."""
        targets = [target for target in route.targets if target.weight > 0]
        if not targets:
            return None
        if len(targets) == 1:
            return targets[0].service
        key = (route.name, route.targets)
        if len(self._credits) >= MAX_ROUTES and key not in self._credits:
            self._credits.clear()
        credit = self._credits.setdefault(key, {})
        for target in targets:
            credit[target.service] = credit.get(target.service, 0.0) + target.weight
        chosen = max(credit, key=credit.__getitem__)
        credit[chosen] -= sum(target.weight for target in targets)
        return chosen
