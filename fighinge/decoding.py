"""What decoding a message may raise for bytes that are no valid message."""

from __future__ import annotations

import msgspec

# Nesting deeper than the interpreter's recursion limit is no DecodeError.
UNREADABLE_ERRORS = (msgspec.DecodeError, RecursionError)
