"""Tests of route lookup and of weighted targets."""

from __future__ import annotations

from collections import Counter

import pytest

from fighinge.router.model import RouteIndex, Target
from fighinge.router.weighted_targets import WeightedTargets
from tests.router.builders import HOST, route


@pytest.mark.parametrize(
    ("path", "expected"),
    [
        ("/a/x", "a"),
        ("/a/b/x", "ab"),
        ("/a/b/", "ab"),
        ("/a/b", "a"),
        ("/a/", "a"),
        ("/ab/x", None),
        ("/", None),
        ("a", None),
    ],
)
def test_longest_prefix_matches(path, expected):
    index = RouteIndex([route("a", prefix="/a/"), route("ab", prefix="/a/b/")])
    found = index.find(HOST, path)
    assert (found.name if found else None) == expected


def test_routes_of_another_host_do_not_match():
    index = RouteIndex([route("a", prefix="/a/")])
    assert index.find("other.example", "/a/x") is None


def test_targets_follow_the_weights_over_short_intervals():
    targets = WeightedTargets()
    split_route = route(targets=(Target("s0", 3), Target("s1", 1)))
    counts = Counter(targets.choose(split_route) for _ in range(40))
    assert counts == {"s0": 30, "s1": 10}


def test_route_with_zero_weights_has_no_target():
    assert WeightedTargets().choose(route(targets=(Target("s0", 0.0),))) is None
