"""Simulated behaviour and counters of a stand-in backend server."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from fighinge.errors import ErrorKind, Failure

Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]


class Behaviour(msgspec.Struct, forbid_unknown_fields=True):
    """Latencies, limits and faults to simulate; each field may change while the server runs.

    ``drop_at`` is the point of a request at which its connection is dropped, ``drops_left`` the
    number of requests that this still applies to. ``index_versions`` overrides the index versions
    that the server holds according to the configuration, ``serves_index_version`` the one that a
    request asks for. ``out`` marks a server whose data centre is out of service; calls that
    start on it are run and counted. ``absent`` refuses connections. A cold server that gets more
    calls than it can run refuses all requests for ``fall_over_s`` and starts its warm-up again,
    which takes ``warm_calls`` calls; each of its calls takes ``cold_factor`` times as long. The
    result of each shard has ``misplaced_records`` records of the next shard added, and its first
    ``doubled_records`` records twice.
    """

    service_ms: NonNegativeFloat = 5.0
    straggler_share: Fraction = 0.0
    straggler_factor: NonNegativeFloat = 10.0
    one_way_ms: NonNegativeFloat = 0.0
    connect_ms: NonNegativeFloat = 0.0
    queue_limit: NonNegativeInt = 8
    draining: bool = False
    out: bool = False
    absent: bool = False
    shed_share: Fraction = 0.0
    announces_cold: bool = False
    cold_after_restart: bool = True
    warm_calls: NonNegativeInt = 8
    cold_factor: NonNegativeFloat = 3.0
    fall_over_s: NonNegativeFloat = 1.0
    crash_outage_s: NonNegativeFloat = 2.0
    drop_at: Literal[
        "nowhere", "accept", "before_run", "running", "before_answer", "in_answer", "after_answer"
    ] = "nowhere"
    drops_left: NonNegativeInt = 0
    report: Literal["true", "stuck", "zero", "absurd", "absent"] = "true"
    report_lag_s: NonNegativeFloat = 0.0
    index_versions: dict[str, list[int]] | None = None
    serves_index_version: int | None = None
    misplaced_records: NonNegativeInt = 0
    doubled_records: NonNegativeInt = 0


class Counters(msgspec.Struct):
    """Counts of events; ``executions`` by request identifier, ``crashes`` by crash identifier."""

    executions: dict[str, int] = {}
    crashes: dict[str, int] = {}
    searches: int = 0
    state_reads: int = 0
    connections_opened: int = 0
    connections_refused: int = 0
    peak_connections: int = 0
    peak_in_flight: int = 0
    shed: int = 0
    cancelled: int = 0
    past_deadline: int = 0
    restarts: int = 0
    overloaded_moments: int = 0
    arrivals_while_draining: int = 0
    starts_while_out: int = 0


def replace_fields(behaviour: Behaviour, raw_changes: bytes) -> Behaviour | Failure:
    """Return a copy with fields replaced.

    :param raw_changes: JSON object of field names and new values
    :returns: the new behaviour, or a failure that names the invalid field
    """
    try:
        changes = msgspec.json.decode(raw_changes, type=dict)
        return msgspec.convert({**msgspec.structs.asdict(behaviour), **changes}, Behaviour)
    except msgspec.DecodeError as error:
        return Failure(ErrorKind.BAD_REQUEST, str(error))
