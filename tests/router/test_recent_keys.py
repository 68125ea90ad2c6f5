"""Tests of the bounded set of recent keys."""

from __future__ import annotations

from fighinge.router.recent_keys import RecentKeys


def test_keys_expire_unless_renewed():
    keys = RecentKeys(ttl_s=10.0, max_keys=4)
    keys.add("a", 0.0)
    keys.add("b", 0.0)
    keys.add("a", 5.0)
    assert keys.contains("a", 12.0)
    assert not keys.contains("b", 12.0)


def test_oldest_keys_are_dropped_first():
    keys = RecentKeys(ttl_s=10.0, max_keys=2)
    for key in ("a", "b", "a", "c"):
        keys.add(key, 0.0)
    assert [key for key in "abc" if keys.contains(key, 0.0)] == ["a", "c"]
