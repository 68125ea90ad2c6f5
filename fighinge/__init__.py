"""A query tier that searches records over many shards."""

from __future__ import annotations

__version__ = "0.1.0"
