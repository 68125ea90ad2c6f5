"""Tests of the view and its staleness."""

from __future__ import annotations

import pytest

from fighinge.router.changes import (
    BackendListed,
    BackendUnlisted,
    TablePublished,
    ZoneEvacuated,
)
from fighinge.router.revisions import ordered_revision
from fighinge.router.view import REMOVAL_DELAY_AFTER_OUTAGE_S, Topic, View
from tests.router.builders import MemoryLog, backend_record, route, table

NOW_S = 100.0


@pytest.fixture
def view():
    view = View(MemoryLog())
    for topic in Topic:
        view.record_source_answer(topic, NOW_S)
    return view


def test_older_configuration_version_is_ignored(view):
    view.apply([TablePublished(table(route("new"), version=9))], NOW_S)
    view.apply([TablePublished(table(route("old"), version=8))], NOW_S)
    view.replace(Topic.CONFIGURATION, [TablePublished(table(route("old"), version=7))], NOW_S)
    assert view.version == 9
    assert view.table.routes[0].name == "new"


def test_unlisted_server_is_removed_at_once_if_the_source_is_reachable(view):
    view.apply([BackendListed(backend_record("i1"))], NOW_S)
    view.apply([BackendUnlisted("i1")], NOW_S)
    assert not view.backends


def test_removal_of_a_server_is_delayed_right_after_an_outage(view):
    view.apply([BackendListed(backend_record("i1")), BackendListed(backend_record("i2"))], NOW_S)
    view.record_source_failure(Topic.BACKENDS, "silent", NOW_S + 1)
    view.record_source_answer(Topic.BACKENDS, NOW_S + 5)
    view.replace(Topic.BACKENDS, [], NOW_S + 5)
    assert set(view.backends) == {"i1", "i2"}
    view.apply([BackendListed(backend_record("i1"))], NOW_S + 6)
    view.expire(NOW_S + 5 + REMOVAL_DELAY_AFTER_OUTAGE_S)
    assert set(view.backends) == {"i1"}


MISSED_S = NOW_S + 2  # when a peer first has changes that the watch here does not tell


@pytest.fixture
def late_view(view):
    """Return a view that reads its source again, some time after a peer had newer changes."""
    view.apply([BackendListed(backend_record("i1"))], NOW_S)
    view.record_missed_changes(Topic.BACKENDS, MISSED_S, MISSED_S + 1.2)
    view.record_source_answer(Topic.BACKENDS, MISSED_S + 1.3)
    view.replace(Topic.BACKENDS, [], MISSED_S + 1.3)
    return view


def test_removal_after_missed_changes_is_delayed_from_the_time_at_which_a_peer_had_them(late_view):
    late_view.expire(MISSED_S + REMOVAL_DELAY_AFTER_OUTAGE_S)
    assert not late_view.backends


def test_server_may_renew_its_record_after_missed_changes(late_view):
    late_view.expire(MISSED_S + REMOVAL_DELAY_AFTER_OUTAGE_S - 0.1)
    assert set(late_view.backends) == {"i1"}


def test_outage_after_missed_changes_delays_a_removal_from_its_own_end(view):
    view.apply([BackendListed(backend_record("i1"))], NOW_S)
    view.record_missed_changes(Topic.BACKENDS, MISSED_S, MISSED_S + 1)
    view.record_source_failure(Topic.BACKENDS, "silent", MISSED_S + 2)
    view.record_source_answer(Topic.BACKENDS, MISSED_S + 5)
    view.replace(Topic.BACKENDS, [], MISSED_S + 5)
    view.expire(MISSED_S + 5 + REMOVAL_DELAY_AFTER_OUTAGE_S - 0.1)
    assert set(view.backends) == {"i1"}


def test_removal_that_follows_an_outage_is_not_delayed_beyond_the_time_for_renewals(view):
    view.apply([BackendListed(backend_record("i1"))], NOW_S)
    view.record_source_failure(Topic.BACKENDS, "silent", NOW_S + 1)
    view.record_source_answer(Topic.BACKENDS, NOW_S + 5)
    view.apply([BackendUnlisted("i1")], NOW_S + 7)
    view.expire(NOW_S + 5 + REMOVAL_DELAY_AFTER_OUTAGE_S)
    assert not view.backends


def test_server_missing_from_a_peers_view_is_removed_at_once(view):
    view.apply([BackendListed(backend_record("i1")), BackendListed(backend_record("i2"))], NOW_S)
    view.record_source_failure(Topic.BACKENDS, "refused", NOW_S + 1)
    view.replace(Topic.BACKENDS, [BackendListed(backend_record("i2"))], NOW_S + 2, from_peer=True)
    assert set(view.backends) == {"i2"}


def test_topic_is_fresh_if_its_source_is_reachable_or_a_peer_is_followed(view):
    assert view.is_fresh(Topic.CONFIGURATION)
    view.record_source_failure(Topic.CONFIGURATION, "silent", NOW_S + 60)
    assert not view.is_fresh(Topic.CONFIGURATION)
    view.record_relay_answer(Topic.CONFIGURATION, "10.0.0.2", NOW_S + 61)
    assert view.is_fresh(Topic.CONFIGURATION)
    view.record_relay_failure(Topic.CONFIGURATION, NOW_S + 62)
    assert not view.is_fresh(Topic.CONFIGURATION)


