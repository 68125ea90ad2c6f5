"""Processor time and memory, read from the kernel."""

from __future__ import annotations

import os
from pathlib import Path

import msgspec

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class Usage(msgspec.Struct, frozen=True):
    """What some processes have used together; ``rss_bytes`` is the largest single one."""

    processor_s: float
    rss_bytes: int

    def since(self, earlier: Usage) -> Usage:
        """Return what was used since an earlier reading."""
        return Usage(self.processor_s - earlier.processor_s, self.rss_bytes)

    def per_second(self, elapsed_s: float) -> Usage:
        """Return what was used in each of some seconds."""
        return Usage(self.processor_s / elapsed_s, self.rss_bytes)


def read_usage(pids: list[int]) -> Usage:
    """Read the usage of processes; one that has gone counts as nothing."""
    processor_s, rss_bytes = 0.0, 0
    for pid in pids:
        try:
            stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        except OSError:
            continue
        processor_s += (int(stat[11]) + int(stat[12])) / TICKS_PER_S
        rss_bytes = max(rss_bytes, int(stat[21]) * PAGE_BYTES)
    return Usage(processor_s, rss_bytes)
