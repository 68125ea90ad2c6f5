"""When a call to one more backend server pays, beside one that has not ended."""

from __future__ import annotations

DELAY_FACTOR = 2.5  # some 3 calls in 100 of a healthy server take longer
MIN_DELAY_FACTOR = 1.5  # below this, most hedges would double calls that are about to end
SECOND_CALL_FACTOR = 2.5  # what is left of the aim has to be enough for the second call
BASE_DELAY_S = 0.004  # the way to another data centre and back, and this process's own delays


def hedge_delay_s(typical_s: float, remaining_s: float) -> float:
    """Return how long a call may take before another backend server is asked as well.

    :param typical_s: what such a call usually takes
    :param remaining_s: time from the call's start until an answer loses most of its worth
    """
    normal_s = BASE_DELAY_S + DELAY_FACTOR * typical_s
    latest_s = remaining_s - SECOND_CALL_FACTOR * typical_s
    return max(MIN_DELAY_FACTOR * typical_s, min(normal_s, latest_s))
