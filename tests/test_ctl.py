"""Tests of the output of the operators' command."""

from __future__ import annotations

import msgspec

from fighinge.cmd.ctl import changes, describe
from fighinge.groups import GroupMap
from fighinge.status import MemberStatus, ProcessStatus, ZoneStatus
from fighinge.status_comparison import differences
from tests.builders import document, raw_document


def _status(name, **changes):
    fields = {
        "name": name,
        "zone": "z1",
        "incarnation": 1,
        "leaving": False,
        "configuration_version": 3,
        "configuration_digest": "0123456789",
        "configuration_confirmed": True,
        "members": [MemberStatus("a1", "z1", "alive", 1, False, False)],
        "zones": {"z1": ZoneStatus(True, 1.0)},
        "groups_owned": [],
        "cold": [],
        "quarantined": [],
        "ignored_datagrams": {},
        "sent_datagrams": 0,
        "sent_bytes": 0,
    }
    return ProcessStatus(**{**fields, **changes})


def test_equal_statuses_have_no_differences():
    assert differences([_status("e1"), _status("e2"), _status("a1")]) == []


def test_differences_between_statuses_are_listed():
    dead = [MemberStatus("a1", "z1", "dead", 1, False, False)]
    lines = differences(
        [
            _status("e1", groups_owned=["g1"]),
            _status("e2", configuration_version=2, members=dead, groups_owned=["g1"]),
            _status("e3", zones={"z1": ZoneStatus(False, 0.0)}, quarantined=["f"]),
        ]
    )
    assert lines == [
        "configuration version: 3 (01234567) at e1, e3; 2 (01234567) at e2",
        "zone z1: in service, share 1.00 at e1, e2; out of service at e3",
        "member a1: alive at e1, e3; dead at e2",
        "group g1 is owned by each of e1, e2",
        "quarantine of f: False at e1, e2; True at e3",
    ]


def test_patch_changes_are_listed_with_old_values():
    before, after = raw_document(), raw_document()
    after["zones"]["z2"]["in_service"] = False
    after["backend_servers"]["b0"]["slots"] = 2
    lines = changes(msgspec.json.encode(before), msgspec.json.encode(after))
    assert sorted(lines) == [
        "adds /zones/z2/in_service: false",
        "changes /backend_servers/b0/slots: 4 to 2",
    ]


def test_configured_objects_are_described():
    configured = document()
    group_map = GroupMap.from_document(configured)
    (group,) = group_map.groups
    assert f"  in replica group {group}" in describe(configured, group_map, "b0")
    assert f"  in replica group {group}" in describe(configured, group_map, "s0001")
    assert describe(configured, group_map, "desk")[0].startswith("service desk: ")
    assert describe(configured, group_map, group) == [f"replica group {group}: b0, b1, b2"]
    assert describe(configured, group_map, "none") == []
