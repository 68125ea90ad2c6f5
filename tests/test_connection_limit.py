"""Tests of the bound on the connections of callers."""

from __future__ import annotations

from fighinge.connection_limit import ConnectionLimit

IDLE_TIMEOUT_S = 15.0


def _serve(connections: ConnectionLimit, holder: str, now_s: float) -> None:
    connections.add(holder, IDLE_TIMEOUT_S, now_s)
    connections.start_service(holder)
    connections.end_service(holder, now_s)


def test_silent_connections_give_way_to_new_ones():
    # Guards against callers that are locked out while silent connections fill the limit.
    connections = ConnectionLimit(2)
    assert connections.add("silent-1", IDLE_TIMEOUT_S, 0.0) is None
    assert connections.add("silent-2", IDLE_TIMEOUT_S, 1.0) is None
    assert connections.add("caller", IDLE_TIMEOUT_S, 2.0) == "silent-1"
    assert len(connections) == 2


def test_connection_that_is_served_or_may_be_reused_is_kept():
    connections = ConnectionLimit(2)
    _serve(connections, "idle", 0.0)
    connections.add("served", IDLE_TIMEOUT_S, 0.0)
    connections.start_service("served")
    assert connections.add("new", IDLE_TIMEOUT_S, 0.8 * IDLE_TIMEOUT_S) == "new"
    assert len(connections) == 2


def test_connection_that_its_caller_does_not_reuse_gives_way():
    connections = ConnectionLimit(1)
    _serve(connections, "idle", 0.0)
    assert connections.add("new", IDLE_TIMEOUT_S, 0.8 * IDLE_TIMEOUT_S + 0.1) == "idle"


def test_next_request_that_stops_half_way_gives_way():
    # Guards against connections that are kept for good after one complete request.
    connections = ConnectionLimit(1)
    _serve(connections, "caller", 0.0)
    connections.start_receiving("caller")
    assert connections.add("new", IDLE_TIMEOUT_S, 0.1) == "caller"


def test_closed_connections_free_their_place():
    connections = ConnectionLimit(1)
    connections.add("caller", IDLE_TIMEOUT_S, 0.0)
    connections.remove("caller")
    assert connections.add("new", IDLE_TIMEOUT_S, 0.0) is None


def test_limit_follows_from_descriptors_and_memory():
    assert ConnectionLimit.from_resources(4100, 200_000_000).limit == 2050
    assert ConnectionLimit.from_resources(100_000, 200_000_000).limit == 2441
