"""One sub-query on its way to an aggregator."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fighinge.entry.query_run import QueryRun
    from fighinge.messages import GroupOutcome, GroupShards


class SubQueryCall:
    """One sub-query of a run; hears each of its groups once, whatever arrives.

    ``left`` holds the groups without an outcome; ``checked`` tells that the owner was found
    silent or not, ``replaced`` that another one was asked meanwhile.
    """

    __slots__ = (
        "_run",
        "aggregator",
        "checked",
        "left",
        "number",
        "replaced",
        "sent_s",
        "takeover",
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
        self.left = {wanted.group: wanted.shards for wanted in groups}
        self.sent_s = sent_s
        self.takeover = takeover
        self.checked = False
        self.replaced = False

    def outcome(self, outcome: GroupOutcome) -> None:
        """Hand an outcome on, unless it is repeated or of a group that was not asked for."""
        shards = self.left.pop(outcome.group, None)
        if shards is None:
            return
        if not self.left:
            self._run.call_ended(self.number)
        self._run.outcome_of(self, shards, outcome)

    def link_lost(self, _aggregator: str, *, sent: bool) -> None:
        """Hand a loss on."""
        self._run.lost(self, sent=sent)
