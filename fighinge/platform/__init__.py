"""Adapter to the outside platform: its names, formats and calls, but no routing decisions."""
