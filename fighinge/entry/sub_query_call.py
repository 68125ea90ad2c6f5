"""A sub-query in flight to one aggregator."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fighinge.entry.query_run import QueryRun
    from fighinge.messages import GroupOutcome, GroupShards


class SubQueryCall:
    """A sub-query of a run, which passes on at most one outcome for each of its groups.

    ``pending_groups`` holds the groups without an outcome; ``timeout_checked`` is true once the
    owner timeout was evaluated, ``is_replaced`` once the call was retried at other owners, and
    ``takeover`` if another aggregator was asked for the groups before.
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
        self.pending_groups = {requested.group: requested.shards for requested in groups}
        self.sent_s = sent_s
        self.takeover = takeover
        self.timeout_checked = False
        self.is_replaced = False

    def on_outcome(self, outcome: GroupOutcome) -> None:
        """Pass an outcome to the run, unless it is a duplicate or of a group not requested."""
        shards = self.pending_groups.pop(outcome.group, None)
        if shards is None:
            return
        if not self.pending_groups:
            self._run.remove_call(self.number)
        self._run.on_outcome(self, shards, outcome)

    def on_link_lost(self, _aggregator: str, *, sent: bool) -> None:
        """Pass the loss of the link to the run."""
        self._run.on_link_lost(self, sent=sent)
