"""A query tier over very many shards."""

from __future__ import annotations

__version__ = "0.1.0"