def test_complete_read_replaces_the_evacuated_zones(view):
    view.apply([ZoneEvacuated("z1")], NOW_S)
    view.replace(Topic.CONFIGURATION, [ZoneEvacuated("z2")], NOW_S)
    assert view.evacuated_zones == {"z2"}


def test_changes_of_the_view_and_its_source_are_logged(view):
    view.apply([TablePublished(table(route())), BackendListed(backend_record("i1"))], NOW_S)
    view.record_source_failure(Topic.BACKENDS, "silent", NOW_S)
    view.record_source_answer(Topic.BACKENDS, NOW_S + 1)
    assert view.log.events() == [
        "configuration in force",
        "backend server listed",
        "source lost",
        "source regained",
    ]


def test_log_tells_who_listed_a_server_and_what_a_complete_read_found(view):
    view.record_relay_answer(Topic.BACKENDS, "10.0.0.2", NOW_S)
    view.apply([BackendListed(backend_record("i1"))], NOW_S, from_peer=True)
    view.replace(Topic.BACKENDS, [BackendListed(backend_record("i2"))], NOW_S)
    lines = view.log.lines
    origins = {
        line["backend"]: line["origin"] for line in lines if line["event"].endswith("listed")
    }
    (replaced,) = (line for line in lines if line["event"] == "view replaced")
    assert origins == {"i1": "10.0.0.2", "i2": "store"}
    assert (replaced["published"], replaced["missing"]) == (1, 1)


def test_delay_of_a_removal_is_logged_once(view):
    view.apply([BackendListed(backend_record("i1"))], NOW_S)
    view.record_source_failure(Topic.BACKENDS, "silent", NOW_S + 1)
    view.record_source_answer(Topic.BACKENDS, NOW_S + 5)
    for _ in range(2):
        view.replace(Topic.BACKENDS, [], NOW_S + 5)
    delayed = [line for line in view.log.lines if line["event"] == "backend server removal delayed"]
    assert [line["due_in_s"] for line in delayed] == [REMOVAL_DELAY_AFTER_OUTAGE_S]


@pytest.fixture
def copied_view(view):
    """Return a view of a source in its first era: a server has left, a data centre is evacuated."""
    view.apply([BackendListed(backend_record("i1")), BackendListed(backend_record("i2"))], NOW_S)
    view.apply([BackendUnlisted("i2"), ZoneEvacuated("z1")], NOW_S)
    for topic in Topic:
        view.advance(topic, ordered_revision(1, 50), ordered_revision(1, 50))
    return view


def _restore(view, records=()):
    revision = ordered_revision(2, 40)
    view.replace(Topic.CONFIGURATION, [], NOW_S + 9, revision=revision)
    view.replace(Topic.BACKENDS, map(BackendListed, records), NOW_S + 9, revision=revision)


def test_server_and_evacuation_that_a_restored_copy_lacks_hold_until_they_can_be_repeated(
    copied_view,
):
    _restore(copied_view)
    copied_view.expire(NOW_S + 9 + REMOVAL_DELAY_AFTER_OUTAGE_S - 0.1)
    assert (set(copied_view.backends), copied_view.evacuated_zones) == ({"i1"}, {"z1"})
    copied_view.expire(NOW_S + 9 + REMOVAL_DELAY_AFTER_OUTAGE_S)
    assert (set(copied_view.backends), copied_view.evacuated_zones) == (set(), set())


def test_server_that_a_peers_restored_copy_lacks_holds_until_it_can_write_again(copied_view):
    copied_view.record_source_failure(Topic.BACKENDS, "reset", NOW_S + 8)
    revision = ordered_revision(2, 40)
    copied_view.replace(Topic.BACKENDS, [], NOW_S + 9, from_peer=True, revision=revision)
    assert set(copied_view.backends) == {"i1"}
    copied_view.expire(NOW_S + 9 + REMOVAL_DELAY_AFTER_OUTAGE_S)
    assert not copied_view.backends


def test_evacuation_that_is_repeated_after_a_restore_holds(copied_view):
    _restore(copied_view)
    copied_view.apply([ZoneEvacuated("z1")], NOW_S + 10)
    copied_view.expire(NOW_S + 60)
    assert copied_view.evacuated_zones == {"z1"}


def test_server_that_has_left_is_used_after_a_restore_only_if_it_writes_again(copied_view):
    records = [backend_record("i1"), backend_record("i2")]
    _restore(copied_view, records)
    assert set(copied_view.backends) == {"i1"}
    copied_view.apply([BackendListed(records[1])], NOW_S + 10)
    assert set(copied_view.backends) == {"i1", "i2"}


def test_revision_of_a_later_era_is_higher(copied_view):
    copied_view.advance(Topic.BACKENDS, ordered_revision(2, 3), ordered_revision(2, 3))
    copied_view.advance(Topic.BACKENDS, ordered_revision(1, 90), ordered_revision(1, 90))
    assert copied_view.watermark(Topic.BACKENDS) == ordered_revision(2, 3)
