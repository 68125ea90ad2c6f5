"""The delay after which a request is hedged to another backend server."""

from __future__ import annotations

DELAY_FACTOR = 2.5  # some 3 % of the calls to a healthy server take longer
MIN_DELAY_FACTOR = 1.5  # earlier, most hedges would duplicate calls about to end
SECOND_CALL_FACTOR = 2.5  # the time to the soft deadline has to suffice for the hedge
BASE_DELAY_S = 0.004  # inter-zone round-trip time and delays of this process


def hedge_delay_s(typical_s: float, remaining_s: float) -> float:
    """Return how long after a call's start a hedge is sent, in seconds.

    :param typical_s: typical latency of such a call, in seconds
    :param remaining_s: time from the call's start to the soft deadline, in seconds
    """
    normal_s = BASE_DELAY_S + DELAY_FACTOR * typical_s
    latest_s = remaining_s - SECOND_CALL_FACTOR * typical_s
    return max(MIN_DELAY_FACTOR * typical_s, min(normal_s, latest_s))
