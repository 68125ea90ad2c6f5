"""One sub-query on its way to an aggregator."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fighinge.entry.query_run import QueryRun
    from fighinge.messages import GroupOutcome, GroupShards


class SubQueryCall:
    """One sub-query of a run; hears each of its groups once, whatever arrives.

    ``pending_groups`` holds the groups without an outcome; ``timeout_checked`` is true once the
    owner's response timeout was evaluated, ``is_replaced`` once another owner was asked.
    """

    __slots__ = (
        "_run",
        "aggregator",
        "is_replaced",
        "number",
        "pending_groups",
        "sent_s",
        "takeover",
        "timeout_checked",
    )

    def __init__(
        self,
        run: QueryRun,
        number: int,
        aggregator: str,
        groups: tuple[GroupShards, ...],
        sent_s: float,
        *,
        takeover: bool,
    ) -> None:
        self._run = run
        self.number = number
        self.aggregator = aggregator
        self.pending_groups = {wanted.group: wanted.shards for wanted in groups}
        self.sent_s = sent_s
        self.takeover = takeover
        self.timeout_checked = False
        self.is_replaced = False

    def on_outcome(self, outcome: GroupOutcome) -> None:
        """Hand an outcome on, unless it is repeated or of a group that was not asked for."""
        shards = self.pending_groups.pop(outcome.group, None)
        if shards is None:
            return
        if not self.pending_groups:
            self._run.remove_call(self.number)
        self._run.on_outcome(self, shards, outcome)

    def on_link_lost(self, _aggregator: str, *, sent: bool) -> None:
        """Hand a loss on."""
        self._run.on_link_lost(self, sent=sent)
