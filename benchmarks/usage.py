"""Processor time and memory of processes, read from /proc."""

from __future__ import annotations

import os
from pathlib import Path

import msgspec

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class Usage(msgspec.Struct, frozen=True):
    """Total processor time of some processes, and the largest resident set among them."""

    processor_s: float
    rss_bytes: int

    def since(self, earlier: Usage) -> Usage:
        """Return the processor time since an earlier reading, with the current memory."""
        return Usage(self.processor_s - earlier.processor_s, self.rss_bytes)

    def per_second(self, elapsed_s: float) -> Usage:
        """Return the processor time per second of an interval, with the same memory."""
        return Usage(self.processor_s / elapsed_s, self.rss_bytes)


def read_usage(pids: list[int]) -> Usage:
    """Return the usage of processes; ended ones count as 0."""
    processor_s, rss_bytes = 0.0, 0
    for pid in pids:
        try:
            stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        except OSError:
            continue
        # Fields 14 (utime), 15 (stime) and 24 (rss, in pages) of proc(5); the list starts at 3.
        processor_s += (int(stat[11]) + int(stat[12])) / TICKS_PER_S
        rss_bytes = max(rss_bytes, int(stat[21]) * PAGE_BYTES)
    return Usage(processor_s, rss_bytes)
