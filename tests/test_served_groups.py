"""Tests of which replica groups an aggregator serves."""

from __future__ import annotations

import pytest

from fighinge.aggregator.served_groups import HANDOVER_S, TAKEOVER_S, ServedGroups
from fighinge.groups import GroupMap
from fighinge.ownership import Candidate
from tests.builders import document

DOCUMENT = document()
GROUPS = GroupMap.from_document(DOCUMENT)
(GROUP,) = GROUPS.groups


class StaticFleetView:
    """A fleet view with the aggregators that a test sets."""

    def __init__(self, *names):
        self.names = names

    def aggregators(self):
        return [Candidate(name, "z1") for name in self.names]


def test_ownership_follows_fleet_view():
    fleet = StaticFleetView("a1")
    served = ServedGroups("a1", fleet)
    served.update_ownership(GROUPS, DOCUMENT, 0.0)
    assert served.accepts(GROUP, 0.0, takeover=False)

    fleet.names = ("a2",)
    assert served.update_ownership(GROUPS, DOCUMENT, 1.0) == {GROUP}
    assert served.update_ownership(GROUPS, DOCUMENT, 1.5) == set()

    fleet.names = ("a1",)
    served.update_ownership(GROUPS, DOCUMENT, 2.0)
    assert served.accepts(GROUP, 100.0, takeover=False)


@pytest.mark.parametrize(
    ("after_s", "takeover", "runs"),
    [(HANDOVER_S - 0.1, False, True), (HANDOVER_S, False, False), (HANDOVER_S, True, True)],
)
def test_former_owner_serves_group_until_handover_ends(after_s, takeover, runs):
    fleet = StaticFleetView("a1")
    served = ServedGroups("a1", fleet)
    served.update_ownership(GROUPS, DOCUMENT, 0.0)
    fleet.names = ("a2",)
    served.update_ownership(GROUPS, DOCUMENT, 10.0)
    assert served.accepts(GROUP, 10.0 + after_s, takeover=takeover) == runs


def test_takeover_expires_after_last_sub_query():
    served = ServedGroups("a1", StaticFleetView("a2"))
    served.update_ownership(GROUPS, DOCUMENT, 0.0)
    assert not served.accepts(GROUP, 0.0, takeover=False)
    assert served.accepts(GROUP, 0.0, takeover=True)
    assert served.accepts(GROUP, 5.0, takeover=False)
    assert served.expired(5.0 + TAKEOVER_S - 0.1) == []
    assert served.expired(5.0 + TAKEOVER_S) == [GROUP]
