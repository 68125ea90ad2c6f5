"""Tests of what a router believes and since when."""

from __future__ import annotations

import pytest

from fighinge.router.changes import (
    BackendListed,
    BackendUnlisted,
    TablePublished,
    ZoneEvacuated,
)
from fighinge.router.view import REMOVAL_DELAY_AFTER_OUTAGE_S, Topic, View
from tests.router.builders import MemoryLog, entry, route, table

NOW_S = 100.0


@pytest.fixture
def view():
    view = View(MemoryLog())
    for topic in Topic:
        view.record_source_answer(topic, NOW_S)
    return view


def test_configuration_never_goes_back(view):
    view.apply([TablePublished(table(route("new"), version=9))], NOW_S)
    view.apply([TablePublished(table(route("old"), version=8))], NOW_S)
    view.replace(Topic.CONFIGURATION, [TablePublished(table(route("old"), version=7))], NOW_S)
    assert view.version == 9
    assert view.table.routes[0].name == "new"


def test_unlisted_server_is_gone_at_once_in_contact(view):
    view.apply([BackendListed(entry("i1"))], NOW_S)
    view.apply([BackendUnlisted("i1")], NOW_S)
    assert not view.backends


def test_server_unlisted_right_after_an_outage_is_kept_until_it_could_be_back(view):
    view.apply([BackendListed(entry("i1")), BackendListed(entry("i2"))], NOW_S)
    view.record_source_failure(Topic.BACKENDS, "silent", NOW_S + 1)
    view.record_source_answer(Topic.BACKENDS, NOW_S + 5)
    view.replace(Topic.BACKENDS, [], NOW_S + 5)
    assert set(view.backends) == {"i1", "i2"}
    view.apply([BackendListed(entry("i1"))], NOW_S + 6)
    view.expire(NOW_S + 5 + REMOVAL_DELAY_AFTER_OUTAGE_S)
    assert set(view.backends) == {"i1"}


def test_what_a_peer_in_contact_does_not_list_is_gone(view):
    view.apply([BackendListed(entry("i1")), BackendListed(entry("i2"))], NOW_S)
    view.record_source_failure(Topic.BACKENDS, "refused", NOW_S + 1)
    view.replace(Topic.BACKENDS, [BackendListed(entry("i2"))], NOW_S + 2, from_peer=True)
    assert set(view.backends) == {"i2"}


def test_view_is_fresh_in_contact_or_while_a_peer_is_followed(view):
    assert view.is_fresh(Topic.CONFIGURATION)
    view.record_source_failure(Topic.CONFIGURATION, "silent", NOW_S + 60)
    assert not view.is_fresh(Topic.CONFIGURATION)
    view.record_relay_answer(Topic.CONFIGURATION, "10.0.0.2", NOW_S + 61)
    assert view.is_fresh(Topic.CONFIGURATION)
    view.record_relay_failure(Topic.CONFIGURATION, NOW_S + 62)
    assert not view.is_fresh(Topic.CONFIGURATION)


def test_zones_out_follow_a_complete_read(view):
    view.apply([ZoneEvacuated("z1")], NOW_S)
    view.replace(Topic.CONFIGURATION, [ZoneEvacuated("z2")], NOW_S)
    assert view.evacuated_zones == {"z2"}


def test_each_change_of_belief_has_a_line(view):
    view.apply([TablePublished(table(route())), BackendListed(entry("i1"))], NOW_S)
    view.record_source_failure(Topic.BACKENDS, "silent", NOW_S)
    view.record_source_answer(Topic.BACKENDS, NOW_S + 1)
    assert view.log.events() == [
        "configuration in force",
        "backend server listed",
        "source lost",
        "source regained",
    ]
