"""Resources that all replica groups of an aggregator share."""

from __future__ import annotations

import itertools
import random
import uuid
from typing import TYPE_CHECKING

from fighinge.aggregator.admission_queue import AdmissionQueue
from fighinge.aggregator.connections import LimitedClient
from fighinge.aggregator.latency import SlowCallFraction
from fighinge.aggregator.policy import Policy
from fighinge.aggregator.quarantine import Quarantine
from fighinge.aggregator.query_class_budgets import ClassRetryBudgets
from fighinge.aggregator.replica_choice import ReplicaChooser
from fighinge.facts import FactBoard, FactKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from fighinge.aggregator.base import BackendClient


class SharedResources:
    """The client, retry budgets, quarantine and random source of one process."""

    __slots__ = (
        "_call_numbers",
        "_incarnation",
        "budgets",
        "chooser",
        "client",
        "clock",
        "facts",
        "policy",
        "quarantine",
        "slow_fraction",
    )

    def __init__(
        self,
        client: BackendClient,
        clock: Callable[[], float],
        policy: Policy | None = None,
        facts: FactBoard | None = None,
        seed: int | None = None,
    ) -> None:
        self.client = LimitedClient(client)
        self.clock = clock
        self.policy = policy or Policy()
        self.facts = facts or FactBoard()
        self.slow_fraction = SlowCallFraction()
        self.budgets = ClassRetryBudgets()
        self.chooser = ReplicaChooser(
            random.Random(seed), compares_latency=self.policy.latency_choice
        )
        self.quarantine = Quarantine(self.facts.add)
        self.facts.listen(lambda fact: self.quarantine.apply_fact(fact, clock()))
        self._incarnation = uuid.uuid4().hex[:16]
        self._call_numbers = itertools.count(1)

    def create_queue(self) -> AdmissionQueue:
        """Create the admission queue of a group."""
        return AdmissionQueue(self.chooser, self.policy, self.clock)

    def next_call_id(self) -> str:
        """Return a globally unique call ID."""
        return f"{self._incarnation}-{next(self._call_numbers)}"

    def warm_processes(self, backend_server: str, now_s: float) -> list[str]:
        """Return the IDs of a server's processes that a former owner has reported as warm."""
        return self.facts.values(FactKind.WARM, backend_server, now_s)
