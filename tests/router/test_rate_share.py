"""Tests that the shares of all routers add up to the rate that a server names."""

from __future__ import annotations

import random
from collections import deque

import pytest

from fighinge.router.rate_share import MAX_WAIT_S, RateShare, RouterShare

NOW_S = 1000.0
WINDOW_S = 4.0
RATE_FACTOR = 1.5
SLACK_CALLS = 5
STABILITY_WINDOW_S = 4.0


class Fleet:
    """Routers that send calls to one server as often as their shares and their callers allow."""

    def __init__(self, routers: int, total_per_s: float, *, known: int | None = None) -> None:
        self.names = [f"10.0.0.{number}" for number in range(routers)]
        self.total_per_s = total_per_s
        self.shares = {name: RouterShare(name) for name in self.names}
        self.set_known(self.names, self.names[: known or routers])
        self.rates: dict[str, RateShare] = {}
        self.sent_s: list[float] = []

    def set_known(self, names, known) -> None:
        """Let some routers know these routers, each with the same share."""
        for name in names:
            self.shares[name].routers = frozenset(known)
            self.shares[name].rate_fraction = 1.0 / len(known)

    def name_limit(self, name: str, now_s: float) -> None:
        """Let a router hear of the limit."""
        self.rates[name] = RateShare(self.shares[name], "i1", self.total_per_s, now_s)

    def try_call(self, name: str, now_s: float) -> bool:
        """Send a call if the router may."""
        rate = self.rates[name]
        if not rate.has_grant(now_s):
            return False
        rate.use_grant(now_s)
        self.sent_s.append(now_s)
        return True

    def worst_window(self, from_s: float = NOW_S) -> int:
        """Return the greatest number of calls in a window."""
        window: deque[float] = deque()
        worst = 0
        for at_s in self.sent_s:
            window.append(at_s)
            while window[0] <= at_s - WINDOW_S:
                window.popleft()
            if at_s >= from_s:
                worst = max(worst, len(window))
        return worst

    @property
    def allowed(self) -> float:
        """Return the number of calls that a window may have."""
        return RATE_FACTOR * WINDOW_S * self.total_per_s + SLACK_CALLS


def _run(fleet, duration_s, *, demand_per_s=400.0, idle_s=0.0, seed=3):
    """Let callers send requests to random routers, after a time without any."""
    source = random.Random(seed)
    now_s = NOW_S
    for name in fleet.names:
        fleet.name_limit(name, NOW_S + source.random())
    now_s += idle_s
    while now_s < NOW_S + idle_s + duration_s:
        now_s += source.expovariate(demand_per_s)
        fleet.try_call(source.choice(fleet.names), now_s)


@pytest.mark.parametrize("total_per_s", [0.0, 0.3, 1.0, 6.7, 18.2, 250.0])
@pytest.mark.parametrize("routers", [1, 3, 8, 60, 79])
@pytest.mark.parametrize("idle_s", [0.0, 7.3])
def test_calls_of_all_routers_stay_within_a_named_limit(total_per_s, routers, idle_s):
    fleet = Fleet(routers, total_per_s)
    _run(fleet, 30.0, idle_s=idle_s, demand_per_s=1500.0)
    assert fleet.worst_window() <= fleet.allowed


@pytest.mark.parametrize("routers", [1, 8, 60])
def test_most_of_a_limit_is_used_while_callers_want_more(routers):
    fleet = Fleet(routers, 20.0)
    _run(fleet, 30.0)
    assert len(fleet.sent_s) >= 0.9 * 20.0 * 30.0


@pytest.mark.parametrize(("before", "after"), [(8, 10), (10, 8), (60, 64), (3, 4)])
def test_sum_holds_while_routers_have_old_and_new_views(before, after):
    """Every second router has the new view, in which routers have joined or have gone."""
    fleet = Fleet(max(before, after), 12.0)
    fleet.set_known(fleet.names[::2], fleet.names[:before])
    fleet.set_known(fleet.names[1::2], fleet.names[:after])
    _run(fleet, 30.0)
    assert fleet.worst_window() <= fleet.allowed


def test_sum_holds_when_routers_continue_after_a_freeze():
    fleet = Fleet(8, 12.0)
    _run(fleet, 10.0)
    for name in fleet.names:
        while fleet.try_call(name, NOW_S + 40.0):
            pass
    assert fleet.worst_window() <= fleet.allowed


def test_limit_that_falls_applies_at_once():
    fleet = Fleet(8, 100.0)
    _run(fleet, 10.0)
    fleet.sent_s.clear()
    fleet.total_per_s = 5.0
    source = random.Random(1)
    now_s = NOW_S + 10.0
    for name in fleet.names:
        fleet.rates[name].set_total(5.0, now_s)
    while now_s < NOW_S + 20.0:
        now_s += source.expovariate(400.0)
        fleet.try_call(source.choice(fleet.names), now_s)
    assert fleet.worst_window() <= fleet.allowed


def test_server_that_takes_nothing_is_asked_now_and_then():
    fleet = Fleet(8, 0.0)
    _run(fleet, 60.0)
    assert 10 <= len(fleet.sent_s) <= 40


def test_urgent_requests_come_first_and_others_do_not_starve():
    fleet = Fleet(1, 9.0)
    fleet.name_limit(fleet.names[0], NOW_S)
    rate = fleet.rates[fleet.names[0]]
    source = random.Random(5)
    sent = {True: 0, False: 0}
    now_s = NOW_S
    while now_s < NOW_S + 60.0:
        now_s += source.expovariate(40.0)
        is_urgent = source.random() < 0.5
        if rate.has_grant(now_s, is_urgent=is_urgent):
            rate.use_grant(now_s)
            sent[is_urgent] += 1
    assert sent[True] > 2 * sent[False]
    assert sent[False] > 0.1 * sum(sent.values())


def test_less_urgent_requests_use_what_urgent_ones_leave():
    fleet = Fleet(1, 9.0)
    fleet.name_limit(fleet.names[0], NOW_S)
    rate = fleet.rates[fleet.names[0]]
    sent = 0
    for step in range(6000):
        now_s = NOW_S + step * 0.01
        if rate.has_grant(now_s, is_urgent=False):
            rate.use_grant(now_s)
            sent += 1
    assert sent >= 0.9 * 9.0 * 60.0


def test_callers_that_are_refused_are_told_to_return_one_after_another():
    fleet = Fleet(1, 2.0)
    fleet.name_limit(fleet.names[0], NOW_S)
    rate = fleet.rates[fleet.names[0]]
    waits_s = []
    for _ in range(20):
        waits_s.append(rate.wait_s(NOW_S))
        rate.promise(NOW_S)
    assert waits_s[:4] == pytest.approx([0.25, 0.75, 1.25, 1.75])
    assert max(waits_s) == MAX_WAIT_S
    assert rate.wait_s(NOW_S + 0.8) >= 4.0
